#include "transport/loop.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "tests/transport/loop_fixture.h"

namespace lovagecleat::transport {
namespace {

// Counts its destruction; on it, leaves another object to the loop.
class Owner {
 public:
  Owner(Loop& loop, int& destroyed) : loop_(loop), destroyed_(destroyed) {}
  ~Owner() {
    loop_.DestroyLater(std::shared_ptr<void>(
        nullptr, [&count = destroyed_](void*) { ++count; }));
    ++destroyed_;
  }
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

 private:
  Loop& loop_;
  int& destroyed_;
};

TEST_CASE_METHOD(LoopFixture, "Objects are destroyed from the loop") {
  int destroyed = 0;
  loop().DestroyLater(std::make_unique<Owner>(loop(), destroyed));
  REQUIRE(destroyed == 0);
  RunUntil([&] { return destroyed == 2; });
  loop().DestroyLater(std::make_unique<Owner>(loop(), destroyed));
  RunUntil([&] { return destroyed == 4; });
}

// Guards against crashes: timers ran while the object that they belonged to was
// destroyed.
TEST_CASE_METHOD(LoopFixture, "Destroying pending objects runs no timers") {
  int destroyed = 0;
  bool has_run = false;
  loop().After(Duration::zero(), [&] { has_run = true; });
  loop().DestroyLater(std::make_unique<Owner>(loop(), destroyed));
  loop().DestroyPending();
  REQUIRE(destroyed == 2);
  REQUIRE_FALSE(has_run);
  RunUntil([&] { return has_run; });
}

}  // namespace
}  // namespace lovagecleat::transport
