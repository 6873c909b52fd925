#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("orders");

// Guards against orders that move traffic although what they ask is not clear.
TEST_CASE("An order that cannot be read as one says why") {
  const double not_a_number = std::numeric_limits<double>::quiet_NaN();
  const double infinite = std::numeric_limits<double>::infinity();
  struct Case {
    RolloutOrderFields fields;
    RolloutProblem problem;
    bool has_order;
  };
  const std::vector<Case> cases = {
      {{"orders", std::nullopt, 60}, RolloutProblem::kNoVersion, false},
      {{"orders", "", 60}, RolloutProblem::kNoVersion, false},
      {{"crews", "v2", 60}, RolloutProblem::kOtherService, false},
      {{"orders", "v2", std::nullopt}, RolloutProblem::kNoTime, true},
      {{"orders", "v2", not_a_number}, RolloutProblem::kNoTime, true},
      {{"orders", "v2", infinite}, RolloutProblem::kNoTime, true},
      {{"orders", "v2", 0}, RolloutProblem::kTimeOver, true},
      {{"orders", "v2", -3}, RolloutProblem::kTimeOver, true}};
  for (const Case& tried : cases) {
    CAPTURE(NameOf(tried.problem));
    const RolloutOrderReading reading =
        ReadRolloutOrder(kService, tried.fields);
    CHECK(reading.problem == tried.problem);
    REQUIRE(reading.order.has_value() == tried.has_order);
    if (reading.order) CHECK(reading.order->time == Duration::zero());
  }
}

TEST_CASE("An order is read") {
  const RolloutOrderReading reading =
      ReadRolloutOrder(kService, {std::nullopt, "v2", 2.5});
  CHECK_FALSE(reading.problem);
  CHECK(reading.order == RolloutOrder{kService, "v2", milliseconds(2500)});
  CHECK(ReadRolloutOrder(kService, {"orders", "v2", 1e300}).order->time ==
        std::chrono::hours(24));
}

// Guards against hosts that together use more than the share and the slack.
TEST_CASE("Hosts split exposure without messages") {
  const std::size_t count = GENERATE(1U, 3U, 7U, 45U, 80U, 300U);
  CAPTURE(count);
  const RolloutBounds bounds;
  std::vector<HostId> hosts;
  for (std::size_t i = 0; i < count; ++i)
    hosts.emplace_back("host" + std::to_string(i));
  Random random(count);
  std::uint64_t requests = 0;
  std::uint64_t sent_new = 0;
  for (const HostId& host : hosts) {
    RolloutExposure exposure(bounds);
    exposure.SetSlackUse(SlackUse::kOwnPart);
    exposure.SetHosts(host, hosts, 7);
    const std::uint64_t own = random.Below(400);
    for (std::uint64_t i = 0; i < own; ++i) {
      exposure.CountRequests(1);
      if (exposure.Remaining() > 0) exposure.CountNew(1);
    }
    requests += own;
    sent_new += exposure.sent_new();
  }
  const double allowed = bounds.exposure_share * static_cast<double>(requests) +
                         bounds.exposure_slack;
  CHECK(static_cast<double>(sent_new) <= allowed);
  CHECK(static_cast<double>(sent_new) >= 0.6 * allowed - 10);
}

// Guards against a host that uses its part of the slack again after a restart.
TEST_CASE("A host that started after the order has no slack") {
  RolloutExposure exposure((RolloutBounds()));
  exposure.SetHosts(HostId("a"), std::vector{HostId("a")}, 7);
  exposure.CountRequests(9);
  CHECK(exposure.Remaining() == 0);
  exposure.CountRequests(3);
  CHECK(exposure.Remaining() == 1);
}

constexpr TimePoint kNow{seconds(100)};
// On the store's clock at kNow.
constexpr Duration kStoreTime = std::chrono::hours(5);

RolloutStart MakeStart(OrderSight sight = OrderSight::kAppeared) {
  RolloutStart start;
  start.host = HostId("a");
  start.incarnation = 1;
  start.process_started_at = kNow - seconds(50);
  start.sight = sight;
  return start;
}

RolloutStatus RunningFor(Duration time) {
  return {"v2", RolloutState::kRunning, kStoreTime - time};
}

