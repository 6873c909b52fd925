#pragma once

#include <chrono>

#include "base/base.h"

namespace lovagecleat::gateway {

// A sound server may send nothing for this long and then go on, at any point of
// a connection or response: "a second or so" by the platform's rules, with a
// margin. Within it, no call is ended, no request is sent again because of the
// silence, and the server is not blamed. One exception costs the server
// nothing: a request that could not be answered in time otherwise is also sent
// to another server.
inline constexpr Duration kSoundSilence = std::chrono::milliseconds(1200);

// A server that sends nothing for this long is left for another one that can
// take over, and its call counts as failed: the time of a sound silence with
// the usual time of a short response. Callers of streams wait for at least
// 2 seconds, which leaves another server 500 ms.
inline constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1500);

}  // namespace lovagecleat::gateway
