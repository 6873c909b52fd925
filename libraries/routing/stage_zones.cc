#include "routing/stage_zones.h"

#include <algorithm>

namespace lovagecleat::routing {

namespace {

// A megabyte between zones weighs as much as this delay: on the deployments'
// sheets it costs about a hundredth of a mean request, as 30 ms of waiting do.
constexpr double kDelayPerMegabyte = 30'000;  // microseconds
// A stage without servers in the zone runs elsewhere, with all its results.
constexpr Duration kMissingServers = std::chrono::seconds(2);

Duration Cost(const ZoneChoice& choice) {
  Duration cost = Duration(static_cast<std::int64_t>(
      kDelayPerMegabyte * static_cast<double>(choice.crossing_bytes) / 1e6));
  for (const StageWait& stage : choice.stages)
    cost += stage.has_servers ? stage.wait : kMissingServers;
  return cost;
}

}  // namespace

Duration ExpectedWait(const BatchLimits& limits, double capacity,
                      std::size_t waiting) {
  if (capacity <= 0) return kMissingServers;
  const Duration full =
      limits.call_time +
      limits.item_time * static_cast<std::int64_t>(limits.items);
  const double calls = static_cast<double>(waiting) /
                       (static_cast<double>(limits.items) * capacity);
  // Where all servers together do less than one, a call itself takes longer.
  const double slowness = std::max(0.0, 1.0 / capacity - 1.0);
  return Duration(static_cast<std::int64_t>(static_cast<double>(full.count()) *
                                            (calls + slowness)));
}

const ZoneChoice* ChooseStageZone(std::span<const ZoneChoice> zones) {
  const ZoneChoice* best = nullptr;
  for (const ZoneChoice& choice : zones)
    if (best == nullptr || Cost(choice) < Cost(*best)) best = &choice;
  return best;
}

}  // namespace lovagecleat::routing
