#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/base.h"
#include "routing/model.h"

namespace lovagecleat::routing {

// Conditions for one stage of a request in one zone.
struct StageWait {
  Duration wait{};  // expected time until its call starts
  bool has_servers = true;
};

// One zone in which a request's stages could be run.
struct ZoneCandidate {
  ZoneId zone;
  std::vector<StageWait> stages;     // the stages of the request
  std::uint64_t crossing_bytes = 0;  // results that would leave the zone
};

// Returns the expected delay of a new item with `waiting` items before it,
// relative to an idle server of the expected speed. `capacity` is in units of
// one server of that speed.
Duration ExpectedWait(const BatchLimits& limits, double capacity,
                      std::size_t waiting);

// Returns the delay with the same cost as that many bytes between zones.
Duration CrossingCost(std::uint64_t bytes);

// Returns the zone with the lowest cost for a request's stages, or null if
// `zones` is empty. The cost combines waiting time with the price and bandwidth
// of results that cross zones. Handles the load patterns "slow stage server"
// and "cold return of a zone".
const ZoneCandidate* ChooseStageZone(std::span<const ZoneCandidate> zones);

}  // namespace lovagecleat::routing
