#include <catch2/catch.hpp>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;

ZoneCandidate MakeCandidate(const char* zone, int wait_ms, std::uint64_t bytes,
                            bool has_servers = true) {
  return {ZoneId(zone), {{milliseconds(wait_ms), has_servers}}, bytes};
}

TEST_CASE("The zone that holds the results is chosen if waits are similar") {
  const std::vector<ZoneCandidate> zones = {MakeCandidate("far", 50, 7'500'000),
                                            MakeCandidate("near", 100, 0)};
  REQUIRE(ChooseStageZone(zones)->zone == ZoneId("near"));
}

// Load pattern: slow stage server.
TEST_CASE("Another zone is chosen if the queue of the near one is long") {
  const std::vector<ZoneCandidate> zones = {MakeCandidate("far", 50, 7'500'000),
                                            MakeCandidate("near", 900, 0)};
  REQUIRE(ChooseStageZone(zones)->zone == ZoneId("far"));
}

// Load pattern: cold return of a zone.
TEST_CASE("A zone without servers of a stage is not chosen") {
  const std::vector<ZoneCandidate> zones = {
      MakeCandidate("empty", 0, 0, false),
      MakeCandidate("far", 700, 7'500'000)};
  REQUIRE(ChooseStageZone(zones)->zone == ZoneId("far"));
  REQUIRE(ChooseStageZone({}) == nullptr);
}

TEST_CASE("The expected wait depends on queue length and capacity") {
  BatchLimits limits;
  limits.items = 10;
  limits.call_time = milliseconds(100);
  limits.item_time = milliseconds(10);
  REQUIRE(ExpectedWait(limits, 1, 0) == Duration::zero());
  REQUIRE(ExpectedWait(limits, 1, 20) == milliseconds(400));
  REQUIRE(ExpectedWait(limits, 2, 20) == milliseconds(200));
  REQUIRE(ExpectedWait(limits, 0, 0) > milliseconds(1000));
  // Load pattern: slow stage server. Its calls take longer even without a
  // queue.
  REQUIRE(ExpectedWait(limits, 0.25, 0) == milliseconds(600));
}

}  // namespace
}  // namespace lovagecleat::routing
