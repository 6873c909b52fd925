#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "policy/policy.h"
#include "tests/policy/property.h"

namespace lovagecleat::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSeconds = 60;

HostInfo InfoOf(const std::string& name, const std::string& zone) {
  return {HostId(name), ZoneId(zone), "127.0.0.1:1", MemberState::kLive};
}

std::vector<HostInfo> Hosts(int zones, int hosts_a_zone) {
  std::vector<HostInfo> hosts;
  for (int zone = 0; zone < zones; ++zone) {
    for (int host = 0; host < hosts_a_zone; ++host) {
      const std::string name = "zone-" + std::to_string(zone);
      hosts.push_back(InfoOf(name + "-host-" + std::to_string(host), name));
    }
  }
  return hosts;
}

messages::PeerMessage MessageOf(const std::string& sender,
                                std::uint64_t incarnation,
                                std::uint64_t sequence) {
  messages::PeerMessage message;
  message.set_sender(sender);
  message.set_incarnation(incarnation);
  message.set_sequence(sequence);
  return message;
}

TEST_CASE("Each message is accepted once, also out of order") {
  Membership membership(HostId("a"), ZoneId("z"), 1, 1);
  for (const int sequence : {3, 1, 2, 70, 10})
    REQUIRE(membership.Accept(MessageOf("b", 5, sequence), TimePoint{}));
  for (const int sequence : {3, 1, 70, 10, 6})
    REQUIRE_FALSE(membership.Accept(MessageOf("b", 5, sequence), TimePoint{}));
  REQUIRE_FALSE(membership.Accept(MessageOf("b", 4, 100), TimePoint{}));
  REQUIRE(membership.Accept(MessageOf("b", 6, 1), TimePoint{}));
  REQUIRE(membership.dropped() == 6);
}

TEST_CASE(
    "A heard host outlives the list, a listed host is not thereby alive") {
  Membership membership(HostId("a"), ZoneId("z"), 1, 1);
  const std::vector<HostInfo> both{InfoOf("b", "z"), InfoOf("c", "z")};
  membership.ApplyInventory(both, TimePoint{});
  REQUIRE(membership.Accept(MessageOf("b", 1, 1), TimePoint{}));
  REQUIRE(membership.Health(HostId("c")) == PeerHealth::kUnknown);
  REQUIRE(membership.AliveInZone(ZoneId("z")) ==
          std::vector<HostId>{HostId("b")});

  membership.ApplyInventory({}, TimePoint{} + seconds(1));
  REQUIRE(membership.Health(HostId("b")) == PeerHealth::kAlive);
  membership.Tick(TimePoint{} + seconds(4));
  REQUIRE(membership.Health(HostId("b")) == PeerHealth::kSuspected);
  membership.Tick(TimePoint{} + seconds(11));
  REQUIRE(membership.Health(HostId("b")) == PeerHealth::kDead);
  membership.Tick(TimePoint{} + seconds(700));
  REQUIRE(membership.Health(HostId("b")) == PeerHealth::kUnknown);
}

TEST_CASE("Links between zones are served from both ends") {
  const std::vector<HostInfo> hosts = Hosts(3, 5);
  std::set<std::pair<HostId, HostId>> links;
  for (const HostInfo& host : hosts) {
    Membership membership(host.id, host.zone, 1, 1);
    membership.ApplyInventory(hosts, TimePoint{});
    for (const HostInfo& peer : membership.PeersToConnect())
      links.emplace(host.id, peer.id);
  }
  for (const auto& [from, to] : links) REQUIRE(links.contains({to, from}));
}

TEST_CASE("Heartbeats take at most 3 KB a second at the design size") {
  const std::vector<HostInfo> hosts = Hosts(20, 18);
  Membership membership(hosts[0].id, hosts[0].zone, 1, 1);
  membership.ApplyInventory(hosts, TimePoint{});
  std::size_t bytes = 0;
  TimePoint now{};
  std::uint64_t sequence = 1'000'000;
  while (now < TimePoint{} + seconds(kSeconds)) {
    now = std::max(now, membership.NextDue());
    REQUIRE(membership.HeartbeatDue(now));
    for (const HostId& target : membership.HeartbeatTargets()) {
      auto message = MessageOf("zone-0-host-0", 1'764'000'000'000, ++sequence);
      auto& heartbeat = *message.mutable_heartbeat();
      messages::Heartbeat from_target;
      from_target.set_probe(~std::uint64_t{0});
      membership.HandleHeartbeat(target, from_target, now);
      membership.FillHeartbeat(target, heartbeat, now + milliseconds(500));
      heartbeat.set_configuration_revision(100'000);
      heartbeat.set_roster_epoch(100'000);
      heartbeat.set_roster_settled(true);
      heartbeat.set_roster_confirmed_age_us(3'000'000);
      for (int i = 0; i < 12 && !membership.IsInOwnZone(target); ++i) {
        auto& service = *heartbeat.add_services();
        service.set_service("service-" + std::to_string(i));
        service.set_free_credits(300);
        service.set_queued(300);
        service.set_servers(18);
      }
      bytes += message.ByteSizeLong();
    }
    membership.FinishHeartbeatRound(now);
  }
  INFO("bytes a second: " << bytes / kSeconds);
  REQUIRE(bytes / kSeconds <= 3000);
}

// Two hosts with different clocks exchange heartbeats that are late by any
// time; the instant given for a heartbeat is never after it was really sent.
TEST_CASE("An echoed probe bounds from below when a heartbeat was sent") {
  tests::RequireProperty({7, 500, 100}, [] {
    tests::Choices choices(*tests::AnyChoices());
    Membership near(HostId("a"), ZoneId("z"), 3, 1);
    Membership far(HostId("b"), ZoneId("z"), 9, 2);
    near.ApplyInventory(std::vector{InfoOf("b", "z")}, TimePoint{});
    far.ApplyInventory(std::vector{InfoOf("a", "z")}, TimePoint{});
    const Duration far_offset = seconds(1 + choices.Below(5000));
    struct Sent {
      messages::Heartbeat heartbeat;
      TimePoint at{};
    };
    std::vector<Sent> to_near;
    std::vector<Sent> to_far;
    TimePoint now{};
    int bounds = 0;
    while (!choices.IsExhausted()) {
      now += milliseconds(1 + choices.Below(900));
      switch (choices.Below(4)) {
        case 0:
          near.FillHeartbeat(HostId("b"), to_far.emplace_back().heartbeat, now);
          near.FinishHeartbeatRound(now);
          break;
        case 1:
          far.FillHeartbeat(HostId("a"), to_near.emplace_back().heartbeat,
                            now + far_offset);
          to_near.back().at = now;
          far.FinishHeartbeatRound(now + far_offset);
          break;
        case 2:
          if (to_far.empty()) break;
          far.HandleHeartbeat(
              HostId("a"),
              to_far[static_cast<std::size_t>(choices.Below(5040)) %
                     to_far.size()]
                  .heartbeat,
              now + far_offset);
          break;
        default: {
          if (to_near.empty()) break;
          const Sent& sent =
              to_near[static_cast<std::size_t>(choices.Below(5040)) %
                      to_near.size()];
          near.HandleHeartbeat(HostId("b"), sent.heartbeat, now);
          const auto as_of = near.HeardAsOf(HostId("b"));
          if (as_of) RC_ASSERT(*as_of <= sent.at);
          if (as_of) ++bounds;
        }
      }
    }
    RC_CLASSIFY(bounds > 0, "with bounds");
  });
}

}  // namespace
}  // namespace lovagecleat::policy
