#include "utilities/capacity/fleet.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace lovagecleat::capacity {

namespace {

using configuration::Configuration;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMessageDelay = milliseconds(1);
constexpr Duration kTableDelay = milliseconds(5);
constexpr Duration kServiceTime = milliseconds(20);
constexpr Duration kTokenInterval = milliseconds(5);
constexpr Duration kInventoryInterval = seconds(1);
constexpr std::uint32_t kColdLimit = 8;
constexpr std::uint32_t kWarmLimit = 64;
constexpr const char* kServices[] = {"plain", "engine", "once", "encoder"};

Duration ThreadProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(
                                    std::chrono::nanoseconds(time.tv_nsec));
}

std::string NumberedName(const std::string& prefix, std::uint64_t number) {
  return prefix + std::to_string(number);
}

}  // namespace

Fleet::Fleet(const FleetSize& size)
    : wall_start_(hours(24 * 365 * 50)),
      teams_(size.teams),
      classes_(size.classes) {
  BuildInventory(size);
  const std::string document = WriteConfiguration(BuildConfiguration(size));
  configuration_bytes_ = document.size();
  rows_[policy::kConfigurationRowKey] = {1, document};
  for (std::size_t i = 0; i < inventory_.hosts.size(); ++i) {
    policy::CoreSettings settings;
    settings.host = inventory_.hosts[i].id;
    settings.zone = inventory_.hosts[i].zone;
    settings.seed = i + 1;
    host_index_[settings.host] = i;
    hosts_.push_back(
        {settings.host,
         std::make_unique<policy::Core>(settings, now_, wall_start_), now_, 0});
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    Schedule(now_, [this, i] { Deliver(i, policy::WakeUp{}); });
  }
  SendInventory();
}

Fleet::~Fleet() = default;

void Fleet::BuildInventory(const FleetSize& size) {
  for (int zone = 0; zone < size.zones; ++zone) {
    const ZoneId zone_id(NumberedName("zone-", zone));
    for (int host = 0; host < size.hosts_per_zone; ++host) {
      const HostId id(NumberedName(zone_id.value() + "-host-", host));
      inventory_.hosts.push_back({id, zone_id, "127.0.0.1:1"});
    }
    for (int server = 0; server < size.servers_per_zone; ++server) {
      policy::ServerInfo info;
      info.id = ServerId(NumberedName(zone_id.value() + "-server-", server));
      info.service = ServiceId(kServices[server % std::size(kServices)]);
      info.zone = zone_id;
      info.address = "127.0.0.1:1";
      info.cold_limit = kColdLimit;
      info.warm_limit = kWarmLimit;
      inventory_.servers.push_back(std::move(info));
    }
  }
}

Configuration Fleet::BuildConfiguration(const FleetSize& size) const {
  using configuration::Idempotency;
  using configuration::ServiceKind;
  Configuration result;
  result.revision = 1;
  for (const char* const name : kServices) {
    configuration::Service service{ServiceId(name), ServiceKind::kPlain,
                                   Idempotency::kIdempotent,
                                   configuration::FencingSupport::kIgnored};
    if (service.id == ServiceId(kEngineClass)) {
      service.kind = ServiceKind::kEngine;
    }
    if (service.id == ServiceId(kOnceClass)) {
      service.idempotency = Idempotency::kNonIdempotent;
    }
    const bool is_engine = service.kind == ServiceKind::kEngine;
    result.services.push_back(service);
    result.pipelines.push_back(
        {PipelineId(name),
         {{"only", ServiceId(name), is_engine ? kTokensPerAnswer : 0}}});
    result.classes.push_back(
        {ClassId(name), PipelineId(name), {{0, seconds(10)}}});
  }
  for (int i = static_cast<int>(result.classes.size()); i < size.classes; ++i) {
    result.classes.push_back({ClassId(NumberedName("class-", i)),
                              PipelineId(kPlainClass),
                              {{0, seconds(10)}, {12, seconds(5)}}});
  }
  for (int zone = 0; zone < size.zones; ++zone) {
    result.zones.push_back({ZoneId(NumberedName("zone-", zone))});
  }
  return result;
}

// --- Time -------------------------------------------------------------------

void Fleet::Schedule(TimePoint due, Action action) {
  actions_.emplace(due, std::move(action));
}

