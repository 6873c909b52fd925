#include <algorithm>
#include <catch2/catch.hpp>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;

constexpr ColdBound kBound{8.2, 1.5, 5};  // 17.3 in a second

std::vector<HostId> MakeHosts(int count) {
  std::vector<HostId> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) hosts.emplace_back("h" + std::to_string(i));
  return hosts;
}

// Pattern: cold return of a zone. All hosts send as much as they may.
TEST_CASE("All hosts together stay within the bound of a cold server") {
  for (const int count : {1, 2, 6, 8, 11, 20, 63, 300}) {
    const std::vector<HostId> hosts = MakeHosts(count);
    std::vector<SendLimiter> limiters;
    for (const HostId& host : hosts) {
      limiters.emplace_back(host);
      limiters.back().SetHosts(hosts);
    }
    const ServerId server("s");
    std::vector<TimePoint> sends;
    for (int tick = 0; tick < 300; ++tick) {
      const TimePoint now = TimePoint(milliseconds(10 * tick));
      for (SendLimiter& limiter : limiters) {
        while (limiter.MaySend(server, kBound, Warmth::kUnsure, now)) {
          limiter.CountSend(server, now);
          sends.push_back(now);
        }
      }
    }
    INFO(count << " hosts");
    REQUIRE_FALSE(sends.empty());
    for (const TimePoint& start : sends) {
      const auto within =
          std::count_if(sends.begin(), sends.end(), [&](TimePoint at) {
            return at >= start && at < start + std::chrono::seconds(1);
          });
      REQUIRE(static_cast<double>(within) <= 8.2 * 1.5 + 5);
    }
  }
}

TEST_CASE("Hosts beyond the bound's shares leave the server to others") {
  const std::vector<HostId> hosts = MakeHosts(63);
  std::size_t users = 0;
  for (const HostId& host : hosts) {
    SendLimiter limiter(host);
    limiter.SetHosts(hosts);
    if (limiter.Share(ServerId("s"), kBound, Warmth::kUnsure) > 0) ++users;
    // Every host is left some servers.
    std::size_t servers = 0;
    for (int i = 0; i < 60; ++i)
      if (limiter.Share(ServerId("s" + std::to_string(i)), kBound,
                        Warmth::kUnsure) > 0)
        ++servers;
    REQUIRE(servers > 0);
  }
  REQUIRE(users > 0);
  REQUIRE(users < 63);
}

TEST_CASE("A full window tells when it has room again") {
  SendLimiter limiter(HostId("h"));
  limiter.SetHosts(MakeHosts(8));
  const ServerId server("s");
  const TimePoint start = TimePoint(milliseconds(50));
  while (limiter.MaySend(server, kBound, Warmth::kUnsure, start))
    limiter.CountSend(server, start);
  const auto free = limiter.FreeAt(server, kBound, Warmth::kUnsure, start);
  REQUIRE(free);
  REQUIRE(*free > start + std::chrono::seconds(1));
  REQUIRE_FALSE(limiter.MaySend(server, kBound, Warmth::kUnsure,
                                *free - milliseconds(1)));
  REQUIRE(limiter.MaySend(server, kBound, Warmth::kUnsure, *free));
}

TEST_CASE("A warm server takes more, but not any number") {
  SendLimiter limiter(HostId("h"));
  limiter.SetHosts(MakeHosts(8));
  const ServerId server("s");
  int sends = 0;
  while (limiter.MaySend(server, kBound, Warmth::kWarm, TimePoint())) {
    limiter.CountSend(server, TimePoint());
    ++sends;
  }
  REQUIRE(sends > 1);
  REQUIRE(sends < 17);
  REQUIRE_FALSE(limiter.MaySend(server, kBound, Warmth::kUnsure, TimePoint()));
}

// Found on the grown sites: with 63 hosts most prompts' homes were closed to
// most hosts, and a quarter of all shared tokens was read again.
TEST_CASE("A warm server is open to every host of a large fleet") {
  const std::vector<HostId> hosts = MakeHosts(63);
  for (const HostId& host : hosts) {
    SendLimiter limiter(host);
    limiter.SetHosts(hosts);
    REQUIRE(limiter.Share(ServerId("s"), kBound, Warmth::kWarm) > 0);
  }
}

TEST_CASE("A server without a bound takes everything") {
  SendLimiter limiter(HostId("h"));
  for (int i = 0; i < 1000; ++i) limiter.CountSend(ServerId("s"), TimePoint());
  REQUIRE(limiter.MaySend(ServerId("s"), {}, Warmth::kUnsure, TimePoint()));
}

// Found by the soak (seeds 201, 300, 301): hosts that started together each
// took the whole bound until they knew of each other.
TEST_CASE("A host that others do not count has no part of a cold server") {
  SendLimiter limiter(HostId("new"));
  const ColdBound bound{20, 1.5, 5};
  limiter.SetCounted(false);
  REQUIRE(limiter.Share(ServerId("s"), bound, Warmth::kUnsure) == 0);
  REQUIRE(limiter.Share(ServerId("s"), bound, Warmth::kWarm) > 0);
  limiter.SetCounted(true);
  REQUIRE(limiter.Share(ServerId("s"), bound, Warmth::kUnsure) > 0);
}

}  // namespace
}  // namespace lovagecleat::routing
