#pragma once

#include "services/gateway/context.h"

namespace lovagecleat::gateway {

// Stops new work for a server that has asked for `quiet_time` without requests,
// for that time and a random addition.
void StartQuietPeriod(Context& context,
                      const routing::ServerIncarnation& server,
                      Duration quiet_time);

}  // namespace lovagecleat::gateway
