#include "transport/loop.h"

#include <glib-unix.h>
#include <glib.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <list>
#include <utility>
#include <vector>

namespace lovagecleat::transport {

namespace {

enum class LoopState { kRunning, kQuitting };

// Returns the poll timeout in milliseconds, or -1 for none. GLib polls in whole
// milliseconds; rounding up keeps the loop from waking just before a timer is
// due.
int PollTimeout(TimePoint now, std::optional<TimePoint> due) {
  if (!due) return -1;
  if (*due <= now) return 0;
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*due - now);
  const auto bounded =
      std::min<std::int64_t>(wait.count(), std::numeric_limits<int>::max());
  return static_cast<int>(bounded);
}

// GLib allocates the memory without running constructors, so only members of
// trivial type are allowed.
struct TimerSource {
  GSource source;
  const Clock* clock;
  TimerQueue* timers;
};

gboolean PrepareTimers(GSource* source, gint* timeout) {
  const auto* timer_source = reinterpret_cast<TimerSource*>(source);
  *timeout =
      PollTimeout(timer_source->clock->Now(), timer_source->timers->NextDue());
  return *timeout == 0 ? TRUE : FALSE;
}

gboolean CheckTimers(GSource* source) {
  const auto* timer_source = reinterpret_cast<TimerSource*>(source);
  const auto due = timer_source->timers->NextDue();
  return due && *due <= timer_source->clock->Now() ? TRUE : FALSE;
}

gboolean DispatchTimers(GSource* source, GSourceFunc /*callback*/,
                        gpointer /*data*/) {
  const auto* timer_source = reinterpret_cast<TimerSource*>(source);
  timer_source->timers->RunDue(timer_source->clock->Now());
  return G_SOURCE_CONTINUE;
}

GSourceFuncs timer_functions = {PrepareTimers, CheckTimers, DispatchTimers,
                                nullptr,       nullptr,     nullptr};

gboolean RunSignalCallback(gpointer data) {
  (*static_cast<std::function<void()>*>(data))();
  return G_SOURCE_CONTINUE;
}

gboolean RunDescriptorCallback(gint /*descriptor*/, GIOCondition /*condition*/,
                               gpointer data) {
  (*static_cast<std::function<void()>*>(data))();
  return G_SOURCE_CONTINUE;
}

}  // namespace

class Loop::State {
 public:
  explicit State(const Clock& clock)
      : source_(g_source_new(&timer_functions, sizeof(TimerSource))) {
    auto* timer_source = reinterpret_cast<TimerSource*>(source_);
    timer_source->clock = &clock;
    timer_source->timers = &timers_;
    g_source_attach(source_, nullptr);
  }

  ~State() {
    for (const guint id : source_ids_) g_source_remove(id);
    g_source_destroy(source_);
    g_source_unref(source_);
  }

  void Run() {
    while (loop_state_ == LoopState::kRunning)
      g_main_context_iteration(nullptr, TRUE);
    loop_state_ = LoopState::kRunning;
  }

  void Quit() { loop_state_ = LoopState::kQuitting; }

  TimerQueue& timers() { return timers_; }

  // Returns whether no other object was pending.
  bool DestroyLater(std::shared_ptr<void> object) {
    pending_.push_back(std::move(object));
    return pending_.size() == 1;
  }

  // A destructor may add further objects.
  void DestroyPending() {
    while (!pending_.empty()) {
      const std::vector<std::shared_ptr<void>> objects =
          std::exchange(pending_, {});
    }
  }

  void OnSignal(int signal_number, std::function<void()> callback) {
    callbacks_.push_back(std::move(callback));
    source_ids_.push_back(g_unix_signal_add(signal_number, RunSignalCallback,
                                            &callbacks_.back()));
  }

  void OnReadable(int descriptor, std::function<void()> callback) {
    callbacks_.push_back(std::move(callback));
    source_ids_.push_back(g_unix_fd_add(
        descriptor, G_IO_IN, RunDescriptorCallback, &callbacks_.back()));
  }

 private:
  LoopState loop_state_ = LoopState::kRunning;
  TimerQueue timers_;
  GSource* source_;
  std::vector<guint> source_ids_;
  // A list, since the sources hold pointers to its elements.
  std::list<std::function<void()>> callbacks_;
  std::vector<std::shared_ptr<void>> pending_;
};

Loop::Loop(const Clock& clock)
    : clock_(clock), state_(std::make_unique<State>(clock)) {}

Loop::~Loop() = default;

void Loop::Run() { state_->Run(); }

void Loop::Quit() { state_->Quit(); }

TimerId Loop::At(TimePoint due, std::function<void()> callback) {
  return state_->timers().Schedule(due, std::move(callback));
}

TimerId Loop::After(Duration delay, std::function<void()> callback) {
  return At(clock_.Now() + delay, std::move(callback));
}

void Loop::Cancel(TimerId timer) { state_->timers().Cancel(timer); }

void Loop::DestroyLater(std::shared_ptr<void> object) {
  const bool is_first = state_->DestroyLater(std::move(object));
  if (is_first) After(Duration::zero(), [this] { DestroyPending(); });
}

void Loop::RunDueTimers() { state_->timers().RunDue(clock_.Now()); }

void Loop::DestroyPending() { state_->DestroyPending(); }

void Loop::OnSignal(int signal_number, std::function<void()> callback) {
  state_->OnSignal(signal_number, std::move(callback));
}

void Loop::OnReadable(int descriptor, std::function<void()> callback) {
  state_->OnReadable(descriptor, std::move(callback));
}

}  // namespace lovagecleat::transport
