#pragma once

#include <cstdint>
#include <optional>

#include "base/base.h"
#include "policy/types.h"

namespace lovagecleat::policy {

enum class CallHealth { kGood, kFailed };

// Where a sign of a server's warmth came from.
enum class SignSource { kServer, kPeer };

// How much of its warm share this host uses on one server: the cold share
// until a warm sign, then step by step more with good completions.
class WarmUp {
 public:
  explicit WarmUp(Duration warm_validity) : warm_validity_(warm_validity) {}

  // True if the sign was news.
  bool Observe(std::uint64_t generation, Warmth warmth, SignSource source,
               TimePoint now);
  void Complete(CallHealth health, std::uint32_t cold_share,
                std::uint32_t warm_share, TimePoint now);

  std::uint64_t generation() const { return generation_; }
  Warmth warmth() const { return warmth_; }

  // Whether a warm sign is recent enough to use more than the cold share.
  bool IsWarm(TimePoint now) const;
  TimePoint WarmUntil() const;
  std::uint32_t Allowed(std::uint32_t cold_share, std::uint32_t warm_share,
                        TimePoint now) const;

 private:
  const Duration warm_validity_;
  std::uint64_t generation_ = 0;
  Warmth warmth_ = Warmth::kCold;
  std::optional<TimePoint> warm_sign_at_;
  double window_ = 0;  // calls at once beyond which nothing is sent yet
  std::uint32_t failures_in_row_ = 0;
};

}  // namespace lovagecleat::policy
