#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "configuration/types.h"

namespace lovagecleat::configuration {

enum class ProblemKind {
  kMalformedJson,
  kMissingKey,
  kUnknownKey,
  kWrongType,
  kOutOfRange,
  kUnknownReference,
  kDuplicate,
  kEmpty,
};

// One validation error in a document.
struct Problem {
  ProblemKind kind = ProblemKind::kMalformedJson;
  std::string key;       // JSON pointer, such as "/classes/0/pipeline"
  std::string value;     // the value found, as shortened JSON
  std::string expected;  // describes a valid value
};

// Reads a whole configuration document and collects all of its problems.
class ConfigurationReader {
 public:
  // Returns nothing if any part is invalid; see problems().
  std::optional<Configuration> Read(std::string_view json);

  const std::vector<Problem>& problems() const { return problems_; }

 private:
  std::vector<Problem> problems_;
};

std::string WriteConfiguration(const Configuration& configuration);

// Returns "FILE: KEY: found VALUE, expected EXPECTED" for display to a user.
std::string DescribeProblem(std::string_view file, const Problem& problem);

// --- Changes by operators
// -----------------------------------------------------

struct SetTargets {
  ClassId request_class;
  std::vector<HourlyTarget> targets;
};
struct SetZoneState {
  ZoneId zone;
  ZoneState state = ZoneState::kIn;
};
enum class ServerAvailability { kIn, kOut };
struct SetServerState {
  ServerId server;
  ServerAvailability state = ServerAvailability::kIn;
};
// Stores the first configuration in an empty table, or replaces classes,
// pipelines and services as a whole.
struct ReplaceConfiguration {
  Configuration configuration;
};
using Change = std::variant<SetTargets, SetZoneState, SetServerState,
                            ReplaceConfiguration>;

// Reads a change: {"kind": "set_targets" | "zone" | "server" | "replace", ...}.
class ChangeReader {
 public:
  std::optional<Change> Read(std::string_view json);
  const std::vector<Problem>& problems() const { return problems_; }

 private:
  std::vector<Problem> problems_;
};

std::string WriteChange(const Change& change);

// Applies changes to a configuration; each increments the revision by one.
class ChangeApplier {
 public:
  std::optional<Configuration> Apply(const Configuration& before,
                                     const Change& change);
  const std::vector<Problem>& problems() const { return problems_; }

 private:
  std::vector<Problem> problems_;
};

}  // namespace lovagecleat::configuration
