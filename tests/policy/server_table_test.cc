#include "policy/server_table.h"

#include <catch2/catch.hpp>
#include <vector>

#include "policy/placement.h"
#include "policy/retry_budget.h"
#include "policy/stage_times.h"

namespace lovagecleat::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kLlm("llm");

ServerInfo Server(const char* id, const char* zone,
                  MemberState state = MemberState::kActive) {
  return {ServerId(id), kLlm, ZoneId(zone), "127.0.0.1:1", state, 1, 4};
}

std::vector<std::string> EligibleIds(const ServerTable& table, TimePoint now) {
  std::vector<std::string> ids;
  for (const ServerEntry* entry : table.Eligible(kLlm, now)) {
    ids.push_back(entry->info.id.value());
  }
  return ids;
}

TEST_CASE("Only live servers of this zone that are not drained are eligible") {
  ServerTable table(ZoneId("z1"));
  const std::vector<ServerInfo> servers = {
      Server("a", "z1"), Server("b", "z1", MemberState::kLeaving),
      Server("c", "z1"), Server("d", "z2")};
  REQUIRE(table.ApplyInventory(servers).empty());
  REQUIRE(EligibleIds(table, TimePoint{}) ==
          std::vector<std::string>{"a", "c"});

  configuration::Configuration configuration;
  configuration.servers_out.insert(ServerId("c"));
  table.ApplyConfiguration(configuration);
  REQUIRE(EligibleIds(table, TimePoint{}) == std::vector<std::string>{"a"});

  configuration.zones.push_back({ZoneId("z1"), configuration::ZoneState::kOut});
  table.ApplyConfiguration(configuration);
  REQUIRE(EligibleIds(table, TimePoint{}).empty());
  REQUIRE_FALSE(table.HasUsable(kLlm));
}

TEST_CASE("A provisional drain applies in addition to the configuration") {
  ServerTable table(ZoneId("z1"));
  table.ApplyInventory(std::vector<ServerInfo>{Server("a", "z1")});
  table.SetProvisionallyOut(true, {});
  REQUIRE(EligibleIds(table, TimePoint{}).empty());
  table.SetProvisionallyOut(false, {ServerId("a")});
  REQUIRE(EligibleIds(table, TimePoint{}).empty());
  table.SetProvisionallyOut(false, {});
  REQUIRE(EligibleIds(table, TimePoint{}).size() == 1);
}

TEST_CASE("The backoff of a server starts at the second failure and grows") {
  ServerTable table(ZoneId("z1"));
  table.ApplyInventory(std::vector<ServerInfo>{Server("a", "z1")});
  const TimePoint start{};
  table.ObserveFailure(ServerId("a"), start);
  REQUIRE(EligibleIds(table, start).size() == 1);
  table.ObserveFailure(ServerId("a"), start);
  REQUIRE(EligibleIds(table, start).empty());
  REQUIRE(EligibleIds(table, start + milliseconds(500)).size() == 1);
  table.ObserveFailure(ServerId("a"), start);
  REQUIRE(EligibleIds(table, start + milliseconds(500)).empty());
  table.ObserveSuccess(ServerId("a"), 1.0);
  REQUIRE(EligibleIds(table, start).size() == 1);
}

TEST_CASE("A server missing from the inventory is reported and removed") {
  ServerTable table(ZoneId("z1"));
  table.ApplyInventory(
      std::vector<ServerInfo>{Server("a", "z1"), Server("b", "z1")});
  const auto removed =
      table.ApplyInventory(std::vector<ServerInfo>{Server("b", "z1")});
  REQUIRE(removed == std::vector<ServerId>{ServerId("a")});
  REQUIRE(table.Find(ServerId("a")) == nullptr);
  table.CountCallEnd(ServerId("a"));  // a call from before the removal; ignored
}

TEST_CASE("Expected finish prefers fast and idle servers") {
  ServerEntry fast;
  fast.info = Server("fast", "z1");
  ServerEntry slow;
  slow.info = Server("slow", "z1");
  slow.slowness = 3.0;
  Placement placement = MakePlacement(PlacementKind::kExpectedFinish);
  const std::vector<Candidate> candidates = {{&slow, 4}, {&fast, 4}};
  const TimePoint now = TimePoint{} + seconds(10);
  REQUIRE(Choose(placement, kLlm, candidates, now) == &fast);
  fast.own_in_flight = 12;
  REQUIRE(Choose(placement, kLlm, candidates, now) == &slow);
  fast.own_in_flight = 0;
  fast.report = ServerReport{1, Warmth::kWarm, 12, Duration::zero()};
  fast.report_at = now;
  REQUIRE(Choose(placement, kLlm, candidates, now) == &slow);
  // The weight of the report decreases with its age.
  REQUIRE(Choose(placement, kLlm, candidates, now + seconds(2)) == &fast);
}

TEST_CASE("Round robin selects each server in turn") {
  ServerEntry a;
  a.info = Server("a", "z1");
  ServerEntry b;
  b.info = Server("b", "z1");
  Placement placement = MakePlacement(PlacementKind::kRoundRobin);
  const std::vector<Candidate> candidates = {{&a, 4}, {&b, 4}};
  REQUIRE(Choose(placement, kLlm, candidates, TimePoint{}) == &a);
  REQUIRE(Choose(placement, kLlm, candidates, TimePoint{}) == &b);
  REQUIRE(Choose(placement, kLlm, candidates, TimePoint{}) == &a);
}

TEST_CASE("Retries are limited to a ratio of first tries") {
  RetryBudget budget;
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.CountFirstTry(kLlm);
    if (budget.TakeRetry(kLlm)) ++granted;
  }
  REQUIRE(granted >= 100);
  REQUIRE(granted <= 111);
}

TEST_CASE("Stage time estimates follow a change of the served times") {
  StageTimes times;
  const StageShape shape{kLlm, 32};
  REQUIRE(times.HasNoSamples(shape));
  for (int i = 0; i < 1000; ++i) times.AddServed(shape, milliseconds(100));
  REQUIRE(times.Expected(shape) >= milliseconds(100));
  REQUIRE(times.Expected(shape) <= milliseconds(120));
  for (int i = 0; i < 2000; ++i) times.AddServed(shape, milliseconds(400));
  REQUIRE(times.Expected(shape) >= milliseconds(400));
  REQUIRE(times.Expected(shape) <= milliseconds(480));
}

}  // namespace
}  // namespace lovagecleat::policy
