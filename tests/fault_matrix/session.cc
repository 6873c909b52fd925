#include "tests/fault_matrix/session.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "tests/fault_matrix/session_state.h"

namespace lovagecleat::fault_matrix {

using stand_ins::BackendModel;
using std::chrono::milliseconds;

namespace {

constexpr const char* kConfiguration = R"({"revision": 1,
 "utc_offset_minutes": 0,
 "classes": [
  {"id": "lookup", "pipeline": "lookup", "targets": [{"from_hour": 0, "target_ms": 4000}]},
  {"id": "dispatch", "pipeline": "dispatch", "targets": [{"from_hour": 0, "target_ms": 4000}]},
  {"id": "far", "pipeline": "far", "targets": [{"from_hour": 0, "target_ms": 4000}]}],
 "pipelines": [
  {"id": "lookup", "stages": [{"name": "encode", "service": "encoder"}, {"name": "generate", "service": "llm", "max_tokens": 24}]},
  {"id": "dispatch", "stages": [{"name": "encode", "service": "encoder"}, {"name": "hold", "service": "ledger"}]},
  {"id": "far", "stages": [{"name": "rank", "service": "ranker"}, {"name": "encode", "service": "encoder"}]}],
 "services": [
  {"id": "encoder", "kind": "encoder", "idempotent": true},
  {"id": "llm", "kind": "engine", "idempotent": true},
  {"id": "ranker", "kind": "reranker", "idempotent": true},
  {"id": "ledger", "kind": "plain", "idempotent": false}],
 "zones": [{"id": "east", "state": "in"}, {"id": "west", "state": "in"}],
 "servers_out": []})";

struct ServerSpec {
  const char* id;
  const char* service;
  const char* zone;
  configuration::ServiceKind kind;
  std::uint32_t cold_limit;
  std::uint32_t warm_limit;
};
constexpr ServerSpec kServers[] = {
    {"encoder-east", "encoder", "east", configuration::ServiceKind::kEncoder, 2,
     5},
    {"encoder-west", "encoder", "west", configuration::ServiceKind::kEncoder, 2,
     5},
    {"llm-east-1", "llm", "east", configuration::ServiceKind::kEngine, 2, 6},
    {"llm-east-2", "llm", "east", configuration::ServiceKind::kEngine, 1, 4},
    {"llm-west", "llm", "west", configuration::ServiceKind::kEngine, 2, 6},
    {"ranker-west", "ranker", "west", configuration::ServiceKind::kReranker, 2,
     5},
    {"ledger-east", "ledger", "east", configuration::ServiceKind::kPlain, 1, 3},
    {"ledger-west", "ledger", "west", configuration::ServiceKind::kPlain, 1, 3},
};

constexpr Duration kRequestInterval = milliseconds(16);
constexpr const char* kClasses[] = {"lookup", "dispatch", "lookup", "far",
                                    "dispatch"};
constexpr std::pair<const char*, const char*> kHosts[] = {{"east-a", "east"},
                                                          {"east-b", "east"},
                                                          {"east-c", "east"},
                                                          {"west-a", "west"},
                                                          {"west-b", "west"}};

}  // namespace

Session::Session(std::uint64_t seed) : random_(seed) {
  for (const ServerSpec& spec : kServers) {
    stand_ins::BackendSettings settings;
    settings.id = ServerId(spec.id);
    settings.kind = spec.kind;
    settings.cold_limit = spec.cold_limit;
    settings.warm_limit = spec.warm_limit;
    settings.call_time = milliseconds(25);
    settings.token_time = milliseconds(6);
    settings.warm_up_calls = 6;
    settings.seed = seed;
    auto server = std::make_unique<Server>(settings, now());
    server->service = ServiceId(spec.service);
    server->zone = ZoneId(spec.zone);
    facts_.push_back(
        {settings.id, server->zone, spec.cold_limit, spec.warm_limit});
    servers_.emplace(settings.id, std::move(server));
  }
  WriteConfiguration();
  for (const auto& [id, zone] : kHosts) {
    auto host = std::make_unique<Host>();
    host->id = HostId(id);
    host->zone = ZoneId(zone);
    hosts_.emplace(host->id, std::move(host));
  }
  for (auto& [id, host] : hosts_) StartHost(*host);
  SendInventory();
}

Session::~Session() = default;

void Session::WriteConfiguration() {
  const std::vector<policy::TableWrite> writes{
      {policy::kConfigurationRowKey, 0, kConfiguration}};
  table_.Write(writes);
}

