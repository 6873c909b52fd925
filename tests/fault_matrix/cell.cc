#include "tests/fault_matrix/cell.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <set>
#include <utility>

namespace lovagecleat::fault_matrix {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{};
constexpr TimePoint kWorkloadStart = kStart + seconds(4);
constexpr TimePoint kInjectionStart = kStart + seconds(5);
constexpr TimePoint kWorkloadEnd = kStart + seconds(9);
constexpr TimePoint kEnd = kStart + seconds(21);
constexpr Duration kFaultDuration = seconds(3);
// Minimum share of requests that are answered in a session with faults.
constexpr double kMinimumAnsweredShare = 0.3;

constexpr std::array<std::pair<StepKind, std::string_view>, 18> kSteps{{
    {StepKind::kAccept, "accept"},
    {StepKind::kAdmit, "admit"},
    {StepKind::kWriteIntent, "write-intent"},
    {StepKind::kIntentAnswered, "intent-answered"},
    {StepKind::kSend, "send"},
    {StepKind::kFirstByte, "first-byte"},
    {StepKind::kMidStream, "mid-stream"},
    {StepKind::kStageDone, "stage-done"},
    {StepKind::kHandOver, "hand-over"},
    {StepKind::kHandOverAnswered, "hand-over-answered"},
    {StepKind::kReply, "reply"},
    {StepKind::kChangeSubmitted, "change-submitted"},
    {StepKind::kChangeWritten, "change-written"},
    {StepKind::kChangeAnswered, "change-answered"},
    {StepKind::kConfigurationPushed, "configuration-pushed"},
    {StepKind::kLoanAsked, "loan-asked"},
    {StepKind::kLoanGranted, "loan-granted"},
    {StepKind::kLoanReturned, "loan-returned"},
}};

constexpr std::array<std::pair<FaultKind, std::string_view>, 19> kFaults{{
    {FaultKind::kKill, "kill"},
    {FaultKind::kFreeze, "freeze"},
    {FaultKind::kSilentConnection, "silent-connection"},
    {FaultKind::kCutZones, "cut-zones"},
    {FaultKind::kCutPlatform, "cut-platform"},
    {FaultKind::kTableOutage, "store-down"},
    {FaultKind::kTableSlow, "store-slow"},
    {FaultKind::kTableResponseLost, "store-answer-lost"},
    {FaultKind::kServerCold, "server-cold"},
    {FaultKind::kServerSlow, "server-slow"},
    {FaultKind::kServerErrors, "server-errors"},
    {FaultKind::kServerLeaving, "server-leaving"},
    {FaultKind::kZoneOut, "zone-out"},
    {FaultKind::kStop, "stop"},
    {FaultKind::kRacingChange, "racing-change"},
    {FaultKind::kDuplicateMessages, "duplicate-messages"},
    {FaultKind::kLateMessages, "late-messages"},
    {FaultKind::kReorderedMessages, "reordered-messages"},
    {FaultKind::kStaleInventory, "stale-list"},
}};

template <typename Kind, std::size_t kSize>
std::string_view FindName(
    const std::array<std::pair<Kind, std::string_view>, kSize>& names,
    Kind kind) {
  return std::find_if(names.begin(), names.end(),
                      [kind](const auto& entry) { return entry.first == kind; })
      ->second;
}

template <typename Kind, std::size_t kSize>
std::optional<Kind> FindKind(
    const std::array<std::pair<Kind, std::string_view>, kSize>& names,
    std::string_view name) {
  for (const auto& [kind, candidate] : names) {
    if (candidate == name) return kind;
  }
  return std::nullopt;
}

std::string NameOf(const FaultInjection& injection) {
  return std::string(FindName(kSteps, injection.step)) + "/" +
         std::string(FindName(kFaults, injection.fault));
}

// Returns a host other than the faulty one, to which an operator submits.
HostId ChooseOperatorHost(const HostId& host) {
  return HostId(host == HostId("east-b") ? "east-c" : "east-b");
}

// Injects one fault into a session and checks afterwards that it had an effect.
class FaultInjector {
 public:
  FaultInjector(Session& session, const FaultInjection& injection)
      : session_(session), injection_(injection) {}

