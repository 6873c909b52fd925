#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

using std::chrono::seconds;

TimePoint At(int second) { return TimePoint() + seconds(second); }

TEST_CASE("A stream's origin is kept until it expires") {
  StreamOrigins origins;
  origins.Add("a", {ServiceId("engine"), "v1"}, At(5));
  REQUIRE(origins.Find("a", At(4)) != nullptr);
  REQUIRE(origins.Find("a", At(4))->origin.software_version == "v1");
  REQUIRE(origins.Find("b", At(4)) == nullptr);
  REQUIRE(origins.Find("a", At(5)) == nullptr);
  origins.RemoveExpired(At(5));
  REQUIRE(origins.size() == 0);
}

TEST_CASE("A repeated origin prolongs the first one") {
  StreamOrigins origins;
  origins.Add("a", {ServiceId("engine"), "v1"}, At(5));
  origins.Add("a", {ServiceId("engine"), "v2"}, At(9));
  origins.Add("a", {ServiceId("engine"), "v2"}, At(3));
  REQUIRE(origins.Find("a", At(8)) != nullptr);
  REQUIRE(origins.Find("a", At(8))->origin.software_version == "v1");
}

// Three zones of four hosts each.
std::vector<std::string> HostNames() {
  std::vector<std::string> names;
  for (const char* zone : {"x", "y", "z"})
    for (int i = 0; i < 4; ++i) names.push_back(zone + std::to_string(i));
  return names;
}

std::vector<OriginHost> Hosts(const std::vector<std::string>& names) {
  std::vector<OriginHost> hosts;
  hosts.reserve(names.size());
  for (const std::string_view name : names)
    hosts.push_back({name, name.substr(0, 1)});
  return hosts;
}

TEST_CASE("Every zone keeps the origin of a stream") {
  const std::vector<std::string> names = HostNames();
  const std::vector<OriginHost> hosts = Hosts(names);
  std::set<std::string_view> used;
  for (int i = 0; i < 100; ++i) {
    const auto holders = OriginHolders(std::to_string(i), "x", hosts, 1);
    REQUIRE(holders.size() == 3);
    std::set<char> zones;
    for (const std::string_view holder : holders) zones.insert(holder[0]);
    REQUIRE(zones.size() == 3);
    used.insert(holders.begin(), holders.end());
  }
  REQUIRE(used.size() == names.size());
}

// Guards against streams that no host can resume: the hosts that are asked
// include those that were told, seen from any zone, also if one more host is
// reachable for the one that asks.
TEST_CASE("The hosts that are asked include those that were told") {
  const std::vector<std::string> names = HostNames();
  const std::vector<OriginHost> all = Hosts(names);
  for (int i = 0; i < 100; ++i) {
    const std::string stream = std::to_string(i);
    std::vector<OriginHost> reachable = all;
    reachable.erase(reachable.begin() + i % 12);
    const auto told = OriginHolders(stream, "x", reachable, 1);
    for (const char* zone : {"x", "y", "z"}) {
      const auto asked = OriginHolders(stream, zone, all, 2);
      for (const std::string_view holder : told)
        REQUIRE(std::find(asked.begin(), asked.end(), holder) != asked.end());
    }
  }
}

TEST_CASE("The number of zones that keep an origin is limited") {
  std::vector<std::string> names;
  for (char zone = 'a'; zone <= 't'; ++zone) names.push_back({zone, '0'});
  const auto holders = OriginHolders("s", "k", Hosts(names), 1);
  REQUIRE(holders.size() == 3);
  REQUIRE(std::find(holders.begin(), holders.end(), "k0") != holders.end());
  REQUIRE(OriginHolders("s", "k", {}, 1).empty());
}

}  // namespace
}  // namespace lovagecleat::routing
