#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <variant>

#include "base/base.h"
#include "policy/core.h"
#include "policy/server_table.h"

namespace lovagecleat::policy {

// A server that may get the job at once.
struct Candidate {
  const ServerEntry* server = nullptr;
  std::uint32_t limit = 1;  // of the whole zone, as now believed
};

// Takes the servers in turn.
class RoundRobin {
 public:
  const ServerEntry* Choose(const ServiceId& service,
                            std::span<const Candidate> candidates,
                            TimePoint now);

 private:
  std::map<ServiceId, ServerId> last_;
};

// Takes the server with the fewest calls of this host.
class LeastOutstanding {
 public:
  const ServerEntry* Choose(const ServiceId& service,
                            std::span<const Candidate> candidates,
                            TimePoint now);
};

// Takes the server that is expected to end first, by its measured slowness,
// this host's own calls and its reported load.
class ExpectedFinish {
 public:
  const ServerEntry* Choose(const ServiceId& service,
                            std::span<const Candidate> candidates,
                            TimePoint now);
};

using Placement = std::variant<ExpectedFinish, RoundRobin, LeastOutstanding>;

Placement MakePlacement(PlacementKind kind);

// Null only where there are no candidates.
const ServerEntry* Choose(Placement& placement, const ServiceId& service,
                          std::span<const Candidate> candidates, TimePoint now);

}  // namespace lovagecleat::policy
