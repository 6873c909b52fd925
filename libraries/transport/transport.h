#pragma once

// The public header of the transport library: the event loop, HTTP client and
// server, server-sent events, and messages between entry processes.
#include "transport/http_client.h"         // IWYU pragma: export
#include "transport/http_server.h"         // IWYU pragma: export
#include "transport/loop.h"                // IWYU pragma: export
#include "transport/peer_link.h"           // IWYU pragma: export
#include "transport/server_sent_events.h"  // IWYU pragma: export
