#pragma once

// The public header of the base library: time, identifiers, random numbers,
// timers.
#include "base/clock.h"        // IWYU pragma: export
#include "base/ids.h"          // IWYU pragma: export
#include "base/overloaded.h"   // IWYU pragma: export
#include "base/random.h"       // IWYU pragma: export
#include "base/timer_queue.h"  // IWYU pragma: export
