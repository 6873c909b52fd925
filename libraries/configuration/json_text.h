#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/json.h"

// Private to the configuration library: parses and formats JSON text.
namespace lovagecleat::configuration {

using Json = nlohmann::json;

// Appends one reference token to a JSON pointer, escaped according to RFC 6901.
std::string PointerTo(std::string_view parent, std::string_view key);
std::string PointerTo(std::string_view parent, std::size_t index);

// Returns the value as JSON text, truncated to kMaximumShownBytes.
inline constexpr std::size_t kMaximumShownBytes = 80;
std::string ShowValue(const Json& value);

// Parses `text`; returns nothing if it is malformed. A duplicate key in an
// object is also reported, since the parser would silently drop one of the two
// values, but the document is returned so that the rest can be validated.
std::optional<Json> ParseJson(std::string_view text,
                              std::vector<Problem>& problems);

}  // namespace lovagecleat::configuration
