#pragma once

#include <libsoup/soup.h>

#include "transport/http_problems.h"

// Private to the library.
namespace lovagecleat::transport {

// Shuts down both directions. The client sees the end of the stream without the
// last chunk, so it cannot take a partial response for a complete one.
void ShutDownSocket(GSocket* socket);
void ShutDownConnection(SoupServerMessage* message);

// Writes the response to the socket directly, since libsoup would first wait
// for the whole body.
void RespondAndShutDown(SoupServerMessage* message,
                        const BuiltInProblem& problem);

}  // namespace lovagecleat::transport
