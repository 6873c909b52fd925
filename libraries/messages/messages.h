#pragma once

// The public header of the messages library: what entry processes say to each
// other.
#include "messages/peer.pb.h"  // IWYU pragma: export
