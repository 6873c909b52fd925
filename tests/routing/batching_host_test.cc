#include <catch2/catch.hpp>
#include <set>
#include <vector>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

TEST_CASE("Without hosts no batching host is chosen") {
  REQUIRE(ChooseBatchingHost(1, {}).empty());
}

TEST_CASE("Hosts of the zone are preferred as batching host") {
  const std::vector<BatchingHost> hosts = {
      {"a:1", false, 4.0}, {"b:1", true, 0.1}, {"c:1", false, 4.0}};
  for (std::uint64_t seed = 0; seed < 20; ++seed)
    REQUIRE(ChooseBatchingHost(seed, hosts) == "b:1");
}

// Load pattern: uneven hosts. A host with a tenth of a core that batches for a
// busy service delays its own callers and the items of other hosts.
TEST_CASE("Hosts with a small share of a processor are not chosen") {
  const std::vector<BatchingHost> hosts = {{"small-1:1", true, 0.12},
                                           {"large-1:1", true, 0.5},
                                           {"small-2:1", true, 0.12},
                                           {"large-2:1", true, 0.5}};
  std::set<std::string_view> chosen;
  for (std::uint64_t seed = 0; seed < 50; ++seed)
    chosen.insert(ChooseBatchingHost(seed, hosts));
  REQUIRE(chosen == std::set<std::string_view>{"large-1:1", "large-2:1"});
}

TEST_CASE("The choice does not depend on the order of the hosts") {
  const std::vector<BatchingHost> hosts = {
      {"a:1", true, 1.0}, {"b:1", true, 1.0}, {"c:1", true, 1.0}};
  const std::vector<BatchingHost> reversed(hosts.rbegin(), hosts.rend());
  for (std::uint64_t seed = 0; seed < 20; ++seed)
    REQUIRE(ChooseBatchingHost(seed, hosts) ==
            ChooseBatchingHost(seed, reversed));
}

TEST_CASE("Each host of a zone has a distinct rank as store reader") {
  const std::vector<BatchingHost> hosts = {{"a:1", true, 0.12},
                                           {"b:1", true, 0.5},
                                           {"c:1", true, 0.12},
                                           {"far:1", false, 4.0}};
  std::set<std::size_t> ranks;
  for (std::size_t i = 0; i < 3; ++i) {
    std::vector<BatchingHost> others = hosts;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
    ranks.insert(StoreReaderRank(hosts[i], others));
    if (hosts[i].address == "b:1")
      REQUIRE(StoreReaderRank(hosts[i], others) == 0);
  }
  REQUIRE(ranks == std::set<std::size_t>{0, 1, 2});
}

TEST_CASE("The store reader of a zone is its host with rank 0") {
  REQUIRE(StoreReader({}).empty());
  std::vector<BatchingHost> hosts = {
      {"a", true, 0.25}, {"b", true, 0.5}, {"c", false, 1.0}, {"d", true, 0.5}};
  const std::string_view reader = StoreReader(hosts);
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    std::vector<BatchingHost> others = hosts;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
    if (!hosts[i].is_in_zone) continue;
    REQUIRE((StoreReaderRank(hosts[i], others) == 0) ==
            (hosts[i].address == reader));
  }
}

}  // namespace
}  // namespace lovagecleat::routing
