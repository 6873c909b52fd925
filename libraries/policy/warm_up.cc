#include "policy/warm_up.h"

#include <algorithm>

namespace lovagecleat::policy {

namespace {
// Failures in a row that count as a sign of a restart.
constexpr std::uint32_t kErrorBurst = 3;
constexpr double kDecrease = 0.5;
}  // namespace

bool WarmUp::Observe(std::uint64_t generation, Warmth warmth, SignSource source,
                     TimePoint now) {
  if (generation < generation_) return false;
  const bool is_new_generation = generation > generation_;
  const bool turned_warm = warmth == Warmth::kWarm && warmth_ == Warmth::kCold;
  // A server never turns cold within a generation: such a sign is a late one.
  const bool is_news = is_new_generation || turned_warm;
  if (is_new_generation) {
    generation_ = generation;
    warmth_ = Warmth::kCold;
    warm_sign_at_.reset();
    window_ = 0;
    failures_in_row_ = 0;
  }
  if (warmth == Warmth::kCold) return is_news;
  warmth_ = Warmth::kWarm;
  // A peer's word may be late by any time, so it never proves warmth now.
  if (source == SignSource::kServer)
    warm_sign_at_ = std::max(warm_sign_at_.value_or(now), now);
  return is_news;
}

// Additive increase of one call for each window of good completions, halving
// on a failure, and the cold share after a burst, until the next warm sign.
void WarmUp::Complete(CallHealth health, std::uint32_t cold_share,
                      std::uint32_t warm_share, TimePoint now) {
  if (health == CallHealth::kFailed) {
    window_ *= kDecrease;
    if (++failures_in_row_ < kErrorBurst) return;
    window_ = 0;
    warm_sign_at_.reset();
    return;
  }
  failures_in_row_ = 0;
  if (!IsWarm(now)) return;
  const double used = std::max<double>(Allowed(cold_share, warm_share, now), 1);
  window_ = std::min<double>(std::max(window_, used) + 1 / used, warm_share);
}

bool WarmUp::IsWarm(TimePoint now) const {
  return warm_sign_at_ && now < WarmUntil();
}

TimePoint WarmUp::WarmUntil() const {
  return warm_sign_at_.value_or(TimePoint{}) + warm_validity_;
}

std::uint32_t WarmUp::Allowed(std::uint32_t cold_share,
                              std::uint32_t warm_share, TimePoint now) const {
  const std::uint32_t cold = std::min(cold_share, warm_share);
  if (!IsWarm(now)) return cold;
  // A host without a cold share starts with one call, else it never learns.
  const auto window =
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(window_));
  return std::clamp(window, cold, std::max(cold, warm_share));
}

}  // namespace lovagecleat::policy
