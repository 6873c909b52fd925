#include "services/gateway/quiet_servers.h"

namespace lovagecleat::gateway {

void StartQuietPeriod(Context& context,
                      const routing::ServerIncarnation& server,
                      Duration quiet_time) {
  const TimePoint now = context.Now();
  const routing::QuietPeriod period =
      routing::MakeQuietPeriod(quiet_time, now, context.random);
  if (!context.directory.SetQuiet(server, period, now)) return;
  context.metrics.Count("lovagecleat_quiet_periods_total");
  context.log.Write(
      "server_quiet", "",
      {{"server", server.id.value()}, {"ms", Milliseconds(quiet_time)}});
}

}  // namespace lovagecleat::gateway
