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

constexpr int kTrafficSeconds = 60;

HostInfo InfoOf(const std::string& name, const std::string& zone) {
  return {HostId(name), ZoneId(zone), "127.0.0.1:1", MemberState::kActive};
}

std::vector<HostInfo> HostsInZones(int zone_count, int hosts_per_zone) {
  std::vector<HostInfo> hosts;
  for (int zone = 0; zone < zone_count; ++zone) {
    for (int host = 0; host < hosts_per_zone; ++host) {
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

TEST_CASE("Each message is accepted once, even out of order") {
  Membership membership(HostId("a"), ZoneId("z"), 1, 1);
  for (const int sequence : {3, 1, 2, 70, 10})
    REQUIRE(membership.Accept(MessageOf("b", 5, sequence), TimePoint{}));
  for (const int sequence : {3, 1, 70, 10, 6})
    REQUIRE_FALSE(membership.Accept(MessageOf("b", 5, sequence), TimePoint{}));
  REQUIRE_FALSE(membership.Accept(MessageOf("b", 4, 100), TimePoint{}));
  REQUIRE(membership.Accept(MessageOf("b", 6, 1), TimePoint{}));
  REQUIRE(membership.dropped() == 6);
}

TEST_CASE("Recent messages make a host alive, the list alone does not") {
  Membership membership(HostId("a"), ZoneId("z"), 1, 1);
  const std::vector<HostInfo> two_hosts{InfoOf("b", "z"), InfoOf("c", "z")};
  membership.ApplyInventory(two_hosts, TimePoint{});
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

TEST_CASE("Links between zones are used from both ends") {
  const std::vector<HostInfo> hosts = HostsInZones(3, 5);
  std::set<std::pair<HostId, HostId>> links;
  for (const HostInfo& host : hosts) {
    Membership membership(host.id, host.zone, 1, 1);
    membership.ApplyInventory(hosts, TimePoint{});
    for (const HostInfo& peer : membership.PeersToConnect())
      links.emplace(host.id, peer.id);
  }
  for (const auto& [from, to] : links) REQUIRE(links.contains({to, from}));
}

TEST_CASE("Heartbeats take at most 3 KB per second with 20 zones of 18 hosts") {
  const std::vector<HostInfo> hosts = HostsInZones(20, 18);
  Membership membership(hosts[0].id, hosts[0].zone, 1, 1);
  membership.ApplyInventory(hosts, TimePoint{});
  std::size_t bytes = 0;
  TimePoint now{};
  std::uint64_t sequence = 1'000'000;
  while (now < TimePoint{} + seconds(kTrafficSeconds)) {
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
  INFO("bytes per second: " << bytes / kTrafficSeconds);
  REQUIRE(bytes / kTrafficSeconds <= 3000);
}

// Two hosts with different clocks exchange heartbeats with arbitrary delays.
// The reported lower bound must never be after the time of sending.
TEST_CASE("An echoed probe gives a lower bound of the time of sending") {
  tests::RequireProperty({7, 500, 100}, [] {
    tests::Choices choices(*tests::AnyChoices());
    Membership local(HostId("a"), ZoneId("z"), 3, 1);
    Membership remote(HostId("b"), ZoneId("z"), 9, 2);
    local.ApplyInventory(std::vector{InfoOf("b", "z")}, TimePoint{});
    remote.ApplyInventory(std::vector{InfoOf("a", "z")}, TimePoint{});
    const Duration remote_clock_offset = seconds(1 + choices.Below(5000));
    struct Sent {
      messages::Heartbeat heartbeat;
      TimePoint at{};
    };
    std::vector<Sent> to_local;
    std::vector<Sent> to_remote;
    TimePoint now{};
    int bound_count = 0;
    while (!choices.IsExhausted()) {
      now += milliseconds(1 + choices.Below(900));
      switch (choices.Below(4)) {
        case 0:
          local.FillHeartbeat(HostId("b"), to_remote.emplace_back().heartbeat,
                              now);
          local.FinishHeartbeatRound(now);
          break;
        case 1:
          remote.FillHeartbeat(HostId("a"), to_local.emplace_back().heartbeat,
                               now + remote_clock_offset);
          to_local.back().at = now;
          remote.FinishHeartbeatRound(now + remote_clock_offset);
          break;
        case 2:
          if (to_remote.empty()) break;
          remote.HandleHeartbeat(
              HostId("a"),
              to_remote[static_cast<std::size_t>(choices.Below(5040)) %
                        to_remote.size()]
                  .heartbeat,
              now + remote_clock_offset);
          break;
        default: {
          if (to_local.empty()) break;
          const Sent& sent =
              to_local[static_cast<std::size_t>(choices.Below(5040)) %
                       to_local.size()];
          local.HandleHeartbeat(HostId("b"), sent.heartbeat, now);
          const auto sent_not_before = local.SentNotBefore(HostId("b"));
          if (sent_not_before) RC_ASSERT(*sent_not_before <= sent.at);
          if (sent_not_before) ++bound_count;
        }
      }
    }
    RC_CLASSIFY(bound_count > 0, "with bounds");
  });
}

}  // namespace
}  // namespace lovagecleat::policy
