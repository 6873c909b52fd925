#include "services/entry/bounded_json.h"

namespace lovagecleat::entry {

namespace {
// Deeper values could exhaust the stack when they are serialized.
constexpr int kMaximumDepth = 64;
}  // namespace

std::optional<nlohmann::json> ParseBoundedJson(std::string_view text) {
  using Json = nlohmann::json;
  bool is_too_deep = false;
  const auto callback = [&is_too_deep](int depth, Json::parse_event_t /*event*/,
                                       Json& /*parsed*/) {
    if (depth > kMaximumDepth) is_too_deep = true;
    // Values below the limit are discarded, so that no deep value is ever
    // built.
    return depth <= kMaximumDepth;
  };
  Json parsed = Json::parse(text, callback, false);
  if (parsed.is_discarded() || is_too_deep) return std::nullopt;
  return parsed;
}

std::string WriteJson(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace lovagecleat::entry
