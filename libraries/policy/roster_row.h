#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "messages/messages.h"
#include "policy/roster.h"

namespace lovagecleat::policy {

// The key of a zone's roster in the table.
std::string RosterRowKey(const ZoneId& zone);

std::string WriteRosterRow(const Roster& roster);

// Nothing where the text is no roster of `zone` within its bounds.
std::optional<Roster> ReadRosterRow(const ZoneId& zone, std::string_view text);

messages::RosterPush ToPush(const Roster& roster);
std::optional<Roster> FromPush(const ZoneId& zone,
                               const messages::RosterPush& push);

}  // namespace lovagecleat::policy
