#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "policy/change_run.h"
#include "policy/commands.h"
#include "policy/events.h"

namespace lovagecleat::policy {

// Build the responses to operators (docs/PROTOCOLS.md).
RespondToOperator RespondToChange(CallId call, const ChangeRequest& request,
                                  const ChangeConclusion& conclusion);
RespondToOperator RespondPending(CallId call, const ChangeRequest& request);
RespondToOperator RespondNotRun(CallId call, const ChangeRequest& request,
                                std::string_view detail);
RespondToOperator RespondWithConfiguration(
    CallId call, const configuration::Configuration& configuration,
    std::span<const ChangeRequest> pending);

// Lists at most `maximum` changes, the newest first. `rows` must be in
// ascending order of revision.
RespondToOperator RespondWithAudit(CallId call, std::span<const TableRow> rows,
                                   std::size_t maximum);
RespondToOperator RespondAuditUnavailable(CallId call);

}  // namespace lovagecleat::policy