// Guards against a process that uses the slack that an earlier one of its host,
// or an earlier order for the version, may have used.
TEST_CASE("Only a process that saw the order begin has a part of the slack") {
  const RolloutOrder order{kService, "v2", seconds(60)};
  const auto may_send = [&order](const RolloutStart& start, Duration elapsed,
                                 bool is_told) {
    Rollout rollout(order, RowVersion(0, 5), start, kNow);
    rollout.SetHosts(std::vector{start.host});
    if (is_told) {
      RolloutReport report;
      report.order = order;
      report.order_version = RowVersion(0, 5);
      report.phase = RolloutPhase::kCanary;
      report.elapsed = elapsed;
      rollout.OnReport(report, kNow);
    } else {
      rollout.OnStatus(RunningFor(elapsed), RowVersion(0, 6), kStoreTime, false,
                       kNow);
    }
    REQUIRE(rollout.phase() == RolloutPhase::kCanary);
    rollout.CountRequests(9);
    return rollout.MaySendNew(1, kNow);
  };
  for (const bool is_told : {false, true}) {
    CAPTURE(is_told);
    const RolloutStart found = MakeStart(OrderSight::kFound);
    CHECK(may_send(found, seconds(20), is_told));
    CHECK_FALSE(may_send(found, seconds(51), is_told));
    RolloutStart changed = MakeStart();
    changed.has_used_slack = true;
    CHECK_FALSE(may_send(changed, seconds(20), is_told));
  }
}

// Guards against hosts that take the parts of those that have left, which may
// have used them.
TEST_CASE("The part of the slack of one host does not grow") {
  const std::vector<HostId> hosts = {HostId("a"), HostId("b"), HostId("c")};
  RolloutExposure exposure((RolloutBounds()));
  exposure.SetSlackUse(SlackUse::kOwnPart);
  exposure.SetHosts(HostId("a"), hosts, 7);
  CHECK(exposure.Remaining() == 15);
  exposure.SetHosts(HostId("a"), std::vector{HostId("a")}, 7);
  CHECK(exposure.Remaining() == 15);
  exposure.SetHosts(HostId("a"), std::span(hosts).first(2), 7);
  CHECK(exposure.Remaining() == 15);
}

RouteEvidenceMap MakeEvidence(std::uint64_t before, std::uint64_t bad_before,
                              std::uint64_t on_trial,
                              std::map<ServerId, std::uint64_t> bad) {
  RouteEvidence evidence;
  evidence.before = {before, bad_before};
  evidence.on_trial = {on_trial, 0};
  for (const auto& [server, count] : bad) evidence.on_trial.bad += count;
  evidence.bad_by_server = std::move(bad);
  return {{"route", evidence}};
}

// Returns the number of roll-outs out of `runs` that the test ends.
int CountStopped(int runs, double bad_rate, double bad_rate_on_trial,
                 int periods) {
  Random random(17);
  int stopped = 0;
  for (int run = 0; run < runs; ++run) {
    RolloutTest test;
    test.SetServers(4);
    for (int period = 0; period < periods; ++period) {
      std::uint64_t bad_before = 0;
      std::map<ServerId, std::uint64_t> bad;
      for (int i = 0; i < 57; ++i)
        if (random.Unit() < bad_rate) ++bad_before;
      for (int i = 0; i < 3; ++i)
        if (random.Unit() < bad_rate_on_trial)
          ++bad[ServerId(std::to_string(random.Below(4)))];
      test.Add(MakeEvidence(57, bad_before, 3, bad));
      test.EndPeriod();
      if (test.Evidence() < RolloutTest::kRollBackEvidence) continue;
      ++stopped;
      break;
    }
  }
  return stopped;
}

// Guards against a test that ends roll-outs of sound versions by chance.
TEST_CASE("The test holds its rate of errors for equal versions") {
  const double rate = GENERATE(0.002, 0.01, 0.1, 0.4);
  CAPTURE(rate);
  // 400 roll-outs with 100 periods of 60 answers: at the stated rate of one in
  // 10,000 bad answers, 2 at a rate of 0.01, and in proportion.
  const double expected = 400 * 100 * 60 * rate / 10000;
  CHECK(CountStopped(400, rate, rate, 100) <= expected + 1);
}

TEST_CASE("The test finds a version that is worse") {
  CHECK(CountStopped(100, 0.003, 0.3, 60) == 100);
  CHECK(CountStopped(100, 0.003, 0.15, 100) >= 98);
  CHECK(CountStopped(100, 0.1, 0.6, 100) >= 98);
}