  void ObserveStep(const StepEvent& event) {
    const bool is_due = !injected_at_ && session_.now() >= kInjectionStart &&
                        event.kind == injection_.step;
    if (!is_due) return;
    injected_at_ = session_.now();
    host_ = event.host;
    server_ = event.server.empty() ? ServerId("llm-east-1") : event.server;
    operations_before_ = session_.table().reads() + session_.table().writes();
    for (const auto& [name, unused] : kCounters)
      counts_before_[std::string(name)] = session_.Count(std::string(name));
    Inject();
  }

  bool HasTakenEffect() const;

 private:
  static constexpr std::array<std::pair<std::string_view, int>, 14> kCounters{
      {{"killed", 0},
       {"frozen", 0},
       {"silenced", 0},
       {"cut_message", 0},
       {"cut_table", 0},
       {"table_unavailable", 0},
       {"lost_answer", 0},
       {"turned_cold", 0},
       {"left", 0},
       {"stopped", 0},
       {"conflict", 0},
       {"duplicated", 0},
       {"late", 0},
       {"reordered", 0}}};

  void Inject();
  void TakeZoneOut(int remaining_tries);
  void SubmitRacingChanges();
  bool HasIncreased(const std::string& counter) const {
    return session_.Count(counter) > counts_before_.at(counter);
  }
  bool ServerFailedCalls() const;
  bool ServerRanCalls() const;
  bool IsZoneOut() const;
  void ScheduleRecovery(std::function<void()> action) {
    session_.After(kFaultDuration, std::move(action));
  }

