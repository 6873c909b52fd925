#pragma once

#include <functional>
#include <memory>

#include "base/base.h"

namespace lovagecleat::transport {

// The GLib main loop of a process. One GSource drives all timers.
class Loop {
 public:
  explicit Loop(const Clock& clock);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Run();
  void Quit();

  TimerId At(TimePoint due, std::function<void()> callback);
  TimerId After(Duration delay, std::function<void()> callback);
  void Cancel(TimerId timer);

  // Destroys the object from the loop, since the caller may have been called by
  // it.
  void DestroyLater(std::shared_ptr<void> object);

  // Destroys these objects now. Call it in the destructor of an object that
  // they refer to. Runs no timers, since their owners may be destroyed in part.
  void DestroyPending();

  // Runs the timers that are due, as Run does. For tests that advance a manual
  // clock.
  void RunDueTimers();

  // Runs `callback` on the loop each time the signal arrives.
  void OnSignal(int signal_number, std::function<void()> callback);

  // Runs `callback` whenever the descriptor is readable, until the loop is
  // destroyed.
  void OnReadable(int descriptor, std::function<void()> callback);

  const Clock& clock() const { return clock_; }

 private:
  class State;
  const Clock& clock_;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::transport
