#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/json.h"

// Private to the configuration library: JSON text to values.
namespace lovagecleat::configuration {

using Json = nlohmann::json;

// Appends one step to a JSON pointer, escaped as RFC 6901 asks.
std::string PointerTo(std::string_view parent, std::string_view key);
std::string PointerTo(std::string_view parent, std::size_t index);

// The value as JSON text of at most kMaximumShownBytes.
inline constexpr std::size_t kMaximumShownBytes = 80;
std::string ShowValue(const Json& value);

// Parses `text`; nothing unless it is well-formed. A key that stands twice in
// one object is a problem, too, since one of the two values would be dropped
// without a word; the rest can still be checked then.
std::optional<Json> ParseJson(std::string_view text,
                              std::vector<Problem>& problems);

}  // namespace lovagecleat::configuration
