#include "tests/routing/room_simulation.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kZones = 3;
constexpr std::size_t kServices = 3;
constexpr std::size_t kTeams = 16;
constexpr double kTeamSkew = 1.2;
constexpr std::size_t kAwayZone = 2;
constexpr TimePoint kAwayFrom{milliseconds(2360)};
constexpr TimePoint kAwayUntil{milliseconds(6800)};
constexpr TimePoint kCrowdFrom{milliseconds(2300)};
constexpr TimePoint kCrowdUntil{milliseconds(8200)};
constexpr TimePoint kArrivalsEnd{seconds(12)};
constexpr TimePoint kEnd{seconds(30)};
// Requests that arrive between these count.
constexpr TimePoint kMeasuredFrom{seconds(2)};
constexpr TimePoint kMeasuredUntil{seconds(10)};
constexpr Duration kMessageTime = milliseconds(1);
constexpr Duration kTickPeriod = milliseconds(25);
constexpr Duration kLoadPeriod = milliseconds(300);
constexpr Duration kLoadAge = milliseconds(2400);
constexpr Duration kMeasurePeriod = milliseconds(50);
constexpr Duration kPlanPeriod = milliseconds(100);
constexpr Duration kPlanAge = milliseconds(2500);
constexpr Duration kMinimumRetryAfter = milliseconds(400);

struct ServiceModel {
  const char* name;
  std::array<std::size_t, kZones> servers;
  BatchLimits limits;
};