// Guards against a good past that hides a late fault.
TEST_CASE("A late fault is found as fast as an early one") {
  const auto periods_to_stop = [](int sound_periods) {
    RolloutTest test;
    test.SetServers(4);
    for (int i = 0; i < sound_periods; ++i) {
      test.Add(MakeEvidence(57, 3, 3, {}));
      test.EndPeriod();
    }
    for (int i = 1;; ++i) {
      test.Add(MakeEvidence(57, 0, 3, {{ServerId(std::to_string(i % 4)), 1}}));
      test.EndPeriod();
      if (test.Evidence() >= RolloutTest::kRollBackEvidence) return i;
    }
  };
  CHECK(periods_to_stop(0) <= 10);
  CHECK(periods_to_stop(200) <= periods_to_stop(1) + 1);
}

// Guards against one ill server that ends a roll-out, and against a version
// that is bad at only one server and never stopped.
TEST_CASE("Bad answers of one server count late") {
  RolloutTest test;
  test.SetServers(4);
  std::uint64_t bad = 0;
  while (test.Evidence() < RolloutTest::kRollBackEvidence && bad < 60) {
    test.Add(MakeEvidence(57, 0, 3, {{ServerId("a"), 1}}));
    test.EndPeriod();
    ++bad;
  }
  CHECK(bad >= 30);
  CHECK(bad < kBadAnswersBound);
  RolloutTest only;
  only.SetServers(1);
  only.Add(MakeEvidence(570, 0, 30, {{ServerId("a"), 10}}));
  only.EndPeriod();
  CHECK(only.Evidence() >= RolloutTest::kRollBackEvidence);
}

// Guards against sound versions that are rolled back because a host has seen
// few of the longer times that are usual.
TEST_CASE("Times that are usual and rare are seldom slow") {
  const int known = GENERATE(12, 20, 40, 64);
  CAPTURE(known);
  Random random(3);
  const auto draw = [&random] {
    return milliseconds(random.Unit() < 0.25 ? 150 : 30);
  };
  int slow = 0;
  constexpr int hosts = 500;
  constexpr int answers = 20;
  for (int host = 0; host < hosts; ++host) {
    RecentTimes times;
    for (int i = 0; i < known; ++i) times.Add(draw());
    for (int i = 0; i < answers; ++i)
      if (times.IsSlow(draw())) ++slow;
    CHECK(times.IsSlow(milliseconds(400)));
  }
  CHECK(slow <= hosts * answers / 50);
}

// Guards against a fault on one route that answers of the others hide.
TEST_CASE("A fault on one route is found among many answers of others") {
  RolloutTest test;
  test.SetServers(4);
  int periods = 0;
  while (test.Evidence() < RolloutTest::kRollBackEvidence && periods < 60) {
    RouteEvidenceMap evidence = MakeEvidence(950, 20, 50, {});
    evidence["route"].on_trial.bad = 1;
    evidence["route"].bad_by_server[ServerId("d")] = 1;
    evidence["rare"] = MakeEvidence(
        19, 0, 1, {{ServerId(std::to_string(periods % 3)), 1}})["route"];
    test.Add(evidence);
    test.EndPeriod();
    ++periods;
  }
  CHECK(periods <= 12);
}

// Guards against messages that are repeated, late or of an ended process and
// count twice.
TEST_CASE("Repeated reports of a host count once") {
  const TimePoint now{seconds(100)};
  RolloutStart start;
  start.host = HostId("a");
  start.incarnation = 1;
  const RolloutOrder order{kService, "v2", seconds(60)};
  Rollout rollout(order, RowVersion(0, 5), start, now);
  RolloutReport report;
  report.order = order;
  report.order_version = RowVersion(0, 5);
  report.phase = RolloutPhase::kCanary;
  const auto send = [&](std::uint64_t incarnation, std::uint64_t sequence,
                        std::uint64_t answers) {
    report.evidence = HostEvidence{"b", incarnation, sequence, answers, 0, {}};
    report.evidence->routes = MakeEvidence(answers, 0, 0, {});
    rollout.OnReport(report, now);
  };
  send(7, 1, 10);
  send(7, 1, 10);
  send(7, 3, 30);
  send(7, 2, 20);
  CHECK(rollout.test().before().answers == 30);
  CHECK(rollout.total_requests() == 30);
  send(8, 1, 5);
  send(7, 4, 40);
  CHECK(rollout.test().before().answers == 35);
  CHECK(rollout.total_requests() == 35);
  // One that speaks of an earlier order.
  report.order_version = RowVersion(0, 4);
  send(9, 1, 100);
  CHECK(rollout.total_requests() == 35);
}

