#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "policy/change_run.h"
#include "policy/commands.h"
#include "policy/events.h"

namespace lovagecleat::policy {

// Build the answers to operators (docs/PROTOCOLS.md).
AnswerOperator AnswerChange(CallId call, const ChangeRequest& request,
                            const ChangeConclusion& conclusion);
AnswerOperator AnswerPending(CallId call, const ChangeRequest& request);
AnswerOperator AnswerNotRun(CallId call, const ChangeRequest& request,
                            std::string_view detail);
AnswerOperator AnswerConfiguration(
    CallId call, const configuration::Configuration& configuration,
    std::span<const ChangeRequest> pending);

// Lists at most `maximum` changes, the newest first. `rows` must be in
// ascending order of revision.
AnswerOperator AnswerAudit(CallId call, std::span<const TableRow> rows,
                           std::size_t maximum);
AnswerOperator AnswerAuditUnavailable(CallId call);

}  // namespace lovagecleat::policy
