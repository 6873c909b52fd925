#include "policy/roster.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <utility>

namespace lovagecleat::policy {

namespace {

std::uint32_t DivideRoundingUp(std::uint32_t value, std::uint32_t divisor) {
  return (value + divisor - 1) / divisor;
}

std::uint32_t HostCount(const Roster& roster) {
  return std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(roster.hosts.size()));
}

std::uint32_t DivisorAt(const Roster& roster,
                        const std::vector<std::uint32_t>& divisors,
                        std::size_t index) {
  if (index >= divisors.size() || divisors[index] == 0)
    return HostCount(roster);
  return divisors[index];
}

// A member of a roster with `divisor` hosts has a share of at most limit /
// divisor, rounded up, and may use half of that, rounded down, while it is
// unconfirmed. The bound holds for every rank, so the rank at the time of the
// removal need not be stored.
std::uint32_t ReservedShare(std::uint32_t limit, std::uint32_t divisor) {
  return DivideRoundingUp(limit, divisor) / 2;
}

std::pair<std::uint64_t, const HostId&> RendezvousKey(const ServerId& server,
                                                      const HostId& host) {
  return {StableHash(host.value(), StableHash(server.value())), host};
}

std::uint32_t RendezvousRank(const Roster& roster, const HostId& host,
                             const ServerId& server) {
  const auto own = RendezvousKey(server, host);
  const auto ranks_before = [&](const HostId& other) {
    return RendezvousKey(server, other) < own;
  };
  return static_cast<std::uint32_t>(
      std::count_if(roster.hosts.begin(), roster.hosts.end(), ranks_before));
}

}  // namespace

bool Roster::Contains(const HostId& host) const {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

bool Roster::IsReserved(const HostId& host) const {
  return std::find(reserved_hosts.begin(), reserved_hosts.end(), host) !=
         reserved_hosts.end();
}

std::uint32_t Roster::DivisorOf(const HostId& host) const {
  const auto member = std::find(hosts.begin(), hosts.end(), host);
  if (member != hosts.end()) {
    return DivisorAt(*this, host_divisors,
                     static_cast<std::size_t>(member - hosts.begin()));
  }
  const auto reserved =
      std::find(reserved_hosts.begin(), reserved_hosts.end(), host);
  return DivisorAt(*this, reserved_divisors,
                   static_cast<std::size_t>(reserved - reserved_hosts.begin()));
}

std::uint32_t ShareOf(const Roster& roster, const HostId& host,
                      const ServerId& server, std::uint32_t limit) {
  if (roster.IsReserved(host))
    return ReservedShare(limit, roster.DivisorOf(host));
  if (!roster.Contains(host)) return 0;
  std::uint32_t reserved = 0;
  for (std::size_t i = 0; i < roster.reserved_hosts.size(); ++i) {
    const auto divisor = DivisorAt(roster, roster.reserved_divisors, i);
    reserved += ReservedShare(limit, divisor);
  }
  if (reserved >= limit) return 0;
  const std::uint32_t shared = limit - reserved;
  const std::uint32_t size = HostCount(roster);
  const std::uint32_t remainder = shared % size;
  const bool gets_one_more = RendezvousRank(roster, host, server) < remainder;
  return shared / size + (gets_one_more ? 1 : 0);
}

// A host that is not known to use `current` may still use any epoch since the
// last one that it is known to use. Its divisor is that of the smallest of
// these epochs, which gives the largest share.
Roster NextEpoch(const Roster& current, const std::vector<HostId>& hosts,
                 const std::vector<HostId>& reserved_hosts,
                 const std::set<HostId>& hosts_at_current) {
  Roster next;
  next.zone = current.zone;
  next.epoch = current.epoch + 1;
  next.hosts = hosts;
  next.reserved_hosts = reserved_hosts;
  next.previous_hosts = current.hosts;
  const auto current_divisor = [&](const HostId& host) {
    const bool is_known = current.Contains(host) || current.IsReserved(host);
    if (!is_known) return HostCount(next);
    if (current.Contains(host) && hosts_at_current.contains(host))
      return HostCount(current);
    return current.DivisorOf(host);
  };
  for (const HostId& host : hosts) {
    next.host_divisors.push_back(
        std::min(current_divisor(host), HostCount(next)));
  }
  for (const HostId& host : reserved_hosts)
    next.reserved_divisors.push_back(current_divisor(host));
  return next;
}

}  // namespace lovagecleat::policy
