#include "tests/routing/room_simulation.h"

#include <catch2/catch.hpp>
#include <cstdio>

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

}  // namespace

TEST_CASE("crowd trial") {
  for (const std::size_t hosts : {6U, 71U, 300U})
    for (const CrowdPolicy policy :
         {CrowdPolicy::kFirstCome, CrowdPolicy::kEarliestDeadline,
          CrowdPolicy::kLeastSlack, CrowdPolicy::kPriorityAndSlack,
          CrowdPolicy::kRoom})
      for (const std::uint64_t seed : {1U, 2U, 3U}) {
        CrowdSettings settings;
        settings.policy = policy;
        settings.hosts = hosts;
        settings.seed = seed;
        Simulate(settings);
      }
}

}  // namespace lovagecleat::routing
