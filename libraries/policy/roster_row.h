#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "messages/messages.h"
#include "policy/roster.h"

namespace lovagecleat::policy {

// Returns the key of a zone's roster row in the platform's table.
std::string RosterRowKey(const ZoneId& zone);

std::string WriteRosterRow(const Roster& roster);

// Returns std::nullopt unless `text` is a valid roster of `zone` with at most
// 256 hosts.
std::optional<Roster> ReadRosterRow(const ZoneId& zone, std::string_view text);

messages::RosterPush WriteRosterPush(const Roster& roster);
std::optional<Roster> ReadRosterPush(const ZoneId& zone,
                                     const messages::RosterPush& push);

}  // namespace lovagecleat::policy