// Guards against a state that answered another order.
TEST_CASE("A state older than an order that appeared is not its answer") {
  const TimePoint now{seconds(100)};
  RolloutStart start;
  start.host = HostId("a");
  start.sight = OrderSight::kAppeared;
  const RolloutOrder order{kService, "v2", seconds(60)};
  const RolloutStatus status{"v2", RolloutState::kRolledBack, std::nullopt};
  Rollout appeared(order, RowVersion(0, 5), start, now);
  appeared.OnStatus(status, RowVersion(0, 4), std::nullopt, false, now);
  CHECK(appeared.phase() == RolloutPhase::kCanary);
  appeared.OnStatus(status, RowVersion(0, 6), std::nullopt, false, now);
  CHECK(appeared.phase() == RolloutPhase::kRolledBack);
  start.sight = OrderSight::kFound;
  Rollout found(order, RowVersion(0, 5), start, now);
  found.OnStatus(status, RowVersion(0, 4), std::nullopt, false, now);
  CHECK(found.phase() == RolloutPhase::kRolledBack);
}

// Guards against a verdict on an earlier order for the same version that a host
// takes for that of the order which it finds when it starts.
TEST_CASE("A state of another time is not the answer to an order") {
  const RolloutOrder order{kService, "v2", seconds(60)};
  const auto phase_with = [&order](std::optional<Duration> time) {
    Rollout rollout(order, RowVersion(0, 5), MakeStart(OrderSight::kFound),
                    kNow);
    rollout.SetHosts(std::vector{HostId("a")});
    rollout.OnStatus(
        RolloutStatus{"v2", RolloutState::kRolledBack, std::nullopt, time},
        RowVersion(0, 4), std::nullopt, false, kNow);
    rollout.CountRequests(9);
    CHECK_FALSE(rollout.MaySendNew(1, kNow));
    return rollout.phase();
  };
  CHECK(phase_with(seconds(30)) == RolloutPhase::kCanary);
  CHECK(phase_with(seconds(60)) == RolloutPhase::kRolledBack);
  CHECK(phase_with(std::nullopt) == RolloutPhase::kRolledBack);
}

// Guards against a state that is written seconds after the operator has
// repeated the order, because writes for the row before failed.
TEST_CASE("Failed writes do not delay the answer to a newer row") {
  Rollouts rollouts(HostId("a"), 1, kNow - seconds(500));
  Random random(1);
  rollouts.SetHosts({HostId("a")});
  RolloutCoordinator coordinator(rollouts);
  const RolloutOrder order{kService, "v2", seconds(600)};
  rollouts.PutOrder(order, RowVersion(0, 5), OrderSight::kAppeared, random,
                    kNow);
  TimePoint now = kNow;
  int writes = 0;
  const auto step_for = [&](Duration time, StatusWriteResult result) {
    for (const TimePoint end = now + time; now < end; now += milliseconds(50)) {
      const RolloutActions actions = coordinator.Step(
          {"a", {}, true},
          [](const ServiceId&) {
            return ServersByVersion{{"v1", 2}, {"v2", 2}};
          },
          std::nullopt, now);
      for (const ServiceId& service : actions.status_reads)
        coordinator.OnStatusRead(service, true, std::nullopt, std::nullopt,
                                 std::nullopt, now);
      for (const RolloutStatusWrite& write : actions.status_writes) {
        ++writes;
        coordinator.OnStatusWritten(write, result, RowVersion(0, 9), now);
      }
    }
  };
  step_for(seconds(40), StatusWriteResult::kConflict);
  CHECK(writes >= 6);
  CHECK(writes <= 12);
  writes = 0;
  rollouts.PutOrder(order, RowVersion(0, 8), OrderSight::kAppeared, random,
                    now);
  step_for(seconds(1), StatusWriteResult::kWritten);
  CHECK(writes == 1);
}

ServerRecord MakeServer(const std::string& id, const std::string& version) {
  ServerRecord record;
  record.entry.id = ServerId(id);
  record.entry.service = kService;
  record.entry.software_version = version;
  return record;
}

