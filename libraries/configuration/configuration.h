#pragma once

// Public header of the configuration library: the operators' configuration, the
// settings of a process, and validating readers of both from JSON.
#include "configuration/gateway_settings.h"  // IWYU pragma: export
#include "configuration/indexed.h"           // IWYU pragma: export
#include "configuration/json.h"              // IWYU pragma: export
#include "configuration/memory_settings.h"   // IWYU pragma: export
#include "configuration/room_settings.h"     // IWYU pragma: export
#include "configuration/settings.h"          // IWYU pragma: export
#include "configuration/types.h"             // IWYU pragma: export
