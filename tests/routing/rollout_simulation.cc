#include "rollout_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovagecleat::routing {

namespace {

using std::chrono::milliseconds;

const ServiceId kService("orders");
constexpr Duration kTick = milliseconds(10);
constexpr Duration kStepPeriod = milliseconds(100);
constexpr Duration kMessageDelay = milliseconds(2);
constexpr Duration kStoreDelay = milliseconds(4);
constexpr Duration kStoreTimeout = milliseconds(700);
constexpr Duration kOrderReadPeriod = milliseconds(650);
constexpr Duration kUsualTime = milliseconds(15);
constexpr double kSlowAnswer = 2.5;  // times the usual time: a bad answer
// On the store's clock when the simulation begins.
constexpr Duration kStoreOffset = std::chrono::hours(5);

double Seconds(Duration time) {
  return static_cast<double>(time.count()) / 1e6;
}

}  // namespace

RolloutSimulation::RolloutSimulation(const Options& options)
    : options_(options),
      random_(options.seed),
      now_(std::chrono::hours(1)),
      servers_on_trial_(options.servers) {
  hosts_.resize(options.hosts);
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    hosts_[i].address = "10.0.0." + std::to_string(i);
    StartProcess(hosts_[i]);
  }
  Run(std::chrono::seconds(8));
}

void RolloutSimulation::StartProcess(Host& host) {
  host.incarnation = ++last_incarnation_;
  host.owned_rollouts =
      std::make_unique<Rollouts>(HostId(host.address), host.incarnation, now_);
  host.rollouts().SetBounds(options_.bounds, milliseconds(3000));
  std::vector<HostId> all;
  for (std::size_t i = 0; i < options_.hosts; ++i)
    all.emplace_back("10.0.0." + std::to_string(i));
  host.rollouts().SetHosts(std::move(all));
  host.coordinator = std::make_unique<RolloutCoordinator>(host.rollouts());
  host.known_order.reset();
  host.has_read_orders = false;
  host.next_order_read = now_;
  host.versions = Versions();
  for (const std::string& version : host.versions)
    host.rollouts().OnServer(kService, version, now_);
}

void RolloutSimulation::At(TimePoint time, std::size_t host,
                           std::function<void(Host&)> run) {
  events_.emplace(time, Event{host, hosts_[host].incarnation, std::move(run)});
}

void RolloutSimulation::Order(const std::string& to, Duration time) {
  order_ = RolloutOrder{kService, to, time};
  order_version_ = RowVersion(0, ++version_);
  has_ordered_ = true;
  if (stopped_.empty()) {
    ordered_at_ = now_;
    deadline_ = now_ + time;
    on_trial_ = to;
  }
}

void RolloutSimulation::RemoveOrder() {
  order_.reset();
  order_version_ = RowVersion(0, ++version_);
}

void RolloutSimulation::Freeze(std::size_t host, Duration time) {
  hosts_[host].frozen_until = now_ + time;
}

void RolloutSimulation::SetCutOff(std::size_t host, bool is_cut) {
  hosts_[host].is_cut = is_cut;
}

void RolloutSimulation::SetCutFromPeers(std::size_t host, bool is_cut) {
  hosts_[host].is_cut_from_peers = is_cut;
}

void RolloutSimulation::Restart(std::size_t host) {
  StartProcess(hosts_[host]);
}

void RolloutSimulation::RestartAll() {
  for (Host& host : hosts_) StartProcess(host);
}

std::uint64_t RolloutSimulation::sent_to(const std::string& version) const {
  const auto found = sent_to_.find(version);
  return found != sent_to_.end() ? found->second : 0;
}

bool RolloutSimulation::AreConnected(std::size_t a, std::size_t b) const {
  for (const std::size_t host : {a, b})
    if (hosts_[host].is_cut || hosts_[host].is_cut_from_peers) return false;
  return true;
}

bool RolloutSimulation::ReachesStore(std::size_t host) const {
  return !is_store_away_ && !hosts_[host].is_cut;
}

std::set<std::string> RolloutSimulation::Versions() const {
  std::set<std::string> versions;
  versions.insert("v1");
  if (has_ordered_ && servers_on_trial_ > 0) versions.insert("v2");
  if (order_ && order_->to == "v3") versions.insert("v3");
  for (const std::string& version : stopped_) versions.erase(version);
  return versions;
}

double RolloutSimulation::SinceOrder() const {
  return Seconds(now_ - ordered_at_);
}

