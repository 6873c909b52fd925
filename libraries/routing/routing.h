#pragma once

// The public header of the routing library: routing and placement decisions
// for opaque requests, batched stages, cold servers and replicated rows. The
// library does no I/O.
#include "routing/batch_scheduler.h"      // IWYU pragma: export
#include "routing/batching_host.h"        // IWYU pragma: export
#include "routing/content_crashes.h"      // IWYU pragma: export
#include "routing/crash_suspects.h"       // IWYU pragma: export
#include "routing/model.h"                // IWYU pragma: export
#include "routing/origin_copies.h"        // IWYU pragma: export
#include "routing/prompt_placement.h"     // IWYU pragma: export
#include "routing/prompt_queues.h"        // IWYU pragma: export
#include "routing/received_results.h"     // IWYU pragma: export
#include "routing/rollout_coordinator.h"  // IWYU pragma: export
#include "routing/rollouts.h"             // IWYU pragma: export
#include "routing/room.h"                 // IWYU pragma: export
#include "routing/room_allotment.h"       // IWYU pragma: export
#include "routing/room_plans.h"           // IWYU pragma: export
#include "routing/row_replica.h"          // IWYU pragma: export
#include "routing/send_limiter.h"         // IWYU pragma: export
#include "routing/server_directory.h"     // IWYU pragma: export
#include "routing/server_limits.h"        // IWYU pragma: export
#include "routing/server_processes.h"     // IWYU pragma: export
#include "routing/server_speed.h"         // IWYU pragma: export
#include "routing/stage_plan.h"           // IWYU pragma: export
#include "routing/stage_zones.h"          // IWYU pragma: export
#include "routing/store_outage.h"         // IWYU pragma: export
#include "routing/stream_origins.h"       // IWYU pragma: export
#include "routing/stream_version.h"       // IWYU pragma: export
#include "routing/version_history.h"      // IWYU pragma: export
#include "routing/zone_spill.h"           // IWYU pragma: export
