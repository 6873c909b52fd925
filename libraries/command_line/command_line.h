#pragma once

// The public header of the command-line library, shared by the utilities:
// arguments, files, HTTP calls and tables.
#include "command_line/arguments.h"     // IWYU pragma: export
#include "command_line/files.h"         // IWYU pragma: export
#include "command_line/http_session.h"  // IWYU pragma: export
#include "command_line/render.h"        // IWYU pragma: export
