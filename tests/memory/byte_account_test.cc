#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "memory/memory.h"

namespace lovagecleat::memory {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 100'000;
constexpr std::size_t kStepBytes = 10'000;
constexpr std::size_t kUnreadBytes = 1'000;

AccountLimits TestLimits() {
  AccountLimits limits;
  limits.total = 400'000;
  limits.pool = 200'000;
  limits.connection_share = 1'000;
  limits.address_share = limits.total;
  return limits;
}

// A connection on which a client sends a body in steps, up to `stops_at`.
class Client final : public HolderObserver {
 public:
  Client(ByteAccount& account, TimePoint now, std::size_t stops_at,
         std::uint32_t address = 0)
      : holder_(account, *this, address, now), stops_at_(stops_at) {
    holder_.BeginRequest();
  }

  // Sends the next step unless the connection is not read.
  void Send(TimePoint now) {
    now_ = now;
    if (is_waiting_ || is_over_ || sent_ >= stops_at_) return;
    holder_.OnProgress(now);
    Grow();
  }

  void OnRoom() override {
    is_waiting_ = false;
    holder_.OnProgress(now_);
    Grow();
  }

  void OnEvicted(Eviction eviction) override {
    eviction_ = eviction;
    End();
  }

  void End() {
    is_over_ = true;
    is_waiting_ = false;
    holder_.Release();
  }

  bool is_served() const { return is_served_; }
  bool is_over() const { return is_over_; }
  bool is_waiting() const { return is_waiting_; }
  std::optional<Eviction> eviction() const { return eviction_; }
  Holder& holder() { return holder_; }

 private:
  void Grow() {
    const std::size_t step = std::min(kStepBytes, stops_at_ - sent_);
    switch (holder_.Ask(step, kBodyBytes - sent_, kUnreadBytes, now_)) {
      case Answer::kGranted:
        sent_ += step;
        holder_.Hold(Kind::kBodies, sent_);
        if (sent_ < kBodyBytes) return;
        is_served_ = true;
        holder_.EndRequest();
        return End();
      case Answer::kWait:
        is_waiting_ = true;
        return;
      case Answer::kRefused:
        return End();
    }
  }

  Holder holder_;
  std::size_t stops_at_;
  std::size_t sent_ = 0;
  TimePoint now_{};
  bool is_waiting_ = false;
  bool is_served_ = false;
  bool is_over_ = false;
  std::optional<Eviction> eviction_;
};

// A crowd of clients on one account, under virtual time.
class Crowd {
 public:
  Crowd() { account_.SetLimits(TestLimits()); }

  Client& Add(std::size_t stops_at) {
    clients_.push_back(std::make_unique<Client>(account_, now_, stops_at));
    return *clients_.back();
  }

  // Lets each client send one step, then the account decide. Returns the
  // largest total seen.
  std::size_t Run(Duration duration, Duration step = milliseconds(10)) {
    std::size_t peak = 0;
    for (const TimePoint end = now_ + duration; now_ < end; now_ += step) {
      for (auto& client : clients_) client->Send(now_);
      peak = std::max(peak, account_.total());
      account_.Run(now_);
    }
    return peak;
  }

  ByteAccount& account() { return account_; }
  TimePoint now() const { return now_; }
  std::vector<std::unique_ptr<Client>>& clients() { return clients_; }

