#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "policy/policy.h"

namespace lovagecleat::policy {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const ServerId kServer("s");
const CreditSettings kSettings;
const HostId kA("a");
const HostId kB("b");
const HostId kC("c");
constexpr Duration kEpochLeaveTime =
    seconds(6) + seconds(11) + milliseconds(500);

TimePoint At(Duration since_start) { return TimePoint{} + since_start; }

Roster MakeFirstRoster(const std::vector<HostId>& hosts) {
  Roster roster;
  roster.zone = ZoneId("z");
  roster.epoch = 1;
  roster.hosts = hosts;
  roster.origin = RosterOrigin::kAfterStart;
  return roster;
}

CreditLedger MakeLedger(const HostId& self, const Roster& roster,
                        std::uint32_t limit, TimePoint now = {}) {
  CreditLedger ledger(self, kSettings, now);
  ledger.SetServer(kServer, limit, limit, now);
  ledger.AdoptRoster(roster, now);
  ledger.ConfirmRoster(roster.epoch, now);
  return ledger;
}

messages::PeerMessage WithSender(const HostId& sender,
                                 const OutgoingPeerMessage& outgoing) {
  messages::PeerMessage message = outgoing.message;
  message.set_sender(sender.value());
  message.set_incarnation(1);
  return message;
}

TEST_CASE("Shares add up to the limit for all roster sizes") {
  for (std::uint32_t limit = 0; limit < 20; ++limit) {
    for (int size = 1; size < 8; ++size) {
      std::vector<HostId> hosts;
      hosts.reserve(static_cast<std::size_t>(size));
      for (int i = 0; i < size; ++i) hosts.emplace_back(std::to_string(i));
      const Roster roster = MakeFirstRoster(hosts);
      std::uint32_t sum = 0;
      for (const HostId& host : hosts)
        sum += ShareOf(roster, host, kServer, limit);
      REQUIRE(sum == limit);
    }
  }
}

TEST_CASE(
    "Shares leave room for the half of a removed host that missed an epoch") {
  // c has only epoch 1 with two hosts. Epoch 2 has four, epoch 3 removes c.
  const Roster first = MakeFirstRoster({kB, kC});
  const std::vector<HostId> four{kA, kB, kC, HostId("d")};
  const Roster second = NextEpoch(first, four, {}, {kB});
  const Roster third =
      NextEpoch(second, {kA, kB, HostId("d")}, {kC}, {kA, kB, HostId("d")});
  for (std::uint32_t limit = 0; limit < 20; ++limit) {
    std::uint32_t sum = ShareOf(first, kC, kServer, limit) / 2;
    for (const HostId& host : third.hosts)
      sum += ShareOf(third, host, kServer, limit);
    REQUIRE(sum <= limit);
  }
}

TEST_CASE(
    "A new host gets no share until an earlier host has left the previous "
    "epoch") {
  const Roster first = MakeFirstRoster({kA, kB});
  Roster second = NextEpoch(first, {kA, kB, kC}, {}, {kA, kB});
  CreditLedger ledger = MakeLedger(kC, second, 9);
  const auto share_at = [&](Duration time) {
    ledger.ConfirmRoster(2, At(time));
    ledger.Tick(At(time));
    return ledger.Available(kServer, At(time));
  };
  REQUIRE(share_at(minutes(10)) == 0);
  ledger.ObservePeer(kA, 2, false, At(minutes(10)));
  REQUIRE(share_at(minutes(10) + kEpochLeaveTime - milliseconds(1)) == 0);
  REQUIRE(share_at(minutes(10) + kEpochLeaveTime) == 3);
}

TEST_CASE("A new host uses its share as soon as all others have settled") {
  const Roster first = MakeFirstRoster({kA, kB});
  CreditLedger ledger = MakeLedger(
      kC, NextEpoch(first, {kA, kB, kC}, {}, {kA, kB}), 9, At(seconds(20)));
  // The waiting time of the new incarnation has passed.
  const TimePoint now = At(seconds(40));
  ledger.ConfirmRoster(2, now);
  ledger.ObservePeer(kA, 2, true, now);
  ledger.ObservePeer(kB, 3, true, now);  // a later epoch does not count
  REQUIRE(ledger.Available(kServer, now) == 0);
  ledger.ObservePeer(kB, 2, true, now);
  REQUIRE(ledger.Available(kServer, now) == 3);
}

TEST_CASE("A host without confirmation keeps half of its share for 24 hours") {
  CreditLedger ledger = MakeLedger(kA, MakeFirstRoster({kA, kB}), 10);
  REQUIRE(ledger.Available(kServer, At(seconds(5))) == 5);
  REQUIRE(ledger.Available(kServer, At(seconds(6))) == 2);
  REQUIRE(ledger.Available(kServer, At(hours(23))) == 2);
  REQUIRE(ledger.Available(kServer, At(hours(24))) == 0);
}

TEST_CASE("Hosts of an epoch confirm each other, but not by late heartbeats") {
  CreditLedger ledger = MakeLedger(kA, MakeFirstRoster({kA, kB, kC}), 9);
  ledger.ObservePeer(kB, 1, true, At(seconds(8)), At(seconds(8)));
  REQUIRE_FALSE(ledger.IsConfirmed(At(seconds(8))));
  // Arrives now, but may have been sent four seconds ago.
  ledger.ObservePeer(kC, 1, true, At(seconds(8)), At(seconds(4)));
  REQUIRE(ledger.IsConfirmed(At(seconds(8))));
  REQUIRE_FALSE(ledger.IsConfirmed(At(seconds(10))));
  ledger.ObservePeer(kC, 1, true, At(seconds(10)));  // without a bound
  REQUIRE_FALSE(ledger.IsConfirmed(At(seconds(10))));
}

TEST_CASE(
    "Mutual confirmation ends after 30 minutes or if a host leaves the epoch") {
  CreditLedger ledger = MakeLedger(kA, MakeFirstRoster({kA, kB}), 10);
  const auto receive = [&](std::uint64_t epoch, Duration at) {
    ledger.ObservePeer(kB, epoch, true, At(at), At(at));
  };
  receive(1, minutes(29));
  REQUIRE(ledger.IsConfirmed(At(minutes(29))));
  receive(1, minutes(31));
  REQUIRE_FALSE(ledger.IsConfirmed(At(minutes(31))));
  ledger.ConfirmRoster(1, At(minutes(31)));
  receive(2, minutes(32));
  REQUIRE_FALSE(ledger.IsConfirmed(At(minutes(32))));
}

TEST_CASE("Only a confirmation from the table is relayed, with its age") {
  CreditLedger ledger = MakeLedger(kA, MakeFirstRoster({kA, kB}), 10);
  ledger.ConfirmRoster(1, At(seconds(10)));
  messages::Heartbeat heartbeat;
  ledger.FillHeartbeat(heartbeat, At(seconds(12)));
  REQUIRE(heartbeat.roster_confirmed_age_us() == 2'000'000);
  CreditLedger other = MakeLedger(kB, MakeFirstRoster({kA, kB}), 10);
  // Sent at 12 s at the earliest, so the confirmation dates from 10 s.
  other.ObserveHeartbeat(kA, heartbeat, At(seconds(14)), At(seconds(12)));
  REQUIRE(other.IsConfirmed(At(seconds(15))));
  REQUIRE_FALSE(other.IsConfirmed(At(seconds(18))));
}

TEST_CASE("A duplicate partial return frees its credits once") {
  const Roster roster = MakeFirstRoster({kA, kB});
  CreditLedger lender = MakeLedger(kA, roster, 8);
  CreditLedger borrower = MakeLedger(kB, roster, 8);
  borrower.RequestLoan(kServer, 2, std::vector{kA}, {});
  const auto request = WithSender(kB, borrower.TakeOutgoing().at(0));
  lender.HandlePeer(request, {});
  lender.HandlePeer(request, {});  // a duplicate request lends once
  REQUIRE(lender.Available(kServer, {}) == 2);
  const auto grants = lender.TakeOutgoing();
  REQUIRE(grants.size() == 1);
  borrower.HandlePeer(WithSender(kA, grants[0]), {});
  REQUIRE(borrower.Available(kServer, {}) == 6);
  // One borrowed credit is in use when the loan expires; the other is returned.
  REQUIRE(borrower.Admit(kServer, {}));
  borrower.Tick(At(seconds(2)));
  const auto returns = borrower.TakeOutgoing();
  REQUIRE(returns.size() == 1);
  lender.HandlePeer(WithSender(kB, returns[0]), At(seconds(2)));
  lender.HandlePeer(WithSender(kB, returns[0]), At(seconds(2)));
  REQUIRE(lender.Available(kServer, At(seconds(2))) == 3);
}

TEST_CASE("Credits of a lost grant are free once no call can use them") {
  const Roster roster = MakeFirstRoster({kA, kB});
  CreditLedger lender = MakeLedger(kA, roster, 8);
  CreditLedger borrower = MakeLedger(kB, roster, 8);
  borrower.RequestLoan(kServer, 2, std::vector{kA}, {});
  lender.HandlePeer(WithSender(kB, borrower.TakeOutgoing().at(0)), {});
  lender.ConfirmRoster(1, At(seconds(13)));
  REQUIRE(lender.NextDue() == At(milliseconds(13500)));
  lender.Tick(At(milliseconds(13499)));
  REQUIRE(lender.Available(kServer, At(milliseconds(13499))) == 2);
  lender.Tick(At(milliseconds(13500)));
  REQUIRE(lender.Available(kServer, At(milliseconds(13500))) == 4);
}

TEST_CASE("A late grant or one of an old generation is returned unused") {
  const Roster roster = MakeFirstRoster({kA, kB});
  CreditLedger lender = MakeLedger(kA, roster, 8);
  CreditLedger borrower = MakeLedger(kB, roster, 8);
  borrower.RequestLoan(kServer, 2, std::vector{kA}, {});
  lender.HandlePeer(WithSender(kB, borrower.TakeOutgoing().at(0)), {});
  const auto grant = WithSender(kA, lender.TakeOutgoing().at(0));
  SECTION("after the request has timed out") {
    borrower.HandlePeer(grant, At(seconds(3)));
    REQUIRE(borrower.Available(kServer, At(seconds(3))) == 4);
  }
  SECTION("of an old generation") {
    borrower.ObserveWarmth(kServer, 5, Warmth::kCold, {});
    borrower.HandlePeer(grant, {});
    REQUIRE(borrower.Available(kServer, {}) == 4);
  }
  const auto returns = borrower.TakeOutgoing();
  REQUIRE(returns.size() == 1);
  lender.HandlePeer(WithSender(kB, returns[0]), At(seconds(3)));
  REQUIRE(lender.Available(kServer, At(seconds(3))) == 4);
}

TEST_CASE("Loans end with a new generation and before the host stops") {
  const Roster roster = MakeFirstRoster({kA, kB});
  CreditLedger lender = MakeLedger(kA, roster, 8);
  CreditLedger borrower = MakeLedger(kB, roster, 8);
  borrower.RequestLoan(kServer, 2, std::vector{kA}, {});
  lender.HandlePeer(WithSender(kB, borrower.TakeOutgoing().at(0)), {});
  borrower.HandlePeer(WithSender(kA, lender.TakeOutgoing().at(0)), {});
  REQUIRE(borrower.Available(kServer, {}) == 6);
  SECTION("a new generation") {
    borrower.ObserveWarmth(kServer, 1, Warmth::kCold, {});
  }
  SECTION("a stop of the host") { borrower.ReturnLoans({}); }
  REQUIRE(borrower.Available(kServer, {}) == 4);
  const auto returns = borrower.TakeOutgoing();
  REQUIRE(returns.size() == 1);
  lender.HandlePeer(WithSender(kB, returns[0]), {});
  REQUIRE(lender.Available(kServer, {}) == 4);
}

TEST_CASE("A grant to an earlier incarnation is not used by the next one") {
  const Roster roster = MakeFirstRoster({kA, kB});
  CreditLedger lender = MakeLedger(kA, roster, 8);
  CreditLedger previous(kB, kSettings, {}, 1);
  CreditLedger next(kB, kSettings, {}, 2);
  for (CreditLedger* ledger : {&previous, &next}) {
    ledger->SetServer(kServer, 8, 8, {});
    ledger->RequestLoan(kServer, 2, std::vector{kA}, {});
  }
  lender.HandlePeer(WithSender(kB, previous.TakeOutgoing().at(0)), {});
  next.HandlePeer(WithSender(kA, lender.TakeOutgoing().at(0)), {});
  REQUIRE(next.Available(kServer, {}) == 0);
}

TEST_CASE(
    "A new incarnation waits until calls of the previous one have ended") {
  Roster roster = MakeFirstRoster({kA, kB});
  roster.origin = RosterOrigin::kBeforeStart;
  CreditLedger ledger = MakeLedger(kA, roster, 8);
  ledger.ConfirmRoster(1, At(seconds(13)));
  ledger.Tick(At(milliseconds(13499)));
  REQUIRE(ledger.Available(kServer, At(milliseconds(13499))) == 0);
  REQUIRE_FALSE(ledger.IsSettled());
  ledger.Tick(At(milliseconds(13500)));
  REQUIRE(ledger.Available(kServer, At(milliseconds(13500))) == 4);
  REQUIRE(ledger.IsSettled());
}

TEST_CASE("The warm share grows step by step and is lost at once") {
  CreditLedger ledger(kA, kSettings, {});
  ledger.SetServer(kServer, 1, 4, {});
  ledger.AdoptRoster(MakeFirstRoster({kA}), {});
  ledger.ConfirmRoster(1, {});
  REQUIRE(ledger.Available(kServer, {}) == 1);
  REQUIRE(ledger.ObserveWarmth(kServer, 1, Warmth::kWarm, {}));
  REQUIRE_FALSE(ledger.ObserveWarmth(kServer, 1, Warmth::kWarm, {}));
  REQUIRE(ledger.Available(kServer, {}) == 1);
  std::uint32_t before = 1;
  for (int i = 0; i < 12; ++i) {
    ledger.Release(ledger.Admit(kServer, {})->id, {}, CallResult::kSucceeded);
    const std::uint32_t now = ledger.Available(kServer, {});
    REQUIRE(now <= before + 1);
    before = now;
  }
  REQUIRE(before == 4);
  SECTION("a higher generation") {
    REQUIRE(ledger.ObserveWarmth(kServer, 2, Warmth::kCold, {}));
    REQUIRE(ledger.Available(kServer, {}) == 1);
  }
  SECTION("three consecutive failures") {
    for (int i = 0; i < 3; ++i)
      ledger.Release(ledger.Admit(kServer, {})->id, {}, CallResult::kFailed);
    REQUIRE(ledger.Available(kServer, {}) == 1);
  }
  SECTION("no warm report within the warm validity") {
    ledger.ConfirmRoster(1, At(seconds(5)));
    REQUIRE(ledger.Available(kServer, At(seconds(5))) == 1);
  }
  SECTION("a peer's report of a higher generation") {
    messages::PeerMessage sign;
    sign.mutable_server_sign()->set_server(kServer.value());
    sign.mutable_server_sign()->set_generation(2);
    ledger.HandlePeer(sign, {});
    REQUIRE(ledger.Available(kServer, {}) == 1);
  }
}

}  // namespace
}  // namespace lovagecleat::policy
