#pragma once

// The public header of the messages library: the messages between entry
// processes.
#include "messages/peer.pb.h"  // IWYU pragma: export
