#include "session_simulation.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "platform/platform.h"

namespace lovagecleat::tests {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTableDelay = milliseconds(2);
constexpr Duration kSilentTableTimeout = milliseconds(500);
constexpr Duration kPeerDelay = milliseconds(1);
// 12:00 in Lahore (UTC+5) on Friday, 4 October 2024.
constexpr WallTime kWallStart{std::chrono::hours(24 * 20000 + 7)};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot open file " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string ReadRest(std::istringstream& words) {
  std::string rest;
  std::getline(words >> std::ws, rest);
  return rest;
}

template <typename Id>
Id ReadWord(std::istringstream& words) {
  std::string word;
  words >> word;
  return Id(word == "-" ? "" : word);
}

std::uint64_t ReadNumber(std::istringstream& words) {
  std::uint64_t number = 0;
  words >> number;
  return number;
}

std::string PeerBodyName(const messages::PeerMessage& message) {
  using Body = messages::PeerMessage::BodyCase;
  switch (message.body_case()) {
    case Body::kStageRequest:
      return "stage_request";
    case Body::kStageResult:
      return "stage_result";
    case Body::kConfigurationPush:
      return "configuration_push";
    case Body::kProvisionalDrains:
      return "provisional_drains";
    default:
      return "";
  }
}

}  // namespace

std::string SessionSimulation::Run(const std::string& session) {
  clock_ = ManualClock(kWallStart);
  std::istringstream lines(session);
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.front() != '#') ExecuteLine(line);
  }
  return transcript_;
}

void SessionSimulation::ExecuteLine(const std::string& line) {
  std::istringstream words(line);
  RunUntil(TimePoint{} + milliseconds(ReadNumber(words)));
  std::string verb;
  words >> verb;
  if (verb != "end") transcript_ += "> " + line + "\n";
  ExecuteVerb(verb, words);
}

void SessionSimulation::ExecuteVerb(const std::string& verb,
                                    std::istringstream& words) {
  if (verb == "end") return;
  if (verb == "request") return SubmitRequest(words);
  if (verb == "change") return SubmitChange(words);
  if (verb == "query") return SubmitQuery(words);
  if (verb == "server") return SetServer(words);
  const std::string argument = ReadRest(words);
  if (verb == "deployment") return LoadDeployment(argument);
  if (verb == "start") return StartHost(argument);
  if (verb == "kill") {
    hosts_.at(argument).is_alive = false;
    return;
  }
  if (verb == "stop") {
    return Deliver(hosts_.at(argument), policy::StopRequested{});
  }
  const std::map<std::string, TableMode> modes{
      {"up", TableMode::kAvailable},
      {"down", TableMode::kOutage},
      {"silent", TableMode::kSilent},
      {"loses-answers", TableMode::kDropsResponses}};
  if (verb != "store")
    throw std::runtime_error("unknown verb in a session file: " + verb);
  table_mode_ = modes.at(argument);
}

void SessionSimulation::LoadDeployment(const std::string& name) {
  const std::string folder = std::string(DEPLOYMENTS_DIRECTORY) + "/" + name;
  table_.Write({OperationId(),
                {{policy::kConfigurationRowKey, 0,
                  ReadFile(folder + "/configuration.json")}}});
  // The platform adds the sequence number, which the file may lack.
  std::string json = ReadFile(folder + "/inventory.json");
  if (json.find("\"sequence\"") == std::string::npos) {
    json.insert(json.find('{') + 1, "\"sequence\": 1,");
  }
  inventory_ = platform::InventoryReader().Read(json).value();
}

void SessionSimulation::StartHost(const std::string& name) {
  const auto info = std::find_if(
      inventory_.hosts.begin(), inventory_.hosts.end(),
      [&](const policy::HostInfo& host) { return host.id.value() == name; });
  policy::CoreSettings settings;
  settings.host = HostId(name);
  settings.zone = info->zone;
  settings.incarnation =
      1 + static_cast<std::uint64_t>(clock_.Now().time_since_epoch().count());
  Host& host = hosts_[name];
  host.name = name;
  host.core =
      std::make_unique<policy::Core>(settings, clock_.Now(), clock_.WallNow());
  host.is_alive = true;
  Deliver(host, policy::InventoryArrived{inventory_});
}

