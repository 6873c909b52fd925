#include <catch2/catch.hpp>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

Stage MakeStage(const char* service, std::vector<std::size_t> dependencies) {
  return {ServiceId(service), std::move(dependencies), 100};
}

ResultHandle MakeResult(const std::string& name) {
  return {name, ServerId("maker")};
}

// Two branches: stage 0 alone, stages 1 to 3 in sequence.
StagePlan MakePlan() {
  const std::vector<std::size_t> counts = {2, 1, 3, 2};
  return StagePlan({MakeStage("a", {}), MakeStage("a", {}), MakeStage("b", {1}),
                    MakeStage("c", {2})},
                   counts);
}

TEST_CASE("Items become ready when all their inputs are complete") {
  StagePlan plan = MakePlan();
  const std::vector<ItemPosition> first = {{0, 0}, {0, 1}, {1, 0}};
  REQUIRE(plan.TakeReady() == first);
  REQUIRE(plan.TakeReady().empty());
  REQUIRE(plan.Complete({1, 0}, MakeResult("r10")));
  REQUIRE_FALSE(plan.Complete({1, 0}, MakeResult("again")));
  REQUIRE(plan.TakeReady().size() == 3);
  REQUIRE(plan.InputsOf(2) == std::vector<std::string>{"r10"});
  plan.Complete({2, 0}, MakeResult("r20"));
  plan.Complete({2, 1}, MakeResult("r21"));
  REQUIRE(plan.TakeReady().empty());
  plan.Complete({2, 2}, MakeResult("r22"));
  REQUIRE(plan.TakeReady().size() == 2);
  REQUIRE(plan.InputsOf(3) == std::vector<std::string>{"r20", "r21", "r22"});
  REQUIRE_FALSE(plan.IsDone());
}

StagePlan MakeDonePlan() {
  StagePlan plan = MakePlan();
  for (std::size_t stage = 0; stage < plan.stage_count(); ++stage)
    for (std::size_t i = 0; i < plan.item_count(stage); ++i)
      plan.Complete({stage, i}, MakeResult("r" + std::to_string(stage) +
                                           std::to_string(i)));
  return plan;
}

TEST_CASE("Final results are those that no stage takes") {
  const StagePlan plan = MakeDonePlan();
  REQUIRE(plan.IsDone());
  REQUIRE(plan.FinalResults() ==
          std::vector<std::string>{"r00", "r01", "r30", "r31"});
}

// Load pattern: results fill the servers' result memory.
TEST_CASE("Results are releasable when all items that take them are complete") {
  StagePlan plan = MakePlan();
  plan.Complete({1, 0}, MakeResult("r10"));
  REQUIRE(plan.TakeReleasable().empty());
  for (std::size_t i = 0; i < 3; ++i)
    plan.Complete({2, i}, MakeResult("r2" + std::to_string(i)));
  const auto releasable = plan.TakeReleasable();
  REQUIRE(releasable.size() == 1);
  REQUIRE(releasable[0].handle == "r10");
  REQUIRE(plan.TakeReleasable().empty());
  REQUIRE(plan.Results().size() == 3);
}

TEST_CASE("Lost inputs are computed again, including their own inputs") {
  StagePlan plan = MakeDonePlan();
  REQUIRE(plan.TakeReleasable().size() == 4);
  const auto invalidated = plan.InvalidateInputsOf(3);
  // All of these were returned as releasable before.
  REQUIRE(invalidated.empty());
  REQUIRE_FALSE(plan.IsDone());
  REQUIRE(plan.TakeReady() == std::vector<ItemPosition>{{1, 0}});
  StagePlan whole = MakeDonePlan();
  REQUIRE(whole.InvalidateFinalResults().size() == 8);
  REQUIRE(whole.TakeReady().size() == 3);
}

TEST_CASE("A stage without items is skipped") {
  const std::vector<std::size_t> counts = {0, 1, 1, 1};
  StagePlan plan({MakeStage("a", {}), MakeStage("a", {}), MakeStage("b", {1}),
                  MakeStage("c", {2})},
                 counts);
  REQUIRE(plan.TakeReady() == std::vector<ItemPosition>{{1, 0}});
}

TEST_CASE("A requeued item can be taken again") {
  StagePlan plan = MakePlan();
  plan.TakeReady();
  plan.Requeue({0, 1});
  REQUIRE(plan.TakeReady() == std::vector<ItemPosition>{{0, 1}});
}

}  // namespace
}  // namespace lovagecleat::routing