void RolloutSimulation::ReadOrder(std::size_t index) {
  Host& host = hosts_[index];
  if (!ReachesStore(index) || now_ < host.next_order_read) return;
  host.next_order_read =
      now_ + Duration(static_cast<std::int64_t>(
                 static_cast<double>(kOrderReadPeriod.count()) *
                 (0.5 + 0.5 * random_.Unit())));
  const OrderSight sight =
      host.has_read_orders ? OrderSight::kAppeared : OrderSight::kFound;
  host.has_read_orders = true;
  if (host.known_order && *host.known_order >= order_version_) return;
  host.known_order = order_version_;
  if (order_)
    host.rollouts().PutOrder(*order_, order_version_, sight, random_, now_);
  else
    host.rollouts().RemoveOrder(kService);
}

void RolloutSimulation::Write(std::size_t index,
                              const RolloutStatusWrite& write) {
  ++store_calls_;
  const auto answer = [this, index, write](StatusWriteResult result,
                                           RowVersion version, Duration delay) {
    At(now_ + delay, index, [this, index, write, result, version](Host& host) {
      host.coordinator->OnStatusWritten(write, result, version, now_);
      StepHost(index);
    });
  };
  if (!ReachesStore(index))
    return answer(StatusWriteResult::kNoResponse, {}, kStoreTimeout);
  const bool holds =
      write.order_version == order_version_ &&
      write.status_version.value_or(RowVersion()) == status_version_;
  if (!holds) return answer(StatusWriteResult::kConflict, {}, kStoreDelay);
  ++writes_;
  status_ = write.status;
  status_version_ = RowVersion(0, ++version_);
  if (write.status.state != RolloutState::kRunning && !ended_at_) {
    ended_at_ = SinceOrder();
    if (write.status.state == RolloutState::kCompleted) {
      const std::set<std::string> before = Versions();
      stopped_ = before;
      stopped_.erase(write.status.to);
      for (const std::string& version : stopped_)
        cut_off_ += open_requests_[version];
    }
  }
  if (lost_responses_ > 0) {
    --lost_responses_;
    return answer(StatusWriteResult::kNoResponse, {}, kStoreTimeout);
  }
  answer(StatusWriteResult::kWritten, status_version_, kStoreDelay);
}

void RolloutSimulation::Perform(std::size_t index,
                                const RolloutActions& actions) {
  for (const auto& [to, report] : actions.messages) {
    const auto peer = std::find_if(
        hosts_.begin(), hosts_.end(),
        [&to = to](const Host& host) { return host.address == to; });
    const auto target = static_cast<std::size_t>(peer - hosts_.begin());
    ++messages_;
    if (!AreConnected(index, target) || random_.Unit() < options_.message_loss)
      continue;
    At(now_ + kMessageDelay, target,
       [this, index, target, report = report](Host& host) {
         const auto answer = host.coordinator->OnReport(report, now_);
         ++messages_;
         if (!answer || !AreConnected(index, target) ||
             random_.Unit() < options_.message_loss)
           return;
         At(now_ + kMessageDelay, index, [this, answer](Host& sender) {
           sender.coordinator->OnReport(*answer, now_);
         });
       });
  }
  for (const ServiceId& service : actions.status_reads) {
    ++store_calls_;
    const bool is_read = ReachesStore(index);
    const auto status = status_;
    const auto version =
        status_ ? std::optional(status_version_) : std::optional<RowVersion>();
    At(now_ + (is_read ? kStoreDelay : kStoreTimeout), index,
       [this, service, is_read, status, version](Host& host) {
         host.coordinator->OnStatusRead(service, is_read, status, version,
                                        kStoreOffset + now_.time_since_epoch(),
                                        now_);
       });
  }
  for (const RolloutStatusWrite& write : actions.status_writes)
    Write(index, write);
}

void RolloutSimulation::StepHost(std::size_t index) {
  Host& host = hosts_[index];
  ReadOrder(index);
  host.versions = Versions();
  for (const std::string& version : host.versions)
    host.rollouts().OnServer(kService, version, now_);
  host.rollouts().SetVersions(kService, host.versions);
  RolloutPeers peers{host.address, {}, true};
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (i == index) continue;
    const bool is_reachable =
        AreConnected(i, index) && hosts_[i].frozen_until <= now_;
    if (is_reachable) peers.reachable.push_back(hosts_[i].address);
    peers.reaches_all &= is_reachable;
  }
  Perform(index, host.coordinator->Step(
                     peers,
                     [this](const ServiceId&) {
                       ServersByVersion servers;
                       for (const std::string& version : Versions())
                         servers[version] = version == "v2" ? servers_on_trial_
                                                            : options_.servers;
                       return servers;
                     },
                     kStoreOffset + now_.time_since_epoch(), now_));
}

