#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "base/base.h"

namespace lovagecleat::policy {

// Whether an earlier incarnation of this host may have held a share.
enum class RosterOrigin { kBeforeStart, kAfterStart };

// Which hosts share the limits of a zone's servers. Each change of the
// membership is a new epoch in the platform's table.
struct Roster {
  ZoneId zone;
  std::uint64_t epoch = 0;
  std::vector<HostId> hosts;
  // Silent hosts that were removed; half of their share stays theirs.
  std::vector<HostId> reserved_hosts;
  std::vector<HostId> previous_hosts;  // the hosts of the epoch before
  // Parallel to `hosts` and `reserved_hosts`: the size of the smallest roster
  // of which the host may still hold a share. Missing: the size of `hosts`.
  std::vector<std::uint32_t> host_divisors;
  std::vector<std::uint32_t> reserved_divisors;
  RosterOrigin origin = RosterOrigin::kBeforeStart;

  bool Contains(const HostId& host) const;
  bool Reserves(const HostId& host) const;
  std::uint32_t DivisorOf(const HostId& host) const;
};

// How many of the `limit` calls at once on `server` are `host`'s under
// `roster`. Over all hosts the shares add up to at most `limit`.
std::uint32_t ShareOf(const Roster& roster, const HostId& host,
                      const ServerId& server, std::uint32_t limit);

// The epoch after `current` with other hosts. `adopted` names those hosts that
// have said that they use `current`.
Roster NextEpoch(const Roster& current, const std::vector<HostId>& hosts,
                 const std::vector<HostId>& reserved_hosts,
                 const std::set<HostId>& adopted);

}  // namespace lovagecleat::policy
