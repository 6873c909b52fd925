#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tests/fault_matrix/checkers.h"
#include "tests/fault_matrix/session.h"

namespace lovagecleat::fault_matrix {

enum class FaultKind {
  kKill,
  kFreeze,
  kSilentConnection,
  kCutZones,
  kCutPlatform,
  kStoreDown,
  kStoreSlow,
  kStoreAnswerLost,
  kServerCold,
  kServerSlow,
  kServerErrors,
  kServerLeaving,
  kZoneOut,
  kStop,
  kRacingChange,
  kDuplicateMessages,
  kLateMessages,
  kReorderedMessages,
  kStaleList,
};

// One fault at one step.
struct Strike {
  StepKind step = StepKind::kAccept;
  FaultKind fault = FaultKind::kKill;
};

// One session with one or more strikes.
struct Cell {
  std::vector<Strike> strikes;
  std::uint64_t seed = 1;
};

struct CellResult {
  Violations violations;
  // Strikes whose step never came or whose fault touched nothing.
  std::vector<std::string> not_struck;

  bool Passed() const { return violations.empty() && not_struck.empty(); }
};

CellResult RunCell(const Cell& cell);

std::vector<Cell> SingleFaultCells();
Cell SamplePair(Random& random);

// "admit/kill" or "admit/kill,send/freeze".
std::string NameOf(const Cell& cell);
std::optional<Cell> CellOfName(std::string_view name, std::uint64_t seed);

}  // namespace lovagecleat::fault_matrix