  Session& session_;
  const FaultInjection injection_;
  std::optional<TimePoint> injected_at_;
  HostId host_;
  ServerId server_;
  std::map<std::string, std::uint64_t> counts_before_;
  std::uint64_t operations_before_ = 0;
  std::uint64_t operations_after_ = 0;
};

void FaultInjector::Inject() {
  Session& session = session_;
  stand_ins::BackendModel& server = session.server(server_);
  switch (injection_.fault) {
    case FaultKind::kKill:
      session.Kill(host_);
      return ScheduleRecovery([&, host = host_] { session.Restart(host); });
    case FaultKind::kFreeze:
      session.Freeze(host_);
      return ScheduleRecovery([&, host = host_] { session.Resume(host); });
    case FaultKind::kSilentConnection:
      if (session.SilenceConnections(server_) > 0) return;
      // The server of the step has no open connection at this time.
      for (const ServerFacts& facts : session.servers())
        session.SilenceConnections(facts.id);
      return;
    case FaultKind::kCutZones:
      session.CutZones();
      return ScheduleRecovery([&] { session.HealZones(); });
    case FaultKind::kCutPlatform:
      session.CutFromPlatform(host_);
      return ScheduleRecovery(
          [&, host = host_] { session.HealPlatform(host); });
    case FaultKind::kTableOutage:
      session.table().SetHealth(stand_ins::TableHealth::kOutage);
      return ScheduleRecovery([&] {
        session.table().SetHealth(stand_ins::TableHealth::kAvailable);
      });
    case FaultKind::kTableSlow:
      session.table().SetDelay(milliseconds(400));
      return ScheduleRecovery([&] {
        session.table().SetDelay(Duration::zero());
        operations_after_ = session.table().reads() + session.table().writes();
      });
    case FaultKind::kTableResponseLost:
      return session.table().DropResponses(2);
    case FaultKind::kServerCold:
      return session.ResetToCold(server_);
    case FaultKind::kServerSlow:
      server.SetSlowFactor(5.0);
      return ScheduleRecovery([&] { server.SetSlowFactor(1.0); });
    case FaultKind::kServerErrors:
      server.SetErrorRate(0.7);
      return ScheduleRecovery([&] { server.SetErrorRate(0.0); });
    case FaultKind::kServerLeaving:
      return session.SetServerState(server_, policy::MemberState::kLeaving);
    case FaultKind::kZoneOut:
      return TakeZoneOut(8);
    case FaultKind::kStop:
      return session.Stop(host_);
    case FaultKind::kRacingChange:
      return SubmitRacingChanges();
    case FaultKind::kDuplicateMessages:
      session.SetMessageFault(MessageFault::kDuplicate);
      return ScheduleRecovery(
          [&] { session.SetMessageFault(MessageFault::kNone); });
    case FaultKind::kLateMessages:
      session.SetMessageFault(MessageFault::kLate);
      return ScheduleRecovery(
          [&] { session.SetMessageFault(MessageFault::kNone); });
    case FaultKind::kReorderedMessages:
      session.SetMessageFault(MessageFault::kReorder);
      return ScheduleRecovery(
          [&] { session.SetMessageFault(MessageFault::kNone); });
    case FaultKind::kStaleInventory:
      session.HideFromInventory(host_);
      return ScheduleRecovery([&] { session.HideFromInventory(HostId()); });
  }
}

// Retries, since the change may fail with a conflict.
void FaultInjector::TakeZoneOut(int remaining_tries) {
  session_.After(Duration::zero(), [this, remaining_tries] {
    if (remaining_tries == 0 || IsZoneOut()) return;
    session_.SubmitZoneOut(ChooseOperatorHost(host_), ZoneId("west"));
    session_.After(milliseconds(600), [this, remaining_tries] {
      TakeZoneOut(remaining_tries - 1);
    });
  });
}

void FaultInjector::SubmitRacingChanges() {
  session_.After(Duration::zero(), [this] {
    session_.SubmitTargetChange(ChooseOperatorHost(host_));
    session_.SubmitTargetChange(HostId("west-a"));
  });
}

bool FaultInjector::ServerRanCalls() const {
  const auto& runs = session_.server(server_).runs();
  return std::any_of(runs.begin(), runs.end(), [&](const auto& run) {
    return run.start >= *injected_at_ &&
           run.start < *injected_at_ + kFaultDuration;
  });
}

bool FaultInjector::ServerFailedCalls() const {
  const auto& runs = session_.server(server_).runs();
  return std::any_of(runs.begin(), runs.end(), [&](const auto& run) {
    return run.start >= *injected_at_ &&
           run.outcome == stand_ins::CallOutcome::kFailed;
  });
}

bool FaultInjector::IsZoneOut() const {
  const Trace& trace = session_.trace();
  return std::any_of(trace.begin(), trace.end(), [](const TraceEvent& event) {
    const auto* change = std::get_if<ChangeAccepted>(&event.body);
    return change != nullptr && !change->zone_out.empty();
  });
}

bool FaultInjector::HasTakenEffect() const {
  if (!injected_at_) return false;
  switch (injection_.fault) {
    case FaultKind::kKill:
      return HasIncreased("killed");
    case FaultKind::kFreeze:
      return HasIncreased("frozen");
    case FaultKind::kSilentConnection:
      return HasIncreased("silenced");
    case FaultKind::kCutZones:
      return HasIncreased("cut_message");
    case FaultKind::kCutPlatform:
      return HasIncreased("cut_table");
    case FaultKind::kTableOutage:
      return HasIncreased("table_unavailable");
    case FaultKind::kTableSlow:
      return operations_after_ > operations_before_;
    case FaultKind::kTableResponseLost:
      return HasIncreased("lost_answer");
    case FaultKind::kServerCold:
      return HasIncreased("turned_cold");
    case FaultKind::kServerSlow:
      return ServerRanCalls();
    case FaultKind::kServerErrors:
      return ServerFailedCalls();
    case FaultKind::kServerLeaving:
      return HasIncreased("left");
    case FaultKind::kZoneOut:
      return IsZoneOut();
    case FaultKind::kStop:
      return HasIncreased("stopped");
    case FaultKind::kRacingChange:
      return HasIncreased("conflict");
    case FaultKind::kDuplicateMessages:
      return HasIncreased("duplicated");
    case FaultKind::kLateMessages:
      return HasIncreased("late");
    case FaultKind::kReorderedMessages:
      return HasIncreased("reordered");
    case FaultKind::kStaleInventory:
      return session_.Count("stale_list") > 0;
  }
  return false;
}

void Append(Violations& all, const Violations& added) {
  all.insert(all.end(), added.begin(), added.end());
}

// All requests need an encoder: with all encoders drained none can be answered.
bool HasEncoderInService(const Session& session) {
  std::set<ZoneId> zones_out;
  std::set<ServerId> leaving;
  for (const TraceEvent& event : session.trace()) {
    if (const auto* change = std::get_if<ChangeAccepted>(&event.body))
      zones_out.insert(change->zone_out);
    if (const auto* left = std::get_if<ServerLeaves>(&event.body))
      leaving.insert(left->server);
  }
  const auto& servers = session.servers();
  return std::any_of(servers.begin(), servers.end(), [&](const auto& facts) {
    return facts.id.value().starts_with("encoder") &&
           !zones_out.contains(facts.zone) && !leaving.contains(facts.id);
  });
}

Violations CheckAll(const Session& session, TimePoint end) {
  const Trace& trace = session.trace();
  Violations all;
  Append(all, CheckAnswers(trace));
  Append(all, CheckLimits(trace, session.servers()));
  Append(all, CheckDrains(trace, session.servers()));
  Append(all, CheckNotRun(trace));
  Append(all, CheckAtMostOnce(trace));
  Append(all, CheckStreams(trace));
  Append(all, CheckGracefulStop(trace));
  Append(all, CheckRevisions(trace, end));
  Append(all, CheckCompletion(trace, end));
  const auto requests = static_cast<double>(
      std::count_if(trace.begin(), trace.end(), [](const TraceEvent& event) {
        return std::holds_alternative<RequestSent>(event.body);
      }));
  const bool is_served = static_cast<double>(session.answered()) >=
                         kMinimumAnsweredShare * requests;
  if (!is_served && HasEncoderInService(session))
    all.push_back("only " + std::to_string(session.answered()) + " of " +
                  std::to_string(static_cast<int>(requests)) +
                  " requests were answered, below the minimum share");
  return all;
}

}  // namespace