void Fleet::Run(Duration span) {
  const TimePoint end = now_ + span;
  while (!actions_.empty() && actions_.begin()->first <= end) {
    const auto first = actions_.begin();
    now_ = std::max(now_, first->first);
    const Action action = std::move(first->second);
    actions_.erase(first);
    action();
  }
  now_ = end;
}

void Fleet::Deliver(std::size_t host, const policy::Event& event) {
  const WallTime wall = wall_start_ + now_.time_since_epoch();
  const Duration before = ThreadProcessorTime();
  const std::vector<policy::Command> commands =
      hosts_[host].core->Handle(event, now_, wall);
  totals_.processor_time += ThreadProcessorTime() - before;
  for (const policy::Command& command : commands) {
    std::visit([&](const auto& one) { Execute(host, one); }, command);
  }
  ScheduleWakeUp(host);
}

void Fleet::ScheduleWakeUp(std::size_t host) {
  Host& one = hosts_[host];
  // Virtual time must advance even if the core is due again immediately.
  const TimePoint due =
      std::max(one.core->NextWakeUp(), now_ + milliseconds(1));
  if (one.wake_up > now_ && one.wake_up <= due) return;
  one.wake_up = due;
  const std::uint64_t generation = ++one.wake_up_generation;
  Schedule(due, [this, host, generation] {
    if (hosts_[host].wake_up_generation != generation) return;
    Deliver(host, policy::WakeUp{});
  });
}

void Fleet::SendInventory() {
  ++inventory_.sequence;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    Schedule(now_,
             [this, i] { Deliver(i, policy::InventoryArrived{inventory_}); });
  }
  Schedule(now_ + kInventoryInterval, [this] { SendInventory(); });
}

// --- Load -------------------------------------------------------------------

void Fleet::OfferLoad(const std::string& request_class, double per_second) {
  ++offer_generation_;
  if (per_second <= 0) return;
  offered_class_ = request_class;
  offer_interval_ =
      std::chrono::duration_cast<Duration>(seconds(1) / per_second);
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    ScheduleNextRequest(i, offer_generation_);
  }
}

void Fleet::ScheduleNextRequest(std::size_t host, std::uint64_t generation) {
  Schedule(now_ + offer_interval_, [this, host, generation] {
    if (generation != offer_generation_) return;
    policy::CallerRequestArrived request;
    request.call = CallId(++last_call_id_);
    request.request_class = ClassId(offered_class_);
    const auto generated_classes = static_cast<std::uint64_t>(classes_) -
                                   std::min<std::uint64_t>(classes_, 4);
    if (offered_class_ == kPlainClass && generated_classes > 0) {
      request.request_class = ClassId(
          NumberedName("class-", 4 + last_call_id_ % generated_classes));
    }
    request.team = TeamId(NumberedName("team-", last_call_id_ % teams_));
    request.input = R"({"text": "dish 12 loses lock"})";
    if (offered_class_ == kOnceClass) {
      request.idempotency_key = NumberedName("key-", last_call_id_);
    }
    if (offered_class_ == kEngineClass) {
      request.delivery = policy::Delivery::kStream;
    }
    Deliver(host, request);
    ScheduleNextRequest(host, generation);
  });
}

Duration Fleet::ChangeTarget(Duration timeout) {
  const TimePoint start = now_;
  policy::OperatorChangeSubmitted change;
  change.call = CallId(++last_call_id_);
  change.change_id = NumberedName("change-", last_call_id_);
  change.operator_name = "capacity";
  change.expected_revision = hosts_.front().core->configuration_revision();
  change.change = configuration::SetTargets{
      ClassId(kPlainClass), {{0, milliseconds(100 + last_call_id_ % 1000)}}};
  const std::uint64_t target_revision = change.expected_revision + 1;
  Deliver(0, change);
  const auto is_behind = [target_revision](const Host& host) {
    return host.core->configuration_revision() < target_revision;
  };
  while (now_ - start < timeout &&
         std::any_of(hosts_.begin(), hosts_.end(), is_behind)) {
    Run(milliseconds(1));
  }
  return now_ - start;
}

// --- Commands ---------------------------------------------------------------

void Fleet::FinishAttempt(std::size_t host, AttemptId attempt,
                          std::string output) {
  if (open_attempts_.erase({host, attempt}) == 0) return;
  policy::BackendFinished finished;
  finished.attempt = attempt;
  finished.output = std::move(output);
  finished.report = policy::ServerReport{1, policy::Warmth::kWarm, 1, {}};
  Deliver(host, finished);
}