// As a gateway does: the version first, then a server of it.
void RolloutSimulation::SendRequest() {
  const std::size_t index = random_.Below(hosts_.size());
  Host& host = hosts_[index];
  // Without a configuration it serves nothing.
  if (host.frozen_until > now_ || !host.has_read_orders) return;
  std::size_t route = 0;
  double point = random_.Unit();
  while (route + 1 < options_.route_weights.size() &&
         point >= options_.route_weights[route])
    point -= options_.route_weights[route++];
  Rollout* rollout = host.rollouts().Find(kService);
  const bool takes_new = rollout != nullptr && rollout->TakesNew(now_);
  std::vector<ServerRecord> records;
  // Requests to servers that were stopped are sent again.
  for (const std::string& version : Versions()) {
    if (!host.versions.contains(version)) continue;
    ServerRecord record;
    record.entry.service = kService;
    record.entry.software_version = version;
    records.push_back(record);
  }
  std::vector<ServerRecord*> servers;
  servers.reserve(records.size());
  for (ServerRecord& record : records) servers.push_back(&record);
  host.rollouts().Filter(kService, takes_new, servers, now_);
  if (rollout != nullptr) rollout->CountRequests(1);
  if (order_ && now_ < deadline_) ++requests_;
  if (servers.empty()) {
    ++unserved_;
    return;
  }
  const std::string& version =
      servers[random_.Below(servers.size())]->entry.software_version;
  if (rollout != nullptr && version == rollout->order().to)
    rollout->CountNew(1);
  SendTo(index, version, route);
}

void RolloutSimulation::SendTo(std::size_t index, const std::string& version,
                               std::size_t route) {
  ++sent_to_[version];
  const bool is_new = order_ && version == on_trial_ && version != "v1";
  const std::size_t server = random_.Below(
      version == "v2" ? std::max<std::size_t>(servers_on_trial_, 1)
                      : options_.servers);
  Answer answer;
  if (random_.Unit() < options_.usual_failures) answer.has_failed = true;
  if (is_new) {
    newest_sends_.push_back(now_);
    std::erase_if(newest_sends_, [this](TimePoint at) {
      return now_ - at > std::chrono::seconds(1);
    });
    if (now_ < deadline_) ++sent_new_;
    if (bound_reached_at_)
      sent_after_bound_ =
          std::max(sent_after_bound_, Seconds(now_ - *bound_reached_at_));
    if (options_.behaviour) {
      const Answer worse = options_.behaviour(
          SinceOrder(), route, static_cast<double>(newest_sends_.size()),
          server, random_.Unit());
      answer.has_failed |= worse.has_failed;
      answer.slowness = worse.slowness;
    }
  }
  if (random_.Unit() < failures_of_all_) answer.has_failed = true;
  // Times spread by a factor of 2 to either side.
  const double spread = std::exp2(2 * random_.Unit() - 1);
  const auto time = Duration(static_cast<std::int64_t>(
      static_cast<double>(kUsualTime.count()) * spread * answer.slowness));
  ++open_requests_[version];
  const std::string name = "route" + std::to_string(route);
  const ServerId id(version + "-" + std::to_string(server));
  At(now_ + time, index, [=, this](Host& host) {
    --open_requests_[version];
    Rollout* rollout = host.rollouts().Find(kService);
    if (is_new && (answer.has_failed || answer.slowness >= kSlowAnswer) &&
        ++bad_answers_ == kBadAnswersBound)
      bound_reached_at_ = now_;
    if (rollout == nullptr) return;
    VersionAnswer counted;
    counted.route = name;
    counted.side = version == rollout->order().to ? VersionSide::kOnTrial
                                                  : VersionSide::kBefore;
    counted.server = id;
    counted.has_failed = answer.has_failed;
    if (!answer.has_failed) counted.time = time;
    rollout->CountAnswer(counted);
  });
}

void RolloutSimulation::Run(Duration time) {
  const TimePoint end = now_ + time;
  while (now_ < end) {
    now_ += kTick;
    while (!events_.empty() && events_.begin()->first <= now_) {
      const Event event = std::move(events_.extract(events_.begin()).mapped());
      Host& host = hosts_[event.host];
      if (event.incarnation != host.incarnation) continue;
      if (host.frozen_until > now_) {
        events_.emplace(host.frozen_until, event);
        continue;
      }
      event.run(host);
    }
    const std::int64_t ticks = now_.time_since_epoch() / kTick;
    const auto steps = static_cast<std::int64_t>(kStepPeriod / kTick);
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      if ((ticks + static_cast<std::int64_t>(i)) % steps == 0 &&
          hosts_[i].frozen_until <= now_)
        StepHost(i);
    due_ += options_.requests_per_second * Seconds(kTick);
    for (; due_ >= 1; due_ -= 1) SendRequest();
  }
}

}  // namespace lovagecleat::routing
