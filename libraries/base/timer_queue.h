#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"

namespace lovagecleat {

using TimerId = NumberId<struct TimerIdTag>;

// Runs callbacks by due time. Equal due times run in the order of scheduling.
class TimerQueue {
 public:
  TimerId Schedule(TimePoint due, std::function<void()> callback);
  void Cancel(TimerId id);

  // Runs all callbacks due at `now`, including those that callbacks add.
  void RunDue(TimePoint now);

  std::optional<TimePoint> NextDue() const;
  std::size_t size() const { return timers_.size(); }

 private:
  using Key = std::pair<TimePoint, std::uint64_t>;

  std::uint64_t last_id_ = 0;
  std::map<Key, std::function<void()>> timers_;
  std::map<std::uint64_t, TimePoint> due_by_id_;
};

}  // namespace lovagecleat
