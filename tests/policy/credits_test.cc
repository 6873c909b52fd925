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
constexpr Duration kLeaveTime = seconds(6) + seconds(11) + milliseconds(500);

TimePoint At(Duration since_start) { return TimePoint{} + since_start; }

Roster FirstRoster(const std::vector<HostId>& hosts) {
  Roster roster;
  roster.zone = ZoneId("z");
  roster.epoch = 1;
  roster.hosts = hosts;
  roster.origin = RosterOrigin::kAfterStart;
  return roster;
}

CreditLedger LedgerOf(const HostId& self, const Roster& roster,
                      std::uint32_t limit, TimePoint now = {}) {
  CreditLedger ledger(self, kSettings, now);
  ledger.SetServer(kServer, limit, limit, now);
  ledger.AdoptRoster(roster, now);
  ledger.ConfirmRoster(roster.epoch, now);
  return ledger;
}

messages::PeerMessage From(const HostId& sender, const Outgoing& outgoing) {
  messages::PeerMessage message = outgoing.message;
  message.set_sender(sender.value());
  message.set_incarnation(1);
  return message;
}

TEST_CASE("Shares add up to the limit for all sizes") {
  for (std::uint32_t limit = 0; limit < 20; ++limit) {
    for (int size = 1; size < 8; ++size) {
      std::vector<HostId> hosts;
      hosts.reserve(static_cast<std::size_t>(size));
      for (int i = 0; i < size; ++i) hosts.emplace_back(std::to_string(i));
      const Roster roster = FirstRoster(hosts);
      std::uint32_t sum = 0;
      for (const HostId& host : hosts)
        sum += ShareOf(roster, host, kServer, limit);
      REQUIRE(sum == limit);
    }
  }
}

