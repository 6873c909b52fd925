#include "tests/fault_matrix/checkers.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "tests/fault_matrix/cell.h"

namespace lovagecleat::fault_matrix {
namespace {

using policy::RequestOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

const HostId kHost("a");
const ServerId kServer("s");
const std::vector<ServerFacts> kServers{{kServer, ZoneId("z"), 1, 2}};

TimePoint At(int milliseconds_from_start) {
  return TimePoint{} + milliseconds(milliseconds_from_start);
}

TraceEvent Sent(int at, std::uint64_t call, const std::string& marker) {
  return {At(at), RequestSent{CallId(call), kHost, marker, "key"}};
}

TraceEvent Started(int at, std::uint64_t execution,
                   Repeatability repeatability = Repeatability::kIdempotent) {
  return {At(at), ExecutionStarted{kServer, kHost, execution, "m1", "key",
                                   repeatability}};
}

TraceEvent Answered(int at, std::uint64_t call, const std::string& output) {
  return {At(at), AnswerDelivered{CallId(call), output}};
}

TEST_CASE("An answer to another request is reported") {
  REQUIRE(CheckAnswers({Sent(1, 1, "m1"), Answered(2, 1, "m1")}).empty());
  REQUIRE_FALSE(CheckAnswers({Sent(1, 1, "m1"), Answered(2, 1, "m2")}).empty());
}

TEST_CASE("A second answer and a token after the answer are reported") {
  const Trace answered{Sent(1, 1, "m1"), Answered(2, 1, "m1")};
  Trace twice = answered;
  twice.push_back(Answered(3, 1, "m1"));
  REQUIRE_FALSE(CheckAnswers(twice).empty());
  Trace late = answered;
  late.push_back({At(3), TokenDelivered{CallId(1), 0, "x"}});
  REQUIRE_FALSE(CheckAnswers(late).empty());
}

TEST_CASE("More calls than the cold or the warm limit are reported") {
  REQUIRE(CheckLimits({Started(1, 1)}, kServers).empty());
  REQUIRE_FALSE(CheckLimits({Started(1, 1), Started(2, 2)}, kServers).empty());
  const TraceEvent warm{At(0), ServerTurnedWarm{kServer}};
  REQUIRE(CheckLimits({warm, Started(1, 1), Started(2, 2)}, kServers).empty());
  REQUIRE_FALSE(
      CheckLimits({warm, Started(1, 1), Started(2, 2), Started(3, 3)}, kServers)
          .empty());
  const TraceEvent ended{At(2), ExecutionEnded{kServer, 1}};
  REQUIRE(CheckLimits({Started(1, 1), ended, Started(2, 2)}, kServers).empty());
}

TEST_CASE("Calls sent before a server reports its cold start do not count") {
  const TraceEvent warm{At(0), ServerTurnedWarm{kServer}};
  const TraceEvent cold{At(1), ServerTurnedCold{kServer}};
  const TraceEvent report{At(3), GenerationReported{kServer}};
  REQUIRE(CheckLimits({warm, cold, Started(2, 1), report, Started(100, 2)},
                      kServers)
              .empty());
  REQUIRE_FALSE(
      CheckLimits({warm, cold, report, Started(100, 1), Started(101, 2)},
                  kServers)
          .empty());
}

TEST_CASE(
    "Work sent to a drained zone or server by an informed host is reported") {
  const TraceEvent leaves{At(0), ServerLeaves{kServer}};
  const TraceEvent out{At(0), ChangeAccepted{2, ZoneId("z")}};
  for (const TraceEvent& drain : {leaves, out}) {
    REQUIRE(CheckDrains({drain, Started(1000, 1)}, kServers).empty());
    REQUIRE_FALSE(CheckDrains({drain, Started(6000, 1)}, kServers).empty());
    const TraceEvent cut{At(100), HostDisturbed{kHost}};
    const TraceEvent healed{At(5000), HostRestored{kHost}};
    REQUIRE(CheckDrains({drain, cut, Started(6000, 1)}, kServers).empty());
    REQUIRE_FALSE(
        CheckDrains({drain, cut, healed, Started(9900, 1)}, kServers).empty());
  }
}

TEST_CASE("A false \"not run\" is reported") {
  const TraceEvent refused{
      At(9), RefusalDelivered{CallId(1), RequestOutcome::kNotRun}};
  REQUIRE(CheckNotRun({Sent(1, 1, "m1"), refused}).empty());
  REQUIRE_FALSE(
      CheckNotRun({Sent(1, 1, "m1"),
                   Started(2, 1, Repeatability::kNonIdempotent), refused})
          .empty());
}

TEST_CASE("A second execution for an idempotency key is reported") {
  const TraceEvent first = Started(1, 1, Repeatability::kNonIdempotent);
  const TraceEvent second = Started(2, 2, Repeatability::kNonIdempotent);
  REQUIRE(CheckAtMostOnce({first, Started(2, 2)}).empty());
  REQUIRE_FALSE(CheckAtMostOnce({first, second}).empty());
}

TEST_CASE(
    "A gap, a repeated token and a changed text in a stream are reported") {
  const TraceEvent zero{At(1), TokenDelivered{CallId(1), 0, "a"}};
  const TraceEvent one{At(2), TokenDelivered{CallId(1), 1, "b"}};
  REQUIRE(CheckStreams({zero, one, Answered(3, 1, "ab")}).empty());
  REQUIRE_FALSE(CheckStreams({one}).empty());
  REQUIRE_FALSE(CheckStreams({zero, zero}).empty());
  REQUIRE_FALSE(CheckStreams({zero, one, Answered(3, 1, "ac")}).empty());
}

TEST_CASE("A stop that leaves a call open is reported") {
  const TraceEvent requested{At(2), HostStopRequested{kHost}};
  const TraceEvent stopped{At(9), HostStopped{kHost}};
  REQUIRE(CheckGracefulStop(
              {Sent(1, 1, "m1"), requested, Answered(3, 1, "m1"), stopped})
              .empty());
  REQUIRE_FALSE(
      CheckGracefulStop({Sent(1, 1, "m1"), requested, stopped}).empty());
}

TEST_CASE("A revision that decreases or does not arrive is reported") {
  const TraceEvent started{At(0), HostStarted{kHost}};
  const TraceEvent accepted{At(1), ChangeAccepted{2, {}}};
  const TraceEvent two{At(2), RevisionInForce{kHost, 2}};
  const TraceEvent one{At(3), RevisionInForce{kHost, 1}};
  const TimePoint end = At(20000);
  REQUIRE(CheckRevisions({started, accepted, two}, end).empty());
  REQUIRE_FALSE(CheckRevisions({started, accepted}, end).empty());
  REQUIRE_FALSE(CheckRevisions({started, two, one}, end).empty());
  const TraceEvent cut{At(0), HostDisturbed{kHost}};
  REQUIRE(CheckRevisions({started, cut, accepted}, end).empty());
}

TEST_CASE("A request without an outcome is reported, unless its host died") {
  const TraceEvent died{At(2), HostDied{kHost}};
  REQUIRE_FALSE(CheckCompletion({Sent(1, 1, "m1")}, At(20000)).empty());
  REQUIRE(CheckCompletion({Sent(1, 1, "m1"), died}, At(20000)).empty());
}

TEST_CASE("A cell whose fault has no effect fails") {
  const auto cell = ParseCell("accept/kill,accept/kill", 1);
  REQUIRE(cell);
  // The second kill is injected into a host that is dead already.
  REQUIRE_FALSE(RunCell(*cell).Passed());
}

TEST_CASE("Equal cells give equal results") {
  const auto cell = ParseCell("send/late-messages,admit/server-cold", 7);
  const CellResult first = RunCell(*cell);
  const CellResult second = RunCell(*cell);
  REQUIRE(first.violations == second.violations);
  REQUIRE(first.ineffective_faults == second.ineffective_faults);
}

}  // namespace
}  // namespace lovagecleat::fault_matrix
