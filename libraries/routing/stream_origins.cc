#include "routing/stream_origins.h"

#include <algorithm>
#include <cstdint>

namespace lovagecleat::routing {

namespace {

constexpr std::size_t kMaximumOtherZones = 2;

}  // namespace

void StreamOrigins::Add(const std::string& stream, const StreamOrigin& origin,
                        TimePoint expires_at) {
  const auto [entry, is_new] =
      entries_.try_emplace(stream, KnownOrigin{origin, expires_at});
  if (is_new) return;
  // The first origin is the true one; a later one repeats it.
  from_others_.erase({entry->second.expires_at, stream});
  entry->second.expires_at = std::max(entry->second.expires_at, expires_at);
}

bool StreamOrigins::AddFromOther(const std::string& stream,
                                 const StreamOrigin& origin,
                                 TimePoint expires_at, std::size_t limit) {
  const auto known = entries_.find(stream);
  const bool is_from_other =
      known == entries_.end() ||
      from_others_.contains({known->second.expires_at, stream});
  Add(stream, origin, expires_at);
  if (!is_from_other) return true;
  from_others_.emplace(entries_.at(stream).expires_at, stream);
  if (from_others_.size() <= limit) return true;
  entries_.erase(from_others_.begin()->second);
  from_others_.erase(from_others_.begin());
  return false;
}

const KnownOrigin* StreamOrigins::Find(const std::string& stream,
                                       TimePoint now) const {
  const auto entry = entries_.find(stream);
  if (entry == entries_.end() || entry->second.expires_at <= now)
    return nullptr;
  return &entry->second;
}

void StreamOrigins::RemoveExpired(TimePoint now) {
  std::erase_if(entries_, [now](const auto& entry) {
    return entry.second.expires_at <= now;
  });
  while (!from_others_.empty() && from_others_.begin()->first <= now)
    from_others_.erase(from_others_.begin());
}

std::vector<std::string_view> OriginHolders(std::string_view stream,
                                            std::string_view own_zone,
                                            std::span<const OriginHost> hosts,
                                            std::size_t hosts_per_zone) {
  const std::uint64_t seed = StableHash(stream);
  std::map<std::string_view, std::vector<std::string_view>> by_zone;
  for (const OriginHost& host : hosts)
    by_zone[host.zone].push_back(host.address);
  std::vector<std::string_view> zones;
  for (const auto& [zone, addresses] : by_zone)
    if (zone != own_zone) zones.push_back(zone);
  const auto has_higher_rank = [seed](std::string_view a, std::string_view b) {
    return StableHash(a, seed) > StableHash(b, seed);
  };
  std::sort(zones.begin(), zones.end(), has_higher_rank);
  if (zones.size() > kMaximumOtherZones) zones.resize(kMaximumOtherZones);
  if (by_zone.contains(own_zone)) zones.push_back(own_zone);
  std::vector<std::string_view> holders;
  for (const std::string_view zone : zones) {
    std::vector<std::string_view>& addresses = by_zone[zone];
    std::sort(addresses.begin(), addresses.end(), has_higher_rank);
    if (addresses.size() > hosts_per_zone) addresses.resize(hosts_per_zone);
    holders.insert(holders.end(), addresses.begin(), addresses.end());
  }
  return holders;
}

}  // namespace lovagecleat::routing
