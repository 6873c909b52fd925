#include "policy/intent_row.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace lovagecleat::policy {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<IntentState, std::string_view>, 4> kStateNames{{
    {IntentState::kOpen, "open"},
    {IntentState::kDone, "done"},
    {IntentState::kNotRun, "not_run"},
    {IntentState::kUnknown, "unknown"},
}};

constexpr std::string_view kHexDigits = "0123456789ABCDEF";

std::string_view StateName(IntentState state) {
  for (const auto& [candidate, name] : kStateNames) {
    if (candidate == state) return name;
  }
  return "unknown";
}

std::optional<IntentState> StateFromName(std::string_view name) {
  for (const auto& [state, candidate] : kStateNames) {
    if (candidate == name) return state;
  }
  return std::nullopt;
}

bool IsUnescaped(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' ||
         character == '_' || character == '.';
}

// Percent-encodes `part`, so that different intent keys never share a row key.
std::string PercentEncode(std::string_view part) {
  std::string escaped;
  for (const char character : part) {
    if (IsUnescaped(character)) {
      escaped += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    escaped += '%';
    escaped += kHexDigits[byte >> 4U];
    escaped += kHexDigits[byte & 0xFU];
  }
  return escaped;
}

std::string StringAt(const Json& document, const char* key) {
  const auto found = document.find(key);
  if (found == document.end() || !found->is_string()) return {};
  return found->get<std::string>();
}

}  // namespace

std::string IntentRowKey(const IntentKey& key) {
  return "intent/" + PercentEncode(key.team.value()) + "/" +
         PercentEncode(key.idempotency_key) + "/" + PercentEncode(key.stage);
}

std::string EncodeIntentRow(const IntentRow& row) {
  Json document;
  document["attempt"] = row.attempt;
  document["state"] = StateName(row.state);
  // A string, since many JSON parsers keep only 53 bits of a number.
  document["fingerprint"] = std::to_string(row.fingerprint);
  if (row.state == IntentState::kDone) {
    document["output"] =
        row.output.size() <= kMaximumStoredOutputBytes
            ? row.output
            : Json{{"omitted_bytes", row.output.size()}}.dump();
  }
  return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<IntentRow> DecodeIntentRow(std::string_view value) {
  const Json document = Json::parse(value, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  const std::optional<IntentState> state =
      StateFromName(StringAt(document, "state"));
  const std::string fingerprint = StringAt(document, "fingerprint");
  IntentRow row;
  row.attempt = StringAt(document, "attempt");
  if (!state || row.attempt.empty() || fingerprint.empty() ||
      fingerprint.find_first_not_of("0123456789") != std::string::npos ||
      fingerprint.size() > 20) {
    return std::nullopt;
  }
  row.state = *state;
  row.fingerprint = std::strtoull(fingerprint.c_str(), nullptr, 10);
  row.output = StringAt(document, "output");
  return row;
}

}  // namespace lovagecleat::policy
