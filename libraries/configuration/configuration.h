#pragma once

// The public header of the configuration library: what operators set, what a
// process is started with, and the checked reading of both from JSON.
#include "configuration/gateway_settings.h"  // IWYU pragma: export
#include "configuration/indexed.h"           // IWYU pragma: export
#include "configuration/json.h"              // IWYU pragma: export
#include "configuration/settings.h"          // IWYU pragma: export
#include "configuration/types.h"             // IWYU pragma: export
