#include "base/clock.h"

#include <cassert>

namespace lovagecleat {

TimePoint SystemClock::Now() const {
  const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(since_boot));
}

WallTime SystemClock::WallNow() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

void ManualClock::Advance(Duration step) {
  assert(step >= Duration::zero());
  now_ += step;
  wall_ += step;
}

void ManualClock::AdvanceTo(TimePoint instant) {
  if (instant <= now_) return;
  Advance(instant - now_);
}

int HourOfDay(WallTime instant, Duration utc_offset) {
  const WallTime local = instant + utc_offset;
  const auto day = std::chrono::floor<std::chrono::days>(local);
  const auto hour = std::chrono::floor<std::chrono::hours>(local - day);
  return static_cast<int>(hour.count());
}

}  // namespace lovagecleat
