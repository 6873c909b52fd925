#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/base.h"
#include "routing/model.h"

namespace lovagecleat::routing {

// What one stage of a request would meet in one zone.
struct StageWait {
  Duration wait{};  // before its call starts
  bool has_servers = true;
};

// One zone in which a request's stages could be run.
struct ZoneChoice {
  ZoneId zone;
  std::vector<StageWait> stages;     // those that the request has
  std::uint64_t crossing_bytes = 0;  // results that would leave the zone
};

// Time by which a new item's result is later than at an idle server of the
// expected speed, with `waiting` items before it. `capacity` is in servers of
// that speed.
Duration ExpectedWait(const BatchLimits& limits, double capacity,
                      std::size_t waiting);

// The zone in which a request's stages are best run: results that cross zones
// cost money and links, waiting costs time. Answers the patterns "slow stage
// server" and "cold return of a zone". Nothing if `zones` is empty.
const ZoneChoice* ChooseStageZone(std::span<const ZoneChoice> zones);

}  // namespace lovagecleat::routing
