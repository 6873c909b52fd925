#pragma once

#include <string>
#include <vector>

#include "tests/fault_matrix/trace.h"

// What must always hold, each as one check over a whole trace. A check returns
// what is wrong, one text a violation.
namespace lovagecleat::fault_matrix {

using Violations = std::vector<std::string>;

// Each answer belongs to its request, comes once, and nothing follows it.
Violations CheckAnswers(const Trace& trace);

// No server runs more calls at once than it can carry. For a server that
// turned cold, calls sent before its first sign plus one message are not held
// against it.
Violations CheckLimits(const Trace& trace,
                       const std::vector<ServerFacts>& servers);

// No new work to a zone that is out or a server that leaves, after a few
// seconds, by hosts that can know.
Violations CheckDrains(const Trace& trace,
                       const std::vector<ServerFacts>& servers);

// A refusal that says "not run" is true.
Violations CheckNotRun(const Trace& trace);

// At most one execution of a non-idempotent call for each key.
Violations CheckAtMostOnce(const Trace& trace);

// Streams come whole and in order.
Violations CheckStreams(const Trace& trace);

// A host that is asked to stop first ends what its callers wait for.
Violations CheckGracefulStop(const Trace& trace);

// Revisions never fall on a host, and reach each reachable host in time.
Violations CheckRevisions(const Trace& trace, TimePoint end);

// Each request to an undisturbed host ends in an answer or a refusal.
Violations CheckCompletion(const Trace& trace, TimePoint end);

}  // namespace lovagecleat::fault_matrix
