#pragma once

#include <chrono>
#include <compare>

namespace lovagecleat {

// The type of all time spans, in microseconds.
using Duration = std::chrono::microseconds;

// Tag type that makes TimePoint distinct from other time points.
struct MonotonicTimeline {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicTimeline, Duration>;
};

// A time on this process's monotonic clock. Not comparable between hosts.
using TimePoint = MonotonicTimeline::time_point;

// A calendar time in UTC.
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

// A clock that changes only when it is advanced.
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

// Returns the local hour of the day, 0 to 23, for an offset from UTC.
int HourOfDay(WallTime instant, Duration utc_offset);

}  // namespace lovagecleat
