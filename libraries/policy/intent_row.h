#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

namespace lovagecleat::policy {

// Names one non-idempotent stage of one request over all hosts.
struct IntentKey {
  TeamId team;
  std::string idempotency_key;
  std::string stage;
};

// The key of the table row that holds the intent.
std::string IntentRowKey(const IntentKey& key);

enum class IntentState { kOpen, kDone, kNotRun, kUnknown };

// What the table row of an intent says.
struct IntentRow {
  std::string attempt;
  IntentState state = IntentState::kOpen;
  std::uint64_t fingerprint = 0;  // of the stage's input
  std::string output;             // JSON text, if done
};

// The largest output that a row keeps. Of a larger one it keeps the size, and
// a repeated request gets {"omitted_bytes": N} in its place.
inline constexpr std::size_t kMaximumStoredOutputBytes = 32768;

std::string EncodeIntentRow(const IntentRow& row);

// Nothing if `value` is not a row that EncodeIntentRow can have written.
std::optional<IntentRow> DecodeIntentRow(std::string_view value);

}  // namespace lovagecleat::policy