void Fleet::Execute(std::size_t host, const policy::StartBackendCall& command) {
  const AttemptId attempt = command.attempt;
  open_attempts_.insert({host, attempt});
  for (std::uint32_t i = 0; i < command.max_tokens; ++i) {
    Schedule(now_ + kServiceTime + i * kTokenInterval,
             [this, host, attempt, i] {
               if (!open_attempts_.contains({host, attempt})) return;
               Deliver(host, policy::BackendToken{attempt, i, " word"});
             });
  }
  Schedule(now_ + kServiceTime + command.max_tokens * kTokenInterval,
           [this, host, attempt] {
             FinishAttempt(host, attempt, R"({"text": "ok"})");
           });
}

void Fleet::Execute(std::size_t host,
                    const policy::CancelBackendCall& command) {
  if (open_attempts_.erase({host, command.attempt}) == 0) return;
  policy::BackendFinished finished;
  finished.attempt = command.attempt;
  finished.outcome = policy::AttemptOutcome::kCancelled;
  Schedule(now_, [this, host, finished] { Deliver(host, finished); });
}

void Fleet::Execute(std::size_t host, const policy::PollLoad& command) {
  ++totals_.load_polls;
  const policy::LoadReported report{
      command.server, {1, policy::Warmth::kWarm, 0, milliseconds(150)}};
  Schedule(now_ + kMessageDelay,
           [this, host, report] { Deliver(host, report); });
}

void Fleet::Execute(std::size_t /*host*/,
                    const policy::SendPeerMessage& command) {
  ++totals_.messages;
  totals_.bytes += command.message.ByteSizeLong();
  const auto target = host_index_.find(command.host);
  if (target == host_index_.end()) return;
  Schedule(now_ + kMessageDelay,
           [this, index = target->second, message = command.message] {
             Deliver(index, policy::PeerMessageArrived{message});
           });
}

void Fleet::AnswerTable(std::size_t host, policy::TableAnswered answer) {
  Schedule(now_ + kTableDelay,
           [this, host, answer = std::move(answer)] { Deliver(host, answer); });
}

void Fleet::Execute(std::size_t host, const policy::ReadTable& command) {
  ++totals_.table_reads;
  policy::TableAnswered answer{command.operation, {}, {}};
  for (const std::string& key : command.keys) {
    const auto row = rows_.find(key);
    if (row == rows_.end()) {
      answer.rows.push_back({key, 0, ""});
    } else {
      answer.rows.push_back({key, row->second.version, row->second.value});
    }
  }
  AnswerTable(host, std::move(answer));
}

void Fleet::Execute(std::size_t host, const policy::ScanTable& command) {
  ++totals_.table_reads;
  policy::TableAnswered answer{command.operation, {}, {}};
  for (auto row = rows_.lower_bound(std::max(command.from, command.prefix));
       row != rows_.end() && row->first.starts_with(command.prefix) &&
       answer.rows.size() < command.limit;
       ++row) {
    answer.rows.push_back({row->first, row->second.version, row->second.value});
  }
  AnswerTable(host, std::move(answer));
}

void Fleet::Execute(std::size_t host, const policy::WriteTable& command) {
  ++totals_.table_writes;
  policy::TableAnswered answer{command.operation, {}, {}};
  const bool is_applied =
      std::all_of(command.writes.begin(), command.writes.end(),
                  [this](const policy::TableWrite& write) {
                    const auto row = rows_.find(write.key);
                    const std::uint64_t version =
                        row == rows_.end() ? 0 : row->second.version;
                    return version == write.expected_version;
                  });
  if (!is_applied) answer.outcome = policy::TableOutcome::kConflict;
  for (const policy::TableWrite& write : command.writes) {
    Row& row = rows_[write.key];
    if (is_applied) row = {row.version + 1, write.value};
    answer.rows.push_back({write.key, row.version, row.value});
  }
  AnswerTable(host, std::move(answer));
}

void Fleet::Execute(std::size_t /*host*/, const policy::DeliverToken&) {
  ++totals_.tokens;
}

void Fleet::Execute(std::size_t /*host*/, const policy::DeliverAnswer&) {
  ++totals_.answers;
}

void Fleet::Execute(std::size_t /*host*/, const policy::DeliverRefusal&) {
  ++totals_.refusals;
}

}  // namespace lovagecleat::capacity
