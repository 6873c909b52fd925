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
constexpr TimePoint kWorkFrom = kStart + seconds(4);
constexpr TimePoint kStrikesFrom = kStart + seconds(5);
constexpr TimePoint kWorkUntil = kStart + seconds(9);
constexpr TimePoint kEnd = kStart + seconds(21);
constexpr Duration kFaultTime = seconds(3);
// The least share of requests that is answered in a session with faults.
constexpr double kLeastAnswered = 0.3;

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
    {FaultKind::kStoreDown, "store-down"},
    {FaultKind::kStoreSlow, "store-slow"},
    {FaultKind::kStoreAnswerLost, "store-answer-lost"},
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
    {FaultKind::kStaleList, "stale-list"},
}};

template <typename Kind, std::size_t kSize>
std::string_view NameIn(
    const std::array<std::pair<Kind, std::string_view>, kSize>& names,
    Kind kind) {
  return std::find_if(names.begin(), names.end(),
                      [kind](const auto& entry) { return entry.first == kind; })
      ->second;
}

template <typename Kind, std::size_t kSize>
std::optional<Kind> KindIn(
    const std::array<std::pair<Kind, std::string_view>, kSize>& names,
    std::string_view name) {
  for (const auto& [kind, candidate] : names) {
    if (candidate == name) return kind;
  }
  return std::nullopt;
}

std::string NameOf(const Strike& strike) {
  return std::string(NameIn(kSteps, strike.step)) + "/" +
         std::string(NameIn(kFaults, strike.fault));
}

// The host that is not struck itself, for an operator to turn to.
HostId OtherThan(const HostId& host) {
  return HostId(host == HostId("east-b") ? "east-c" : "east-b");
}

// Carries one strike out in a session and proves afterwards that it did.
class Striker {
 public:
  Striker(Session& session, const Strike& strike)
      : session_(session), strike_(strike) {}

  void See(const StepSeen& seen) {
    const bool is_it = !struck_at_ && session_.now() >= kStrikesFrom &&
                       seen.kind == strike_.step;
    if (!is_it) return;
    struck_at_ = session_.now();
    host_ = seen.host;
    server_ = seen.server.empty() ? ServerId("llm-east-1") : seen.server;
    operations_before_ = session_.table().reads() + session_.table().writes();
    for (const auto& [name, unused] : kCounters)
      before_[std::string(name)] = session_.Count(std::string(name));
    Carry();
  }

  bool Struck() const;

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

  void Carry();
  void TakeZoneOut(int tries);
  void Race();
  bool Rose(const std::string& counter) const {
    return session_.Count(counter) > before_.at(counter);
  }
  bool ServerFailedCalls() const;
  bool ServerRanCalls() const;
  bool IsZoneOut() const;
  void Heal(std::function<void()> action) {
    session_.After(kFaultTime, std::move(action));
  }

  Session& session_;
  const Strike strike_;
  std::optional<TimePoint> struck_at_;
  HostId host_;
  ServerId server_;
  std::map<std::string, std::uint64_t> before_;
  std::uint64_t operations_before_ = 0;
  std::uint64_t operations_after_ = 0;
};

