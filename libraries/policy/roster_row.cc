#include "policy/roster_row.h"

#include <nlohmann/json.hpp>
#include <set>
#include <vector>

namespace lovagecleat::policy {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaximumHosts = 256;

Json ToJson(const std::vector<HostId>& hosts) {
  Json array = Json::array();
  for (const HostId& host : hosts) array.push_back(host.value());
  return array;
}

std::optional<std::vector<HostId>> ReadHosts(const Json& row, const char* key) {
  const auto found = row.find(key);
  if (found == row.end() || !found->is_array() || found->size() > kMaximumHosts)
    return std::nullopt;
  std::vector<HostId> hosts;
  for (const Json& host : *found) {
    if (!host.is_string()) return std::nullopt;
    hosts.emplace_back(host.get<std::string>());
  }
  return hosts;
}

std::optional<std::vector<std::uint32_t>> ReadDivisors(const Json& row,
                                                       const char* key) {
  const auto found = row.find(key);
  if (found == row.end() || !found->is_array() || found->size() > kMaximumHosts)
    return std::nullopt;
  std::vector<std::uint32_t> divisors;
  for (const Json& divisor : *found) {
    if (!divisor.is_number_unsigned()) return std::nullopt;
    divisors.push_back(divisor.get<std::uint32_t>());
  }
  return divisors;
}

// Checks that hosts are distinct and named and that each has one divisor.
bool IsValid(const Roster& roster) {
  if (roster.epoch == 0 || roster.hosts.empty()) return false;
  const std::size_t hosts = roster.hosts.size() + roster.reserved_hosts.size();
  if (hosts > kMaximumHosts) return false;
  if (roster.previous_hosts.size() > kMaximumHosts) return false;
  std::set<HostId> distinct(roster.hosts.begin(), roster.hosts.end());
  distinct.insert(roster.reserved_hosts.begin(), roster.reserved_hosts.end());
  if (distinct.size() != hosts || distinct.contains(HostId())) return false;
  return roster.host_divisors.size() == roster.hosts.size() &&
         roster.reserved_divisors.size() == roster.reserved_hosts.size();
}

template <typename Strings>
std::vector<HostId> ToHostIds(const Strings& strings) {
  std::vector<HostId> hosts;
  for (const auto& text : strings) hosts.emplace_back(text);
  return hosts;
}

}  // namespace

std::string RosterRowKey(const ZoneId& zone) {
  return "roster/" + zone.value();
}

std::string WriteRosterRow(const Roster& roster) {
  const Json row = {{"epoch", roster.epoch},
                    {"hosts", ToJson(roster.hosts)},
                    {"reserved", ToJson(roster.reserved_hosts)},
                    {"previous", ToJson(roster.previous_hosts)},
                    {"divisors", roster.host_divisors},
                    {"reserved_divisors", roster.reserved_divisors}};
  return row.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Roster> ReadRosterRow(const ZoneId& zone, std::string_view text) {
  const Json row = Json::parse(text, nullptr, false);
  if (!row.is_object()) return std::nullopt;
  const auto epoch = row.find("epoch");
  const auto hosts = ReadHosts(row, "hosts");
  const auto reserved = ReadHosts(row, "reserved");
  const auto previous = ReadHosts(row, "previous");
  const auto divisors = ReadDivisors(row, "divisors");
  const auto reserved_divisors = ReadDivisors(row, "reserved_divisors");
  const bool is_complete = epoch != row.end() && epoch->is_number_unsigned() &&
                           hosts && reserved && previous && divisors &&
                           reserved_divisors;
  if (!is_complete) return std::nullopt;
  const Roster roster{zone,
                      epoch->get<std::uint64_t>(),
                      *hosts,
                      *reserved,
                      *previous,
                      *divisors,
                      *reserved_divisors,
                      RosterOrigin::kBeforeStart};
  if (!IsValid(roster)) return std::nullopt;
  return roster;
}

messages::RosterPush WriteRosterPush(const Roster& roster) {
  messages::RosterPush push;
  push.set_zone(roster.zone.value());
  push.set_epoch(roster.epoch);
  for (const HostId& host : roster.hosts) push.add_hosts(host.value());
  for (const HostId& host : roster.reserved_hosts)
    push.add_reserved_hosts(host.value());
  for (const HostId& host : roster.previous_hosts)
    push.add_previous_hosts(host.value());
  for (const std::uint32_t divisor : roster.host_divisors)
    push.add_host_divisors(divisor);
  for (const std::uint32_t divisor : roster.reserved_divisors)
    push.add_reserved_divisors(divisor);
  return push;
}

std::optional<Roster> ReadRosterPush(const ZoneId& zone,
                                     const messages::RosterPush& push) {
  if (push.zone() != zone.value()) return std::nullopt;
  const Roster roster{
      zone,
      push.epoch(),
      ToHostIds(push.hosts()),
      ToHostIds(push.reserved_hosts()),
      ToHostIds(push.previous_hosts()),
      {push.host_divisors().begin(), push.host_divisors().end()},
      {push.reserved_divisors().begin(), push.reserved_divisors().end()},
      RosterOrigin::kBeforeStart};
  if (!IsValid(roster)) return std::nullopt;
  return roster;
}

}  // namespace lovagecleat::policy
