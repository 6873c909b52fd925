#include "routing/store_outage.h"

#include <catch2/catch.hpp>

namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;

constexpr StoreOutage::Bounds kBounds{milliseconds(3000), milliseconds(2000)};

TimePoint At(int ms) { return TimePoint{} + milliseconds(ms); }

TEST_CASE("Removals take effect at once without an outage") {
  StoreOutage outage;
  REQUIRE_FALSE(outage.HoldRemovalUntil(At(0), At(400), kBounds));
  REQUIRE(outage.RecoveryTime(At(400)) == Duration::zero());

  SECTION("nor after reads that failed for a short time") {
    outage.OnReadFailed(At(400));
    outage.OnReadSucceeded(At(400), At(1300));
    REQUIRE(outage.RecoveryTime(At(1300)) == Duration::zero());
    REQUIRE_FALSE(outage.HoldRemovalUntil(At(300), At(1300), kBounds));
  }
}

TEST_CASE("A removal is held back after an outage") {
  StoreOutage outage;
  outage.OnReadFailed(At(1000));
  outage.OnReadFailed(At(9000));
  outage.OnReadSucceeded(At(1000), At(9400));
  REQUIRE(outage.RecoveryTime(At(9500)) == milliseconds(1900));

  SECTION("for as long as entries return") {
    REQUIRE(outage.HoldRemovalUntil(At(800), At(9400), kBounds) == At(11400));
  }
  SECTION("not when they have returned") {
    REQUIRE_FALSE(outage.HoldRemovalUntil(At(11000), At(11400), kBounds));
  }
}

// Guards against the use of servers that left during a cut of this host's path,
// whose end was noticed late.
TEST_CASE("A removal is not held back longer than a cut excuses") {
  StoreOutage outage;
  outage.OnReadFailed(At(1000));
  outage.OnReadSucceeded(At(1200), At(3200));
  REQUIRE(outage.HoldRemovalUntil(At(800), At(3200), kBounds) == At(3500));

  SECTION("also if a further table is read later") {
    outage.OnReadSucceeded(At(1200), At(23000));
    REQUIRE_FALSE(outage.HoldRemovalUntil(At(20000), At(23000), kBounds));
  }
}

TEST_CASE("A host that was not cut off itself keeps the bound of changes") {
  StoreOutage outage;
  outage.OnRecoveryReported(milliseconds(2000), At(10000));
  REQUIRE(outage.HoldRemovalUntil(At(9700), At(10000), kBounds) == At(11200));
  REQUIRE_FALSE(outage.HoldRemovalUntil(At(8400), At(10000), kBounds));
}

}  // namespace
}  // namespace lovagecleat::routing
