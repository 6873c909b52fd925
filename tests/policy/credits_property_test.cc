#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "tests/policy/credit_world.h"
#include "tests/policy/property.h"

namespace lovagecleat::policy {
namespace {

constexpr std::uint32_t kStepKinds = 24;
constexpr tests::PropertyRuns kRuns{20261203, 3000, 600};
using Steps = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

rc::Gen<Steps> ArbitrarySteps() {
  return rc::gen::container<Steps>(
      rc::gen::pair(rc::gen::inRange<std::uint32_t>(0, kStepKinds),
                    rc::gen::inRange<std::uint32_t>(0, 1u << 20)));
}

TEST_CASE("All hosts together stay within the limit under any faults") {
  tests::RequireProperty(kRuns, [] {
    CreditWorld::Options options;
    options.hosts = *rc::gen::inRange<std::size_t>(2, 6);
    options.warm_limit = *rc::gen::inRange<std::uint32_t>(1, 13);
    options.cold_limit =
        *rc::gen::inRange<std::uint32_t>(1, options.warm_limit + 1);
    const Steps steps = *ArbitrarySteps();
    CreditWorld world(options);
    for (const auto& [kind, detail] : steps) {
      world.Step(kind, detail);
      RC_ASSERT(world.Running() <= world.limit());
    }
  });
}

TEST_CASE("A cold server gets no more than its cold limit once signs are due") {
  tests::RequireProperty(kRuns, [] {
    CreditWorld::Options options;
    options.hosts = *rc::gen::inRange<std::size_t>(2, 6);
    options.warm_limit = *rc::gen::inRange<std::uint32_t>(2, 13);
    options.cold_limit = *rc::gen::inRange<std::uint32_t>(1, 3);
    const Steps steps = *ArbitrarySteps();
    CreditWorld world(options);
    for (const auto& [kind, detail] : steps) {
      world.Step(kind, detail);
      RC_ASSERT(world.Running() <= options.warm_limit);
      if (world.warmth() == Warmth::kWarm) continue;
      const TimePoint known =
          world.cold_since() + options.settings.warm_validity;
      RC_ASSERT(world.Running(known) <= options.cold_limit);
    }
  });
}

}  // namespace
}  // namespace lovagecleat::policy
