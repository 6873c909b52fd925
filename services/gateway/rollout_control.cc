#include "services/gateway/rollout_control.h"

#include <algorithm>
#include <utility>

#include "services/gateway/rollout_messages.h"

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kStepPeriod = milliseconds(100);
// Period without an order in progress; versions still come and go.
constexpr Duration kIdleStepPeriod = milliseconds(1000);
// An order that is read later than this after the first configuration has
// appeared since.
constexpr Duration kFirstReadTime = milliseconds(2000);
// The servers of a version are registered within this time after its order.
constexpr Duration kVersionDelay = std::chrono::seconds(5);
// Changes of the servers that get a version's requests in the order's time.
constexpr int kFocusRotations = 8;

bool IsOpen(const routing::Rollout& rollout) {
  return rollout.phase() != routing::RolloutPhase::kRolledBack &&
         rollout.phase() != routing::RolloutPhase::kCompleted;
}

double Seconds(Duration time) {
  return static_cast<double>(time.count()) / 1e6;
}

}  // namespace

RolloutControl::RolloutControl(Context& context, RowSource& rows,
                               ReachableCallback is_reachable,
                               SendCallback send)
    : context_(context),
      rows_(rows),
      is_reachable_(std::move(is_reachable)),
      send_(std::move(send)),
      coordinator_(context.rollouts) {}

RolloutControl::~RolloutControl() { context_.loop.Cancel(step_timer_); }

void RolloutControl::Start(std::uint64_t incarnation) {
  context_.rollouts =
      routing::Rollouts(context_.settings.host, incarnation, context_.Now());
  UpdateBounds();
}

void RolloutControl::UpdateBounds() {
  std::optional<routing::RolloutBounds> bounds;
  const auto& exposure = context_.settings.limits.exposure;
  if (exposure)
    bounds = routing::RolloutBounds{exposure->share, exposure->slack,
                                    exposure->rollback_time};
  context_.rollouts.SetBounds(bounds,
                              context_.settings.limits.maximum_change_delay);
}

void RolloutControl::SetHosts(std::vector<HostId> hosts,
                              std::vector<std::string> peers) {
  if (context_.table && !configured_at_) configured_at_ = context_.Now();
  context_.rollouts.SetHosts(std::move(hosts));
  peers_ = std::move(peers);
}

// --- Rows -------------------------------------------------------------------

void RolloutControl::LogProblem(const ServiceId& service,
                                const routing::Row& row,
                                routing::RolloutProblem problem) {
  context_.metrics.Count("lovagecleat_rollout_problems_total",
                         {{"problem", std::string(routing::NameOf(problem))}});
  context_.log.Write("rollout_order_problem", "",
                     {{"service", service.value()},
                      {"problem", routing::NameOf(problem)},
                      {"row_version", row.version.number()},
                      {"store_era", row.version.era()}});
}

void RolloutControl::ApplyOrder(const std::string& name,
                                const routing::Row& row) {
  const ServiceId service(name);
  const TimePoint now = context_.Now();
  if (context_.table && !configured_at_) configured_at_ = now;
  if (row.is_removed) {
    if (!context_.rollouts.RemoveOrder(service)) return;
    context_.log.Write(
        "rollout_order_removed", "",
        {{"service", name}, {"row_version", row.version.number()}});
    return;
  }
  const auto fields = context_.codec.ReadRolloutOrder(row.value);
  const routing::RolloutOrderReading reading =
      fields ? routing::ReadRolloutOrder(service, *fields)
             : routing::RolloutOrderReading{
                   std::nullopt, routing::RolloutProblem::kUnreadable};
  if (reading.problem) LogProblem(service, row, *reading.problem);
  if (!reading.order)
    return context_.rollouts.OnUnreadableOrder(service, row.version);
  const bool has_appeared =
      configured_at_ && now - *configured_at_ >= kFirstReadTime;
  const routing::OrderChange change =
      context_.rollouts.PutOrder(*reading.order, row.version,
                                 has_appeared ? routing::OrderSight::kAppeared
                                              : routing::OrderSight::kFound,
                                 context_.random, now);
  context_.log.Write(
      "rollout_order", "",
      {{"service", name},
       {"to", reading.order->to},
       {"seconds", Seconds(reading.order->time)},
       {"is_repeated", change == routing::OrderChange::kRepeated},
       {"replaces", change == routing::OrderChange::kReplaced},
       {"has_appeared", has_appeared},
       {"row_version", row.version.number()},
       {"store_era", row.version.era()}});
  if (change != routing::OrderChange::kRepeated)
    logged_.insert_or_assign(service, LoggedOrder{*reading.order, {}, now, {}});
  ServersOf(service);
  ScheduleStep();
}

void RolloutControl::OnServer(const routing::ServerEntry& entry) {
  if (context_.table && !configured_at_) configured_at_ = context_.Now();
  context_.rollouts.OnServer(entry.service, entry.software_version,
                             context_.Now());
  // Step finds the versions that are gone.
  if (context_.rollouts.Find(entry.service) != nullptr &&
      !context_.rollouts.IsListed(entry.service, entry.software_version))
    ServersOf(entry.service);
}

