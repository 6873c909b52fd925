#pragma once

#include <functional>
#include <memory>

#include "base/base.h"

namespace lovagecleat::transport {

// The one GLib main loop of a process, with all timers under one GSource.
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

  // Runs what is due now. Objects that are destroyed by a timer of no delay
  // call it before what they refer to goes away.
  void RunDueTimers();

  // Calls back on the loop each time the signal arrives.
  void OnSignal(int signal_number, std::function<void()> callback);

  // Calls back whenever the descriptor is readable, until the loop ends.
  void OnReadable(int descriptor, std::function<void()> callback);

  const Clock& clock() const { return clock_; }

 private:
  class State;
  const Clock& clock_;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::transport
