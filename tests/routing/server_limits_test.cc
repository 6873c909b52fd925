#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What a server may get in any window: so many times its limit and so many more
// requests.
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;
constexpr seconds kWindow{4};

const ServerIncarnation kServer{ServerId("s"), "10.0.0.1:80", "v1", 7};

TimePoint At(Duration since_start) {
  return TimePoint(std::chrono::hours(1) + since_start);
}

std::vector<HostId> MakeHosts(int count) {
  std::vector<HostId> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) hosts.emplace_back("h" + std::to_string(i));
  return hosts;
}

std::vector<ServerLimits> MakeLimits(const std::vector<HostId>& hosts) {
  std::vector<ServerLimits> all;
  for (const HostId& host : hosts) {
    all.emplace_back(host);
    all.back().SetHosts(hosts);
  }
  return all;
}

// Every host sends whenever it may. Returns when requests were sent.
std::vector<TimePoint> SendGreedily(std::vector<ServerLimits>& hosts,
                                    ServerUsers users, Duration from,
                                    Duration to) {
  // Many hosts take turns less often, since each step asks all of them.
  constexpr std::size_t few_hosts = 20;
  const Duration step = milliseconds(hosts.size() > few_hosts ? 100 : 5);
  std::vector<TimePoint> sends;
  for (Duration time = from; time < to; time += step) {
    for (ServerLimits& host : hosts) {
      for (int i = 0; i < 100 && host.MaySend(kServer, users, At(time)); ++i) {
        host.CountSend(kServer, users, At(time));
        sends.push_back(At(time));
      }
    }
  }
  return sends;
}

std::ptrdiff_t MostInWindow(const std::vector<TimePoint>& sends) {
  std::ptrdiff_t most = 0;
  for (auto first = sends.begin(); first != sends.end(); ++first)
    most = std::max(
        most, std::upper_bound(first, sends.end(), *first + kWindow) - first);
  return most;
}

double Allowed(double limit) {
  return kLimitFactor * limit * kWindow.count() + kLimitSlack;
}

// Guards against hosts that each use the whole limit of a server (LIMIT).
TEST_CASE("All hosts together stay within the limit that a server names") {
  const int count = GENERATE(1, 2, 6, 8, 20, 63, 300);
  const double limit = GENERATE(0.0, 0.1, 0.5, 1.0, 2.7, 10.0, 200.0);
  CAPTURE(count, limit);
  std::vector<ServerLimits> hosts = MakeLimits(MakeHosts(count));
  for (ServerLimits& host : hosts) host.Set(kServer, {limit, At(seconds(0))});
  const std::vector<TimePoint> sends =
      SendGreedily(hosts, ServerUsers::kAllHosts, seconds(0), seconds(20));
  REQUIRE(MostInWindow(sends) <= Allowed(limit));
  // Most of the limit is used, and a server without one is asked now and then.
  REQUIRE(static_cast<double>(sends.size()) >=
          std::max(0.75 * limit * 20, 2.0));
}

TEST_CASE("One host uses the limit of a server that others do not call") {
  const double limit = GENERATE(0.0, 0.5, 1.0, 10.0, 200.0);
  std::vector<ServerLimits> hosts = MakeLimits(MakeHosts(6));
  for (ServerLimits& host : hosts) host.Set(kServer, {limit, At(seconds(0))});
  SECTION("Alone") {
    hosts.erase(hosts.begin() + 1, hosts.end());
    const auto sends =
        SendGreedily(hosts, ServerUsers::kOneHost, seconds(0), seconds(20));
    REQUIRE(MostInWindow(sends) <= Allowed(limit));
    REQUIRE(static_cast<double>(sends.size()) >= 0.65 * limit * 20);
  }
  SECTION("While another one takes over") {
    hosts.erase(hosts.begin() + 2, hosts.end());
    REQUIRE(MostInWindow(SendGreedily(hosts, ServerUsers::kOneHost, seconds(0),
                                      seconds(20))) <= Allowed(limit));
  }
}

