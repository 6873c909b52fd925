#include "routing/version_history.h"

namespace lovagecleat::routing {

void VersionHistory::AddServer(const ServiceId& service,
                               const std::string& version, TimePoint now) {
  const auto [state, is_new] = services_.try_emplace(service);
  if (is_new) state->second.known_since = now;
  ++state->second.versions[version].servers;
}

void VersionHistory::RemoveServer(const ServiceId& service,
                                  const std::string& version, TimePoint now) {
  const auto state = services_.find(service);
  if (state == services_.end()) return;
  const auto found = state->second.versions.find(version);
  if (found == state->second.versions.end()) return;
  VersionState& removed = found->second;
  if (removed.servers > 0) --removed.servers;
  removed.last_removal = now;
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
