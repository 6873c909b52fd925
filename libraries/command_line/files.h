#pragma once

#include <optional>
#include <string>

namespace lovagecleat::command_line {

// The whole file, or nothing if it cannot be read or exceeds
// kMaximumFileBytes.
inline constexpr std::size_t kMaximumFileBytes = 4'194'304;
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace lovagecleat::command_line