TEST_CASE("A removed host's half is covered, also where it missed an epoch") {
  // c knows only epoch 1 of two hosts; epoch 2 has four, epoch 3 removes c.
  const Roster first = FirstRoster({kB, kC});
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

TEST_CASE("A joiner waits until an earlier host leaves its epoch") {
  const Roster first = FirstRoster({kA, kB});
  Roster second = NextEpoch(first, {kA, kB, kC}, {}, {kA, kB});
  CreditLedger ledger = LedgerOf(kC, second, 9);
  const auto share_at = [&](Duration time) {
    ledger.ConfirmRoster(2, At(time));
    ledger.Tick(At(time));
    return ledger.Available(kServer, At(time));
  };
  REQUIRE(share_at(minutes(10)) == 0);
  ledger.ObservePeer(kA, 2, false, At(minutes(10)));
  REQUIRE(share_at(minutes(10) + kLeaveTime - milliseconds(1)) == 0);
  REQUIRE(share_at(minutes(10) + kLeaveTime) == 3);
}

TEST_CASE("A joiner uses its share as soon as all others have settled") {
  const Roster first = FirstRoster({kA, kB});
  CreditLedger ledger = LedgerOf(
      kC, NextEpoch(first, {kA, kB, kC}, {}, {kA, kB}), 9, At(seconds(20)));
  // The new incarnation's own wait is over.
  const TimePoint now = At(seconds(40));
  ledger.ConfirmRoster(2, now);
  ledger.ObservePeer(kA, 2, true, now);
  ledger.ObservePeer(kB, 3, true, now);  // a later epoch says nothing of this
  REQUIRE(ledger.Available(kServer, now) == 0);
  ledger.ObservePeer(kB, 2, true, now);
  REQUIRE(ledger.Available(kServer, now) == 3);
}

TEST_CASE("A host that cannot confirm its epoch keeps half of its share") {
  CreditLedger ledger = LedgerOf(kA, FirstRoster({kA, kB}), 10);
  REQUIRE(ledger.Available(kServer, At(seconds(5))) == 5);
  REQUIRE(ledger.Available(kServer, At(seconds(6))) == 2);
  REQUIRE(ledger.Available(kServer, At(hours(23))) == 2);
  REQUIRE(ledger.Available(kServer, At(hours(24))) == 0);
}

TEST_CASE("All hosts of an epoch confirm each other, a late word does not") {
  CreditLedger ledger = LedgerOf(kA, FirstRoster({kA, kB, kC}), 9);
  ledger.ObservePeer(kB, 1, true, At(seconds(8)), At(seconds(8)));
  REQUIRE_FALSE(ledger.IsConfirmed(At(seconds(8))));
  // This one arrives now, and may have been sent four seconds ago.
  ledger.ObservePeer(kC, 1, true, At(seconds(8)), At(seconds(4)));
  REQUIRE(ledger.IsConfirmed(At(seconds(8))));
  REQUIRE_FALSE(ledger.IsConfirmed(At(seconds(10))));
  ledger.ObservePeer(kC, 1, true, At(seconds(10)));  // without a bound
  REQUIRE_FALSE(ledger.IsConfirmed(At(seconds(10))));
}

TEST_CASE("Mutual confirmation ends when one host has left or after its time") {
  CreditLedger ledger = LedgerOf(kA, FirstRoster({kA, kB}), 10);
  const auto hear = [&](std::uint64_t epoch, Duration at) {
    ledger.ObservePeer(kB, epoch, true, At(at), At(at));
  };
  hear(1, minutes(29));
  REQUIRE(ledger.IsConfirmed(At(minutes(29))));
  hear(1, minutes(31));
  REQUIRE_FALSE(ledger.IsConfirmed(At(minutes(31))));
  ledger.ConfirmRoster(1, At(minutes(31)));
  hear(2, minutes(32));
  REQUIRE_FALSE(ledger.IsConfirmed(At(minutes(32))));
}

TEST_CASE("A proof from the table is passed on with its age, no other is") {
  CreditLedger ledger = LedgerOf(kA, FirstRoster({kA, kB}), 10);
  ledger.ConfirmRoster(1, At(seconds(10)));
  messages::Heartbeat heartbeat;
  ledger.FillHeartbeat(heartbeat, At(seconds(12)));
  REQUIRE(heartbeat.roster_confirmed_age_us() == 2'000'000);
  CreditLedger other = LedgerOf(kB, FirstRoster({kA, kB}), 10);
  // Sent at 12 s at the earliest, so the proof is of 10 s.
  other.ObserveHeartbeat(kA, heartbeat, At(seconds(14)), At(seconds(12)));
  REQUIRE(other.IsConfirmed(At(seconds(15))));
  REQUIRE_FALSE(other.IsConfirmed(At(seconds(18))));
}

TEST_CASE("A repeated return of a part frees that part once") {
  const Roster roster = FirstRoster({kA, kB});
  CreditLedger lender = LedgerOf(kA, roster, 8);
  CreditLedger borrower = LedgerOf(kB, roster, 8);
  borrower.AskLoan(kServer, 2, std::vector{kA}, {});
  const auto request = From(kB, borrower.TakeOutgoing().at(0));
  lender.HandlePeer(request, {});
  lender.HandlePeer(request, {});  // a repeated request lends once
  REQUIRE(lender.Available(kServer, {}) == 2);
  const auto grants = lender.TakeOutgoing();
  REQUIRE(grants.size() == 1);
  borrower.HandlePeer(From(kA, grants[0]), {});
  REQUIRE(borrower.Available(kServer, {}) == 6);
  // One borrowed credit is in use as the loan ends, the other goes back.
  REQUIRE(borrower.Admit(kServer, {}));
  borrower.Tick(At(seconds(2)));
  const auto returns = borrower.TakeOutgoing();
  REQUIRE(returns.size() == 1);
  lender.HandlePeer(From(kB, returns[0]), At(seconds(2)));
  lender.HandlePeer(From(kB, returns[0]), At(seconds(2)));
  REQUIRE(lender.Available(kServer, At(seconds(2))) == 3);
}

TEST_CASE("A lost grant strands the credits only until they surely are free") {
  const Roster roster = FirstRoster({kA, kB});
  CreditLedger lender = LedgerOf(kA, roster, 8);
  CreditLedger borrower = LedgerOf(kB, roster, 8);
  borrower.AskLoan(kServer, 2, std::vector{kA}, {});
  lender.HandlePeer(From(kB, borrower.TakeOutgoing().at(0)), {});
  lender.ConfirmRoster(1, At(seconds(13)));
  REQUIRE(lender.NextDue() == At(milliseconds(13500)));
  lender.Tick(At(milliseconds(13499)));
  REQUIRE(lender.Available(kServer, At(milliseconds(13499))) == 2);
  lender.Tick(At(milliseconds(13500)));
  REQUIRE(lender.Available(kServer, At(milliseconds(13500))) == 4);
}

TEST_CASE("A late grant is given back, and a grant of old warmth is not used") {
  const Roster roster = FirstRoster({kA, kB});
  CreditLedger lender = LedgerOf(kA, roster, 8);
  CreditLedger borrower = LedgerOf(kB, roster, 8);
  borrower.AskLoan(kServer, 2, std::vector{kA}, {});
  lender.HandlePeer(From(kB, borrower.TakeOutgoing().at(0)), {});
  const auto grant = From(kA, lender.TakeOutgoing().at(0));
  SECTION("late") {
    borrower.HandlePeer(grant, At(seconds(3)));
    REQUIRE(borrower.Available(kServer, At(seconds(3))) == 4);
  }
  SECTION("of an old generation") {
    borrower.ObserveSign(kServer, 5, Warmth::kCold, {});
    borrower.HandlePeer(grant, {});
    REQUIRE(borrower.Available(kServer, {}) == 4);
  }
  const auto returns = borrower.TakeOutgoing();
  REQUIRE(returns.size() == 1);
  lender.HandlePeer(From(kB, returns[0]), At(seconds(3)));
  REQUIRE(lender.Available(kServer, At(seconds(3))) == 4);
}

TEST_CASE("Loans end with a new generation and before the host stops") {
  const Roster roster = FirstRoster({kA, kB});
  CreditLedger lender = LedgerOf(kA, roster, 8);
  CreditLedger borrower = LedgerOf(kB, roster, 8);
  borrower.AskLoan(kServer, 2, std::vector{kA}, {});
  lender.HandlePeer(From(kB, borrower.TakeOutgoing().at(0)), {});
  borrower.HandlePeer(From(kA, lender.TakeOutgoing().at(0)), {});
  REQUIRE(borrower.Available(kServer, {}) == 6);
  SECTION("a new generation") {
    borrower.ObserveSign(kServer, 1, Warmth::kCold, {});
  }
  SECTION("a stop") { borrower.ReturnLoans({}); }
  REQUIRE(borrower.Available(kServer, {}) == 4);
  const auto returns = borrower.TakeOutgoing();
  REQUIRE(returns.size() == 1);
  lender.HandlePeer(From(kB, returns[0]), {});
  REQUIRE(lender.Available(kServer, {}) == 4);
}

TEST_CASE("A grant to a dead incarnation is not taken by the next one") {
  const Roster roster = FirstRoster({kA, kB});
  CreditLedger lender = LedgerOf(kA, roster, 8);
  CreditLedger dead(kB, kSettings, {}, 1);
  CreditLedger next(kB, kSettings, {}, 2);
  for (CreditLedger* ledger : {&dead, &next}) {
    ledger->SetServer(kServer, 8, 8, {});
    ledger->AskLoan(kServer, 2, std::vector{kA}, {});
  }
  lender.HandlePeer(From(kB, dead.TakeOutgoing().at(0)), {});
  next.HandlePeer(From(kA, lender.TakeOutgoing().at(0)), {});
  REQUIRE(next.Available(kServer, {}) == 0);
}

TEST_CASE("A new incarnation waits for the calls of the one before") {
  Roster roster = FirstRoster({kA, kB});
  roster.origin = RosterOrigin::kBeforeStart;
  CreditLedger ledger = LedgerOf(kA, roster, 8);
  ledger.ConfirmRoster(1, At(seconds(13)));
  ledger.Tick(At(milliseconds(13499)));
  REQUIRE(ledger.Available(kServer, At(milliseconds(13499))) == 0);
  REQUIRE_FALSE(ledger.IsSettled());
  ledger.Tick(At(milliseconds(13500)));
  REQUIRE(ledger.Available(kServer, At(milliseconds(13500))) == 4);
  REQUIRE(ledger.IsSettled());
}

TEST_CASE("The warm share comes step by step and goes at once") {
  CreditLedger ledger(kA, kSettings, {});
  ledger.SetServer(kServer, 1, 4, {});
  ledger.AdoptRoster(FirstRoster({kA}), {});
  ledger.ConfirmRoster(1, {});
  REQUIRE(ledger.Available(kServer, {}) == 1);
  REQUIRE(ledger.ObserveSign(kServer, 1, Warmth::kWarm, {}));
  REQUIRE_FALSE(ledger.ObserveSign(kServer, 1, Warmth::kWarm, {}));
  REQUIRE(ledger.Available(kServer, {}) == 1);
  std::uint32_t before = 1;
  for (int i = 0; i < 12; ++i) {
    ledger.Release(ledger.Admit(kServer, {})->id, {}, CallHealth::kGood);
    const std::uint32_t now = ledger.Available(kServer, {});
    REQUIRE(now <= before + 1);
    before = now;
  }
  REQUIRE(before == 4);
  SECTION("a higher generation") {
    REQUIRE(ledger.ObserveSign(kServer, 2, Warmth::kCold, {}));
    REQUIRE(ledger.Available(kServer, {}) == 1);
  }
  SECTION("a burst of errors") {
    for (int i = 0; i < 3; ++i)
      ledger.Release(ledger.Admit(kServer, {})->id, {}, CallHealth::kFailed);
    REQUIRE(ledger.Available(kServer, {}) == 1);
  }
  SECTION("no word from the server for long") {
    ledger.ConfirmRoster(1, At(seconds(5)));
    REQUIRE(ledger.Available(kServer, At(seconds(5))) == 1);
  }
  SECTION("a peer's sign") {
    messages::PeerMessage sign;
    sign.mutable_server_sign()->set_server(kServer.value());
    sign.mutable_server_sign()->set_generation(2);
    ledger.HandlePeer(sign, {});
    REQUIRE(ledger.Available(kServer, {}) == 1);
  }
}

}  // namespace
}  // namespace lovagecleat::policy
