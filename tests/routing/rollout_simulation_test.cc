#include "rollout_simulation.h"

#include <catch2/catch.hpp>
#include <string>

// Whole roll-outs of several hosts under virtual time, against the bounds on
// what a bad version may cost.
namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTime = seconds(60);
constexpr double kTimeInSeconds = 60;

// A version that fails or answers slowly in one of the ways that are known.
struct BadVersion {
  const char* name;
  RolloutSimulation::Behaviour behaviour;
};

RolloutSimulation::Answer FailIf(bool fails) { return {fails, 1}; }

const BadVersion kBadVersions[] = {
    {"fails at once", [](double, std::size_t, double, std::size_t,
                         double random) { return FailIf(random < 0.3); }},
    {"fails always", [](double, std::size_t, double, std::size_t,
                        double) { return FailIf(true); }},
    {"fails seldom", [](double, std::size_t, double, std::size_t,
                        double random) { return FailIf(random < 0.12); }},
    {"fails late",
     [](double at, std::size_t, double, std::size_t, double random) {
       return FailIf(at > 30 && random < 0.3);
     }},
    {"fails under load",
     [](double, std::size_t, double rate, std::size_t, double random) {
       return FailIf(rate > 40 && random < 0.5);
     }},
    {"fails on one route",
     [](double, std::size_t route, double, std::size_t, double random) {
       return FailIf(route == 2 && random < 0.5);
     }},
    {"is slow",
     [](double, std::size_t, double, std::size_t,
        double random) -> RolloutSimulation::Answer {
       return {false, random < 0.4 ? 5.0 : 1.0};
     }},
    {"is slow late",
     [](double at, std::size_t, double, std::size_t,
        double random) -> RolloutSimulation::Answer {
       return {false, at > 25 && random < 0.5 ? 6.0 : 1.0};
     }}};

void RequireBounds(const RolloutSimulation& simulation,
                   const RolloutBounds& bounds) {
  CAPTURE(simulation.sent_new(), simulation.requests(),
          simulation.bad_answers(), simulation.sent_after_bound());
  CHECK(static_cast<double>(simulation.sent_new()) <=
        simulation.AllowedRequests());
  CHECK(simulation.sent_after_bound() <=
        std::chrono::duration<double>(bounds.rollback_time).count());
}

RolloutState FinalState(const RolloutSimulation& simulation) {
  REQUIRE(simulation.status());
  return simulation.status()->state;
}

// Guards against sound versions that are rolled back or not completed in time.
TEST_CASE("A sound version is completed before its deadline") {
  RolloutSimulation::Options options;
  options.hosts = GENERATE(1U, 3U, 6U, 30U, 80U);
  options.seed = GENERATE(1U, 2U, 3U);
  options.requests_per_second = GENERATE(5.0, 100.0);
  CAPTURE(options.hosts, options.seed, options.requests_per_second);
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  simulation.Run(kTime + seconds(5));
  CHECK(FinalState(simulation) == RolloutState::kCompleted);
  REQUIRE(simulation.ended_at());
  CHECK(*simulation.ended_at() <= kTimeInSeconds);
  CHECK(*simulation.ended_at() >= kTimeInSeconds / 2);
  CHECK(simulation.unserved() == 0);
  CHECK(simulation.cut_off() <= 2);
  // Before the deadline it may still have proved bad.
  RequireBounds(simulation, options.bounds);
}

// Guards against versions that get all requests long before they must, so that
// a late fault costs more and is found under full load only for a short time.
TEST_CASE("Requests are moved as late as the deadline allows") {
  RolloutSimulation::Options options;
  options.hosts = GENERATE(1U, 6U, 80U);
  options.requests_per_second = GENERATE(5.0, 100.0);
  CAPTURE(options.hosts, options.requests_per_second);
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  const auto count = [&](RolloutPhase phase) {
    std::size_t found = 0;
    for (std::size_t i = 0; i < options.hosts; ++i) {
      const Rollout* rollout = simulation.rollouts(i).Find(ServiceId("orders"));
      if (rollout != nullptr && rollout->phase() == phase) ++found;
    }
    return found;
  };
  // At most 10 s of moving end 1.2 s before the deadline.
  simulation.Run(seconds(48));
  CHECK(count(RolloutPhase::kCanary) == options.hosts);
  simulation.Run(milliseconds(10500));
  CHECK(count(RolloutPhase::kMoving) == options.hosts);
}

