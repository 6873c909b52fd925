#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "configuration/json.h"

namespace lovagecleat::configuration {

class ObjectReader;

// How room is given where requests compete for too little.
struct RoomSettings {
  std::map<std::string, double> worth;    // by route; 1 for the others
  std::map<TeamId, double> team_weights;  // 1 for the others
};

// Reads the optional member "room" of a settings object.
std::optional<RoomSettings> ReadRoomSettings(ObjectReader& parent,
                                             std::vector<Problem>& problems);

}  // namespace lovagecleat::configuration