// Guards against changes for services and deployments without orders.
TEST_CASE("Without orders all versions are used") {
  Rollouts rollouts(HostId("a"), 1, TimePoint{});
  const TimePoint now{seconds(100)};
  for (const char* version : {"v1", "v2"})
    rollouts.OnServer(kService, version, now);
  rollouts.SetVersions(kService, {"v1", "v2"});
  for (const char* version : {"v1", "v2"})
    CHECK(rollouts.Access(kService, version, now) == VersionAccess::kOpen);
}

// Guards against traffic to a version before its order is read.
TEST_CASE("A version that was not there before is the last resort at first") {
  Rollouts rollouts(HostId("a"), 1, TimePoint{});
  rollouts.SetBounds(RolloutBounds(), seconds(3));
  const TimePoint start{seconds(100)};
  const TimePoint later = start + seconds(50);
  rollouts.OnServer(kService, "v1", start);
  CHECK(rollouts.Access(kService, "v1", start) == VersionAccess::kOpen);
  rollouts.OnServer(kService, "v2", later);
  CHECK(rollouts.Access(kService, "v2", later) == VersionAccess::kLastResort);
  CHECK(rollouts.Access(kService, "v2", later + seconds(3)) ==
        VersionAccess::kOpen);
  ServerRecord before = MakeServer("s1", "v1");
  ServerRecord after = MakeServer("s2", "v2");
  std::vector<ServerRecord*> servers = {&before, &after};
  rollouts.Filter(kService, false, servers, later);
  CHECK(servers == std::vector{&before});
  servers = {&after};
  rollouts.Filter(kService, false, servers, later);
  CHECK(servers == std::vector{&after});
}

// Guards against a service without servers because a release, without an order,
// replaced the version that an order had completed.
TEST_CASE("After a completed order, a later version is used") {
  Rollouts rollouts(HostId("a"), 1, TimePoint{});
  Random random(1);
  const TimePoint now{seconds(100)};
  rollouts.PutOrder({kService, "v2", seconds(60)}, RowVersion(0, 5),
                    OrderSight::kAppeared, random, now);
  rollouts.SetVersions(kService, {"v1", "v2"});
  const RolloutStatus completed{"v2", RolloutState::kCompleted, std::nullopt};
  rollouts.OnStatus(kService, completed, RowVersion(0, 6), std::nullopt, now);
  rollouts.SetVersions(kService, {"v1", "v2"});
  CHECK(rollouts.Access(kService, "v1", now) == VersionAccess::kBarred);
  CHECK(rollouts.Access(kService, "v2", now) == VersionAccess::kOpen);
  rollouts.SetVersions(kService, {"v2", "v3"});
  CHECK(rollouts.Access(kService, "v3", now) == VersionAccess::kOpen);
  rollouts.SetVersions(kService, {"v1", "v3"});
  CHECK(rollouts.Access(kService, "v1", now) == VersionAccess::kOpen);
}

// Guards against a service without servers at a host that started after a
// completion: it took all versions but the completed one for replaced ones.
TEST_CASE("A host that starts after a completion uses later versions") {
  Rollouts rollouts(HostId("a"), 1, TimePoint{});
  Random random(1);
  rollouts.PutOrder({kService, "v2", seconds(60)}, RowVersion(0, 5),
                    OrderSight::kFound, random, kNow);
  rollouts.SetVersions(kService, {"v2", "v3"});
  const RolloutStatus completed{"v2", RolloutState::kCompleted, std::nullopt};
  rollouts.OnStatus(kService, completed, RowVersion(0, 6), std::nullopt, kNow);
  rollouts.SetVersions(kService, {"v2", "v3"});
  ServerRecord second = MakeServer("s2", "v2");
  ServerRecord third = MakeServer("s3", "v3");
  // It cannot know whether v3 was there before.
  std::vector<ServerRecord*> servers = {&second, &third};
  rollouts.Filter(kService, false, servers, kNow);
  CHECK(servers == std::vector{&second});
  rollouts.SetVersions(kService, {"v3"});
  servers = {&third};
  rollouts.Filter(kService, false, servers, kNow);
  CHECK(servers == std::vector{&third});
}

