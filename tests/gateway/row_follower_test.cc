#include "services/gateway/row_follower.h"

#include <catch2/catch.hpp>

#include "tests/gateway/gateway_world.h"

namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;

// A follower on its own, with what it applied.
class FollowerWorld : public transport::LoopFixture {
 public:
  struct Applied {
    routing::Row row;
    RowOrigin origin;
  };

  FollowerWorld()
      : log_(clock_, "host", -1),
        poller_(loop()),
        pool_(poller_),
        context_{loop(),   wire_,
                 {},       log_,
                 metrics_, poller_,
                 pool_,    Random(1),
                 {},       routing::SendLimiter(HostId("host")),
                 {},       policy::RetryBudget(),
                 nullptr,  1},
        follower(context_, rows,
                 [this](const routing::Row& row, RowOrigin origin) {
                   applied.push_back({row, origin});
                 }) {}

  void RunFor(Duration time) {
    const TimePoint until = clock_.Now() + time;
    RunUntil([&] { return clock_.Now() >= until; });
  }

  FakeRows rows;
  std::vector<Applied> applied;

 private:
  SystemClock clock_;
  platform_adapter::PlatformWire wire_;
  logging::EventLog log_;
  metrics::Registry metrics_;
  http::Poller poller_;
  http::ConnectionPool pool_;
  Context context_;

 public:
  RowFollower follower;
};

TEST_CASE_METHOD(FollowerWorld, "Changes follow the first reading") {
  rows.Set("servers", "a", "1");
  follower.Start();
  REQUIRE(applied.size() == 1);
  rows.Set("servers", "a", "2");
  rows.Remove("servers", "a");
  RunUntil([&] { return applied.size() == 2; });
  REQUIRE(applied[1].row.is_removed);
  REQUIRE(applied[1].origin == RowOrigin::kStore);
  REQUIRE(rows.full_reads == 3);
  REQUIRE_FALSE(follower.is_away());
}

TEST_CASE_METHOD(FollowerWorld, "A table without history is read again") {
  rows.Set("servers", "a", "1");
  follower.Start();
  rows.status = RowsAnswer::Status::kHistoryGone;
  rows.Remove("servers", "a");
  RunFor(milliseconds(500));
  rows.status = RowsAnswer::Status::kRead;
  RunUntil([&] { return applied.size() == 2; });
  REQUIRE(applied[1].row.is_removed);
}

TEST_CASE_METHOD(FollowerWorld,
                 "A removal just after an outage is told apart") {
  rows.Set("servers", "a", "1");
  follower.Start();
  rows.status = RowsAnswer::Status::kUnavailable;
  rows.Remove("servers", "a");
  RunUntil([&] { return follower.is_away(); });
  RunFor(milliseconds(1300));
  rows.status = RowsAnswer::Status::kRead;
  RunUntil([&] { return applied.size() == 2; });
  REQUIRE(applied[1].origin == RowOrigin::kStoreAfterOutage);
  REQUIRE(follower.recovering_until());
  REQUIRE_FALSE(follower.is_away());
}

TEST_CASE_METHOD(FollowerWorld,
                 "Rows from other hosts count until newer ones") {
  follower.Start();
  const std::vector<routing::Row> newer = {{"servers", "a", "2", 20, false}};
  follower.MergeFromPeer(newer);
  REQUIRE(applied.size() == 1);
  REQUIRE(applied[0].origin == RowOrigin::kPeer);
  const std::vector<routing::Row> older = {{"servers", "a", "1", 10, false}};
  follower.MergeFromPeer(older);
  REQUIRE(applied.size() == 1);
}

}  // namespace
}  // namespace lovagecleat::gateway
