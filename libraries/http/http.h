#pragma once

// The public header of the HTTP library: a strict HTTP/1.1 client and server
// over non-blocking connections on the event loop of the process.
#include "http/client.h"          // IWYU pragma: export
#include "http/event_splitter.h"  // IWYU pragma: export
#include "http/message.h"         // IWYU pragma: export
#include "http/parser.h"          // IWYU pragma: export
#include "http/peer_progress.h"   // IWYU pragma: export
#include "http/poller.h"          // IWYU pragma: export
#include "http/server.h"          // IWYU pragma: export
#include "http/tcp_stream.h"      // IWYU pragma: export
