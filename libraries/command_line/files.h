#pragma once

#include <optional>
#include <string>

namespace lovagecleat::command_line {

inline constexpr std::size_t kMaximumFileBytes = 4'194'304;

// Returns the contents of the file, or nothing if it cannot be read or exceeds
// kMaximumFileBytes.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace lovagecleat::command_line