// Reports names in an order that belong to nothing. The order stands: what it
// names may come.
void RolloutControl::CheckForUnknown(const ServiceId& service,
                                     routing::Rollout& rollout) {
  const auto logged = logged_.find(service);
  if (logged == logged_.end() || !IsOpen(rollout) || !context_.table ||
      context_.Now() - logged->second.ordered_at < kVersionDelay)
    return;
  routing::Row row;
  row.version = rollout.order_version();
  if (context_.table->FindService(service) == nullptr &&
      logged->second.problems.insert(routing::RolloutProblem::kUnknownService)
          .second)
    LogProblem(service, row, routing::RolloutProblem::kUnknownService);
  if (!ServersOf(service).contains(rollout.order().to) &&
      logged->second.problems.insert(routing::RolloutProblem::kUnknownVersion)
          .second)
    LogProblem(service, row, routing::RolloutProblem::kUnknownVersion);
}

// --- Other hosts and states -------------------------------------------------

routing::ServersByVersion RolloutControl::ServersOf(const ServiceId& service) {
  routing::ServersByVersion usable;
  for (const routing::ServerRecord* server :
       context_.directory.Usable(service, context_.Now()))
    ++usable[server->entry.software_version];
  std::set<std::string> versions;
  for (const routing::ServerRecord* server :
       context_.directory.InService(service))
    versions.insert(server->entry.software_version);
  context_.rollouts.SetVersions(service, versions);
  return usable;
}

routing::RolloutPeers RolloutControl::Peers() const {
  routing::RolloutPeers peers;
  peers.self = context_.settings.peers;
  for (const std::string& peer : peers_)
    if (is_reachable_(peer)) peers.reachable.push_back(peer);
  peers.reaches_all = peers.reachable.size() == peers_.size();
  return peers;
}

void RolloutControl::ScheduleStep() {
  context_.loop.Cancel(step_timer_);
  step_timer_ = context_.loop.After(Duration::zero(), [this] { Step(); });
}

void RolloutControl::Step() {
  context_.loop.Cancel(step_timer_);
  const std::map<ServiceId, routing::Rollout*> rollouts =
      context_.rollouts.All();
  // Versions of removed orders are barred while they have servers.
  for (const auto& [service, order] : logged_)
    if (!rollouts.contains(service)) ServersOf(service);
  const routing::RolloutActions actions = coordinator_.Step(
      Peers(), [this](const ServiceId& service) { return ServersOf(service); },
      rows_.StoreTime(), context_.Now());
  std::map<std::string, messages::RolloutTraffic> traffic;
  for (const auto& [to, report] : actions.messages)
    *traffic[to].add_reports() = WriteRolloutReport(report);
  for (const auto& [to, message] : traffic) send_(to, message);
  bool is_open = false;
  for (const auto& [service, rollout] : rollouts) {
    CheckForUnknown(service, *rollout);
    LogPhase(service, *rollout);
    is_open |= IsOpen(*rollout) || !rollout->is_written();
  }
  step_timer_ = context_.loop.After(is_open ? kStepPeriod : kIdleStepPeriod,
                                    [this] { Step(); });
  // Their callbacks may step again.
  for (const ServiceId& service : actions.status_reads) ReadStatus(service);
  for (const routing::RolloutStatusWrite& write : actions.status_writes)
    WriteStatus(write);
}

void RolloutControl::LogPhase(const ServiceId& service,
                              const routing::Rollout& rollout) {
  const routing::RolloutTest& test = rollout.test();
  const metrics::Labels labels = {{"service", service.value()},
                                  {"version", rollout.order().to}};
  context_.metrics.SetGauge("lovagecleat_rollout_phase", labels,
                            static_cast<double>(rollout.phase()));
  context_.metrics.SetGauge("lovagecleat_rollout_share", labels,
                            rollout.share());
  context_.metrics.SetGauge("lovagecleat_rollout_evidence", labels,
                            test.Evidence());
  context_.metrics.SetGauge("lovagecleat_rollout_sent", labels,
                            static_cast<double>(rollout.exposure().sent_new()));
  const auto logged = logged_.find(service);
  if (logged == logged_.end() || logged->second.phase == rollout.phase())
    return;
  logged->second.phase = rollout.phase();
  context_.log.Write("rollout", "",
                     {{"service", service.value()},
                      {"to", rollout.order().to},
                      {"phase", routing::NameOf(rollout.phase())},
                      {"cause", rollout.cause()},
                      {"seconds", Seconds(rollout.Elapsed(context_.Now()))},
                      {"evidence", test.Evidence()},
                      {"answers", test.on_trial().answers},
                      {"bad", test.on_trial().bad},
                      {"answers_before", test.before().answers},
                      {"bad_before", test.before().bad},
                      {"requests", rollout.total_requests()},
                      {"sent_new", rollout.total_sent_new()},
                      {"own_requests", rollout.exposure().requests()},
                      {"own_sent_new", rollout.exposure().sent_new()}});
  if (rollout.phase() != routing::RolloutPhase::kRolledBack) return;
  // What this host has seen of each route and server.
  for (const auto& [route, evidence] : rollout.evidence().routes()) {
    if (evidence.on_trial.bad == 0) continue;
    std::string servers;
    for (const auto& [server, bad] : evidence.bad_by_server)
      servers += (servers.empty() ? "" : " ") + server.value() + ":" +
                 std::to_string(bad);
    context_.log.Write("rollout_route", "",
                       {{"service", service.value()},
                        {"to", rollout.order().to},
                        {"route", route},
                        {"answers", evidence.on_trial.answers},
                        {"bad", evidence.on_trial.bad},
                        {"answers_before", evidence.before.answers},
                        {"bad_before", evidence.before.bad},
                        {"servers", servers}});
  }
}

