#pragma once

#include <string>
#include <vector>

#include "tests/fault_matrix/trace.h"

// Invariants, each as one check over a whole trace. A check returns one text
// for each violation.
namespace lovagecleat::fault_matrix {

using Violations = std::vector<std::string>;

// Each answer belongs to its request, is delivered once, and is the last event
// of its call.
Violations CheckAnswers(const Trace& trace);

// No server runs more concurrent calls than its limit. After a cold start,
// calls count only if they start no earlier than the first report of the new
// generation plus the time of one message, since senders cannot know of it
// before.
Violations CheckLimits(const Trace& trace,
                       const std::vector<ServerFacts>& servers);

// A few seconds after a zone is taken out or a server starts to leave, hosts
// that can have received the update send it no new work.
Violations CheckDrains(const Trace& trace,
                       const std::vector<ServerFacts>& servers);

// A call that is refused as "not run" was not executed.
Violations CheckNotRun(const Trace& trace);

// At most one execution of a non-idempotent call for each key.
Violations CheckAtMostOnce(const Trace& trace);

// The tokens of a stream arrive without gaps, in order, and match the answer.
Violations CheckStreams(const Trace& trace);

// A host that is asked to stop completes its open calls before it stops.
Violations CheckGracefulStop(const Trace& trace);

// The revision of a host never decreases, and a new revision reaches each
// reachable host in time.
Violations CheckRevisions(const Trace& trace, TimePoint end);

// Each request to an undisturbed host ends in an answer or a refusal.
Violations CheckCompletion(const Trace& trace, TimePoint end);

}  // namespace lovagecleat::fault_matrix
