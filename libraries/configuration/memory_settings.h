#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "configuration/json.h"

namespace lovagecleat::configuration {

class ObjectReader;

// What a process may use of its machine.
struct MemorySettings {
  std::uint64_t bytes = 0;
  std::uint32_t descriptors = 0;  // 0 if not given
  // Largest part of the memory for clients that those of one address may hold.
  double address_share = 1.0;
};

// Reads the optional member "memory" of a settings object.
std::optional<MemorySettings> ReadMemorySettings(
    ObjectReader& parent, std::vector<Problem>& problems);

}  // namespace lovagecleat::configuration
