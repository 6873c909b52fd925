#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "tests/policy/credit_simulation.h"
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

TEST_CASE(
    "The calls of all hosts stay within the server's limit under any faults") {
  tests::RequireProperty(kRuns, [] {
    CreditSimulation::Options options;
    options.hosts = *rc::gen::inRange<std::size_t>(2, 6);
    options.warm_limit = *rc::gen::inRange<std::uint32_t>(1, 13);
    options.cold_limit =
        *rc::gen::inRange<std::uint32_t>(1, options.warm_limit + 1);
    const Steps steps = *ArbitrarySteps();
    CreditSimulation simulation(options);
    for (const auto& [kind, detail] : steps) {
      simulation.Step(kind, detail);
      RC_ASSERT(simulation.Running() <= simulation.limit());
    }
  });
}

TEST_CASE(
    "A cold server gets at most its cold limit once the warm validity has "
    "passed") {
  tests::RequireProperty(kRuns, [] {
    CreditSimulation::Options options;
    options.hosts = *rc::gen::inRange<std::size_t>(2, 6);
    options.warm_limit = *rc::gen::inRange<std::uint32_t>(2, 13);
    options.cold_limit = *rc::gen::inRange<std::uint32_t>(1, 3);
    const Steps steps = *ArbitrarySteps();
    CreditSimulation simulation(options);
    for (const auto& [kind, detail] : steps) {
      simulation.Step(kind, detail);
      RC_ASSERT(simulation.Running() <= options.warm_limit);
      if (simulation.warmth() == Warmth::kWarm) continue;
      const TimePoint warm_expiry =
          simulation.cold_since() + options.settings.warm_validity;
      RC_ASSERT(simulation.Running(warm_expiry) <= options.cold_limit);
    }
  });
}

}  // namespace
}  // namespace lovagecleat::policy