void RolloutControl::OnTraffic(const std::string& from,
                               const messages::RolloutTraffic& traffic) {
  messages::RolloutTraffic answers;
  for (const messages::RolloutReport& message : traffic.reports()) {
    const auto report = ReadRolloutReport(message);
    if (!report) continue;
    const auto answer = coordinator_.OnReport(*report, context_.Now());
    if (answer) *answers.add_reports() = WriteRolloutReport(*answer);
    const routing::Rollout* rollout =
        context_.rollouts.Find(report->order.service);
    if (rollout != nullptr) LogPhase(report->order.service, *rollout);
  }
  if (answers.reports_size() > 0) send_(from, answers);
}

void RolloutControl::ReadStatus(const ServiceId& service) {
  rows_.ReadRolloutStatus(
      service, [this, service](const std::optional<RolloutStatusRow>& row) {
        const std::optional<routing::RolloutStatus> status =
            row ? row->status : std::nullopt;
        coordinator_.OnStatusRead(
            service, row.has_value(), status,
            row ? row->version : std::optional<routing::RowVersion>(),
            rows_.StoreTime(), context_.Now());
        ScheduleStep();
      });
}

void RolloutControl::WriteStatus(const routing::RolloutStatusWrite& write) {
  rows_.WriteRolloutStatus(write, [this,
                                   write](const RolloutStatusResult& result) {
    coordinator_.OnStatusWritten(write, result.result, result.version,
                                 context_.Now());
    context_.metrics.Count(
        "lovagecleat_rollout_writes_total",
        {{"result", result.result == routing::StatusWriteResult::kWritten
                        ? "written"
                    : result.result == routing::StatusWriteResult::kConflict
                        ? "conflict"
                        : "no_response"}});
    context_.log.Write(
        "rollout_status", "",
        {{"service", write.service.value()},
         {"to", write.status.to},
         {"state", routing::NameOf(write.status.state)},
         {"is_written", result.result == routing::StatusWriteResult::kWritten},
         {"is_conflict",
          result.result == routing::StatusWriteResult::kConflict},
         {"row_version", result.version.number()}});
    ScheduleStep();
  });
}

// --- Requests ---------------------------------------------------------------

std::vector<routing::ServerRecord*> ServersByRollout(
    Context& context, const ServiceId& service, bool takes_new,
    std::vector<routing::ServerRecord*> servers) {
  const TimePoint now = context.Now();
  const routing::Rollout* rollout = context.rollouts.Find(service);
  if (takes_new && rollout != nullptr &&
      rollout->phase() == routing::RolloutPhase::kCanary) {
    std::vector<routing::ServerRecord*> on_trial;
    std::size_t before = 0;
    for (routing::ServerRecord* server : servers) {
      const bool is_new = server->entry.software_version == rollout->order().to;
      if (!is_new) ++before;
      // A cold server is slow, whatever its version.
      if (is_new && server->known_cold_until <= now) on_trial.push_back(server);
    }
    const Duration rotation =
        std::max(rollout->order().time / kFocusRotations, kStepPeriod);
    routing::KeepFocus(
        routing::FocusSize(rollout->share(), before),
        static_cast<std::uint64_t>(rollout->Elapsed(now) / rotation), on_trial);
    if (!on_trial.empty()) return on_trial;
    std::vector<routing::ServerRecord*> others = servers;
    context.rollouts.Filter(service, false, others, now);
    if (!others.empty()) return others;
  }
  context.rollouts.Filter(service, takes_new, servers, now);
  return servers;
}

bool CountAnswer(Context& context, const RolloutAnswer& answer) {
  routing::Rollout* rollout = context.rollouts.Find(answer.service);
  if (rollout == nullptr || !IsOpen(*rollout)) return false;
  routing::VersionAnswer counted;
  counted.route = answer.route;
  counted.side = answer.software_version == rollout->order().to
                     ? routing::VersionSide::kOnTrial
                     : routing::VersionSide::kBefore;
  counted.server = answer.server;
  counted.has_failed = answer.has_failed;
  counted.was_counted = answer.was_counted;
  const routing::ServerRecord* server = context.directory.Find(answer.server);
  if (server != nullptr && server->known_cold_until <= context.Now()) {
    counted.time = answer.time;
    counted.gap = answer.gap;
  }
  return rollout->CountAnswer(counted);
}

}  // namespace lovagecleat::gateway
