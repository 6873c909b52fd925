#include "policy/core_state.h"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

namespace lovagecleat::policy {

namespace {
// Timers run at least this often, even when nothing is due.
constexpr Duration kMaximumWakeUpInterval = std::chrono::milliseconds(200);

bool IsTokenEvent(const Event& event) {
  if (std::holds_alternative<BackendToken>(event)) return true;
  const auto* peer = std::get_if<PeerMessageArrived>(&event);
  return peer != nullptr && peer->message.has_stage_token();
}

std::vector<HostId> IdsOf(std::span<const HostInfo> hosts) {
  std::vector<HostId> ids;
  ids.reserve(hosts.size());
  for (const HostInfo& host : hosts) ids.push_back(host.id);
  return ids;
}
}  // namespace

Core::State::State(const CoreSettings& settings, TimePoint now,
                   WallTime wall_now)
    : settings_(settings),
      now_(now),
      wall_now_(wall_now),
      membership_(settings.host, settings.zone, settings.incarnation,
                  settings.seed),
      credits_(settings.host, CreditSettings{}, now, settings.incarnation),
      roster_keeper_(settings.host, settings.zone, operations_,
                     CreditSettings{}, settings.seed, now),
      servers_(settings.zone),
      load_poller_(settings.host),
      scheduler_(settings,
                 SchedulerDependencies{servers_, credits_, membership_, times_},
                 commands_),
      requests_(settings, scheduler_, times_, operations_, commands_),
      follower_(settings.host, operations_, settings.seed),
      operator_changes_(settings.host, operations_) {
  next_wake_up_ = now;
}

std::uint64_t Core::State::configuration_revision() const {
  return configuration_ == nullptr ? 0 : configuration_->content().revision;
}

std::vector<Command> Core::State::Handle(const Event& event, TimePoint now,
                                         WallTime wall_now) {
  now_ = now;
  wall_now_ = wall_now;
  std::visit([this](const auto& one) { On(one); }, event);
  // A token only adds to the output of its caller, so the steps below are
  // skipped for tokens, which are by far the most frequent events.
  const bool changes_no_decision = IsTokenEvent(event) && now < next_wake_up_;
  if (changes_no_decision) {
    RouteJobEvents();
    FillPeerHeaders();
    return std::exchange(commands_, {});
  }
  RunAfterEvent();
  next_wake_up_ = ComputeWakeUp();
  return std::exchange(commands_, {});
}

// --- Events -----------------------------------------------------------------

AdmissionState Core::State::CurrentAdmissionState() const {
  if (is_stopping_) return AdmissionState::kStopping;
  if (configuration_ == nullptr || !has_inventory_) {
    return AdmissionState::kNotConfigured;
  }
  return AdmissionState::kAccepting;
}

void Core::State::On(const CallerRequestArrived& event) {
  requests_.HandleArrival(event, CurrentAdmissionState(), now_, wall_now_);
}

void Core::State::On(const CallerDisconnected& event) {
  requests_.HandleDisconnect(event.call, now_);
}

void Core::State::On(const BackendToken& event) {
  scheduler_.HandleToken(event);
}

void Core::State::On(const BackendFinished& event) {
  if (event.report.has_value()) {
    const std::optional<ServerId> server =
        scheduler_.ServerOfAttempt(event.attempt);
    if (server.has_value()) {
      servers_.ObserveReport(*server, *event.report, now_);
      ObserveWarmth(*server, event.report->generation, event.report->warmth);
    }
  }
  scheduler_.HandleFinished(event, now_);
}

void Core::State::On(const LoadReported& event) {
  servers_.ObserveReport(event.server, event.report, now_);
  ObserveWarmth(event.server, event.report.generation, event.report.warmth);
}

void Core::State::ObserveWarmth(const ServerId& server,
                                std::uint64_t generation, Warmth warmth) {
  if (!credits_.ObserveWarmth(server, generation, warmth, now_)) return;
  commands_.emplace_back(RecordDecision{
      {},
      "credits",
      server.value() + " is " + (warmth == Warmth::kWarm ? "warm" : "cold") +
          " in generation " + std::to_string(generation) + "."});
  for (const HostId& host : membership_.AliveInZone(settings_.zone)) {
    SendPeerMessage send{host, {}};
    messages::ServerSign* sign = send.message.mutable_server_sign();
    sign->set_server(server.value());
    sign->set_generation(generation);
    sign->set_warm(warmth == Warmth::kWarm);
    commands_.emplace_back(std::move(send));
  }
}

void Core::State::On(const PeerMessageArrived& event) {
  if (!membership_.Accept(event.message, now_)) return;
  HandlePeer(HostId(event.message.sender()), event.message);
}

void Core::State::On(const InventoryArrived& event) {
  const Inventory& inventory = event.inventory;
  has_inventory_ = true;
  membership_.ApplyInventory(inventory.hosts, now_);
  roster_keeper_.ApplyInventory(inventory.hosts, now_);
  for (const ServerId& removed : servers_.ApplyInventory(inventory.servers)) {
    credits_.RemoveServer(removed);
  }
  for (const auto& [id, entry] : servers_.all()) {
    credits_.SetServer(id, entry.info.cold_limit, entry.info.warm_limit, now_);
  }
  const std::vector<HostInfo> peers = membership_.PeersToConnect();
  operator_changes_.SetPeers(IdsOf(peers));
  commands_.emplace_back(ConnectPeers{peers});
  scheduler_.ClearSaturation();
}

void Core::State::On(const TableAnswered& event) {
  if (requests_.HandleTableAnswer(event, now_)) return;
  if (follower_.Owns(event.operation)) {
    Append(follower_.HandleTableAnswer(event, now_));
    return;
  }
  if (roster_keeper_.Owns(event.operation)) {
    Append(roster_keeper_.HandleTableAnswer(event, now_));
    return;
  }
  if (operator_changes_.Owns(event.operation)) {
    Append(operator_changes_.HandleTableAnswer(event, now_));
  }
}

void Core::State::Append(std::vector<Command> commands) {
  std::move(commands.begin(), commands.end(), std::back_inserter(commands_));
}

void Core::State::On(const OperatorChangeSubmitted& event) {
  Append(operator_changes_.Submit(event, now_, wall_now_));
}

void Core::State::On(const OperatorQueryArrived& event) {
  switch (event.kind) {
    case OperatorQueryKind::kStatus:
      commands_.emplace_back(
          RespondToOperator{event.call, 200, StatusReport()});
      return;
    case OperatorQueryKind::kExplain:
      commands_.emplace_back(
          decisions_.Explain(event.call, RequestId(event.argument)));
      return;
    case OperatorQueryKind::kConfiguration:
    case OperatorQueryKind::kAudit:
      Append(operator_changes_.Query(event, now_));
      return;
  }
}

void Core::State::On(const WakeUp& /*event*/) {}

void Core::State::On(const StopRequested& /*event*/) {
  is_stopping_ = true;
  roster_keeper_.Stop();
}

// --- Consequences of events -------------------------------------------------

void Core::State::RunAfterEvent() {
  RunTimers();
  AdoptConfiguration();
  ObserveProvisionalDrains();
  AdoptRoster();
  scheduler_.Dispatch(now_);
  // The end of a stage may start the next one, which may be placed at once.
  while (RouteJobEvents()) scheduler_.Dispatch(now_);
  SendHeartbeats();
  ForwardOutgoing();
  UpdateReadiness();
  FinishStopIfIdle();
  FillPeerHeaders();
  LogDecisions();
}

void Core::State::RunTimers() {
  membership_.Tick(now_);
  credits_.Tick(now_);
  Append(roster_keeper_.Tick(now_));
  Append(follower_.Tick(now_));
  Append(operator_changes_.HandleTimer(now_));
  requests_.Tick(now_);
  if (now_ < load_poller_.NextDue()) return;
  Append(load_poller_.Tick(servers_, membership_.AliveInZone(settings_.zone),
                           now_));
}

// A change that this host wrote to the table takes effect here at once and is
// pushed to the connected hosts. The others see the new revision in heartbeats.
void Core::State::AdoptConfiguration() {
  const auto accepted = operator_changes_.TakeAcceptedConfiguration();
  if (accepted.has_value()) {
    follower_.AdoptAccepted(*accepted, IdsOf(membership_.PeersToConnect()));
  }
  std::optional<configuration::Configuration> adopted = follower_.TakeAdopted();
  if (!adopted.has_value()) return;
  configuration_ = std::make_shared<const configuration::IndexedConfiguration>(
      std::move(*adopted));
  servers_.ApplyConfiguration(configuration_->content());
  scheduler_.ApplyConfiguration(configuration_->content());
  scheduler_.ClearSaturation();
  requests_.SetConfiguration(configuration_);
  Append(operator_changes_.ObserveConfiguration(configuration_->content()));
  commands_.emplace_back(RecordDecision{
      {},
      "configuration",
      "Revision " + std::to_string(configuration_->content().revision) +
          " is in force."});
}

void Core::State::ObserveProvisionalDrains() {
  const bool has_drains = !operator_changes_.pending_drains().empty();
  if (!has_drains && !has_provisional_drains_) return;
  has_provisional_drains_ = has_drains;
  std::set<ServerId> servers_out;
  for (const auto& [id, entry] : servers_.all()) {
    if (operator_changes_.IsServerProvisionallyOut(id)) servers_out.insert(id);
  }
  servers_.SetProvisionallyOut(
      operator_changes_.IsZoneProvisionallyOut(settings_.zone),
      std::move(servers_out));
}

void Core::State::AdoptRoster() {
  const std::optional<Roster> adopted = roster_keeper_.TakeAdopted();
  if (adopted.has_value()) {
    credits_.AdoptRoster(*adopted, now_);
    commands_.emplace_back(RecordDecision{
        {},
        "credits",
        "Roster epoch " + std::to_string(adopted->epoch) + " with " +
            std::to_string(adopted->hosts.size()) + " hosts is adopted."});
  }
  const auto confirmed = roster_keeper_.confirmed_at();
  if (confirmed.has_value()) {
    credits_.ConfirmRoster(roster_keeper_.epoch(), *confirmed);
  }
}

bool Core::State::RouteJobEvents() {
  const std::vector<JobEvent> events = scheduler_.TakeEvents();
  for (const JobEvent& event : events) {
    std::visit([this](const auto& one) { Route(one); }, event);
  }
  return !events.empty();
}

void Core::State::Route(const JobToken& token) {
  if (const auto* local = std::get_if<LocalOrigin>(&token.origin)) {
    requests_.HandleJobToken(local->request, token);
    return;
  }
  const auto& peer = std::get<PeerOrigin>(token.origin);
  SendPeerMessage send{peer.host, {}};
  messages::StageToken* message = send.message.mutable_stage_token();
  message->set_attempt(peer.attempt);
  message->set_offset(token.offset);
  message->set_text(token.text);
  commands_.emplace_back(std::move(send));
}

void Core::State::Route(const JobEnded& ended) {
  if (const auto* local = std::get_if<LocalOrigin>(&ended.origin)) {
    requests_.HandleJobEnded(local->request, ended, now_);
    return;
  }
  const auto& peer = std::get<PeerOrigin>(ended.origin);
  peer_jobs_.erase({peer.host, peer.attempt});
  SendStageResult(peer, ended);
}

void Core::State::UpdateReadiness() {
  std::string reason;
  if (is_stopping_) {
    reason = "stopping";
  } else if (configuration_ == nullptr) {
    reason = "no configuration";
  } else if (!has_inventory_) {
    reason = "no inventory";
  } else if (servers_.IsZoneOut()) {
    reason = "zone out";
  }
  const Readiness readiness =
      reason.empty() ? Readiness::kReady : Readiness::kNotReady;
  if (announced_readiness_ == readiness && announced_reason_ == reason) return;
  announced_readiness_ = readiness;
  announced_reason_ = reason;
  commands_.emplace_back(SetReadiness{readiness, reason});
}

void Core::State::FinishStopIfIdle() {
  if (!is_stopping_ || is_stop_finished_) return;
  if (requests_.open_requests() > 0 || scheduler_.job_count() > 0) return;
  is_stop_finished_ = true;
  credits_.ReturnLoans(now_);
  ForwardOutgoing();
  commands_.emplace_back(FinishStop{});
}

// Sets the header fields of all outgoing peer messages. Runs once per event,
// over the commands of that event only.
void Core::State::FillPeerHeaders() {
  for (Command& command : commands_) {
    auto* send = std::get_if<SendPeerMessage>(&command);
    if (send == nullptr) continue;
    send->message.set_sender(settings_.host.value());
    send->message.set_incarnation(settings_.incarnation);
    send->message.set_sequence(++last_sequence_);
  }
}

void Core::State::LogDecisions() {
  for (const Command& command : commands_) {
    const auto* decision = std::get_if<RecordDecision>(&command);
    if (decision != nullptr) decisions_.Add(*decision, wall_now_);
  }
}

TimePoint Core::State::ComputeWakeUp() const {
  TimePoint earliest = now_ + kMaximumWakeUpInterval;
  const auto consider = [&earliest](std::optional<TimePoint> due) {
    if (due.has_value()) earliest = std::min(earliest, *due);
  };
  consider(membership_.NextDue());
  consider(credits_.NextDue());
  consider(roster_keeper_.NextDue());
  consider(follower_.NextDue());
  consider(operator_changes_.NextDue());
  consider(requests_.NextDue());
  consider(load_poller_.NextDue());
  consider(scheduler_.NextDue(now_));
  return earliest;
}

}  // namespace lovagecleat::policy