// Guards against bad versions that get more than they may, or are completed.
TEST_CASE("A bad version is rolled back within the bounds") {
  RolloutSimulation::Options options;
  const auto bad = GENERATE(range(std::size_t{0}, std::size(kBadVersions)));
  options.hosts = GENERATE(3U, 12U, 80U);
  options.seed = GENERATE(1U, 2U, 3U);
  options.behaviour = kBadVersions[bad].behaviour;
  CAPTURE(kBadVersions[bad].name, options.hosts, options.seed);
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  simulation.Run(kTime + seconds(5));
  CHECK(FinalState(simulation) == RolloutState::kRolledBack);
  CHECK(simulation.unserved() == 0);
  RequireBounds(simulation, options.bounds);
}

// Guards against bad versions that get more than they may at services with
// little traffic, where few answers show anything.
TEST_CASE("A bad version with little traffic stays within the bounds") {
  RolloutSimulation::Options options;
  options.hosts = GENERATE(3U, 80U);
  options.requests_per_second = GENERATE(0.5, 2.0, 8.0);
  options.seed = GENERATE(1U, 2U, 3U, 4U);
  options.behaviour = kBadVersions[0].behaviour;
  CAPTURE(options.hosts, options.requests_per_second, options.seed);
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  simulation.Run(kTime);
  RequireBounds(simulation, options.bounds);
  if (options.requests_per_second >= 8)
    CHECK(FinalState(simulation) == RolloutState::kRolledBack);
}

// Guards against sound versions that are rolled back because all servers fail
// for a time, as in a disruption of the network.
TEST_CASE("A disruption of all versions does not end a roll-out") {
  RolloutSimulation::Options options;
  options.hosts = GENERATE(3U, 30U);
  options.seed = GENERATE(range(1U, 11U));
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  simulation.Run(seconds(20));
  simulation.SetFailuresOfAll(0.3);
  simulation.Run(seconds(10));
  simulation.SetFailuresOfAll(0);
  simulation.Run(seconds(35));
  CAPTURE(options.hosts, options.seed);
  CHECK(FinalState(simulation) == RolloutState::kCompleted);
}

// Guards against sound versions that are rolled back for one ill server.
TEST_CASE("One ill server does not end a roll-out") {
  RolloutSimulation::Options options;
  options.seed = GENERATE(range(1U, 6U));
  options.behaviour = [](double, std::size_t, double, std::size_t server,
                         double random) {
    return FailIf(server == 1 && random < 0.6);
  };
  // The directory stops using such a server; here it ends its fault.
  const auto behaviour = options.behaviour;
  options.behaviour = [behaviour](double at, std::size_t route, double rate,
                                  std::size_t server, double random) {
    return at < 25 ? behaviour(at, route, rate, server, random)
                   : RolloutSimulation::Answer();
  };
  CAPTURE(options.seed);
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  simulation.Run(kTime + seconds(5));
  CHECK(FinalState(simulation) == RolloutState::kCompleted);
}

// Guards against bounds that hold only while all hosts run and hear each other.
TEST_CASE("Bounds hold while hosts are frozen, cut off or restarted") {
  RolloutSimulation::Options options;
  options.hosts = 12;
  options.message_loss = 0.2;
  const auto bad = GENERATE(range(std::size_t{0}, std::size(kBadVersions)));
  options.seed = GENERATE(1U, 2U, 3U);
  options.behaviour = kBadVersions[bad].behaviour;
  CAPTURE(kBadVersions[bad].name, options.seed);
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  Random random(options.seed);
  for (int i = 0; i < 13; ++i) {
    const std::size_t host = random.Below(options.hosts);
    switch (random.Below(4)) {
      case 0:
        simulation.Freeze(host, seconds(4));
        break;
      case 1:
        simulation.SetCutOff(host, true);
        break;
      case 2:
        simulation.SetCutFromPeers(host, true);
        break;
      default:
        simulation.Restart(host);
    }
    simulation.Run(seconds(5));
    simulation.SetCutOff(host, false);
    simulation.SetCutFromPeers(host, false);
  }
  RequireBounds(simulation, options.bounds);
  CHECK(FinalState(simulation) == RolloutState::kRolledBack);
}

