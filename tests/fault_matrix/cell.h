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
  kTableOutage,
  kTableSlow,
  kTableResponseLost,
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
  kStaleInventory,
};

// A fault and the step at which it is injected.
struct FaultInjection {
  StepKind step = StepKind::kAccept;
  FaultKind fault = FaultKind::kKill;
};

// A session with one or more injected faults.
struct Cell {
  std::vector<FaultInjection> injections;
  std::uint64_t seed = 1;
};

struct CellResult {
  Violations violations;
  // Injections whose step did not occur or whose fault had no effect.
  std::vector<std::string> ineffective_faults;

  bool Passed() const {
    return violations.empty() && ineffective_faults.empty();
  }
};

CellResult RunCell(const Cell& cell);

std::vector<Cell> SingleFaultCells();
Cell SamplePair(Random& random);

// Returns STEP/FAULT, separated by commas: "admit/kill,send/freeze".
std::string NameOf(const Cell& cell);
// Reads a name as NameOf writes it; nothing if a step or a fault is unknown.
std::optional<Cell> ParseCell(std::string_view name, std::uint64_t seed);

}  // namespace lovagecleat::fault_matrix
