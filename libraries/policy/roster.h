#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "base/base.h"

namespace lovagecleat::policy {

// Tells whether an earlier incarnation of this host may have held a share:
// kBeforeStart if it may, kAfterStart if it cannot have.
enum class RosterOrigin { kBeforeStart, kAfterStart };

// The hosts that share the concurrency limits of a zone's servers. Each change
// of the members is stored as a new epoch in the platform's table.
struct Roster {
  ZoneId zone;
  std::uint64_t epoch = 0;
  std::vector<HostId> hosts;
  // Members that were removed as unreachable. Half of their share stays
  // reserved for them.
  std::vector<HostId> reserved_hosts;
  std::vector<HostId> previous_hosts;  // members of the preceding epoch
  // Parallel to `hosts` and `reserved_hosts`: the number of members of the
  // smallest roster of which the host may still hold a share. Defaults to the
  // size of `hosts`.
  std::vector<std::uint32_t> host_divisors;
  std::vector<std::uint32_t> reserved_divisors;
  RosterOrigin origin = RosterOrigin::kBeforeStart;

  bool Contains(const HostId& host) const;
  bool IsReserved(const HostId& host) const;
  std::uint32_t DivisorOf(const HostId& host) const;
};

// Returns how many of the `limit` concurrent calls to `server` belong to `host`
// under `roster`. The shares of all hosts add up to at most `limit`.
std::uint32_t ShareOf(const Roster& roster, const HostId& host,
                      const ServerId& server, std::uint32_t limit);

// Returns the epoch after `current` with the given members. `hosts_at_current`
// holds the hosts that have reported that they use `current`.
Roster NextEpoch(const Roster& current, const std::vector<HostId>& hosts,
                 const std::vector<HostId>& reserved_hosts,
                 const std::set<HostId>& hosts_at_current);

}  // namespace lovagecleat::policy