void Striker::Carry() {
  Session& session = session_;
  stand_ins::BackendModel& server = session.server(server_);
  switch (strike_.fault) {
    case FaultKind::kKill:
      session.Kill(host_);
      return Heal([&, host = host_] { session.Restart(host); });
    case FaultKind::kFreeze:
      session.Freeze(host_);
      return Heal([&, host = host_] { session.Wake(host); });
    case FaultKind::kSilentConnection:
      if (session.SilenceConnections(server_) > 0) return;
      // The step's own server has no open connection just now.
      for (const ServerFacts& facts : session.servers())
        session.SilenceConnections(facts.id);
      return;
    case FaultKind::kCutZones:
      session.CutZones();
      return Heal([&] { session.HealZones(); });
    case FaultKind::kCutPlatform:
      session.CutFromPlatform(host_);
      return Heal([&, host = host_] { session.HealPlatform(host); });
    case FaultKind::kStoreDown:
      session.table().SetHealth(stand_ins::TableHealth::kOutage);
      return Heal(
          [&] { session.table().SetHealth(stand_ins::TableHealth::kServes); });
    case FaultKind::kStoreSlow:
      session.table().SetDelay(milliseconds(400));
      return Heal([&] {
        session.table().SetDelay(Duration::zero());
        operations_after_ = session.table().reads() + session.table().writes();
      });
    case FaultKind::kStoreAnswerLost:
      return session.table().LoseAnswers(2);
    case FaultKind::kServerCold:
      return session.TurnCold(server_);
    case FaultKind::kServerSlow:
      server.SetSlowFactor(5.0);
      return Heal([&] { server.SetSlowFactor(1.0); });
    case FaultKind::kServerErrors:
      server.SetErrorRate(0.7);
      return Heal([&] { server.SetErrorRate(0.0); });
    case FaultKind::kServerLeaving:
      return session.SetServerState(server_, policy::MemberState::kLeaving);
    case FaultKind::kZoneOut:
      return TakeZoneOut(8);
    case FaultKind::kStop:
      return session.Stop(host_);
    case FaultKind::kRacingChange:
      return Race();
    case FaultKind::kDuplicateMessages:
      session.SetMessageFault(MessageFault::kDuplicate);
      return Heal([&] { session.SetMessageFault(MessageFault::kNone); });
    case FaultKind::kLateMessages:
      session.SetMessageFault(MessageFault::kLate);
      return Heal([&] { session.SetMessageFault(MessageFault::kNone); });
    case FaultKind::kReorderedMessages:
      session.SetMessageFault(MessageFault::kReorder);
      return Heal([&] { session.SetMessageFault(MessageFault::kNone); });
    case FaultKind::kStaleList:
      session.HideFromList(host_);
      return Heal([&] { session.HideFromList(HostId()); });
  }
}

// The operator tries again after a conflict.
void Striker::TakeZoneOut(int tries) {
  session_.After(Duration::zero(), [this, tries] {
    if (tries == 0 || IsZoneOut()) return;
    session_.SubmitZoneOut(OtherThan(host_), ZoneId("west"));
    session_.After(milliseconds(600),
                   [this, tries] { TakeZoneOut(tries - 1); });
  });
}

void Striker::Race() {
  session_.After(Duration::zero(), [this] {
    session_.SubmitTargetChange(OtherThan(host_));
    session_.SubmitTargetChange(HostId("west-a"));
  });
}

bool Striker::ServerRanCalls() const {
  const auto& runs = session_.server(server_).runs();
  return std::any_of(runs.begin(), runs.end(), [&](const auto& run) {
    return run.start >= *struck_at_ && run.start < *struck_at_ + kFaultTime;
  });
}

bool Striker::ServerFailedCalls() const {
  const auto& runs = session_.server(server_).runs();
  return std::any_of(runs.begin(), runs.end(), [&](const auto& run) {
    return run.start >= *struck_at_ &&
           run.outcome == stand_ins::CallOutcome::kFailed;
  });
}

bool Striker::IsZoneOut() const {
  const Trace& trace = session_.trace();
  return std::any_of(trace.begin(), trace.end(), [](const TraceEvent& event) {
    const auto* change = std::get_if<ChangeAccepted>(&event.body);
    return change != nullptr && !change->zone_out.empty();
  });
}