void Session::RecordEvent(TraceBody body) {
  trace_.push_back({now(), std::move(body)});
}

void Session::After(Duration delay, std::function<void()> action) {
  timers_.Schedule(now() + delay, std::move(action));
}

void Session::RunUntil(TimePoint end) {
  while (true) {
    const auto due = timers_.NextDue();
    if (!due || *due > end) break;
    clock_.AdvanceTo(std::max(*due, now()));
    timers_.RunDue(now());
  }
  clock_.AdvanceTo(end);
}

Session::Host& Session::HostOf(const HostId& id) { return *hosts_.at(id); }

BackendModel& Session::server(const ServerId& id) {
  return servers_.at(id)->model;
}

std::uint64_t Session::Count(const std::string& what) const {
  const auto found = counts_.find(what);
  return found == counts_.end() ? 0 : found->second;
}

bool Session::IsAlive(const HostId& host) const {
  const Host& found = *hosts_.at(host);
  return found.core != nullptr && !found.is_stopped;
}

// --- Hosts ------------------------------------------------------------------

void Session::StartHost(Host& host) {
  policy::CoreSettings settings;
  settings.host = host.id;
  settings.zone = host.zone;
  settings.incarnation = ++host.incarnation;
  settings.seed = StableHash(host.id.value(), host.incarnation);
  host.core = std::make_unique<policy::Core>(settings, now(), clock_.WallNow());
  host.is_frozen = false;
  host.is_stopped = false;
  host.revision = 0;
  host.inbox.clear();
  host.pending_commands.clear();
  RecordEvent(HostStarted{host.id});
  ScheduleWakeUp(host);
}

void Session::Deliver(Host& host, policy::Event event) {
  if (host.core == nullptr || host.is_stopped) return;
  if (host.is_frozen) {
    host.inbox.push_back(std::move(event));
    return;
  }
  HandleEvent(host, event);
}

void Session::HandleEvent(Host& host, const policy::Event& event) {
  std::vector<policy::Command> commands =
      host.core->Handle(event, now(), clock_.WallNow());
  const std::uint64_t revision = host.core->configuration_revision();
  if (revision != host.revision) {
    host.revision = revision;
    RecordEvent(RevisionInForce{host.id, revision});
  }
  const std::uint64_t incarnation = host.incarnation;
  for (policy::Command& command : commands) {
    // A fault injected at a step may have stopped or frozen the host meanwhile.
    if (host.core == nullptr || host.incarnation != incarnation) return;
    if (host.is_frozen) {
      host.pending_commands.push_back(std::move(command));
      continue;
    }
    DispatchCommand(host, command);
  }
  ScheduleWakeUp(host);
}

void Session::DispatchCommand(Host& host, const policy::Command& command) {
  std::visit([&](const auto& alternative) { Execute(host, alternative); },
             command);
}

void Session::ScheduleWakeUp(Host& host) {
  if (host.core == nullptr || host.is_stopped) return;
  if (host.wake_up) timers_.Cancel(*host.wake_up);
  const TimePoint due =
      std::max(host.core->NextWakeUp(), now() + milliseconds(1));
  host.wake_up = timers_.Schedule(due, [this, &host] {
    host.wake_up.reset();
    if (host.core == nullptr || host.is_frozen || host.is_stopped) return;
    HandleEvent(host, policy::WakeUp{});
  });
}

void Session::ReportStep(StepKind kind, const Host& host,
                         const ServerId& server, const HostId& peer) {
  if (hook_) hook_({kind, host.id, server, peer});
}

// --- Callers and operators --------------------------------------------------

std::optional<HostId> Session::SelectAliveHost(std::uint64_t preference) const {
  for (std::size_t i = 0; i < std::size(kHosts); ++i) {
    const HostId id(kHosts[(preference + i) % std::size(kHosts)].first);
    const Host& host = *hosts_.at(id);
    if (host.core != nullptr && !host.is_stopped && !host.is_frozen) return id;
  }
  return std::nullopt;
}

