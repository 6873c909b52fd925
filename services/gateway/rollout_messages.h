#pragma once

#include <optional>

#include "messages/messages.h"
#include "routing/routing.h"

namespace lovagecleat::gateway {

messages::RolloutReport WriteRolloutReport(
    const routing::RolloutReport& report);

// Returns nothing if the message names a phase that is not known.
std::optional<routing::RolloutReport> ReadRolloutReport(
    const messages::RolloutReport& message);

}  // namespace lovagecleat::gateway
