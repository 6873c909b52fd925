#include "routing/version_history.h"

#include <algorithm>

namespace lovagecleat::routing {

void VersionHistory::AddServer(const ServiceId& service,
                               const std::string& version, TimePoint now) {
  const auto [state, is_new] = services_.try_emplace(service);
  if (is_new) state->second.known_since = now;
  if (++state->second.versions[version].servers == 1) ++revision_;
}

void VersionHistory::RemoveServer(const ServiceId& service,
                                  const std::string& version, TimePoint now) {
  const auto state = services_.find(service);
  if (state == services_.end()) return;
  const auto found = state->second.versions.find(version);
  if (found == state->second.versions.end()) return;
  VersionState& removed = found->second;
  if (removed.servers > 0 && --removed.servers == 0) ++revision_;
  removed.last_removal = now;
}

void VersionHistory::Restore(const ServiceId& service,
                             const VersionRecord& record, TimePoint now) {
  const auto [found, is_new] = services_.try_emplace(service);
  ServiceState& state = found->second;
  state.known_since = is_new ? record.known_since
                             : std::min(state.known_since, record.known_since);
  for (const auto& [version, gone_at] : record.versions) {
    VersionState& known = state.versions[version];
    known.last_removal = std::max(known.last_removal, gone_at.value_or(now));
  }
}

std::map<ServiceId, VersionRecord> VersionHistory::Records(
    TimePoint oldest) const {
  std::map<ServiceId, VersionRecord> records;
  for (const auto& [service, state] : services_) {
    VersionRecord& record = records[service];
    record.known_since = std::max(state.known_since, oldest);
    for (const auto& [version, servers] : state.versions) {
      if (servers.servers > 0)
        record.versions[version] = std::nullopt;
      else if (servers.last_removal >= oldest)
        record.versions[version] = servers.last_removal;
    }
  }
  return records;
}

std::optional<std::string> VersionHistory::SoleVersion(const ServiceId& service,
                                                       TimePoint since) const {
  const auto state = services_.find(service);
  if (state == services_.end() || state->second.known_since > since)
    return std::nullopt;
  std::optional<std::string> sole;
  for (const auto& [version, servers] : state->second.versions) {
    if (servers.servers == 0 && servers.last_removal < since) continue;
    if (sole) return std::nullopt;
    sole = version;
  }
  return sole;
}

}  // namespace lovagecleat::routing