void Session::SendRequest(const HostId& id, const std::string& request_class,
                          const std::string& marker, const std::string& key) {
  Host& host = HostOf(id);
  const CallId call(++last_call_);
  requests_[call] = {id, request_class, marker, key, false, false};
  RecordEvent(RequestSent{call, id, marker, key});
  ReportStep(StepKind::kAccept, host);
  policy::CallerRequestArrived arrived;
  arrived.call = call;
  arrived.request_class = ClassId(request_class);
  // A retry uses the same team, since idempotency keys are scoped to a team.
  arrived.team = TeamId("team-" + std::to_string(StableHash(marker) % 3));
  arrived.idempotency_key = key;
  arrived.input = nlohmann::json{{"marker", marker}}.dump();
  arrived.delivery = request_class == "lookup"
                         ? policy::Delivery::kStream
                         : policy::Delivery::kSingleResponse;
  Deliver(host, arrived);
}

// A caller whose host died retries once at another host, with the same key.
void Session::RetryIfUnanswered(CallId call) {
  SentRequest& sent = requests_.at(call);
  if (sent.is_ended || sent.is_retry) return;
  sent.is_ended = true;
  const auto host = SelectAliveHost(call.value());
  if (!host) return;
  const SentRequest retry = sent;
  SendRequest(*host, retry.request_class, retry.marker, retry.key);
  requests_.rbegin()->second.is_retry = true;
}

void Session::StartWorkload(TimePoint from, TimePoint until) {
  std::uint64_t number = 0;
  for (TimePoint at = from; at < until; at += kRequestInterval) {
    ++number;
    timers_.Schedule(at, [this, number] {
      // Sends most requests to one zone, so that hosts lend each other credits.
      const auto host = SelectAliveHost(random_.Below(8));
      if (!host) return;
      const std::string marker = "marker-" + std::to_string(number) + "-";
      const std::string request_class = kClasses[number % std::size(kClasses)];
      const std::string key =
          request_class == "dispatch" ? "key-" + std::to_string(number) : "";
      SendRequest(*host, request_class, marker, key);
    });
  }
}

void Session::Execute(Host& /*host*/, const policy::DeliverToken& command) {
  RecordEvent(TokenDelivered{command.call, command.offset, command.text});
}

void Session::Execute(Host& host, const policy::DeliverAnswer& command) {
  ReportStep(StepKind::kReply, host);
  if (host.core == nullptr) return;
  if (host.is_frozen) {
    host.pending_commands.emplace_back(command);
    return;
  }
  ++answered_;
  requests_[command.call].is_ended = true;
  RecordEvent(AnswerDelivered{command.call, command.output});
}

void Session::Execute(Host& /*host*/, const policy::DeliverRefusal& command) {
  requests_[command.call].is_ended = true;
  RecordEvent(RefusalDelivered{command.call, command.outcome});
}

void Session::SubmitTargetChange(const HostId& id) {
  ReportStep(StepKind::kChangeSubmitted, HostOf(id));
  policy::OperatorChangeSubmitted change;
  change.call = CallId(++last_call_);
  change.change_id = "change-" + std::to_string(++last_change_);
  change.operator_name = "operator";
  change.expected_revision = HostOf(id).revision;
  change.change = configuration::SetTargets{
      ClassId("lookup"),
      {{0, milliseconds(3900 + static_cast<int>(last_change_))}}};
  Deliver(HostOf(id), change);
}

void Session::SubmitZoneOut(const HostId& id, const ZoneId& zone) {
  policy::OperatorChangeSubmitted change;
  change.call = CallId(++last_call_);
  change.change_id = "change-" + std::to_string(++last_change_);
  change.operator_name = "operator";
  change.expected_revision = HostOf(id).revision;
  change.change =
      configuration::SetZoneState{zone, configuration::ZoneState::kOut};
  zone_changes_[change.call] = zone;
  Deliver(HostOf(id), change);
}

void Session::Execute(Host& host, const policy::RespondToOperator& command) {
  ReportStep(StepKind::kChangeAnswered, host);
  const auto body = nlohmann::json::parse(command.body, nullptr, false);
  if (command.status == 409) ++counts_["conflict"];
  if (command.status != 200 || !body.is_object() || !body.contains("revision"))
    return;
  ++counts_["accepted"];
  const auto zone = zone_changes_.find(command.call);
  RecordEvent(
      ChangeAccepted{body["revision"].get<std::uint64_t>(),
                     zone == zone_changes_.end() ? ZoneId() : zone->second});
}

void Session::Execute(Host& host, const policy::FinishStop& /*command*/) {
  host.is_stopped = true;
  ++counts_["stopped"];
  RecordEvent(HostStopped{host.id});
}

}  // namespace lovagecleat::fault_matrix
