#include <catch2/catch.hpp>
#include <vector>

#include "base/base.h"

namespace lovagecleat {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

TEST_CASE("Timers run by due time, equal ones in order of scheduling") {
  TimerQueue queue;
  std::vector<int> order;
  const TimePoint start{};
  queue.Schedule(start + milliseconds(2), [&] { order.push_back(3); });
  queue.Schedule(start + milliseconds(1), [&] { order.push_back(1); });
  queue.Schedule(start + milliseconds(1), [&] { order.push_back(2); });
  queue.RunDue(start + milliseconds(1));
  REQUIRE(order == std::vector<int>{1, 2});
  REQUIRE(queue.NextDue() == start + milliseconds(2));
}

TEST_CASE("A cancelled timer does not run, and a callback may cancel others") {
  TimerQueue queue;
  int runs = 0;
  TimerId second;
  queue.Schedule(TimePoint{}, [&] { queue.Cancel(second); });
  second = queue.Schedule(TimePoint{}, [&] { ++runs; });
  queue.RunDue(TimePoint{});
  REQUIRE(runs == 0);
  REQUIRE(queue.size() == 0);
}

TEST_CASE("The hour of the day follows the offset and wraps at midnight") {
  const WallTime last_hour{hours(23)};
  REQUIRE(HourOfDay(last_hour, Duration::zero()) == 23);
  REQUIRE(HourOfDay(last_hour, hours(2)) == 1);
}

TEST_CASE("Equal seeds give equal random sequences") {
  Random first(7);
  Random second(7);
  for (int i = 0; i < 100; ++i)
    REQUIRE(first.Below(1000) == second.Below(1000));
  REQUIRE(StableHash("server-1") == StableHash("server-1"));
  REQUIRE(StableHash("server-1") != StableHash("server-2"));
}

}  // namespace
}  // namespace lovagecleat