// Guards against versions that a host saw before the completion and uses again.
TEST_CASE("A host that started before a completion bars what it replaced") {
  Rollouts rollouts(HostId("a"), 1, TimePoint{});
  Random random(1);
  rollouts.PutOrder({kService, "v2", seconds(60)}, RowVersion(0, 5),
                    OrderSight::kFound, random, kNow);
  rollouts.SetVersions(kService, {"v1", "v2"});
  rollouts.OnStatus(kService, RunningFor(seconds(5)), RowVersion(0, 6),
                    kStoreTime, kNow);
  rollouts.SetVersions(kService, {"v1", "v2"});
  const RolloutStatus completed{"v2", RolloutState::kCompleted, std::nullopt};
  rollouts.OnStatus(kService, completed, RowVersion(0, 7), std::nullopt, kNow);
  CHECK(rollouts.Access(kService, "v1", kNow) == VersionAccess::kBarred);
}

// Guards against versions that are not held back any more because many others
// have come and gone.
TEST_CASE("A version waits for its order after many others") {
  Rollouts rollouts(HostId("a"), 1, TimePoint{});
  rollouts.SetBounds(RolloutBounds(), seconds(3));
  TimePoint now = kNow;
  const auto put = [&](const std::string& version) {
    rollouts.OnServer(kService, version, now);
    rollouts.OnServer(kService, "v0", now);  // stays
  };
  put("v0");
  for (int i = 1; i <= 1000; ++i) {
    now += seconds(20);
    const std::string version = "v" + std::to_string(i);
    CAPTURE(version);
    put(version);
    REQUIRE(rollouts.Access(kService, version, now) ==
            VersionAccess::kLastResort);
    REQUIRE(rollouts.Access(kService, "v0", now) == VersionAccess::kOpen);
  }
}

// Returns the orders of a host that has moved the service towards v2 for
// `elapsed` and seen `requests`.
Rollouts MakeMoving(Duration elapsed, std::uint64_t requests) {
  Rollouts rollouts(HostId("a"), 1, kNow - seconds(500));
  Random random(1);
  rollouts.SetHosts({HostId("a")});
  const RolloutOrder order{kService, "v2", seconds(60)};
  rollouts.PutOrder(order, RowVersion(0, 5), OrderSight::kAppeared, random,
                    kNow);
  rollouts.SetVersions(kService, {"v1", "v2"});
  RolloutReport report;
  report.order = order;
  report.order_version = RowVersion(0, 5);
  report.phase = RolloutPhase::kMoving;
  report.elapsed = elapsed;
  rollouts.OnReport(report, kNow);
  rollouts.Find(kService)->CountRequests(requests);
  return rollouts;
}

// Guards against a bad version that gets all requests, beyond its bounds, when
// the servers before cannot be used for a moment.
TEST_CASE("Until it may be completed a version gets what it may have") {
  ServerRecord on_trial = MakeServer("s2", "v2");
  const auto is_used = [&on_trial](Rollouts& rollouts) {
    std::vector<ServerRecord*> servers = {&on_trial};
    const bool takes_new = rollouts.Find(kService)->TakesNew(kNow);
    rollouts.Filter(kService, takes_new, servers, kNow);
    return !servers.empty();
  };
  Rollouts rollouts = MakeMoving(seconds(55), 600);
  CHECK(is_used(rollouts));
  rollouts.Find(kService)->CountNew(99);
  CHECK_FALSE(is_used(rollouts));
  // The servers before may have been stopped.
  Rollouts late = MakeMoving(seconds(59), 600);
  late.Find(kService)->CountNew(99);
  CHECK(is_used(late));
}

// Guards against calls of stages that take what is kept for the time between
// completion and deadline.
TEST_CASE("What remains for a version leaves a reserve while it is moved") {
  // 10 requests a second; 1.2 s are between completion and deadline.
  Rollouts rollouts = MakeMoving(seconds(50), 500);
  const Rollout& rollout = *rollouts.Find(kService);
  const std::uint64_t remaining = rollout.RemainingNew(kNow);
  CHECK(remaining + 12 == rollout.exposure().Remaining());
  CHECK(rollout.MaySendNew(remaining, kNow));
  CHECK_FALSE(rollout.MaySendNew(remaining + 1, kNow));
}

