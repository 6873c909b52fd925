#include "policy/load_polling.h"

#include <algorithm>

namespace lovagecleat::policy {

namespace {
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
// A server that has said how it is within this time is not asked.
constexpr Duration kFreshReport = std::chrono::seconds(2);
}  // namespace

bool LoadPolling::IsOwn(const ServerId& server,
                        std::span<const HostId> alive_in_zone) const {
  const auto weight = [&server](const HostId& host) {
    return StableHash(host.value() + "/" + server.value());
  };
  const std::uint64_t own = weight(self_);
  return std::none_of(alive_in_zone.begin(), alive_in_zone.end(),
                      [&](const HostId& host) { return weight(host) > own; });
}

std::vector<Command> LoadPolling::Tick(const ServerTable& servers,
                                       std::span<const HostId> alive_in_zone,
                                       TimePoint now) {
  std::vector<Command> commands;
  if (now < next_due_) return commands;
  next_due_ = now + kPollInterval;
  for (const auto& [id, entry] : servers.all()) {
    if (servers.IsOut(entry)) continue;
    const bool is_fresh =
        entry.report.has_value() && now - entry.report_at < kFreshReport;
    if (is_fresh || !IsOwn(id, alive_in_zone)) continue;
    commands.emplace_back(PollLoad{id, entry.info.address});
  }
  return commands;
}

}  // namespace lovagecleat::policy
