#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <string>

#include "tests/gateway/store_era_fixture.h"

// Servers whose entries are removed around an outage of the store or of one
// host's path to it.
namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A removal that the store has acknowledged takes effect within this time.
constexpr Duration kDrainTime = seconds(2);
// That does not bind a host until this time after it was cut off.
constexpr Duration kContactTime = seconds(3);
constexpr Duration kHeartbeatPeriod = milliseconds(1200);
// From the return of the store until a host notices it: the longest time
// between two reads that fail, which includes the time-out of the first.
constexpr Duration kNoticeTime = milliseconds(2000);
// A running server whose entry has expired writes it again within a heartbeat.
constexpr const char* kRunningServer = "running";

// Removes the entries of servers one after the other and checks when a host
// stops using them.
class RemovalFixture : public StoreEraFixture {
 public:
  RemovalFixture() {
    for (Host* each : {&host, &other}) each->view.WaitForChanges(loop_);
    host.follower.SetFeedCallback([this](std::span<const TableChanges> fed) {
      other.follower.ApplyFeed(fed);
    });
    store.Set("op", "config", MakeConfiguration(1));
    WriteHeartbeat();
    Run(seconds(0));
  }

  // Both hosts read the store; the first one feeds the other.
  void StartHosts() {
    host.Start();
    other.follower.SetRank(1);
    other.Start();
    Run(seconds(2));
  }

  // Runs for `time` while a server leaves every 100 ms. `checked` must not use
  // one for kDrainTime after it has left, unless `bound_from` is later.
  void RunWithLeavingServers(Duration time, const Host& checked,
                             TimePoint bound_from) {
    const TimePoint end = clock_.Now() + time;
    while (clock_.Now() < end) {
      StartAndRemoveServer();
      Run(milliseconds(100));
      CheckRemoved(checked, bound_from);
    }
  }

  void Run(Duration time) {
    for (; time > Duration::zero(); time -= kStep) {
      RunFor(kStep);
      if (is_beating && clock_.Now() - beat_at_ >= kHeartbeatPeriod)
        WriteHeartbeat();
    }
  }

  TimePoint now() const { return clock_.Now(); }

  bool is_beating = true;

 private:
  static constexpr Duration kStep = milliseconds(10);
  // Between the first entry of a server and its removal.
  static constexpr int kServersBefore = 30;

  struct Removal {
    std::string server;
    TimePoint at;
  };

  void WriteHeartbeat() {
    beat_at_ = clock_.Now();
    store.Set("servers", kRunningServer, MakeServer(++sequence_, false));
  }

  void StartAndRemoveServer() {
    const auto name = [](int number) { return "s" + std::to_string(number); };
    store.Set("servers", name(started_++), MakeServer(1, false));
    const int leaving = started_ - kServersBefore;
    if (leaving < 0) return;
    store.Remove("servers", name(leaving));
    removals_.push_back({name(leaving), clock_.Now()});
  }

  void CheckRemoved(const Host& checked, TimePoint bound_from) {
    while (!removals_.empty()) {
      const Removal& removal = removals_.front();
      const TimePoint due = std::max(removal.at + kDrainTime, bound_from);
      if (clock_.Now() < due) return;
      INFO(removal.server << " left "
                          << (clock_.Now() - removal.at) / milliseconds(1)
                          << " ms ago");
      REQUIRE(checked.FindServer(removal.server) == nullptr);
      removals_.pop_front();
    }
  }

  int sequence_ = 0;
  TimePoint beat_at_{};
  int started_ = 0;
  std::deque<Removal> removals_;
};

// Guards against requests to servers that left long ago (review/8): a long poll
// without a change told the end of an outage seconds late, and removals were
// held back from then on.
TEST_CASE_METHOD(RemovalFixture,
                 "Servers that leave around a cut of the path are removed") {
  StartHosts();
  RunWithLeavingServers(seconds(4), host, now());
  bool StoreView::*const cut =
      GENERATE(&StoreView::is_cut, &StoreView::is_silent);
  const int quarters = GENERATE(range(8, 24));
  INFO((cut == &StoreView::is_cut ? "refused" : "silent")
       << " for " << quarters << " quarters of a second");
  host.view.*cut = true;
  const TimePoint bound_from =
      now() + quarters * milliseconds(250) + kContactTime;
  RunWithLeavingServers(quarters * milliseconds(250), host, bound_from);
  host.view.*cut = false;
  RunWithLeavingServers(seconds(8), host, bound_from);
}

// Guards against a host in touch with the store that used servers for too long:
// the host that reads for it had been cut off alone, and its feed told of an
// outage.
TEST_CASE_METHOD(RemovalFixture,
                 "A feed of a host that was cut off delays no removal") {
  StartHosts();
  RunWithLeavingServers(seconds(4), other, now());
  bool StoreView::*const cut =
      GENERATE(&StoreView::is_cut, &StoreView::is_silent);
  const int quarters = GENERATE(range(8, 24));
  INFO((cut == &StoreView::is_cut ? "refused" : "silent")
       << " for " << quarters << " quarters of a second");
  host.view.*cut = true;
  RunWithLeavingServers(quarters * milliseconds(250), other, now());
  host.view.*cut = false;
  RunWithLeavingServers(seconds(8), other, now());
}

// Guards against an outage that was none: the long poll of the hosts table was
// lost, and the next one, also without a change, ended 20 s later.
TEST_CASE_METHOD(RemovalFixture, "A lost long poll delays no removal") {
  StartHosts();
  RunWithLeavingServers(seconds(3), host, now());
  host.view.silent_table = "hosts";
  RunWithLeavingServers(seconds(1), host, now());
  host.view.silent_table.clear();
  RunWithLeavingServers(seconds(50), host, now());
}

// Guards against a store that counted as unavailable for up to 20 s after it
// was back: the read that could have told so waited for a change.
TEST_CASE_METHOD(RemovalFixture,
                 "The end of an outage is noticed while nothing changes") {
  StartHosts();
  is_beating = false;
  SECTION("after a cut") {
    bool StoreView::*const cut =
        GENERATE(&StoreView::is_cut, &StoreView::is_silent);
    host.view.*cut = true;
    Run(seconds(4));
    REQUIRE(host.follower.is_store_unavailable());
    host.view.*cut = false;
  }
  SECTION("after a lost long poll") {
    host.view.silent_table = "hosts";
    Run(seconds(1));
    host.view.silent_table.clear();
    const TimePoint end = now() + seconds(30);
    while (!host.follower.is_store_unavailable() && now() < end)
      Run(milliseconds(10));
  }
  Run(kNoticeTime);
  REQUIRE_FALSE(host.follower.is_store_unavailable());
}

TEST_CASE_METHOD(RemovalFixture,
                 "A server whose entry expired in an outage stays in use") {
  StartHosts();
  const int tenths = GENERATE(range(30, 43));
  store.status = RowsResponse::Status::kUnavailable;
  is_beating = false;
  Run(tenths * milliseconds(100));
  store.status = RowsResponse::Status::kRead;
  store.Remove("servers", kRunningServer);
  for (Duration time{}; time < kHeartbeatPeriod; time += milliseconds(50)) {
    Run(milliseconds(50));
    REQUIRE(host.FindServer(kRunningServer) != nullptr);
    REQUIRE(other.FindServer(kRunningServer) != nullptr);
  }
  is_beating = true;
  Run(seconds(5));
  REQUIRE(host.FindServer(kRunningServer) != nullptr);
  REQUIRE(other.FindServer(kRunningServer) != nullptr);
}

}  // namespace
}  // namespace lovagecleat::gateway