// Guards against a host that goes on sending to a stopped version because
// nothing reaches it.
TEST_CASE("A host without contact stops within the roll-back time") {
  RolloutSimulation::Options options;
  options.hosts = 4;
  options.seed = GENERATE(1U, 2U, 3U);
  options.behaviour = [](double at, std::size_t, double, std::size_t,
                         double random) {
    return FailIf(at > 20 && random < 0.9);
  };
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  simulation.Run(milliseconds(19500));
  simulation.SetCutOff(3, true);
  simulation.Run(seconds(40));
  CHECK(FinalState(simulation) == RolloutState::kRolledBack);
  RequireBounds(simulation, options.bounds);
}

// Guards against roll-outs that end because the store is away, and verdicts
// that are lost.
TEST_CASE("A store that is away delays only what is written") {
  RolloutSimulation::Options options;
  options.seed = GENERATE(1U, 2U, 3U);
  const bool is_bad = GENERATE(false, true);
  if (is_bad) options.behaviour = kBadVersions[0].behaviour;
  CAPTURE(options.seed, is_bad);
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  simulation.Run(seconds(5));
  simulation.SetStoreAway(true);
  simulation.Run(seconds(40));
  if (is_bad) CHECK(simulation.bad_answers() < kBadAnswersBound);
  CHECK(FinalState(simulation) == RolloutState::kRunning);
  simulation.SetStoreAway(false);
  simulation.Run(seconds(20));
  CHECK(FinalState(simulation) ==
        (is_bad ? RolloutState::kRolledBack : RolloutState::kCompleted));
  RequireBounds(simulation, options.bounds);
}

// Guards against a completion that waits for the store and then finds the
// deadline over.
TEST_CASE("A sound version is completed late if the store was away") {
  RolloutSimulation::Options options;
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  simulation.Run(seconds(50));
  simulation.SetStoreAway(true);
  simulation.Run(seconds(20));
  CHECK(FinalState(simulation) == RolloutState::kRunning);
  CHECK(simulation.unserved() == 0);
  simulation.SetStoreAway(false);
  simulation.Run(seconds(5));
  CHECK(FinalState(simulation) == RolloutState::kCompleted);
  RequireBounds(simulation, options.bounds);
}

// Guards against two states for one order when responses of the store are lost
// and several hosts write.
TEST_CASE("Lost responses of the store do not change a verdict") {
  RolloutSimulation::Options options;
  options.seed = GENERATE(1U, 2U, 3U);
  const bool is_bad = GENERATE(false, true);
  if (is_bad) options.behaviour = kBadVersions[0].behaviour;
  RolloutSimulation simulation(options);
  simulation.LoseWriteResponses(3);
  simulation.Order("v2", kTime);
  simulation.Run(kTime + seconds(5));
  CHECK(FinalState(simulation) ==
        (is_bad ? RolloutState::kRolledBack : RolloutState::kCompleted));
  CHECK(simulation.writes() <= 4);
  CHECK(simulation.unserved() == 0);
}

// Guards against an order that begins anew, with another deadline and another
// slack, when all hosts restart.
TEST_CASE("An order goes on after all hosts have restarted") {
  RolloutSimulation::Options options;
  options.hosts = 6;
  options.seed = GENERATE(1U, 2U, 3U);
  const bool is_bad = GENERATE(false, true);
  if (is_bad) options.behaviour = kBadVersions[3].behaviour;
  CAPTURE(options.seed, is_bad);
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  simulation.Run(seconds(15));
  simulation.RestartAll();
  simulation.Run(seconds(50));
  CHECK(FinalState(simulation) ==
        (is_bad ? RolloutState::kRolledBack : RolloutState::kCompleted));
  REQUIRE(simulation.ended_at());
  CHECK(*simulation.ended_at() <= kTimeInSeconds);
  RequireBounds(simulation, options.bounds);
}