void SessionSimulation::SubmitRequest(std::istringstream& words) {
  Host& host = hosts_.at(ReadWord<std::string>(words));
  policy::CallerRequestArrived request;
  request.call = CallId(ReadNumber(words));
  request.request_class = ReadWord<ClassId>(words);
  request.team = ReadWord<TeamId>(words);
  request.idempotency_key = ReadWord<std::string>(words);
  request.input = ReadRest(words);
  Deliver(host, request);
}

void SessionSimulation::SubmitChange(std::istringstream& words) {
  Host& host = hosts_.at(ReadWord<std::string>(words));
  policy::OperatorChangeSubmitted change;
  change.call = CallId(ReadNumber(words));
  change.change_id = ReadWord<std::string>(words);
  change.operator_name = "operator";
  change.expected_revision = ReadNumber(words);
  change.change = configuration::ChangeReader().Read(ReadRest(words)).value();
  Deliver(host, change);
}

void SessionSimulation::SubmitQuery(std::istringstream& words) {
  Host& host = hosts_.at(ReadWord<std::string>(words));
  policy::OperatorQueryArrived query;
  query.call = CallId(ReadNumber(words));
  const std::string kind = ReadWord<std::string>(words);
  query.kind = kind == "audit"     ? policy::OperatorQueryKind::kAudit
               : kind == "explain" ? policy::OperatorQueryKind::kExplain
                                   : policy::OperatorQueryKind::kStatus;
  query.argument = ReadRest(words);
  Deliver(host, query);
}

void SessionSimulation::SetServer(std::istringstream& words) {
  Server& server = servers_[ReadWord<std::string>(words)];
  const std::string mode = ReadWord<std::string>(words);
  if (mode == "cold") {
    ++server.generation;
    server.warmth = policy::Warmth::kCold;
    return;
  }
  const std::map<std::string, ServerMode> modes{
      {"serves", ServerMode::kServes},
      {"fails", ServerMode::kFails},
      {"refuses", ServerMode::kRefuses},
      {"silent", ServerMode::kIsSilent},
      {"answers-twice", ServerMode::kAnswersTwice}};
  server.mode = modes.at(mode);
  const std::uint64_t time = ReadNumber(words);
  if (time != 0) server.service_time = milliseconds(time);
}

// --- Time -------------------------------------------------------------------

void SessionSimulation::After(Duration delay, Action action) {
  actions_.emplace(std::make_pair(clock_.Now() + delay, ++last_action_),
                   std::move(action));
}

void SessionSimulation::RunUntil(TimePoint end) {
  while (true) {
    TimePoint next = end;
    if (!actions_.empty()) next = std::min(next, actions_.begin()->first.first);
    for (const auto& [name, host] : hosts_) {
      if (host.is_alive) next = std::min(next, host.core->NextWakeUp());
    }
    if (next >= end) break;
    // Advances the time also if a wake-up is due at once, so that the loop
    // ends.
    clock_.AdvanceTo(std::max(next, clock_.Now() + Duration(1)));
    while (!actions_.empty() && actions_.begin()->first.first <= clock_.Now()) {
      const Action action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      action();
    }
    WakeHosts();
  }
  if (clock_.Now() < end) clock_.AdvanceTo(end);
}

void SessionSimulation::WakeHosts() {
  for (auto& [name, host] : hosts_) {
    if (host.is_alive && host.core->NextWakeUp() <= clock_.Now()) {
      Deliver(host, policy::WakeUp{});
    }
  }
}

