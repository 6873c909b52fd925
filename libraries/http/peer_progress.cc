#include "http/peer_progress.h"

#include <linux/tcp.h>

namespace lovagecleat::http {

PeerState PeerStateOf(const tcp_info& info, std::size_t size) {
  const bool has_all_fields = size >= offsetof(tcp_info, tcpi_notsent_bytes) +
                                          sizeof(info.tcpi_notsent_bytes);
  // No open connection has the state 0, so the numbers were not filled in.
  if (!has_all_fields || info.tcpi_state == 0) return PeerState::kUnknown;
  if (info.tcpi_unacked > 0) return PeerState::kReceiving;
  if (info.tcpi_notsent_bytes == 0) return PeerState::kCaughtUp;
  // The kernel holds bytes back although none are on their way. It sends
  // probes, and counts those since the last acknowledgement.
  return info.tcpi_probes == 0 ? PeerState::kNotReading
                               : PeerState::kNotAnswering;
}

bool PeerProgress::IsLost(PeerState state, Duration since_last_acknowledgement,
                          TimePoint now) {
  if (state != PeerState::kNotAnswering && state != PeerState::kReceiving) {
    unanswered_since_.reset();
    return false;
  }
  // A sound peer leaves some probes unanswered, since kernels limit the rate of
  // such acknowledgements.
  if (!unanswered_since_ ||
      since_last_acknowledgement < now - *unanswered_since_)
    unanswered_since_ = now;
  return now - *unanswered_since_ >= limit_;
}

}  // namespace lovagecleat::http
