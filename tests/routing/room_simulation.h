#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "routing/routing.h"

namespace lovagecleat::routing {

// How the simulated hosts decide. All but kRoom refuse on arrival and in the
// queue what cannot reach its hard deadline.
enum class CrowdPolicy {
  kFirstCome,
  kEarliestDeadline,
  kLeastSlack,
  kPriorityAndSlack,  // the order without the setting for room
  kRoom,
};

struct CrowdSettings {
  CrowdPolicy policy = CrowdPolicy::kRoom;
  std::size_t hosts = 71;
  std::uint64_t seed = 1;
  double load = 1;          // factor of all arrivals
  double message_loss = 0;  // of loads and plans
  // The servers take this many times as long as their limits say.
  double server_slowness = 1;
  bool is_zone_away = true;
  // Requests of one team that come beside the others, as a factor of all.
  double flood = 0;
  // The batching hosts of the first stage's service restart then.
  Duration restart_at = Duration::zero();
};

struct CrowdResult {
  double worth = 0;   // earned, of all owed
  double served = 0;  // requests in their deadline
  std::array<double, 3> worth_by_class{};
  double least_team = 0;  // least share of worth of a team that does not flood
  double wasted_seconds = 0;  // of servers, for requests that were not served
  std::size_t requests = 0;
  std::size_t refused = 0;
  std::size_t late = 0;
  // 95th percentile of the time from arrival to a refusal.
  double refusal_ms = 0;
};

// Requests of three classes in a crowd of two of them, for servers of three
// stages in three zones, one of which is away for a part of the crowd. The load
// is that of the sheet of a deployment with 71 hosts. Runs under virtual time.
CrowdResult SimulateCrowd(const CrowdSettings& settings);

}  // namespace lovagecleat::routing
