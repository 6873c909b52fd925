#pragma once

#include <catch2/catch.hpp>
#include <functional>

#include "transport/transport.h"

namespace lovagecleat::transport {

// A loop that gives up on a test that waits for something too long.
class LoopFixture {
 public:
  // Runs the loop until `is_reached`; fails the test after the bound.
  void RunUntil(const std::function<bool()>& is_reached) {
    const TimerId watchdog = loop_.After(std::chrono::seconds(20), [this] {
      loop_.Quit();
      is_late_ = true;
    });
    Poll(is_reached);
    loop_.Run();
    loop_.Cancel(watchdog);
    REQUIRE_FALSE(is_late_);
  }

  Loop& loop() { return loop_; }

 private:
  void Poll(const std::function<bool()>& is_reached) {
    if (is_reached()) return loop_.Quit();
    loop_.After(std::chrono::milliseconds(1), [this, is_reached] {
      if (!is_late_) Poll(is_reached);
    });
  }

  SystemClock clock_;
  Loop loop_{clock_};
  bool is_late_ = false;
};

}  // namespace lovagecleat::transport
