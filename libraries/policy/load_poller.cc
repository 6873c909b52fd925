#include "policy/load_poller.h"

#include <algorithm>

namespace lovagecleat::policy {

namespace {
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
// A server is not polled if its last report is more recent than this.
constexpr Duration kReportValidity = std::chrono::seconds(2);
}  // namespace

bool LoadPoller::IsAssignedToSelf(const ServerId& server,
                                  std::span<const HostId> alive_in_zone) const {
  const auto weight = [&server](const HostId& host) {
    return StableHash(host.value() + "/" + server.value());
  };
  const std::uint64_t own = weight(self_);
  return std::none_of(alive_in_zone.begin(), alive_in_zone.end(),
                      [&](const HostId& host) { return weight(host) > own; });
}

std::vector<Command> LoadPoller::Tick(const ServerTable& servers,
                                      std::span<const HostId> alive_in_zone,
                                      TimePoint now) {
  std::vector<Command> commands;
  if (now < next_due_) return commands;
  next_due_ = now + kPollInterval;
  for (const auto& [id, entry] : servers.all()) {
    if (servers.IsOut(entry)) continue;
    const bool has_recent_report =
        entry.report.has_value() && now - entry.report_at < kReportValidity;
    if (has_recent_report || !IsAssignedToSelf(id, alive_in_zone)) continue;
    commands.emplace_back(PollLoad{id, entry.info.address});
  }
  return commands;
}

}  // namespace lovagecleat::policy
