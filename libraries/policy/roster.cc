#include "policy/roster.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <utility>

namespace lovagecleat::policy {

namespace {

std::uint32_t CeilingOfQuotient(std::uint32_t value, std::uint32_t divisor) {
  return (value + divisor - 1) / divisor;
}

std::uint32_t SizeOf(const Roster& roster) {
  return std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(roster.hosts.size()));
}

std::uint32_t DivisorAt(const Roster& roster,
                        const std::vector<std::uint32_t>& divisors,
                        std::size_t index) {
  if (index >= divisors.size() || divisors[index] == 0) return SizeOf(roster);
  return divisors[index];
}

// A host of a roster with `divisor` hosts has at most the ceiling of
// limit / divisor and falls back to half of it, rounded down. The bound holds
// for each rank, so that the rank at the time of removal need not be kept.
std::uint32_t ReservedPart(std::uint32_t limit, std::uint32_t divisor) {
  return CeilingOfQuotient(limit, divisor) / 2;
}

std::pair<std::uint64_t, const HostId&> RendezvousKey(const ServerId& server,
                                                      const HostId& host) {
  return {StableHash(host.value(), StableHash(server.value())), host};
}

std::uint32_t RankOf(const Roster& roster, const HostId& host,
                     const ServerId& server) {
  const auto own = RendezvousKey(server, host);
  const auto is_before = [&](const HostId& other) {
    return RendezvousKey(server, other) < own;
  };
  return static_cast<std::uint32_t>(
      std::count_if(roster.hosts.begin(), roster.hosts.end(), is_before));
}

}  // namespace

bool Roster::Contains(const HostId& host) const {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

bool Roster::Reserves(const HostId& host) const {
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
  if (roster.Reserves(host)) return ReservedPart(limit, roster.DivisorOf(host));
  if (!roster.Contains(host)) return 0;
  std::uint32_t reserved = 0;
  for (std::size_t i = 0; i < roster.reserved_hosts.size(); ++i) {
    const auto divisor = DivisorAt(roster, roster.reserved_divisors, i);
    reserved += ReservedPart(limit, divisor);
  }
  if (reserved >= limit) return 0;
  const std::uint32_t shared = limit - reserved;
  const std::uint32_t size = SizeOf(roster);
  const std::uint32_t remainder = shared % size;
  const bool gets_one_more = RankOf(roster, host, server) < remainder;
  return shared / size + (gets_one_more ? 1 : 0);
}

// A host that is not known to use `current` may still use any epoch since the
// last one that it is known to use; its divisor covers the smallest of them.
Roster NextEpoch(const Roster& current, const std::vector<HostId>& hosts,
                 const std::vector<HostId>& reserved_hosts,
                 const std::set<HostId>& adopted) {
  Roster next;
  next.zone = current.zone;
  next.epoch = current.epoch + 1;
  next.hosts = hosts;
  next.reserved_hosts = reserved_hosts;
  next.previous_hosts = current.hosts;
  const auto divisor_so_far = [&](const HostId& host) {
    const bool is_known = current.Contains(host) || current.Reserves(host);
    if (!is_known) return SizeOf(next);
    if (current.Contains(host) && adopted.contains(host))
      return SizeOf(current);
    return current.DivisorOf(host);
  };
  for (const HostId& host : hosts) {
    next.host_divisors.push_back(std::min(divisor_so_far(host), SizeOf(next)));
  }
  for (const HostId& host : reserved_hosts)
    next.reserved_divisors.push_back(divisor_so_far(host));
  return next;
}

}  // namespace lovagecleat::policy
