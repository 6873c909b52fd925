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

// An eligible server with a free admission credit.
struct Candidate {
  const ServerEntry* server = nullptr;
  std::uint32_t limit = 1;  // the last known limit of the whole zone
};

// Chooses the servers in turn.
class RoundRobin {
 public:
  const ServerEntry* Choose(const ServiceId& service,
                            std::span<const Candidate> candidates,
                            TimePoint now);

 private:
  std::map<ServiceId, ServerId> last_;
};

// Chooses the server with the fewest outstanding calls from this host.
class LeastOutstanding {
 public:
  const ServerEntry* Choose(const ServiceId& service,
                            std::span<const Candidate> candidates,
                            TimePoint now);
};

// Chooses the server that is expected to finish first, by its measured
// slowness, the outstanding calls from this host and its reported load.
class ExpectedFinish {
 public:
  const ServerEntry* Choose(const ServiceId& service,
                            std::span<const Candidate> candidates,
                            TimePoint now);
};

using Placement = std::variant<ExpectedFinish, RoundRobin, LeastOutstanding>;

Placement MakePlacement(PlacementKind kind);

// Returns null only if there are no candidates.
const ServerEntry* Choose(Placement& placement, const ServiceId& service,
                          std::span<const Candidate> candidates, TimePoint now);

}  // namespace lovagecleat::policy