TEST_CASE("Hosts that join or leave keep within a limit") {
  const double limit = GENERATE(0.5, 1.0, 10.0);
  const std::vector<HostId> before = MakeHosts(6);
  const std::vector<HostId> after = MakeHosts(7);
  std::vector<ServerLimits> hosts = MakeLimits(before);
  for (ServerLimits& host : hosts) host.Set(kServer, {limit, At(seconds(0))});
  std::vector<TimePoint> sends =
      SendGreedily(hosts, ServerUsers::kAllHosts, seconds(0), seconds(10));
  // The new host knows all others before they know it.
  hosts.emplace_back(after.back());
  hosts.back().SetHosts(after);
  hosts.back().Set(kServer, {limit, At(seconds(10))});
  for (const TimePoint at :
       SendGreedily(hosts, ServerUsers::kAllHosts, seconds(10), seconds(12)))
    sends.push_back(at);
  for (ServerLimits& host : hosts) host.SetHosts(after);
  for (const TimePoint at :
       SendGreedily(hosts, ServerUsers::kAllHosts, seconds(12), seconds(20)))
    sends.push_back(at);
  REQUIRE(MostInWindow(sends) <= Allowed(limit));
}

TEST_CASE("A server without a limit is not limited") {
  ServerLimits limits{HostId("h0")};
  REQUIRE(limits.MaySend(kServer, ServerUsers::kAllHosts, At(seconds(0))));
  REQUIRE_FALSE(limits.IsLimited(kServer));
  REQUIRE_FALSE(limits.Set(kServer, {std::nullopt, At(seconds(0))}));
}

TEST_CASE("A limit ends when the server names none any more") {
  ServerLimits limits{HostId("h0")};
  REQUIRE(limits.Set(kServer, {1.0, At(seconds(0))}));
  REQUIRE_FALSE(limits.Set(kServer, {1.0, At(seconds(1))}));
  // A response that was overtaken.
  REQUIRE_FALSE(limits.Set(kServer, {std::nullopt, At(milliseconds(1100))}));
  REQUIRE(limits.IsLimited(kServer));
  REQUIRE(limits.Set(kServer, {std::nullopt, At(seconds(3))}));
  REQUIRE_FALSE(limits.IsLimited(kServer));
}

TEST_CASE("A limit changes with what the server says last") {
  ServerLimits limits{HostId("h0")};
  limits.Set(kServer, {0.25, At(seconds(10))});
  limits.CountSend(kServer, ServerUsers::kAllHosts, At(seconds(14)));
  REQUIRE_FALSE(
      limits.MaySend(kServer, ServerUsers::kAllHosts, At(seconds(15))));
  SECTION("A higher limit counts at once") {
    REQUIRE(limits.Set(kServer, {100.0, At(seconds(15))}));
    REQUIRE(limits.MaySend(kServer, ServerUsers::kAllHosts,
                           At(milliseconds(15100))));
  }
  SECTION("An older statement of another host does not count") {
    REQUIRE_FALSE(limits.Set(kServer, {100.0, At(seconds(9))}));
    REQUIRE_FALSE(
        limits.MaySend(kServer, ServerUsers::kAllHosts, At(seconds(15))));
  }
  SECTION("A small change is not worth a message") {
    REQUIRE_FALSE(limits.Set(kServer, {0.251, At(seconds(15))}));
  }
}

// Guards against servers that are gone and take the room of those that name a
// limit now.
TEST_CASE("The limits named last are kept") {
  ServerLimits limits{HostId("h0")};
  constexpr int server_count = 10000;
  ServerIncarnation server = kServer;
  for (int i = 0; i < server_count; ++i) {
    server.id = ServerId("s" + std::to_string(i));
    limits.Set(server, {1.0, At(seconds(i))});
  }
  REQUIRE(limits.IsLimited(server));
  REQUIRE(limits.limits().size() < server_count);
}

TEST_CASE("A limit belongs to one incarnation of a server") {
  ServerLimits limits{HostId("h0")};
  limits.Set(kServer, {0.25, At(seconds(0))});
  ServerIncarnation next = kServer;
  ++next.started_unix_ms;
  REQUIRE_FALSE(limits.IsLimited(next));
  REQUIRE(limits.MaySend(next, ServerUsers::kAllHosts, At(seconds(0))));
  limits.CountSend(next, ServerUsers::kAllHosts, At(seconds(0)));
  limits.Remove(kServer.id);
  REQUIRE_FALSE(limits.IsLimited(kServer));
}

}  // namespace
}  // namespace lovagecleat::routing
