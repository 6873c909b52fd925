#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
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
