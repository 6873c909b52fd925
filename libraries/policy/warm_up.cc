#include "policy/warm_up.h"

#include <algorithm>

namespace lovagecleat::policy {

namespace {
// This many consecutive failures indicate a restart of the server.
constexpr std::uint32_t kFailuresBeforeReset = 3;
constexpr double kDecreaseFactor = 0.5;
}  // namespace

bool WarmUp::Observe(std::uint64_t generation, Warmth warmth,
                     WarmthSource source, TimePoint now) {
  if (generation < generation_) return false;
  const bool is_new_generation = generation > generation_;
  const bool became_warm = warmth == Warmth::kWarm && warmth_ == Warmth::kCold;
  // A server never turns cold within a generation, so a cold report after a
  // warm one is out of date.
  const bool has_changed = is_new_generation || became_warm;
  if (is_new_generation) {
    generation_ = generation;
    warmth_ = Warmth::kCold;
    last_warm_at_.reset();
    window_ = 0;
    consecutive_failures_ = 0;
  }
  if (warmth == Warmth::kCold) return has_changed;
  warmth_ = Warmth::kWarm;
  // A peer's report may be arbitrarily late, so it does not show that the
  // server is warm now.
  if (source == WarmthSource::kServer)
    last_warm_at_ = std::max(last_warm_at_.value_or(now), now);
  return has_changed;
}

// Additive increase and multiplicative decrease: one call more for each window
// of successful completions, half on a failure. After kFailuresBeforeReset
// consecutive failures the cold share applies until the server reports again
// that it is warm.
void WarmUp::RecordCompletion(CallResult result, std::uint32_t cold_share,
                              std::uint32_t warm_share, TimePoint now) {
  if (result == CallResult::kFailed) {
    window_ *= kDecreaseFactor;
    if (++consecutive_failures_ < kFailuresBeforeReset) return;
    window_ = 0;
    last_warm_at_.reset();
    return;
  }
  consecutive_failures_ = 0;
  if (!IsWarm(now)) return;
  const double used =
      std::max<double>(AllowedCalls(cold_share, warm_share, now), 1);
  window_ = std::min<double>(std::max(window_, used) + 1 / used, warm_share);
}

bool WarmUp::IsWarm(TimePoint now) const {
  return last_warm_at_ && now < WarmUntil();
}

TimePoint WarmUp::WarmUntil() const {
  return last_warm_at_.value_or(TimePoint{}) + warm_validity_;
}

std::uint32_t WarmUp::AllowedCalls(std::uint32_t cold_share,
                                   std::uint32_t warm_share,
                                   TimePoint now) const {
  const std::uint32_t cold = std::min(cold_share, warm_share);
  if (!IsWarm(now)) return cold;
  // A host without a cold share starts with one call; with none its window
  // would never grow.
  const auto window =
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(window_));
  return std::clamp(window, cold, std::max(cold, warm_share));
}

}  // namespace lovagecleat::policy
