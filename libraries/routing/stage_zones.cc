#include "routing/stage_zones.h"

#include <algorithm>

namespace lovagecleat::routing {

namespace {

// Delay with the same cost as a megabyte of traffic between zones. By the
// deployments' data sheets a megabyte costs about a hundredth of a mean
// request, the same as 30 ms of waiting.
constexpr double kDelayPerMegabyteUs = 30'000;
// Cost of a zone without servers of a stage: the stage runs in another zone and
// all of its results cross zones.
constexpr Duration kMissingServersCost = std::chrono::seconds(2);

Duration Cost(const ZoneCandidate& candidate) {
  Duration cost = CrossingCost(candidate.crossing_bytes);
  for (const StageWait& stage : candidate.stages)
    cost += stage.has_servers ? stage.wait : kMissingServersCost;
  return cost;
}

}  // namespace

Duration CrossingCost(std::uint64_t bytes) {
  return Duration(static_cast<std::int64_t>(kDelayPerMegabyteUs *
                                            static_cast<double>(bytes) / 1e6));
}

Duration ExpectedWait(const BatchLimits& limits, double capacity,
                      std::size_t waiting) {
  if (capacity <= 0) return kMissingServersCost;
  const Duration full_call_time =
      limits.call_time +
      limits.item_time * static_cast<std::int64_t>(limits.items);
  const double calls = static_cast<double>(waiting) /
                       (static_cast<double>(limits.items) * capacity);
  // Below a capacity of one server, the call itself takes longer.
  const double slowness = std::max(0.0, 1.0 / capacity - 1.0);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(full_call_time.count()) * (calls + slowness)));
}

const ZoneCandidate* ChooseStageZone(std::span<const ZoneCandidate> zones) {
  const ZoneCandidate* best = nullptr;
  for (const ZoneCandidate& candidate : zones)
    if (best == nullptr || Cost(candidate) < Cost(*best)) best = &candidate;
  return best;
}

}  // namespace lovagecleat::routing
