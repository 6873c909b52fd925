#pragma once

#include <cstdint>
#include <optional>

#include "base/base.h"
#include "policy/types.h"

namespace lovagecleat::policy {

enum class CallResult { kSucceeded, kFailed };

// The sender of a report of a server's warmth.
enum class WarmthSource { kServer, kPeer };

// Determines how much of its warm share this host uses on one server: the cold
// share until the server reports that it is warm, then an additively growing
// part of the warm share with each successful call.
class WarmUp {
 public:
  explicit WarmUp(Duration warm_validity) : warm_validity_(warm_validity) {}

  // Returns true if the report has a higher generation than any before, or is
  // the first warm one of its generation.
  bool Observe(std::uint64_t generation, Warmth warmth, WarmthSource source,
               TimePoint now);
  void RecordCompletion(CallResult result, std::uint32_t cold_share,
                        std::uint32_t warm_share, TimePoint now);

  std::uint64_t generation() const { return generation_; }
  Warmth warmth() const { return warmth_; }

  // Returns whether the server itself has reported recently that it is warm, so
  // that more than the cold share may be used.
  bool IsWarm(TimePoint now) const;
  TimePoint WarmUntil() const;
  std::uint32_t AllowedCalls(std::uint32_t cold_share, std::uint32_t warm_share,
                             TimePoint now) const;

 private:
  const Duration warm_validity_;
  std::uint64_t generation_ = 0;
  Warmth warmth_ = Warmth::kCold;
  std::optional<TimePoint> last_warm_at_;
  double window_ = 0;  // limit of concurrent calls, adjusted as in AIMD
  std::uint32_t consecutive_failures_ = 0;
};

}  // namespace lovagecleat::policy
