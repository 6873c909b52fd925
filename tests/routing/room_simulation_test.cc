#include "tests/routing/room_simulation.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <string>

// Load pattern: a crowd of two classes while a third of the servers is away.
namespace lovagecleat::routing {
namespace {

const char* NameOf(CrowdPolicy policy) {
  switch (policy) {
    case CrowdPolicy::kFirstCome:
      return "first come";
    case CrowdPolicy::kEarliestDeadline:
      return "earliest deadline";
    case CrowdPolicy::kLeastSlack:
      return "least slack";
    case CrowdPolicy::kPriorityAndSlack:
      return "priority and slack";
    case CrowdPolicy::kRoom:
      return "room";
  }
  return "";
}

CrowdResult Simulate(const CrowdSettings& settings) {
  const CrowdResult result = SimulateCrowd(settings);
  std::printf(
      "%3zu hosts, seed %2llu, %-18s worth %.3f (%.3f %.3f %.3f), served "
      "%.3f, least team %.3f, refused %4zu (95%% by %4.0f ms), late %4zu, "
      "wasted %5.1f s of servers\n",
      settings.hosts, static_cast<unsigned long long>(settings.seed),
      NameOf(settings.policy), result.worth, result.worth_by_class[0],
      result.worth_by_class[1], result.worth_by_class[2], result.served,
      result.least_team, result.refused, result.refusal_ms, result.late,
      result.wasted_seconds);
  return result;
}

// The least part of the lost worth that the decision must save, against the
// best of first come, earliest deadline and least slack.
constexpr double kSavedLoss = 0.25;

constexpr std::array<std::uint64_t, 3> kSeeds{1, 2, 3};

// Returns the mean over the seeds.
CrowdResult Mean(CrowdSettings settings) {
  CrowdResult mean;
  for (const std::uint64_t seed : kSeeds) {
    settings.seed = seed;
    const CrowdResult result = Simulate(settings);
    const double part = 1.0 / static_cast<double>(kSeeds.size());
    mean.worth += part * result.worth;
    mean.refused += result.refused;
    mean.served += part * result.served;
    mean.least_team += part * result.least_team;
    mean.wasted_seconds += part * result.wasted_seconds;
    mean.refusal_ms += part * result.refusal_ms;
    for (std::size_t i = 0; i < mean.worth_by_class.size(); ++i)
      mean.worth_by_class[i] += part * result.worth_by_class[i];
  }
  return mean;
}

CrowdResult BestBaseline(CrowdSettings settings) {
  CrowdResult best;
  for (const CrowdPolicy policy :
       {CrowdPolicy::kFirstCome, CrowdPolicy::kEarliestDeadline,
        CrowdPolicy::kLeastSlack}) {
    settings.policy = policy;
    const CrowdResult result = Mean(settings);
    if (result.worth > best.worth) best = result;
  }
  return best;
}

CrowdResult CheckAgainstBaselines(const CrowdSettings& settings) {
  const CrowdResult baseline = BestBaseline(settings);
  const CrowdResult room = Mean(settings);
  CHECK(1 - room.worth <= (1 - kSavedLoss) * (1 - baseline.worth));
  CHECK(room.wasted_seconds <= baseline.wasted_seconds);
  return room;
}

}  // namespace

// Guards against work for requests that cannot come in time while others that
// could are refused.
TEST_CASE("A crowd loses less worth than by the baselines, at 6 to 300 hosts") {
  for (const std::size_t hosts : {6U, 71U, 300U}) {
    CrowdSettings settings;
    settings.hosts = hosts;
    const CrowdResult room = CheckAgainstBaselines(settings);
    settings.policy = CrowdPolicy::kPriorityAndSlack;
    const CrowdResult before = Mean(settings);
    CHECK(room.worth >= before.worth);
    // Of the objective of the most urgent class, for most refusals.
    CHECK(room.refusal_ms <= 1000);
  }
}

TEST_CASE("A heavier crowd loses less worth than by the baselines") {
  CrowdSettings settings;
  settings.load = 1.5;
  CheckAgainstBaselines(settings);
}

TEST_CASE("Loads and plans that are lost cost little") {
  CrowdSettings settings;
  settings.message_loss = 0.5;
  CheckAgainstBaselines(settings);
}

TEST_CASE("Servers that are slower than their limits say cost no more") {
  CrowdSettings settings;
  settings.server_slowness = 1.5;
  CheckAgainstBaselines(settings);
}

TEST_CASE("Batching hosts that restart in a crowd cost little") {
  CrowdSettings settings;
  settings.restart_at = std::chrono::milliseconds(5000);
  CheckAgainstBaselines(settings);
}

TEST_CASE("One team that floods does not take the room of the others") {
  CrowdSettings settings;
  settings.flood = 2;
  const CrowdResult room = Mean(settings);
  settings.policy = CrowdPolicy::kPriorityAndSlack;
  const CrowdResult before = Mean(settings);
  CHECK(room.least_team > before.least_team);
}

TEST_CASE("Where there is room for all, nothing is refused") {
  CrowdSettings settings;
  settings.load = 0.25;
  settings.is_zone_away = false;
  const CrowdResult room = Mean(settings);
  CHECK(room.worth > 0.99);
  CHECK(room.refused == 0);
}

}  // namespace lovagecleat::routing
