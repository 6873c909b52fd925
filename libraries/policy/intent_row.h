#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

namespace lovagecleat::policy {

// Identifies one non-idempotent stage of one request across all hosts.
struct IntentKey {
  TeamId team;
  std::string idempotency_key;
  std::string stage;
};

// Returns the key of the table row that holds the intent.
std::string IntentRowKey(const IntentKey& key);

enum class IntentState { kOpen, kDone, kNotRun, kUnknown };

// The contents of an intent's table row.
struct IntentRow {
  std::string attempt;
  IntentState state = IntentState::kOpen;
  std::uint64_t fingerprint = 0;  // of the stage's input
  std::string output;             // JSON text, set only with kDone
};

// The largest output that is stored in a row. For a larger one only the size is
// stored, and a repeated request gets {"omitted_bytes": N} instead.
inline constexpr std::size_t kMaximumStoredOutputBytes = 32768;

std::string EncodeIntentRow(const IntentRow& row);

// Returns nullopt if `value` cannot have been written by EncodeIntentRow.
std::optional<IntentRow> DecodeIntentRow(std::string_view value);

}  // namespace lovagecleat::policy
