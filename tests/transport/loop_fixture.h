#pragma once

#include <catch2/catch.hpp>
#include <functional>

#include "transport/transport.h"

namespace lovagecleat::transport {

// A loop that fails the test if a condition is not met in time.
class LoopFixture {
 public:
  // Runs the loop until `is_reached` returns true; fails the test after 20 s.
  void RunUntil(const std::function<bool()>& is_reached) {
    const TimerId watchdog = loop_.After(std::chrono::seconds(20), [this] {
      loop_.Quit();
      has_timed_out_ = true;
    });
    Poll(is_reached);
    loop_.Run();
    loop_.Cancel(watchdog);
    REQUIRE_FALSE(has_timed_out_);
  }

  Loop& loop() { return loop_; }

 private:
  void Poll(const std::function<bool()>& is_reached) {
    if (is_reached()) return loop_.Quit();
    loop_.After(std::chrono::milliseconds(1), [this, is_reached] {
      if (!has_timed_out_) Poll(is_reached);
    });
  }

  SystemClock clock_;
  Loop loop_{clock_};
  bool has_timed_out_ = false;
};

}  // namespace lovagecleat::transport
