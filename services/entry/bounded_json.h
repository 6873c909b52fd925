#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

// Parsing of untrusted JSON with a limit on its depth.
namespace lovagecleat::entry {

// Returns nullopt if the text is not JSON or is nested deeper than 64 levels.
std::optional<nlohmann::json> ParseBoundedJson(std::string_view text);

// Serializes `json`; invalid UTF-8 is replaced.
std::string WriteJson(const nlohmann::json& json);

}  // namespace lovagecleat::entry
