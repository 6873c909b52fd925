#pragma once

#include <array>
#include <cstddef>
#include <span>
#include <vector>

#include "base/base.h"
#include "routing/room.h"

namespace lovagecleat::routing {

// One stage of a request that waits at its batching host.
struct RoomClaim {
  RoomRank rank;
  TeamId team;
  // Time left until its work must have begun for the request to meet its
  // objective, and its deadline.
  Duration objective{};
  Duration deadline{};
  std::array<double, kRoomKinds> work{};
};

struct RoomAllotment {
  // One for each claim.
  std::vector<RoomVerdict> verdicts;
  // Time after which a claim like each could meet its objective if no more work
  // came.
  std::vector<Duration> room_after;
};

// Chooses the claims that get room: as many as the supplies carry within their
// objectives, by priority, then worth, then evenly between teams; then, of the
// others, those that what is left carries within their deadlines. The supplies
// are indexed by RoomKind. The time is quadratic in the number of claims.
RoomAllotment AllotRoom(std::span<const RoomClaim> claims,
                        std::span<const RoomSupply, kRoomKinds> supplies,
                        const RoomWeights& weights);

}  // namespace lovagecleat::routing