void SessionSimulation::Deliver(Host& host, const policy::Event& event) {
  if (!host.is_alive) return;
  for (const policy::Command& command :
       host.core->Handle(event, clock_.Now(), clock_.WallNow())) {
    std::visit([&](const auto& alternative) { Execute(host, alternative); },
               command);
  }
}

// --- Commands to backend servers, peers and the table -----------------------

void SessionSimulation::Execute(Host& host,
                                const policy::StartBackendCall& call) {
  Log(host, "call " + call.server.value() + " stage=" + call.stage +
                " request=" + call.request.value() +
                " attempt=" + std::to_string(call.attempt.value()));
  Server& server = servers_[call.server.value()];
  ++server.in_flight;
  const auto finish = [this, &host, call](policy::AttemptOutcome outcome,
                                          const std::string& output) {
    return [this, &host, call, outcome, output] {
      FinishCall(host, call, outcome, output);
    };
  };
  const std::string output =
      R"({"by":")" + call.server.value() + R"(","text":")" + call.stage + "\"}";
  const bool has_run = server.mode != ServerMode::kRefuses;
  if (has_run && !call.idempotency_key.empty()) {
    ++executions_[call.idempotency_key];
    Log(host, "ran " + call.stage + " for key " + call.idempotency_key);
  }
  switch (server.mode) {
    case ServerMode::kAnswersTwice:
      After(2 * server.service_time,
            finish(policy::AttemptOutcome::kOk, output));
      [[fallthrough]];
    case ServerMode::kServes:
      return After(server.service_time,
                   finish(policy::AttemptOutcome::kOk, output));
    case ServerMode::kFails:
      return After(server.service_time,
                   finish(policy::AttemptOutcome::kServerError, ""));
    case ServerMode::kRefuses:
      return After(kPeerDelay, finish(policy::AttemptOutcome::kRefused, ""));
    case ServerMode::kIsSilent:
      return After(call.first_byte_timeout,
                   finish(policy::AttemptOutcome::kNoProgress, ""));
  }
}

void SessionSimulation::FinishCall(Host& host,
                                   const policy::StartBackendCall& call,
                                   policy::AttemptOutcome outcome,
                                   const std::string& output) {
  Server& server = servers_[call.server.value()];
  if (server.in_flight > 0) --server.in_flight;
  if (cancelled_.contains({host.name, call.attempt})) return;
  policy::BackendFinished finished{call.attempt, outcome, output, {}};
  if (outcome != policy::AttemptOutcome::kNoProgress) {
    finished.report = MakeReport(server);
  }
  Deliver(host, finished);
}

policy::ServerReport SessionSimulation::MakeReport(const Server& server) const {
  return {server.generation, server.warmth, server.in_flight, {}};
}

void SessionSimulation::Execute(Host& host,
                                const policy::CancelBackendCall& call) {
  Log(host, "cancel attempt=" + std::to_string(call.attempt.value()));
  cancelled_.insert({host.name, call.attempt});
}

void SessionSimulation::Execute(Host& host, const policy::PollLoad& poll) {
  After(kPeerDelay, [this, &host, id = poll.server] {
    Deliver(host, policy::LoadReported{id, MakeReport(servers_[id.value()])});
  });
}

void SessionSimulation::Execute(Host& host,
                                const policy::SendPeerMessage& send) {
  const std::string name = PeerBodyName(send.message);
  if (!name.empty()) Log(host, "tells " + send.host.value() + " " + name);
  After(kPeerDelay, [this, send] {
    const auto found = hosts_.find(send.host.value());
    if (found == hosts_.end()) return;
    Deliver(found->second, policy::PeerMessageArrived{send.message});
  });
}

TableFault SessionSimulation::OperationFault() const {
  switch (table_mode_) {
    case TableMode::kAvailable:
    case TableMode::kDropsResponses:
      return TableFault::kNone;
    case TableMode::kOutage:
      return TableFault::kUnavailable;
    case TableMode::kSilent:
      break;
  }
  return TableFault::kLostRequest;
}