bool Striker::Struck() const {
  if (!struck_at_) return false;
  switch (strike_.fault) {
    case FaultKind::kKill:
      return Rose("killed");
    case FaultKind::kFreeze:
      return Rose("frozen");
    case FaultKind::kSilentConnection:
      return Rose("silenced");
    case FaultKind::kCutZones:
      return Rose("cut_message");
    case FaultKind::kCutPlatform:
      return Rose("cut_table");
    case FaultKind::kStoreDown:
      return Rose("table_unavailable");
    case FaultKind::kStoreSlow:
      return operations_after_ > operations_before_;
    case FaultKind::kStoreAnswerLost:
      return Rose("lost_answer");
    case FaultKind::kServerCold:
      return Rose("turned_cold");
    case FaultKind::kServerSlow:
      return ServerRanCalls();
    case FaultKind::kServerErrors:
      return ServerFailedCalls();
    case FaultKind::kServerLeaving:
      return Rose("left");
    case FaultKind::kZoneOut:
      return IsZoneOut();
    case FaultKind::kStop:
      return Rose("stopped");
    case FaultKind::kRacingChange:
      return Rose("conflict");
    case FaultKind::kDuplicateMessages:
      return Rose("duplicated");
    case FaultKind::kLateMessages:
      return Rose("late");
    case FaultKind::kReorderedMessages:
      return Rose("reordered");
    case FaultKind::kStaleList:
      return session_.Count("stale_list") > 0;
  }
  return false;
}

void Append(Violations& all, const Violations& some) {
  all.insert(all.end(), some.begin(), some.end());
}

// All requests need an encoder. With all of them drained none can be answered.
bool HasEncoderInService(const Session& session) {
  std::set<ZoneId> zones_out;
  std::set<ServerId> leaving;
  for (const TraceEvent& event : session.trace()) {
    if (const auto* change = std::get_if<ChangeAccepted>(&event.body))
      zones_out.insert(change->zone_out);
    if (const auto* leaves = std::get_if<ServerLeaves>(&event.body))
      leaving.insert(leaves->server);
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
  const bool is_served =
      static_cast<double>(session.answered()) >= kLeastAnswered * requests;
  if (!is_served && HasEncoderInService(session))
    all.push_back("only " + std::to_string(session.answered()) + " of " +
                  std::to_string(static_cast<int>(requests)) +
                  " requests were answered");
  return all;
}

}  // namespace

CellResult RunCell(const Cell& cell) {
  Session session(cell.seed);
  std::vector<std::unique_ptr<Striker>> strikers;
  for (const Strike& strike : cell.strikes)
    strikers.push_back(std::make_unique<Striker>(session, strike));
  session.SetStepHook([&](const StepSeen& seen) {
    for (const auto& striker : strikers) striker->See(seen);
  });
  session.StartWorkload(kWorkFrom, kWorkUntil);
  // A change is under way at any time at which a strike may come.
  for (const Duration at : {milliseconds(5100), milliseconds(6300)}) {
    session.After(at, [&] {
      const HostId host("east-a");
      if (session.IsAlive(host)) session.SubmitTargetChange(host);
    });
  }
  session.RunUntil(kEnd);
  CellResult result;
  result.violations = CheckAll(session, kEnd);
  for (std::size_t i = 0; i < strikers.size(); ++i) {
    if (!strikers[i]->Struck())
      result.not_struck.push_back(NameOf(cell.strikes[i]));
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
    cell.strikes.push_back({kSteps[random.Below(kSteps.size())].first,
                            kFaults[random.Below(kFaults.size())].first});
  }
  return cell;
}

std::string NameOf(const Cell& cell) {
  std::string name;
  for (const Strike& strike : cell.strikes)
    name += (name.empty() ? "" : ",") + NameOf(strike);
  return name;
}

std::optional<Cell> CellOfName(std::string_view name, std::uint64_t seed) {
  Cell cell;
  cell.seed = seed;
  while (!name.empty()) {
    const std::size_t comma = std::min(name.find(','), name.size());
    const std::string_view strike = name.substr(0, comma);
    name.remove_prefix(std::min(comma + 1, name.size()));
    const std::size_t slash = strike.find('/');
    if (slash == std::string_view::npos) return std::nullopt;
    const auto step = KindIn(kSteps, strike.substr(0, slash));
    const auto fault = KindIn(kFaults, strike.substr(slash + 1));
    if (!step || !fault) return std::nullopt;
    cell.strikes.push_back({*step, *fault});
  }
  if (cell.strikes.empty()) return std::nullopt;
  return cell;
}

}  // namespace lovagecleat::fault_matrix
