#pragma once

#include <cstddef>
#include <optional>

#include "base/base.h"

struct tcp_info;  // of <linux/tcp.h>, which <netinet/tcp.h> conflicts with

namespace lovagecleat::http {

// What a peer does with the bytes that were sent to it.
enum class PeerState {
  kUnknown,      // the kernel does not tell
  kCaughtUp,     // acknowledged everything
  kReceiving,    // bytes are on their way; the kernel's time limit applies
  kNotReading,   // its receive window is full, and it acknowledges probes
  kNotAnswering  // its receive window is full, and a probe is unanswered
};

// Returns the state that the kernel's numbers, of which `size` bytes are valid,
// show.
PeerState PeerStateOf(const tcp_info& info, std::size_t size);

// Tells a peer that reads nothing for a while from one that is lost.
class PeerProgress {
 public:
  explicit PeerProgress(Duration limit) : limit_(limit) {}

  // Returns whether the peer is lost: no acknowledgement has arrived since it
  // was first seen receiving or not answering, and that was `limit` ago.
  bool IsLost(PeerState state, Duration since_last_acknowledgement,
              TimePoint now);

 private:
  Duration limit_;
  std::optional<TimePoint> unanswered_since_;
};

}  // namespace lovagecleat::http