void SessionSimulation::DeliverTableAnswer(
    Host& host, const policy::TableAnswered& answer) {
  const bool is_lost = answer.outcome == policy::TableOutcome::kUnknown;
  After(is_lost ? kSilentTableTimeout : kTableDelay,
        [this, &host, answer] { Deliver(host, answer); });
}

void SessionSimulation::Execute(Host& host, const policy::ReadTable& read) {
  // Only answers to writes are lost, so that a host can read the row back.
  const TableFault fault = table_mode_ == TableMode::kDropsResponses
                               ? TableFault::kNone
                               : OperationFault();
  DeliverTableAnswer(host, table_.Read(read, fault));
}

void SessionSimulation::Execute(Host& host, const policy::ScanTable& scan) {
  policy::TableAnswered answer = table_.Scan(scan);
  if (table_mode_ == TableMode::kOutage || table_mode_ == TableMode::kSilent) {
    answer = {scan.operation, policy::TableOutcome::kUnavailable, {}};
  }
  DeliverTableAnswer(host, answer);
}

void SessionSimulation::Execute(Host& host, const policy::WriteTable& write) {
  std::string keys;
  for (const policy::TableWrite& row_write : write.writes) {
    keys +=
        " " + row_write.key + "@" + std::to_string(row_write.expected_version);
  }
  Log(host, "writes" + keys);
  const bool drops_responses = table_mode_ == TableMode::kDropsResponses;
  policy::TableAnswered answer = table_.Write(
      write, drops_responses ? TableFault::kNone : OperationFault());
  // A refused write has no effect, so its answer is not lost.
  if (drops_responses && answer.outcome == policy::TableOutcome::kOk) {
    answer = {write.operation, policy::TableOutcome::kUnknown, {}};
  }
  DeliverTableAnswer(host, answer);
}

// --- Results for callers, operators and the process -------------------------

void SessionSimulation::Execute(Host& host, const policy::DeliverToken& token) {
  Log(host, "token call=" + std::to_string(token.call.value()) +
                " offset=" + std::to_string(token.offset));
}

void SessionSimulation::Execute(Host& host,
                                const policy::DeliverAnswer& answer) {
  Log(host, "ANSWER call=" + std::to_string(answer.call.value()) + " " +
                answer.output + (answer.within_target ? "" : " late"));
}

void SessionSimulation::Execute(Host& host,
                                const policy::DeliverRefusal& refusal) {
  Log(host, "REFUSAL call=" + std::to_string(refusal.call.value()) + " " +
                std::string(policy::ToString(refusal.reason)) + " " +
                std::string(policy::ToString(refusal.outcome)));
}

void SessionSimulation::Execute(Host& host,
                                const policy::RespondToOperator& answer) {
  Log(host, "OPERATOR call=" + std::to_string(answer.call.value()) + " " +
                std::to_string(answer.status) + " " + answer.body);
}

void SessionSimulation::Execute(Host& host,
                                const policy::SetReadiness& readiness) {
  const bool is_ready = readiness.readiness == policy::Readiness::kReady;
  Log(host, is_ready ? "ready" : "not ready: " + readiness.reason);
}

void SessionSimulation::Execute(Host& host,
                                const policy::RecordDecision& decision) {
  Log(host, "decides " + decision.part + ": " + decision.text);
}

void SessionSimulation::Execute(Host& host,
                                const policy::FinishStop& /*stop*/) {
  Log(host, "stopped");
  host.is_alive = false;
}

void SessionSimulation::Execute(Host& /*host*/,
                                const policy::ConnectPeers& /*connect*/) {}

void SessionSimulation::Log(const Host& host, const std::string& text) {
  const auto at =
      std::chrono::duration_cast<milliseconds>(clock_.Now().time_since_epoch());
  transcript_ +=
      std::to_string(at.count()) + " " + host.name + " " + text + "\n";
}

}  // namespace lovagecleat::tests
