#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

// JSON from outside, with a bound on its depth.
namespace lovagecleat::entry {

// Nothing where the text is not JSON, or deeper than 64 levels.
std::optional<nlohmann::json> ParseBoundedJson(std::string_view text);

// Writes any value; bytes that are not UTF-8 are replaced.
std::string WriteJson(const nlohmann::json& json);

}  // namespace lovagecleat::entry
