#include "base/timer_queue.h"

namespace lovagecleat {

TimerId TimerQueue::Schedule(TimePoint due, std::function<void()> callback) {
  const std::uint64_t id = ++last_id_;
  timers_.emplace(Key{due, id}, std::move(callback));
  due_by_id_.emplace(id, due);
  return TimerId(id);
}

void TimerQueue::Cancel(TimerId id) {
  const auto found = due_by_id_.find(id.value());
  if (found == due_by_id_.end()) return;
  timers_.erase(Key{found->second, id.value()});
  due_by_id_.erase(found);
}

void TimerQueue::RunDue(TimePoint now) {
  while (!timers_.empty() && timers_.begin()->first.first <= now) {
    // The entry is removed first, so that the callback may cancel and schedule
    // timers.
    auto node = timers_.extract(timers_.begin());
    due_by_id_.erase(node.key().second);
    node.mapped()();
  }
}

std::optional<TimePoint> TimerQueue::NextDue() const {
  if (timers_.empty()) return std::nullopt;
  return timers_.begin()->first.first;
}

}  // namespace lovagecleat