 private:
  ByteAccount account_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::vector<std::unique_ptr<Client>> clients_;
};

TEST_CASE("Without limits everything is granted and counted") {
  ByteAccount account;
  Client client(account, TimePoint{}, kBodyBytes - 1);
  for (int i = 0; i < 10; ++i) client.Send(TimePoint{});
  REQUIRE(account.total() == kBodyBytes - 1);
  REQUIRE(account.held(Kind::kBodies) == kBodyBytes - 1);
  client.End();
  REQUIRE(account.total() == 0);
}

// Load: one client that sends the largest body, nobody else. Guards against a
// limit that a single request inside the limits meets.
TEST_CASE("A single largest request is served in calm") {
  Crowd crowd;
  Client& client = crowd.Add(kBodyBytes);
  crowd.Run(milliseconds(200));
  REQUIRE(client.is_served());
  REQUIRE(crowd.account().total() == 0);
}

// Load: a crowd whose bodies stop short of their end and stay open. Guards
// against incomplete bodies that wait for each other for good.
TEST_CASE("Bodies that stop short leave room for one that does not") {
  Crowd crowd;
  for (int i = 0; i < 60; ++i) crowd.Add(kBodyBytes - 1);
  std::size_t peak = crowd.Run(std::chrono::seconds(1));
  Client& sound = crowd.Add(kBodyBytes);
  Client& small = crowd.Add(900);
  peak = std::max(peak, crowd.Run(std::chrono::seconds(5)));
  REQUIRE(peak <= TestLimits().total);
  REQUIRE_FALSE(small.is_over());
  // It may have been refused while others had come before it; then it returns.
  if (!sound.is_served()) {
    REQUIRE(sound.eviction() == Eviction::kWaitedTooLong);
    Client& again = crowd.Add(kBodyBytes);
    crowd.Run(std::chrono::seconds(3));
    REQUIRE(again.is_served());
  }
}

// Load: a burst of sound large bodies that together exceed the limit. Guards
// against refusals where waiting a moment suffices.
TEST_CASE("A burst of sound bodies waits and is served without refusals") {
  Crowd crowd;
  for (int i = 0; i < 40; ++i) crowd.Add(kBodyBytes);
  const std::size_t peak = crowd.Run(std::chrono::seconds(1), milliseconds(1));
  REQUIRE(peak <= TestLimits().total);
  for (auto& client : crowd.clients()) REQUIRE(client->is_served());
}

TEST_CASE("Who holds most and does nothing is evicted first") {
  Crowd crowd;
  Client& large = crowd.Add(0);
  large.holder().Hold(Kind::kBodies, 120'000);
  Client& medium = crowd.Add(0);
  medium.holder().Hold(Kind::kResponses, 40'000);
  // Has the turn, since this exceeds the pool.
  Client& stopped = crowd.Add(0);
  REQUIRE(stopped.holder().Ask(50'000, kUnreadBytes, crowd.now()) ==
          Answer::kGranted);
  stopped.holder().Hold(Kind::kBodies, 50'000);
  Client& sound = crowd.Add(kBodyBytes);
  crowd.Run(milliseconds(900));
  REQUIRE(sound.is_waiting());
  REQUIRE_FALSE(large.is_over());
  crowd.Run(milliseconds(300));
  REQUIRE(sound.is_served());
  REQUIRE(large.eviction() == Eviction::kStalled);
  REQUIRE_FALSE(medium.is_over());
  REQUIRE_FALSE(stopped.is_over());
}

TEST_CASE("A request that waits too long is refused") {
  Crowd crowd;
  // Served requests fill the pool; nothing about them can be stalled.
  for (int i = 0; i < 4; ++i) {
    Client& client = crowd.Add(0);
    client.holder().EndRequest();
    client.holder().SetWaitsForPeer(false, crowd.now());
    client.holder().Hold(Kind::kBodies, 99'000);
  }
  Client& late = crowd.Add(kBodyBytes);
  crowd.Run(milliseconds(1900));
  REQUIRE(late.is_waiting());
  REQUIRE(crowd.account().held(Kind::kUnread) == kUnreadBytes);
  crowd.Run(milliseconds(200));
  REQUIRE(late.eviction() == Eviction::kWaitedTooLong);
  REQUIRE(crowd.account().held(Kind::kUnread) == 0);
  REQUIRE(crowd.account().waiting() == 0);
}

TEST_CASE("Above the limit, those at their clients go before those served") {
  Crowd crowd;
  Client& served = crowd.Add(0);
  served.holder().EndRequest();
  served.holder().SetWaitsForPeer(false, crowd.now());
  served.holder().Hold(Kind::kBodies, 250'000);
  Client& slow = crowd.Add(0);
  slow.holder().Hold(Kind::kResponses, 200'000);
  crowd.account().Run(crowd.now());
  REQUIRE(slow.eviction() == Eviction::kOverLimit);
  REQUIRE_FALSE(served.is_over());
  REQUIRE(crowd.account().evictions(Eviction::kOverLimit) == 1);
}

TEST_CASE("Clients of one address get no more than its share") {
  Crowd crowd;
  AccountLimits limits = TestLimits();
  limits.address_share = 150'000;
  crowd.account().SetLimits(limits);
  Client first(crowd.account(), crowd.now(), kBodyBytes - 1, 1);
  Client second(crowd.account(), crowd.now(), kBodyBytes - 1, 1);
  Client other(crowd.account(), crowd.now(), kBodyBytes - 1, 2);
  for (int i = 0; i < 10; ++i) {
    first.Send(crowd.now());
    second.Send(crowd.now());
    other.Send(crowd.now());
  }
  REQUIRE(second.is_over());
  REQUIRE_FALSE(first.is_over());
  REQUIRE_FALSE(other.is_over());
  REQUIRE(crowd.account().evictions(Eviction::kNoRoom) == 1);
}

// Guards against eviction of a request that a server may have run.
TEST_CASE("A request that was passed on is not evicted") {
  Crowd crowd;
  Client& served = crowd.Add(0);
  served.holder().Hold(Kind::kBodies, 390'000);
  served.holder().SetEvictable(false);
  Client& small = crowd.Add(0);
  small.holder().Hold(Kind::kResponses, 20'000);
  crowd.account().Run(crowd.now());
  REQUIRE(small.eviction() == Eviction::kOverLimit);
  small.holder().Hold(Kind::kConnections, 20'000);
  crowd.account().Run(crowd.now() + std::chrono::seconds(5));
  REQUIRE_FALSE(served.is_over());
}

// Guards against a turn that is taken for the next step only.
TEST_CASE("The turn needs room for the whole request") {
  Crowd crowd;
  Client& served = crowd.Add(0);
  served.holder().Hold(Kind::kBodies, 250'000);
  Client& next = crowd.Add(0);
  REQUIRE(next.holder().Ask(10'000, 150'000, kUnreadBytes, crowd.now()) ==
          Answer::kWait);
  REQUIRE(next.holder().Ask(10'000, 120'000, kUnreadBytes, crowd.now()) ==
          Answer::kGranted);
}

// Guards against a reader that is taken for stalled since before its response.
TEST_CASE("A response that took long restarts the time of its reader") {
  Crowd crowd;
  Client& reader = crowd.Add(0);
  reader.holder().SetWaitsForPeer(false, crowd.now());
  reader.holder().Hold(Kind::kBodies, 199'000);
  crowd.Run(std::chrono::seconds(3));
  reader.holder().SetWaitsForPeer(true, crowd.now());
  Client& other = crowd.Add(0);
  other.holder().SetWaitsForPeer(false, crowd.now());
  other.holder().Hold(Kind::kBodies, 190'000);
  Client& waiting = crowd.Add(kBodyBytes);
  crowd.Run(milliseconds(900));
  REQUIRE(waiting.is_waiting());
  REQUIRE_FALSE(reader.is_over());
  crowd.Run(milliseconds(200));
  REQUIRE(reader.eviction() == Eviction::kStalled);
}

// Guards against a request that keeps the turn by sending a few bytes at a
// time.
TEST_CASE("A turn ends while others wait, although its client sends on") {
  Crowd crowd;
  Client& served = crowd.Add(0);
  served.holder().SetEvictable(false);
  served.holder().Hold(Kind::kBodies, 195'000);
  Client& slow = crowd.Add(0);
  REQUIRE(slow.holder().Ask(90'000, kUnreadBytes, crowd.now()) ==
          Answer::kGranted);
  slow.holder().Hold(Kind::kBodies, 90'000);
  Client& sound = crowd.Add(kBodyBytes);
  for (int i = 0; i < 17; ++i) {
    slow.holder().OnProgress(crowd.now());
    crowd.Run(milliseconds(100));
  }
  REQUIRE(slow.eviction() == Eviction::kSlow);
  REQUIRE(sound.is_served());
}

// Guards against many stalled clients within their shares that fill the pool.
TEST_CASE("Stalled clients within their share make room for others") {
  Crowd crowd;
  for (int i = 0; i < 390; ++i) crowd.Add(0).holder().Hold(Kind::kHeads, 1'000);
  Client& idle = crowd.Add(0);
  idle.holder().Hold(Kind::kConnections, 1'000);
  Client& sound = crowd.Add(kBodyBytes);
  crowd.Run(milliseconds(1'500));
  REQUIRE(sound.is_served());
  REQUIRE_FALSE(idle.is_over());
}

// Guards against those that wait keeping each other waiting.
TEST_CASE("What is unread for those that wait does not fill the pool") {
  Crowd crowd;
  Client& served = crowd.Add(0);
  served.holder().SetEvictable(false);
  served.holder().Hold(Kind::kBodies, 330'000);
  for (int i = 0; i < 60; ++i) crowd.Add(kBodyBytes);
  crowd.Run(milliseconds(100));
  REQUIRE(crowd.account().waiting() == 60);
  served.holder().Hold(Kind::kBodies, 150'000);
  crowd.Run(milliseconds(10));
  // One more step each, which fits the pool, rather than one with the turn.
  REQUIRE(crowd.account().waiting() <= 55);
}

// Guards against requests that wait for good after a reload.
TEST_CASE("Those that wait go on when the limits are removed") {
  Crowd crowd;
  Client& served = crowd.Add(0);
  served.holder().SetEvictable(false);
  served.holder().Hold(Kind::kBodies, 390'000);
  Client& sound = crowd.Add(kBodyBytes);
  crowd.Run(milliseconds(100));
  REQUIRE(sound.is_waiting());
  crowd.account().SetLimits({});
  crowd.Run(milliseconds(200));
  REQUIRE(sound.is_served());
}

// Guards against a refused request that stays among those that wait.
TEST_CASE("A request that is refused after a wait waits no more") {
  Crowd crowd;
  AccountLimits limits = TestLimits();
  limits.address_share = 50'000;
  crowd.account().SetLimits(limits);
  Client& served = crowd.Add(0);
  served.holder().SetEvictable(false);
  served.holder().Hold(Kind::kBodies, 390'000);
  Client refused(crowd.account(), crowd.now(), kBodyBytes, 7);
  refused.Send(crowd.now());
  REQUIRE(refused.is_waiting());
  Client neighbour(crowd.account(), crowd.now(), 0, 7);
  neighbour.holder().Hold(Kind::kHeads, 45'000);
  served.holder().Hold(Kind::kBodies, 10'000);
  crowd.account().Run(crowd.now());
  REQUIRE(refused.is_over());
  REQUIRE(crowd.account().waiting() == 0);
}

// Guards against more idle connections than the memory holds, and against none.
TEST_CASE("Connections are bound by memory and have a minimum") {
  const AccountLimits limits = LimitsFor(120ULL * 1024 * 1024, 1.0);
  REQUIRE(ConnectionsFor(limits, 49'002) == 3000);
  REQUIRE(ConnectionsFor(limits, 500) == 500);
  REQUIRE(ConnectionsFor(limits, 0) == 64);
  REQUIRE(ConnectionsFor(LimitsFor(8ULL << 30, 1.0), 49'002) == 49'002);
}

TEST_CASE("The limits follow from the memory of the machine") {
  const AccountLimits limits = LimitsFor(120ULL * 1024 * 1024, 1.0);
  REQUIRE(limits.total == 40ULL * 1024 * 1024);
  REQUIRE(limits.pool == 20ULL * 1024 * 1024);
  REQUIRE(limits.address_share >= limits.total);
}

}  // namespace
}  // namespace lovagecleat::memory