CellResult RunCell(const Cell& cell) {
  Session session(cell.seed);
  std::vector<std::unique_ptr<FaultInjector>> injectors;
  for (const FaultInjection& injection : cell.injections)
    injectors.push_back(std::make_unique<FaultInjector>(session, injection));
  session.SetStepHook([&](const StepEvent& event) {
    for (const auto& injector : injectors) injector->ObserveStep(event);
  });
  session.StartWorkload(kWorkloadStart, kWorkloadEnd);
  // Keeps a change in progress whenever a fault may be injected.
  for (const Duration at : {milliseconds(5100), milliseconds(6300)}) {
    session.After(at, [&] {
      const HostId host("east-a");
      if (session.IsAlive(host)) session.SubmitTargetChange(host);
    });
  }
  session.RunUntil(kEnd);
  CellResult result;
  result.violations = CheckAll(session, kEnd);
  for (std::size_t i = 0; i < injectors.size(); ++i) {
    if (!injectors[i]->HasTakenEffect())
      result.ineffective_faults.push_back(NameOf(cell.injections[i]));
  }
  return result;
}

std::vector<Cell> SingleFaultCells() {
  std::vector<Cell> cells;
  for (const auto& [step, step_name] : kSteps) {
    for (const auto& [fault, fault_name] : kFaults)
      cells.push_back({{{step, fault}}, 1});
  }
  return cells;
}

Cell SamplePair(Random& random) {
  Cell cell;
  cell.seed = 1 + random.Below(1000);
  for (int i = 0; i < 2; ++i) {
    cell.injections.push_back({kSteps[random.Below(kSteps.size())].first,
                               kFaults[random.Below(kFaults.size())].first});
  }
  return cell;
}

std::string NameOf(const Cell& cell) {
  std::string name;
  for (const FaultInjection& injection : cell.injections)
    name += (name.empty() ? "" : ",") + NameOf(injection);
  return name;
}

std::optional<Cell> ParseCell(std::string_view name, std::uint64_t seed) {
  Cell cell;
  cell.seed = seed;
  while (!name.empty()) {
    const std::size_t comma = std::min(name.find(','), name.size());
    const std::string_view injection = name.substr(0, comma);
    name.remove_prefix(std::min(comma + 1, name.size()));
    const std::size_t slash = injection.find('/');
    if (slash == std::string_view::npos) return std::nullopt;
    const auto step = FindKind(kSteps, injection.substr(0, slash));
    const auto fault = FindKind(kFaults, injection.substr(slash + 1));
    if (!step || !fault) return std::nullopt;
    cell.injections.push_back({*step, *fault});
  }
  if (cell.injections.empty()) return std::nullopt;
  return cell;
}

}  // namespace lovagecleat::fault_matrix