// Guards against hosts that start after the end and use the version that was
// rolled back, or the one that was replaced.
TEST_CASE("A host that starts later follows the verdict") {
  RolloutSimulation::Options options;
  const bool is_bad = GENERATE(false, true);
  if (is_bad) options.behaviour = kBadVersions[0].behaviour;
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  simulation.Run(kTime + seconds(5));
  const std::string other = is_bad ? "v2" : "v1";
  const std::uint64_t sent = simulation.sent_to(other);
  simulation.RestartAll();
  simulation.Run(seconds(10));
  CHECK(simulation.sent_to(other) == sent);
  CHECK(simulation.unserved() == 0);
}

// Guards against traffic to a version whose order was removed or replaced.
TEST_CASE("A version whose order is taken back gets nothing") {
  RolloutSimulation::Options options;
  options.hosts = 3;
  const bool is_replaced = GENERATE(false, true);
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  simulation.Run(seconds(20));
  CHECK(simulation.sent_to("v2") > 0);
  if (is_replaced)
    simulation.Order("v3", kTime);
  else
    simulation.RemoveOrder();
  simulation.Run(seconds(2));
  const std::uint64_t sent = simulation.sent_to("v2");
  simulation.Run(seconds(15));
  CHECK(simulation.sent_to("v2") == sent);
  CHECK(simulation.unserved() == 0);
  if (!is_replaced) return;
  simulation.Run(kTime);
  CHECK(simulation.sent_to("v3") > 0);
  CHECK(FinalState(simulation) == RolloutState::kCompleted);
  CHECK(simulation.status()->to == "v3");
}

// Guards against a repeated order that begins anew.
TEST_CASE("A repeated order changes nothing") {
  RolloutSimulation::Options options;
  options.hosts = 3;
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  const TimePoint first = simulation.now();
  simulation.Run(seconds(30));
  simulation.Order("v2", kTime);
  simulation.Run(kTime / 2 + seconds(2));
  CHECK(FinalState(simulation) == RolloutState::kCompleted);
  CHECK(simulation.now() - first <= kTime + seconds(3));
}

// Guards against an operator who goes back to the version before, and gets only
// a small part of the traffic there.
TEST_CASE("An order back to the version before completes at once") {
  RolloutSimulation::Options options;
  options.hosts = 3;
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  simulation.Run(seconds(20));
  simulation.Order("v1", kTime);
  simulation.Run(seconds(4));
  CHECK(FinalState(simulation) == RolloutState::kCompleted);
  CHECK(simulation.status()->to == "v1");
  CHECK(simulation.unserved() == 0);
}

// Guards against old servers that are stopped while the version has none.
TEST_CASE("A version without servers is not completed") {
  RolloutSimulation::Options options;
  options.hosts = 3;
  RolloutSimulation simulation(options);
  simulation.SetServersOnTrial(0);
  simulation.Order("v2", seconds(20));
  simulation.Run(seconds(30));
  CHECK(FinalState(simulation) == RolloutState::kRolledBack);
  CHECK(simulation.unserved() == 0);
}

// Guards against an order whose time is over that moves traffic.
TEST_CASE("An order without time is rolled back at once") {
  RolloutSimulation::Options options;
  options.hosts = 3;
  RolloutSimulation simulation(options);
  simulation.Order("v2", Duration::zero());
  simulation.Run(seconds(3));
  CHECK(FinalState(simulation) == RolloutState::kRolledBack);
  CHECK(simulation.sent_to("v2") == 0);
}

// Guards against messages and calls to the store that rise with each request.
TEST_CASE("A roll-out needs few messages and calls to the store") {
  RolloutSimulation::Options options;
  options.hosts = 80;
  RolloutSimulation simulation(options);
  simulation.Order("v2", kTime);
  simulation.Run(kTime + seconds(5));
  CAPTURE(simulation.messages(), simulation.store_calls(), simulation.writes());
  // Three reports and answers in 625 ms from each host, more while moving.
  CHECK(simulation.messages() <= 80ULL * 65 * 14);
  CHECK(simulation.store_calls() <= 40);
  CHECK(simulation.writes() <= 3);
}

}  // namespace
}  // namespace lovagecleat::routing
