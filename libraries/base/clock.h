#pragma once

#include <chrono>
#include <compare>

namespace lovagecleat {

// All spans of time, in microseconds.
using Duration = std::chrono::microseconds;

// The tag of monotonic instants; it only gives TimePoint its type.
struct MonotonicTimeline {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicTimeline, Duration>;
};

// An instant on this process's monotonic clock. It means nothing on another
// host.
using TimePoint = MonotonicTimeline::time_point;

// An instant of calendar time, UTC.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

// The only source of time. Daemons use SystemClock, tests use ManualClock.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

class SystemClock final : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

// Stands still until it is advanced.
class ManualClock final : public Clock {
 public:
  explicit ManualClock(WallTime wall_start = WallTime{}) : wall_(wall_start) {}

  TimePoint Now() const override { return now_; }
  WallTime WallNow() const override { return wall_; }

  void Advance(Duration step);
  void AdvanceTo(TimePoint instant);

 private:
  TimePoint now_{};
  WallTime wall_{};
};

// The hour of the day, 0 to 23, at `instant` moved by the zone's offset from
// UTC.
int HourOfDay(WallTime instant, Duration utc_offset);

}  // namespace lovagecleat