// Guards against a completion that is not written because the hosts that decide
// are cut off from the store.
TEST_CASE("A host that does not decide writes the completion in turn") {
  Rollouts rollouts = MakeMoving(seconds(59), 600);
  Rollout& rollout = *rollouts.Find(kService);
  RolloutSurroundings surroundings;
  surroundings.rank = Rollout::kDeciders + 1;
  surroundings.servers_before = 4;
  surroundings.servers_on_trial = 1;
  const auto written = [&](TimePoint now) {
    rollouts.Update(kService, surroundings, now);
    return rollout.StateToWrite(surroundings.rank, now);
  };
  CHECK_FALSE(written(kNow));
  CHECK(written(kNow + seconds(2)) == RolloutState::kCompleted);
  // Not with too few servers.
  surroundings.servers_on_trial = 0;
  CHECK(written(kNow + seconds(4)) != RolloutState::kCompleted);
}

// Guards against old servers that get nothing any more although the operator,
// who has not been told of the completion, runs them on.
TEST_CASE("A version is completed only once that is written") {
  Rollouts rollouts = MakeMoving(seconds(59), 600);
  Rollout& rollout = *rollouts.Find(kService);
  RolloutSurroundings surroundings;
  surroundings.servers_before = 4;
  surroundings.servers_on_trial = 4;
  rollouts.Update(kService, surroundings, kNow);
  CHECK(rollout.StateToWrite(0, kNow) == RolloutState::kCompleted);
  CHECK(rollout.phase() == RolloutPhase::kMoving);
  CHECK(rollouts.Access(kService, "v1", kNow) == VersionAccess::kOpen);
  const RolloutStatus completed{"v2", RolloutState::kCompleted, std::nullopt};
  rollouts.OnStatus(kService, completed, RowVersion(0, 7), std::nullopt, kNow);
  CHECK(rollout.phase() == RolloutPhase::kCompleted);
}

// Guards against a host that goes on sending to a version although it cannot
// know whether that was stopped, with too little traffic to see it itself.
TEST_CASE("A host that hears nothing for half the roll-back time stops") {
  Rollouts rollouts = MakeMoving(seconds(50), 500);
  const Rollout& rollout = *rollouts.Find(kService);
  const Duration half = RolloutBounds().rollback_time / 2;
  CHECK(rollout.MaySendNew(1, kNow + half));
  CHECK_FALSE(rollout.MaySendNew(1, kNow + half + milliseconds(1)));
}

// Guards against a bad version that gets its whole share from the first moment.
TEST_CASE("The share of a version grows in steps") {
  Rollouts rollouts(HostId("a"), 1, kNow - seconds(500));
  Random random(1);
  rollouts.SetHosts({HostId("a")});
  rollouts.PutOrder({kService, "v2", seconds(100)}, RowVersion(0, 5),
                    OrderSight::kAppeared, random, kNow);
  rollouts.SetVersions(kService, {"v1", "v2"});
  rollouts.OnStatus(kService, std::nullopt, RowVersion(), std::nullopt, kNow);
  Rollout& rollout = *rollouts.Find(kService);
  RolloutSurroundings surroundings;
  surroundings.servers_before = 4;
  surroundings.servers_on_trial = 4;
  std::vector<double> shares;
  for (int second = 1; second <= 40; ++second) {
    rollout.CountRequests(100);
    rollouts.Update(kService, surroundings, kNow + seconds(second));
    if (second == 4 || second == 12 || second == 20 || second == 40)
      shares.push_back(rollout.share());
  }
  REQUIRE(shares.size() == 4);
  for (std::size_t i = 0; i + 1 < shares.size(); ++i)
    CHECK(shares[i + 1] > 1.5 * shares[i]);
}

