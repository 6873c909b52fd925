#include <catch2/catch.hpp>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

using std::chrono::seconds;

TimePoint At(int second) { return TimePoint() + seconds(second); }

QueuedItem ItemOf(const std::string& request, std::size_t stage,
                  std::size_t index) {
  QueuedItem item;
  item.request = request;
  item.position = {stage, index};
  return item;
}

TEST_CASE("A handle belongs to the item that it was first received for") {
  ReceivedResults results;
  const QueuedItem item = ItemOf("a", 1, 2);
  REQUIRE_FALSE(results.IsOfOtherItem("h", item));
  REQUIRE_FALSE(results.Contains("h"));
  results.Add("h", item, At(0));
  // A server may give the same result again for the same item.
  REQUIRE_FALSE(results.IsOfOtherItem("h", item));
  for (const QueuedItem& other : {ItemOf("b", 1, 2), ItemOf("a", 2, 2),
                                  ItemOf("a", 1, 1), ItemOf("a", 2, 1)})
    REQUIRE(results.IsOfOtherItem("h", other));
  REQUIRE_FALSE(results.IsOfOtherItem("g", ItemOf("b", 1, 2)));
  REQUIRE(results.Contains("h"));
  REQUIRE_FALSE(results.Contains("g"));
}

TEST_CASE("Received results are forgotten in time and in number") {
  ReceivedResults results;
  for (int i = 0; i < 100; ++i)
    results.Add("h" + std::to_string(i), ItemOf("a", 0, 0), At(i));
  results.RemoveExpired(At(100));
  REQUIRE(results.size() == 60);
  for (int i = 0; i < 60'000; ++i)
    results.Add("g" + std::to_string(i), ItemOf("a", 0, 0), At(100));
  REQUIRE(results.size() == 50'000);
}

}  // namespace
}  // namespace lovagecleat::routing
