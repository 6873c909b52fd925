#include "services/gateway/quiet_servers.h"

#include <algorithm>

namespace lovagecleat::gateway {

namespace {

// The random addition to a quiet time is at most this fraction of it, and at
// most this time.
constexpr double kQuietSpreadFraction = 0.25;
constexpr Duration kMaximumQuietSpread = std::chrono::seconds(1);

}  // namespace

void StartQuietPeriod(Context& context,
                      const routing::ServerIncarnation& server,
                      Duration quiet_time) {
  const TimePoint now = context.Now();
  const Duration most = std::min(
      std::chrono::duration_cast<Duration>(quiet_time * kQuietSpreadFraction),
      kMaximumQuietSpread);
  routing::QuietPeriod period;
  period.until = now + quiet_time;
  period.spread =
      std::chrono::duration_cast<Duration>(most * context.random.Unit());
  if (!context.directory.SetQuiet(server, period, now)) return;
  context.metrics.Count("lovagecleat_quiet_periods_total");
  context.log.Write("server_quiet", "",
                    {{"server", server.id.value()},
                     {"ms", static_cast<double>(quiet_time.count()) / 1000.0}});
}

}  // namespace lovagecleat::gateway
