#pragma once

// The public header of the policy library: the decisions of an entry host as a
// pure function of events and times.
#include "policy/commands.h"                // IWYU pragma: export
#include "policy/configuration_follower.h"  // IWYU pragma: export
#include "policy/core.h"                    // IWYU pragma: export
#include "policy/credits.h"                 // IWYU pragma: export
#include "policy/decision_log.h"            // IWYU pragma: export
#include "policy/events.h"                  // IWYU pragma: export
#include "policy/intent.h"                  // IWYU pragma: export
#include "policy/membership.h"              // IWYU pragma: export
#include "policy/operation_counter.h"       // IWYU pragma: export
#include "policy/operator_changes.h"        // IWYU pragma: export
#include "policy/retry_budget.h"            // IWYU pragma: export
#include "policy/roster_keeper.h"           // IWYU pragma: export
#include "policy/types.h"                   // IWYU pragma: export