// Guards against hosts that learn of a decision late, and a state that counts
// as written although the store may not have taken it.
TEST_CASE("A decision is told to all and its state read if in doubt") {
  Rollouts rollouts = MakeMoving(seconds(50), 500);
  RolloutCoordinator coordinator(rollouts);
  const RolloutPeers peers{"a", {"b", "c", "d", "e", "f"}, true};
  const auto step = [&](TimePoint now) {
    return coordinator.Step(
        peers,
        [](const ServiceId&) {
          return ServersByVersion{{"v1", 4}, {"v2", 4}};
        },
        std::nullopt, now);
  };
  step(kNow);
  Rollout& rollout = *rollouts.Find(kService);
  for (int i = 0; i < 30; ++i) {
    VersionAnswer answer;
    answer.route = "route";
    answer.side = VersionSide::kBefore;
    rollout.CountAnswer(answer);
    answer.side = VersionSide::kOnTrial;
    answer.server = ServerId(std::to_string(i % 4));
    answer.has_failed = true;
    rollout.CountAnswer(answer);
  }
  std::set<std::string> told;
  std::optional<RolloutStatusWrite> write;
  TimePoint now = kNow;
  int reads = 0;
  const auto run_for = [&](Duration time) {
    for (const TimePoint end = now + time; now < end; now += milliseconds(50)) {
      const RolloutActions actions = step(now);
      for (const RolloutMessage& message : actions.messages)
        if (message.report.phase == RolloutPhase::kRolledBack)
          told.insert(message.to);
      reads += static_cast<int>(actions.status_reads.size());
      for (const ServiceId& service : actions.status_reads)
        coordinator.OnStatusRead(service, true, std::nullopt, std::nullopt,
                                 std::nullopt, now);
      if (!actions.status_writes.empty()) {
        write = actions.status_writes.front();
        return;
      }
    }
  };
  run_for(seconds(5));
  CHECK(rollout.phase() == RolloutPhase::kRolledBack);
  CHECK(told.size() == peers.reachable.size());
  REQUIRE(write);
  CHECK(write->status.state == RolloutState::kRolledBack);
  coordinator.OnStatusWritten(*write, StatusWriteResult::kNoResponse,
                              RowVersion(), now);
  CHECK_FALSE(rollout.is_written());
  reads = 0;
  now += milliseconds(50);
  run_for(seconds(2));
  CHECK(reads >= 1);
}

// Guards against a service that gets a small part of its requests because an
// order names the version that all its servers have.
TEST_CASE("An order for the only version leaves its traffic") {
  Rollouts rollouts(HostId("a"), 1, TimePoint{});
  Random random(1);
  const TimePoint now{seconds(100)};
  rollouts.PutOrder({kService, "v1", seconds(60)}, RowVersion(0, 5),
                    OrderSight::kAppeared, random, now);
  rollouts.SetVersions(kService, {"v1"});
  CHECK(rollouts.Access(kService, "v1", now) == VersionAccess::kOpen);
  rollouts.OnStatus(kService, std::nullopt, RowVersion(), std::nullopt, now);
  CHECK(rollouts.Access(kService, "v1", now) == VersionAccess::kOpen);
}

// Guards against orders of two services that affect each other.
TEST_CASE("Orders of two services are independent") {
  Rollouts rollouts(HostId("a"), 1, TimePoint{});
  Random random(1);
  const TimePoint now{seconds(100)};
  const ServiceId other("crews");
  for (const ServiceId& service : {kService, other}) {
    rollouts.PutOrder({service, "v2", seconds(60)}, RowVersion(0, 5),
                      OrderSight::kAppeared, random, now);
    rollouts.SetVersions(service, {"v1", "v2"});
  }
  const RolloutStatus bad{"v2", RolloutState::kRolledBack, std::nullopt};
  rollouts.OnStatus(kService, bad, RowVersion(0, 6), std::nullopt, now);
  rollouts.OnStatus(other, std::nullopt, RowVersion(), std::nullopt, now);
  CHECK(rollouts.Access(kService, "v2", now) == VersionAccess::kBarred);
  CHECK(rollouts.Access(other, "v2", now) == VersionAccess::kOnTrial);
  CHECK(rollouts.RemoveOrder(kService));
  CHECK(rollouts.Access(kService, "v2", now) == VersionAccess::kLastResort);
  CHECK(rollouts.Find(other) != nullptr);
}

TEST_CASE("A few servers get the requests of a version on trial") {
  CHECK(FocusSize(0.05, 140) == 7);
  CHECK(FocusSize(0.05, 3) == 2);
  std::vector<ServerRecord> records;
  records.reserve(10);
  for (int i = 0; i < 10; ++i)
    records.push_back(MakeServer("s" + std::to_string(i), "v2"));
  std::set<ServerId> used;
  for (std::uint64_t rotation = 0; rotation < 40; ++rotation) {
    std::vector<ServerRecord*> servers;
    servers.reserve(records.size());
    for (ServerRecord& record : records) servers.push_back(&record);
    KeepFocus(2, rotation, servers);
    REQUIRE(servers.size() == 2);
    for (const ServerRecord* server : servers) used.insert(server->entry.id);
  }
  CHECK(used.size() == records.size());
}

}  // namespace
}  // namespace lovagecleat::routing