const std::array<ServiceModel, kServices>& Services() {
  static const std::array<ServiceModel, kServices> services{
      ServiceModel{"assets",
                   {5, 5, 4},
                   {1, 2, 8, milliseconds(150), Duration(16000), 46'000'000,
                    seconds(4)}},
      ServiceModel{
          "farm",
          {5, 5, 5},
          {1, 2, 26, milliseconds(150), Duration(4900), 4'600'000, seconds(4)}},
      ServiceModel{
          "intake",
          {6, 6, 6},
          {1, 2, 44, milliseconds(150), Duration(2900), 770'000, seconds(4)}}};
  return services;
}

struct StageModel {
  std::size_t service;
  std::vector<std::size_t> dependencies;
  std::uint64_t bytes;
  double items;   // mean
  double spread;  // of the logarithm
  double share;   // of the requests that have the stage
  double work;    // of an item, times the service's item time
};

struct ClassModel {
  double per_second;
  double crowd;  // factor of the arrivals in the crowd
  int priority;
  Duration objective;
  Duration deadline;
  Duration leave;  // callers leave a stream that has not begun by then
  double worth;
  double late_worth;
  Duration rest;  // at the model server
  std::vector<StageModel> stages;
};

const std::array<ClassModel, 3>& Classes() {
  static const std::array<ClassModel, 3> classes{
      ClassModel{50.3,
                 2.6,
                 0,
                 seconds(1),
                 seconds(6),
                 seconds(4),
                 4.7,
                 0.28,
                 milliseconds(130),
                 {{0, {}, 3'000'000, 2.5, 0.6, 0.7, 1}}},
      ClassModel{61.3,
                 2.1,
                 2,
                 seconds(3),
                 seconds(6),
                 seconds(6),
                 0.69,
                 0.15,
                 milliseconds(80),
                 {{0, {}, 8'000, 1, 0, 1, 0.3},
                  {1, {0}, 60'000, 8, 0, 1, 1},
                  {2, {1}, 6'000, 16, 0.4, 1, 1}}},
      ClassModel{38.4,
                 1.0,
                 1,
                 milliseconds(1500),
                 seconds(15),
                 seconds(6),
                 0.42,
                 0.064,
                 milliseconds(50),
                 {{0, {}, 3'000'000, 1.5, 0.6, 0.4, 1},
                  {0, {}, 8'000, 1, 0, 1, 0.3},
                  {1, {1}, 60'000, 8, 0, 1, 1},
                  {2, {2}, 6'000, 16, 0.4, 1, 1}}}};
  return classes;
}

struct Location {
  std::size_t service = 0;
  std::size_t zone = 0;
};

std::size_t IndexOf(const Location& location) {
  return location.service * kZones + location.zone;
}

RoomResource ResourceOf(const Location& location, RoomKind kind) {
  return {ServiceId(Services()[location.service].name),
          ZoneId("z" + std::to_string(location.zone)), kind};
}

class Crowd {
 public:
  explicit Crowd(const CrowdSettings& settings)
      : settings_(settings), random_(settings.seed), hosts_(settings.hosts) {
    for (std::size_t service = 0; service < kServices; ++service)
      for (std::size_t zone = 0; zone < kZones; ++zone) AddQueue(service, zone);
    double total = 0;
    for (std::size_t team = 0; team < kTeams; ++team) {
      total += std::pow(static_cast<double>(team + 1), -kTeamSkew);
      team_sums_.push_back(total);
    }
  }

  CrowdResult Run() {
    for (std::size_t i = 0; i < Classes().size(); ++i) ScheduleArrival(i);
    if (settings_.flood > 0) ScheduleFlood();
    Tick();
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      // Hosts do not speak all at once.
      const auto phase = [&](Duration period) {
        return TimePoint(Duration(static_cast<std::int64_t>(
            random_.Below(static_cast<std::uint64_t>(period.count())))));
      };
      At(phase(kLoadPeriod), [this, host] { AskForLoads(host); });
      At(phase(kPlanPeriod), [this, host] { TellPlans(host); });
    }
    if (settings_.restart_at > Duration::zero())
      At(TimePoint(settings_.restart_at), [this] { Restart(); });
    while (!events_.empty() && events_.begin()->first < kEnd) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    return Result();
  }

 private:
  struct Request {
    std::string id;
    std::size_t kind = 0;
    std::size_t host = 0;
    TeamId team;
    std::size_t team_index = 0;
    TimePoint first_arrived_at{};
    TimePoint arrived_at{};
    int tries = 1;
    std::vector<std::size_t> counts;
    std::optional<StagePlan> plan;
    std::size_t zone = 0;
    RoomRank rank;
    bool is_counted = false;
    bool has_ended = false;
    double server_seconds = 0;
    std::vector<std::pair<std::size_t, ResultHandle>> results;  // by queue
    std::vector<std::uint64_t> result_bytes;
    std::vector<TimePoint> held_since;
  };
  using RequestPointer = std::shared_ptr<Request>;

  struct QueueLoad {
    double capacity = 0;
    std::array<std::size_t, 4> waiting{};
    std::array<RoomLoad, kRoomKinds> room;
    TimePoint measured_at{Duration(-1'000'000)};
  };
  struct Server {
    std::unique_ptr<ServerRecord> record;
    TimePoint busy_until{};
  };
  struct Queue {
    Location location;
    std::unique_ptr<BatchScheduler> scheduler;
    std::vector<Server> servers;
    std::map<ItemId, std::pair<RequestPointer, ItemPosition>> items;
    RoomBoard board;
    QueueLoad load;
    TimePoint allotted_at{Duration(-1'000'000)};
    std::uint64_t incarnation = 0;
  };
  struct Host {
    std::array<QueueLoad, kServices * kZones> loads;
    RoomPlans plans;
    TimePoint told_at{};
    UsualItems usual;
  };

  void At(TimePoint at, std::function<void()> action) {
    events_.emplace(std::max(at, now_), std::move(action));
  }

  bool UsesRoom() const { return settings_.policy == CrowdPolicy::kRoom; }

  void AddQueue(std::size_t service, std::size_t zone) {
    Queue& queue = queues_[service * kZones + zone];
    queue.location = {service, zone};
    queue.scheduler =
        std::make_unique<BatchScheduler>(Services()[service].limits);
    for (std::size_t i = 0; i < Services()[service].servers[zone]; ++i) {
      Server server;
      server.record = std::make_unique<ServerRecord>();
      server.record->entry.id =
          ServerId(std::string(Services()[service].name) + "-" +
                   std::to_string(zone) + "-" + std::to_string(i));
      server.record->entry.service = ServiceId(Services()[service].name);
      queue.servers.push_back(std::move(server));
    }
  }

  bool IsAway(std::size_t zone) const {
    return settings_.is_zone_away && zone == kAwayZone && now_ >= kAwayFrom &&
           now_ < kAwayUntil;
  }

  std::vector<ServerRecord*> ServersOf(const Queue& queue) const {
    std::vector<ServerRecord*> servers;
    if (IsAway(queue.location.zone)) return servers;
    for (const Server& server : queue.servers)
      servers.push_back(server.record.get());
    return servers;
  }

  // --- Arrivals -------------------------------------------------------------

  void ScheduleArrival(std::size_t kind) {
    const ClassModel& model = Classes()[kind];
    const bool is_crowd = now_ >= kCrowdFrom && now_ < kCrowdUntil;
    const double rate =
        model.per_second * settings_.load * (is_crowd ? model.crowd : 1.0);
    const TimePoint next =
        now_ +
        random_.Exponential(Duration(static_cast<std::int64_t>(1e6 / rate)));
    if (next >= kArrivalsEnd) return;
    At(next, [this, kind] {
      const double point = random_.Unit() * team_sums_.back();
      const auto team = static_cast<std::size_t>(
          std::lower_bound(team_sums_.begin(), team_sums_.end(), point) -
          team_sums_.begin());
      Create(kind, team);
      ScheduleArrival(kind);
    });
  }

  // The flooding team is one beyond the others.
  void ScheduleFlood() {
    double rate = 0;
    for (const ClassModel& model : Classes()) rate += model.per_second;
    const TimePoint next =
        now_ + random_.Exponential(Duration(
                   static_cast<std::int64_t>(1e6 / (rate * settings_.flood))));
    if (next >= kArrivalsEnd) return;
    At(next, [this] {
      Create(random_.Below(Classes().size()), kTeams);
      ScheduleFlood();
    });
  }

  void Create(std::size_t kind, std::size_t team) {
    auto request = std::make_shared<Request>();
    request->kind = kind;
    request->team_index = team;
    request->team = TeamId("t" + std::to_string(team));
    request->first_arrived_at = now_;
    request->is_counted = now_ >= kMeasuredFrom && now_ < kMeasuredUntil;
    for (const StageModel& stage : Classes()[kind].stages) {
      const double items =
          stage.items *
          std::exp(stage.spread * Normal() - stage.spread * stage.spread / 2);
      const bool has_stage = random_.Unit() < stage.share;
      request->counts.push_back(
          has_stage ? static_cast<std::size_t>(
                          std::clamp(std::round(items), 1.0, 4 * stage.items))
                    : 0);
    }
    if (request->is_counted) {
      owed_ += Classes()[kind].worth;
      owed_by_class_[kind] += Classes()[kind].worth;
      owed_by_team_[team] += Classes()[kind].worth;
      ++result_.requests;
    }
    Arrive(request);
  }

  double Normal() {
    return std::sqrt(-2 * std::log(1 - random_.Unit())) *
           std::cos(2 * 3.14159265358979 * random_.Unit());
  }

  void Arrive(const RequestPointer& request) {
    request->id = "r" + std::to_string(++last_request_);
    request->arrived_at = now_;
    request->has_ended = false;
    request->host = random_.Below(hosts_.size());
    std::vector<Stage> stages;
    for (const StageModel& model : Classes()[request->kind].stages)
      stages.push_back({ServiceId(Services()[model.service].name),
                        model.dependencies, model.bytes});
    request->plan.emplace(std::move(stages), request->counts);
    Host& host = hosts_[request->host];
    for (std::size_t i = 0; i < request->counts.size(); ++i)
      if (request->counts[i] > 0)
        host.usual.Observe(std::to_string(request->kind), i,
                           static_cast<double>(request->counts[i]));
    if (request->plan->IsDone()) return OnStagesDone(request);
    const Duration leave = Classes()[request->kind].leave;
    At(now_ + leave, [this, request, id = request->id] {
      if (request->id == id) Fail(request, Duration::zero(), false);
    });
    if (UsesRoom()) {
      AdmitByRoom(request);
    } else {
      AdmitByWait(request);
    }
  }

  bool HasServers(std::size_t zone) const { return !IsAway(zone); }

  Duration CallTime(std::size_t service, std::size_t items) const {
    const BatchLimits& limits = Services()[service].limits;
    return limits.call_time +
           limits.item_time * static_cast<std::int64_t>(items);
  }

  Duration MinimumTimeFrom(const Request& request, std::size_t stage) const {
    Duration longest = Duration::zero();
    for (std::size_t i = stage + 1; i < request.counts.size(); ++i) {
      const auto& before = request.plan->stage(i).dependencies;
      if (request.counts[i] == 0 ||
          std::find(before.begin(), before.end(), stage) == before.end())
        continue;
      longest = std::max(
          longest, CallTime(Classes()[request.kind].stages[i].service, 1) +
                       MinimumTimeFrom(request, i));
    }
    return longest;
  }

  Duration UsualTimeFrom(const Request& request, std::size_t stage) const {
    Duration longest = Duration::zero();
    for (std::size_t i = stage + 1; i < request.counts.size(); ++i) {
      const auto& before = request.plan->stage(i).dependencies;
      if (request.counts[i] == 0 ||
          std::find(before.begin(), before.end(), stage) == before.end())
        continue;
      const std::size_t service = Classes()[request.kind].stages[i].service;
      longest = std::max(
          longest,
          CallTime(service, (Services()[service].limits.items + 1) / 2) +
              UsualTimeFrom(request, i));
    }
    return longest;
  }

  bool IsKnown(const QueueLoad& load) const {
    return now_ - load.measured_at <= kLoadAge;
  }

  // As the gateway does without the setting.
  void AdmitByWait(const RequestPointer& request) {
    const Host& host = hosts_[request->host];
    const ClassModel& model = Classes()[request->kind];
    const std::size_t priority =
        settings_.policy == CrowdPolicy::kPriorityAndSlack
            ? static_cast<std::size_t>(model.priority)
            : 0;
    Duration best = Duration::max();
    for (std::size_t step = 0; step < kZones; ++step) {
      const std::size_t zone = (step + random_.Below(kZones)) % kZones;
      if (!HasServers(zone)) continue;
      Duration wait = Duration::zero();
      for (std::size_t i = 0; i < request->counts.size(); ++i) {
        if (request->counts[i] == 0) continue;
        const std::size_t service = model.stages[i].service;
        const QueueLoad& load = host.loads[service * kZones + zone];
        if (IsKnown(load))
          wait += ExpectedWait(Services()[service].limits, load.capacity,
                               load.waiting[priority]);
      }
      if (wait >= best) continue;
      best = wait;
      request->zone = zone;
    }
    Duration least = Duration::zero();
    for (std::size_t i = 0; i < request->counts.size(); ++i)
      if (request->counts[i] > 0)
        least = std::max(least, CallTime(model.stages[i].service, 1) +
                                    MinimumTimeFrom(*request, i));
    if (best != Duration::max() && least + best >= model.leave)
      return Fail(request, RetryAfter(request), true);
    SubmitReady(request);
  }

  Duration RetryAfter(const RequestPointer& request) {
    const Duration left =
        request->arrived_at + Classes()[request->kind].deadline - now_;
    return random_.Jitter(std::min(kMinimumRetryAfter, left / 3), 0.5);
  }

  // Of the stages that are not submitted yet.
  RoomQuestion QuestionFor(const Request& request, std::size_t zone,
                           std::size_t from) const {
    const Host& host = hosts_[request.host];
    const ClassModel& model = Classes()[request.kind];
    RoomQuestion question;
    std::vector<std::size_t> step_of(request.counts.size(), 0);
    std::vector<bool> has_step(request.counts.size(), false);
    for (std::size_t i = from; i < request.counts.size(); ++i) {
      if (request.counts[i] == 0) continue;
      const StageModel& stage = model.stages[i];
      RoomStep step;
      for (const std::size_t before : stage.dependencies)
        if (has_step[before]) step.dependencies.push_back(step_of[before]);
      step.time = CallTime(stage.service,
                           (Services()[stage.service].limits.items + 1) / 2);
      const QueueLoad& load = host.loads[stage.service * kZones + zone];
      if (IsKnown(load)) {
        const auto items = static_cast<double>(request.counts[i]);
        const double usual =
            host.usual.Get(std::to_string(request.kind), i, items);
        const auto bytes = static_cast<double>(stage.bytes);
        step.needs = {{&load.room[0], items, usual},
                      {&load.room[1], items * bytes, usual * bytes}};
      }
      step_of[i] = question.steps.size();
      has_step[i] = true;
      question.steps.push_back(std::move(step));
    }
    question.rest = model.rest;
    question.priority = model.priority;
    question.worth = model.worth;
    question.team = request.team;
    question.objective = request.arrived_at + model.objective - now_;
    question.deadline = request.arrived_at + model.leave - now_;
    return question;
  }

  void AdmitByRoom(const RequestPointer& request) {
    std::optional<RoomAnswer> best;
    const std::size_t first = random_.Below(kZones);
    for (std::size_t step = 0; step < kZones; ++step) {
      const std::size_t zone = (step + first) % kZones;
      if (!HasServers(zone)) continue;
      const RoomAnswer answer = DecideRoom(QuestionFor(*request, zone, 0));
      const bool is_better =
          !best || answer.verdict < best->verdict ||
          (answer.verdict == best->verdict && answer.finish < best->finish);
      if (!is_better) continue;
      best = answer;
      request->zone = zone;
    }
    if (!best || best->verdict == RoomVerdict::kNone)
      return Fail(request, Spread(best ? best->room_after : seconds(1)), true);
    request->rank = best->rank;
    Host& host = hosts_[request->host];
    const ClassModel& model = Classes()[request->kind];
    for (std::size_t i = 0; i < request->counts.size(); ++i) {
      if (request->counts[i] == 0) continue;
      const Location location{model.stages[i].service, request->zone};
      const auto items = static_cast<double>(request->counts[i]);
      const std::array<double, kRoomKinds> work{
          items, items * static_cast<double>(model.stages[i].bytes)};
      for (std::size_t kind = 0; kind < kRoomKinds; ++kind) {
        host.loads[IndexOf(location)].room[kind].Add(request->rank, work[kind]);
        host.plans.Add(request->id, i,
                       {ResourceOf(location, static_cast<RoomKind>(kind)),
                        request->rank, request->team, work[kind]});
      }
    }
    SubmitReady(request);
  }

  Duration Spread(Duration room_after) {
    const Duration least = std::max<Duration>(room_after, milliseconds(200));
    return least + Duration(static_cast<std::int64_t>(
                       static_cast<double>(least.count()) * random_.Unit()));
  }

  // --- Stages ---------------------------------------------------------------

  void SubmitReady(const RequestPointer& request) {
    const ClassModel& model = Classes()[request->kind];
    if (!HasServers(request->zone)) request->zone = 0;
    std::set<std::size_t> queues;
    for (const ItemPosition& position : request->plan->TakeReady()) {
      const StageModel& stage = model.stages[position.stage];
      const Location location{stage.service, request->zone};
      if (position.index == 0) {
        hosts_[request->host].plans.RemoveStage(request->id, position.stage);
      }
      QueuedItem item;
      item.id = ItemId(++last_item_);
      item.request = request->id;
      item.position = position;
      item.result_bytes = stage.bytes;
      item.team = request->team;
      item.rank = request->rank;
      item.priority =
          settings_.policy == CrowdPolicy::kPriorityAndSlack || UsesRoom()
              ? model.priority
              : 0;
      const TimePoint objective = request->arrived_at + model.objective;
      const TimePoint slack_end =
          objective - UsualTimeFrom(*request, position.stage) - model.rest;
      switch (settings_.policy) {
        case CrowdPolicy::kFirstCome:
          item.soft_deadline = request->arrived_at + seconds(1000);
          break;
        case CrowdPolicy::kEarliestDeadline:
          item.soft_deadline = objective;
          break;
        case CrowdPolicy::kLeastSlack:
        case CrowdPolicy::kPriorityAndSlack:
        case CrowdPolicy::kRoom:
          item.soft_deadline = slack_end;
          break;
      }
      item.deadline = request->arrived_at + model.leave -
                      MinimumTimeFrom(*request, position.stage) - model.rest;
      item.queued_at = now_;
      At(now_ + kMessageTime,
         [this, request, item = std::move(item), index = IndexOf(location)] {
           if (request->has_ended || request->id != item.request) return;
           Queue& queue = queues_[index];
           queue.items[item.id] = {request, item.position};
           queue.scheduler->Add(item, now_);
           queue.allotted_at = TimePoint{Duration(-1'000'000)};
           At(now_ + kMessageTime, [this, index] { Dispatch(queues_[index]); });
         });
    }
  }

  void Dispatch(Queue& queue) {
    const std::vector<ServerRecord*> servers = ServersOf(queue);
    const bool is_free = queue.scheduler->HasFreeServer(servers, now_);
    if (!is_free && now_ - queue.allotted_at < kMeasurePeriod) return;
    queue.allotted_at = now_;
    queue.scheduler->SetAllotsRoom(UsesRoom());
    if (UsesRoom() && !servers.empty()) {
      const auto supplies = queue.scheduler->Supplies(servers, now_);
      for (const RefusedItem& refused :
           queue.scheduler->AllotRoom(supplies, {}, now_))
        Refuse(queue, refused.item, refused.room_after);
    }
    const double capacity = queue.scheduler->Capacity(servers, now_);
    for (const QueuedItem& item :
         queue.scheduler->TakeInfeasible(capacity, now_))
      Refuse(queue, item, Duration::zero());
    if (servers.empty()) return;
    for (BatchCall& call : queue.scheduler->TakeCalls(servers, now_))
      Start(queue, std::move(call));
  }

  void Refuse(Queue& queue, const QueuedItem& item, Duration room_after) {
    const auto found = queue.items.find(item.id);
    if (found == queue.items.end()) return;
    const RequestPointer request = found->second.first;
    queue.items.erase(found);
    At(now_ + kMessageTime, [this, request, id = item.request, room_after] {
      if (request->id != id) return;
      Fail(request, UsesRoom() ? Spread(room_after) : RetryAfter(request),
           true);
    });
  }

  void Start(Queue& queue, BatchCall call) {
    std::erase_if(call.items, [&](const QueuedItem& item) {
      return !queue.items.contains(item.id);
    });
    if (call.items.empty()) return queue.scheduler->CancelCall(call.server);
    const auto server = std::find_if(
        queue.servers.begin(), queue.servers.end(), [&](const Server& known) {
          return known.record->entry.id == call.server;
        });
    const BatchLimits& limits = Services()[queue.location.service].limits;
    double ms = static_cast<double>(limits.call_time.count());
    for (const QueuedItem& item : call.items) {
      const RequestPointer& request = queue.items.at(item.id).first;
      ms += static_cast<double>(limits.item_time.count()) *
            Classes()[request->kind].stages[item.position.stage].work;
    }
    const Duration time(static_cast<std::int64_t>(
        ms * settings_.server_slowness * (0.95 + 0.1 * random_.Unit())));
    const TimePoint end =
        std::max(now_ + kMessageTime, server->busy_until) + time;
    server->busy_until = end;
    At(end + kMessageTime,
       [this, &queue, call = std::move(call), sent_at = now_, time,
        incarnation = queue.incarnation] {
         if (queue.incarnation == incarnation) End(queue, call, sent_at, time);
       });
  }

  void End(Queue& queue, const BatchCall& call, TimePoint sent_at,
           Duration time) {
    queue.scheduler->EndCall(call.server, call.items.size(), now_ - sent_at,
                             now_);
    const double share = static_cast<double>(time.count()) / 1e6 /
                         static_cast<double>(call.items.size());
    for (const QueuedItem& item : call.items) {
      const auto found = queue.items.find(item.id);
      if (found == queue.items.end()) {
        wasted_seconds_ += share;
        continue;
      }
      const auto [request, position] = found->second;
      queue.items.erase(found);
      if (request->id != item.request || request->has_ended) {
        wasted_seconds_ += share;
        continue;
      }
      queue.scheduler->AddResultBytes(
          call.server, static_cast<std::int64_t>(item.result_bytes));
      request->server_seconds += share;
      const ResultHandle handle{"h" + std::to_string(item.id.value()),
                                call.server};
      request->results.emplace_back(IndexOf(queue.location), handle);
      request->result_bytes.push_back(item.result_bytes);
      request->held_since.push_back(now_);
      request->plan->Complete(position, handle);
      if (request->plan->IsDone()) {
        At(now_ + kMessageTime, [this, request = request, id = request->id] {
          if (request->id == id) OnStagesDone(request);
        });
      } else {
        At(now_ + kMessageTime, [this, request = request, id = request->id] {
          if (request->id == id && !request->has_ended) SubmitReady(request);
        });
      }
      // Hosts with items here get the load without asking.
      SendLoad(queue, request->host);
    }
    Dispatch(queue);
  }

  void OnStagesDone(const RequestPointer& request) {
    if (request->has_ended) return;
    const double slow = random_.Unit() < 0.1 ? 4.0 : 1.0;
    const auto rest = Duration(static_cast<std::int64_t>(
        static_cast<double>(Classes()[request->kind].rest.count()) * slow *
        std::exp(0.3 * Normal())));
    At(now_ + rest, [this, request, id = request->id] {
      if (request->id == id) Serve(request);
    });
  }

  void Serve(const RequestPointer& request) {
    if (request->has_ended) return;
    request->has_ended = true;
    Release(*request);
    const ClassModel& model = Classes()[request->kind];
    const Duration taken = now_ - request->first_arrived_at;
    if (taken > model.deadline) {
      wasted_seconds_ += request->server_seconds;
      return;
    }
    if (!request->is_counted) return;
    const bool is_late = taken > model.objective;
    const double worth = is_late ? model.late_worth : model.worth;
    earned_ += worth;
    earned_by_class_[request->kind] += worth;
    earned_by_team_[request->team_index] += worth;
    ++served_;
    if (is_late) ++result_.late;
  }

  void Fail(const RequestPointer& request, Duration retry_after,
            bool may_return) {
    if (request->has_ended) return;
    request->has_ended = true;
    wasted_seconds_ += request->server_seconds;
    request->server_seconds = 0;
    Release(*request);
    hosts_[request->host].plans.Remove(request->id);
    for (Queue& queue : queues_) {
      std::vector<ItemId> items;
      for (const auto& [id, item] : queue.items)
        if (item.first == request) items.push_back(id);
      queue.scheduler->Remove(items);
      for (const ItemId& id : items) queue.items.erase(id);
    }
    if (!may_return) return;
    if (request->is_counted) {
      ++result_.refused;
      refusal_ms_.push_back(
          static_cast<double>((now_ - request->arrived_at).count()) / 1000.0);
    }
    const TimePoint back = now_ + retry_after;
    if (request->tries > 1 ||
        back >= request->first_arrived_at + Classes()[request->kind].deadline)
      return;
    ++request->tries;
    At(back, [this, request] { Arrive(request); });
  }

  void Release(Request& request) {
    for (std::size_t i = 0; i < request.results.size(); ++i) {
      Queue& queue = queues_[request.results[i].first];
      queue.scheduler->AddResultBytes(
          request.results[i].second.server,
          -static_cast<std::int64_t>(request.result_bytes[i]));
      queue.scheduler->ObserveHold(now_ - request.held_since[i]);
    }
    request.results.clear();
    request.result_bytes.clear();
    request.held_since.clear();
  }

  // --- Messages -------------------------------------------------------------

  void Measure(Queue& queue) {
    if (now_ - queue.load.measured_at < kMeasurePeriod) return;
    const std::vector<ServerRecord*> servers = ServersOf(queue);
    queue.load.measured_at = now_;
    queue.load.capacity = queue.scheduler->Capacity(servers, now_);
    for (std::size_t i = 0; i < queue.load.waiting.size(); ++i)
      queue.load.waiting[i] = queue.scheduler->ItemsAhead(static_cast<int>(i));
    if (!UsesRoom()) return;
    queue.board.RemoveOlder(now_ - kPlanAge);
    const auto supplies = queue.scheduler->Supplies(servers, now_);
    for (std::size_t kind = 0; kind < kRoomKinds; ++kind) {
      const RoomResource resource =
          ResourceOf(queue.location, static_cast<RoomKind>(kind));
      std::vector<RoomWork> waiting;
      queue.scheduler->AppendQueued(resource, waiting);
      queue.board.AppendPlanned(resource, waiting);
      queue.load.room[kind] = MeasureRoom(waiting, supplies[kind], {});
    }
  }

  void SendLoad(Queue& queue, std::size_t host) {
    if (random_.Unit() < settings_.message_loss) return;
    Measure(queue);
    At(now_ + kMessageTime,
       [this, host, load = queue.load, index = IndexOf(queue.location)] {
         QueueLoad& known = hosts_[host].loads[index];
         if (load.measured_at > known.measured_at) known = load;
       });
  }

  void AskForLoads(std::size_t host) {
    for (Queue& queue : queues_) SendLoad(queue, host);
    At(now_ + kLoadPeriod, [this, host] { AskForLoads(host); });
  }

  void TellPlans(std::size_t host) {
    Host& teller = hosts_[host];
    const bool is_due =
        teller.plans.TakeChanged() ||
        (!teller.plans.empty() && now_ - teller.told_at >= seconds(1));
    if (UsesRoom() && is_due) {
      teller.told_at = now_;
      const std::vector<RoomWork> totals = teller.plans.Totals();
      for (Queue& queue : queues_) {
        if (random_.Unit() < settings_.message_loss) continue;
        std::vector<RoomWork> planned;
        for (const RoomWork& work : totals)
          for (std::size_t kind = 0; kind < kRoomKinds; ++kind)
            if (work.resource ==
                ResourceOf(queue.location, static_cast<RoomKind>(kind)))
              planned.push_back(work);
        At(now_ + kMessageTime,
           [this, &queue, host, planned = std::move(planned)] {
             queue.board.Set("h" + std::to_string(host), planned, now_);
           });
      }
    }
    At(now_ + kPlanPeriod, [this, host] { TellPlans(host); });
  }

  // Another host takes the queues over: it has the items that waited, and those
  // of the running calls again, but knows nothing else.
  void Restart() {
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      Queue& queue = queues_[zone];
      std::vector<QueuedItem> items = queue.scheduler->TakeAll();
      queue.scheduler = std::make_unique<BatchScheduler>(Services()[0].limits);
      queue.board = RoomBoard();
      ++queue.incarnation;
      std::set<ItemId> queued;
      for (QueuedItem& item : items) {
        queued.insert(item.id);
        queue.scheduler->Add(std::move(item));
      }
      for (const auto& [id, item] : queue.items) {
        if (queued.contains(id)) continue;
        const Request& request = *item.first;
        const ClassModel& model = Classes()[request.kind];
        QueuedItem again;
        again.id = id;
        again.request = request.id;
        again.position = item.second;
        again.result_bytes = model.stages[item.second.stage].bytes;
        again.team = request.team;
        again.rank = request.rank;
        again.priority = model.priority;
        again.soft_deadline = request.arrived_at + model.objective -
                              UsualTimeFrom(request, item.second.stage) -
                              model.rest;
        again.deadline = request.arrived_at + model.leave -
                         MinimumTimeFrom(request, item.second.stage) -
                         model.rest;
        queue.scheduler->Add(std::move(again));
      }
    }
  }

  void Tick() {
    for (Queue& queue : queues_) Dispatch(queue);
    At(now_ + kTickPeriod, [this] { Tick(); });
  }

  CrowdResult Result() {
    result_.worth = earned_ / owed_;
    result_.served =
        static_cast<double>(served_) /
        static_cast<double>(std::max<std::size_t>(result_.requests, 1));
    for (std::size_t i = 0; i < result_.worth_by_class.size(); ++i)
      result_.worth_by_class[i] = earned_by_class_[i] / owed_by_class_[i];
    result_.least_team = 1;
    for (std::size_t team = 0; team < kTeams; ++team)
      result_.least_team = std::min(
          result_.least_team, earned_by_team_[team] / owed_by_team_[team]);
    result_.wasted_seconds = wasted_seconds_;
    std::sort(refusal_ms_.begin(), refusal_ms_.end());
    if (!refusal_ms_.empty())
      result_.refusal_ms = refusal_ms_[refusal_ms_.size() * 95 / 100];
    return result_;
  }

  CrowdSettings settings_;
  Random random_;
  TimePoint now_{};
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<Host> hosts_;
  std::array<Queue, kServices * kZones> queues_;
  std::vector<double> team_sums_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_item_ = 0;
  double owed_ = 0;
  double earned_ = 0;
  std::array<double, 3> owed_by_class_{};
  std::array<double, 3> earned_by_class_{};
  std::array<double, kTeams + 1> owed_by_team_{};
  std::array<double, kTeams + 1> earned_by_team_{};
  std::size_t served_ = 0;
  double wasted_seconds_ = 0;
  std::vector<double> refusal_ms_;
  CrowdResult result_;
};

}  // namespace

CrowdResult SimulateCrowd(const CrowdSettings& settings) {
  return Crowd(settings).Run();
}

}  // namespace lovagecleat::routing
