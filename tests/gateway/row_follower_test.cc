#include "services/gateway/row_follower.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/gateway/gateway_fixture.h"

namespace lovagecleat::gateway {
namespace {

using routing::RowVersion;
using std::chrono::milliseconds;

// Returns the version that is `steps` later, in the same era.
RowVersion Later(RowVersion version, std::uint64_t steps) {
  return {version.era(), version.number() + steps};
}

// Runs a RowFollower without a gateway and records the rows it applies.
class FollowerFixture : public transport::LoopFixture {
 public:
  struct Applied {
    routing::Row row;
    RowOrigin origin;
  };

  FollowerFixture()
      : log_(clock_, "host", -1),
        poller_(loop()),
        pool_(poller_),
        context_{loop(),
                 codec_,
                 {},
                 log_,
                 metrics_,
                 poller_,
                 pool_,
                 Random(1),
                 {},
                 routing::SendLimiter(HostId("host")),
                 routing::ServerLimits(HostId("host")),
                 {},
                 policy::RetryBudget(),
                 nullptr,
                 1},
        follower(context_, rows,
                 [this](const routing::Row& row, RowOrigin origin) {
                   applied.push_back({row, origin});
                 }) {}

  void RunFor(Duration time) {
    const TimePoint until = clock_.Now() + time;
    RunUntil([&] { return clock_.Now() >= until; });
  }

  // Passes a feed without changes, which names all tables, to the follower.
  void FeedNoChanges() {
    std::vector<TableChanges> changes;
    for (const std::string& table : rows.tables())
      changes.push_back({table, {}, {}, {}, false, {}});
    follower.ApplyFeed(changes);
  }

  // Records the feeds that the follower sends to others.
  void RecordFeeds() {
    follower.SetFeedCallback([this](std::span<const TableChanges> changes) {
      fed.insert(fed.end(), changes.begin(), changes.end());
    });
  }

  FakeRowSource rows;
  std::vector<Applied> applied;
  std::vector<TableChanges> fed;

 private:
  SystemClock clock_;
  platform_adapter::PlatformMessageCodec codec_;
  logging::EventLog log_;
  metrics::Registry metrics_;
  http::Poller poller_;
  http::ConnectionPool pool_;
  Context context_;

 public:
  RowFollower follower;
};

TEST_CASE_METHOD(FollowerFixture, "Changes are applied after the first read") {
  rows.Set("servers", "a", "1");
  follower.Start();
  REQUIRE(applied.size() == 1);
  rows.Set("servers", "a", "2");
  rows.Remove("servers", "a");
  RunUntil([&] { return applied.size() == 2; });
  REQUIRE(applied[1].row.is_removed);
  REQUIRE(applied[1].origin == RowOrigin::kStore);
  REQUIRE(rows.full_reads == 3);
  REQUIRE_FALSE(follower.is_store_unavailable());
}

TEST_CASE_METHOD(FollowerFixture, "A table without history is read again") {
  rows.Set("servers", "a", "1");
  follower.Start();
  rows.status = RowsResponse::Status::kHistoryGone;
  rows.Remove("servers", "a");
  RunFor(milliseconds(500));
  rows.status = RowsResponse::Status::kRead;
  RunUntil([&] { return applied.size() == 2; });
  REQUIRE(applied[1].row.is_removed);
}

TEST_CASE_METHOD(FollowerFixture,
                 "A removal just after an outage has its own origin") {
  rows.Set("servers", "a", "1");
  follower.Start();
  rows.status = RowsResponse::Status::kUnavailable;
  rows.Remove("servers", "a");
  RunUntil([&] { return follower.is_store_unavailable(); });
  RunFor(milliseconds(1300));
  rows.status = RowsResponse::Status::kRead;
  RunUntil([&] { return applied.size() == 2; });
  REQUIRE(applied[1].origin == RowOrigin::kStoreAfterOutage);
  REQUIRE(follower.removals_held_until());
  // Each table becomes available with its own next read.
  RunUntil([&] { return !follower.is_store_unavailable(); });
}

TEST_CASE_METHOD(FollowerFixture, "Older rows from other hosts are ignored") {
  follower.Start();
  const std::vector<routing::Row> newer = {
      {"servers", "a", "2", {0, 20}, false}};
  follower.MergeFromPeer(newer);
  REQUIRE(applied.size() == 1);
  REQUIRE(applied[0].origin == RowOrigin::kPeer);
  const std::vector<routing::Row> older = {
      {"servers", "a", "1", {0, 10}, false}};
  follower.MergeFromPeer(older);
  REQUIRE(applied.size() == 1);
}

// Guards against a removed row that returns for good: a peer that had not seen
// the removal sent the row after this host had read the table without it.
TEST_CASE_METHOD(
    FollowerFixture,
    "A removed row that was never known is not taken from a peer") {
  rows.Set("op", "evacuate/z", "");
  const std::vector<routing::Row> peer_rows = {
      {"op", "evacuate/z", "", {0, 1}, false}};
  rows.Remove("op", "evacuate/z");
  follower.Start();
  follower.MergeFromPeer(peer_rows);
  REQUIRE(applied.empty());
}

std::string MakeServerEntry(int sequence, bool is_draining) {
  return R"({"service":"s","address":"127.0.0.1:1","zone":"z","slots":1,)"
         R"("state":")" +
         std::string(is_draining ? "draining" : "ready") + R"(","seq":)" +
         std::to_string(sequence) + "}";
}

// Guards against the cost of a large zone: each host that follows the store by
// itself makes calls all the time, since entries change with each heartbeat.
TEST_CASE_METHOD(FollowerFixture,
                 "A host that is fed does not read the store") {
  rows.Set("servers", "a", MakeServerEntry(1, false));
  follower.Start();
  follower.SetRank(3);
  RunFor(milliseconds(100));
  const int before = rows.follows;
  for (int i = 0; i < 10; ++i) {
    FeedNoChanges();
    RunFor(milliseconds(150));
  }
  // Only the calls that were due when the first feed arrived.
  REQUIRE(rows.follows <= before + 3);
  REQUIRE_FALSE(follower.is_store_unavailable());
}

TEST_CASE_METHOD(FollowerFixture,
                 "A host that is no longer fed reads the store") {
  rows.Set("servers", "a", MakeServerEntry(1, false));
  follower.Start();
  follower.SetRank(1);
  FeedNoChanges();
  RunFor(milliseconds(600));
  rows.Set("servers", "a", MakeServerEntry(2, true));
  const TimePoint silent_since = loop().clock().Now();
  RunUntil([&] { return applied.size() == 2; });
  // Well within the time in which changes must take effect.
  REQUIRE(loop().clock().Now() - silent_since < milliseconds(1300));
  REQUIRE(applied[1].origin == RowOrigin::kStore);
}

TEST_CASE_METHOD(FollowerFixture,
                 "Changes of a feed have the store as origin") {
  rows.Set("servers", "a", MakeServerEntry(1, false));
  follower.Start();
  follower.SetRank(1);
  const RowVersion version = follower.known_version();
  const TableChanges change{
      "servers",
      version,
      Later(version, 5),
      {{"servers", "a", MakeServerEntry(2, true), Later(version, 5), false}},
      false,
      {}};
  follower.ApplyFeed(std::span<const TableChanges>(&change, 1));
  REQUIRE(applied.size() == 2);
  REQUIRE(applied[1].origin == RowOrigin::kStore);
  // The same change is not applied again.
  follower.ApplyFeed(std::span<const TableChanges>(&change, 1));
  REQUIRE(applied.size() == 2);
}

TEST_CASE_METHOD(FollowerFixture,
                 "A gap in the feed causes a read of the store") {
  rows.Set("servers", "a", MakeServerEntry(1, false));
  follower.Start();
  follower.SetRank(2);
  FeedNoChanges();
  RunFor(milliseconds(500));
  rows.Set("servers", "a", MakeServerEntry(2, true));
  // A feed with the changes after the missed one.
  const RowVersion version = Later(follower.known_version(), 1);
  const TableChanges change{"servers", version, Later(version, 1),
                            {},        false,   {}};
  const int before = rows.follows;
  follower.ApplyFeed(std::span<const TableChanges>(&change, 1));
  REQUIRE(rows.follows == before + 1);
  REQUIRE(applied.size() == 2);
}

// Guards against a lost change: a row changed twice between two reads of one
// reader, which so found no change, while another reader fed the first one.
TEST_CASE_METHOD(FollowerFixture,
                 "A feed that omits a known change causes a read") {
  rows.Set("op", "evacuate/z", "");
  follower.Start();
  follower.SetRank(1);
  FeedNoChanges();
  RunFor(milliseconds(500));
  const RowVersion version = follower.known_version();
  rows.Remove("op", "evacuate/z");
  const TableChanges removal{
      "op",
      version,
      Later(version, 1),
      {{"op", "evacuate/z", "", Later(version, 1), true}},
      false,
      {}};
  follower.ApplyFeed(std::span<const TableChanges>(&removal, 1));
  REQUIRE(applied.back().row.is_removed);
  rows.Set("op", "evacuate/z", "");
  const TableChanges none{"op", version, Later(version, 2), {}, false, {}};
  follower.ApplyFeed(std::span<const TableChanges>(&none, 1));
  REQUIRE_FALSE(applied.back().row.is_removed);
}

// Guards against a lost change: the store was busy when a host that was fed
// tried to read an announced change, and the host did not try again.
TEST_CASE_METHOD(FollowerFixture,
                 "A failed read of an announced change is retried") {
  follower.Start();
  follower.SetRank(1);
  FeedNoChanges();
  RunFor(milliseconds(500));
  rows.Set("op", "config", "new");
  rows.status = RowsResponse::Status::kUnavailable;
  const RowVersion version = follower.known_version();
  const TableChanges change{"op", version, Later(version, 1), {}, true, {}};
  follower.ApplyFeed(std::span<const TableChanges>(&change, 1));
  rows.status = RowsResponse::Status::kRead;
  for (int i = 0; i < 10 && applied.empty(); ++i) {
    FeedNoChanges();
    RunFor(milliseconds(100));
  }
  REQUIRE(applied.size() == 1);
}

TEST_CASE_METHOD(FollowerFixture,
                 "A removal that is fed after an outage is not final") {
  rows.Set("servers", "a", MakeServerEntry(1, false));
  follower.Start();
  follower.SetRank(1);
  const RowVersion version = follower.known_version();
  const TableChanges change{"servers",
                            version,
                            Later(version, 5),
                            {{"servers", "a", "", Later(version, 5), true}},
                            false,
                            milliseconds(900)};
  follower.ApplyFeed(std::span<const TableChanges>(&change, 1));
  REQUIRE(applied.size() == 2);
  REQUIRE(applied[1].origin == RowOrigin::kStoreAfterOutage);
  REQUIRE(follower.removals_held_until());
}

TEST_CASE_METHOD(FollowerFixture,
                 "A feed contains only rows with relevant changes") {
  RecordFeeds();
  rows.Set("servers", "a", MakeServerEntry(1, false));
  rows.Set("servers", "b", MakeServerEntry(1, false));
  follower.Start();
  RunFor(milliseconds(50));
  REQUIRE(fed.empty());  // other hosts do the first read themselves
  rows.Set("servers", "a", MakeServerEntry(2, false));
  rows.Set("servers", "b", MakeServerEntry(2, true));
  RunUntil([&] { return applied.size() == 4; });
  std::vector<routing::Row> fed_rows;
  for (const TableChanges& change : fed)
    fed_rows.insert(fed_rows.end(), change.rows.begin(), change.rows.end());
  REQUIRE(fed_rows.size() == 1);
  REQUIRE(fed_rows[0].key == "b");
}

// Guards against a missing change in the feed: the reading host knew the newest
// configuration from a host of another zone and left it out of its own zone's
// feed.
TEST_CASE_METHOD(FollowerFixture, "Rows known from a peer are fed when read") {
  RecordFeeds();
  follower.Start();
  rows.Set("op", "config", "new");
  const std::vector<routing::Row> peer_rows = {
      {"op", "config", "new", {0, 1}, false}};
  follower.MergeFromPeer(peer_rows);
  RunFor(milliseconds(700));
  const auto with_rows = std::find_if(
      fed.begin(), fed.end(),
      [](const TableChanges& change) { return !change.rows.empty(); });
  REQUIRE(with_rows != fed.end());
  REQUIRE(with_rows->rows[0].key == "config");
}

TEST_CASE_METHOD(FollowerFixture,
                 "Large changes are announced without their rows") {
  RecordFeeds();
  follower.Start();
  rows.Set("op", "config", std::string(100'000, 'x'));
  RunFor(milliseconds(700));
  const auto large =
      std::find_if(fed.begin(), fed.end(),
                   [](const TableChanges& change) { return change.must_read; });
  REQUIRE(large != fed.end());
  REQUIRE(large->rows.empty());
}

// Guards against false feeds: a reading host that was cut off from the store
// reported for seconds that nothing had changed.
TEST_CASE_METHOD(FollowerFixture,
                 "A feed names only tables that are being read") {
  RecordFeeds();
  rows.Set("servers", "a", MakeServerEntry(1, false));
  follower.Start();
  RunFor(milliseconds(500));
  const auto names = [&](const std::string& table) {
    return std::any_of(fed.begin(), fed.end(), [&](const TableChanges& change) {
      return change.table == table;
    });
  };
  REQUIRE(names("op"));
  rows.failing_table = "op";
  RunFor(milliseconds(500));
  fed.clear();
  RunFor(milliseconds(1000));
  REQUIRE(names("servers"));
  REQUIRE_FALSE(names("op"));
}

TEST_CASE_METHOD(FollowerFixture, "A table missing from the feeds is read") {
  follower.Start();
  follower.SetRank(1);
  FeedNoChanges();
  RunFor(milliseconds(500));
  const int before = rows.follows;
  const std::vector<TableChanges> servers = {
      {"servers", {}, {}, {}, false, {}}};
  for (int i = 0; i < 8; ++i) {
    follower.ApplyFeed(servers);
    RunFor(milliseconds(100));
  }
  rows.Set("op", "config", "new");
  RunUntil([&] { return applied.size() == 1; });
  REQUIRE(rows.follows > before);
}

TEST_CASE_METHOD(FollowerFixture, "A host that cannot read feeds nobody") {
  RecordFeeds();
  rows.Set("servers", "a", MakeServerEntry(1, false));
  follower.Start();
  rows.status = RowsResponse::Status::kUnavailable;
  RunUntil([&] { return follower.is_store_unavailable(); });
  fed.clear();
  RunFor(milliseconds(1000));
  REQUIRE(fed.empty());
}

// Guards against a store that refuses single hosts and serves the others.
TEST_CASE_METHOD(FollowerFixture,
                 "A host that is fed tolerates an unavailable store") {
  rows.Set("servers", "a", MakeServerEntry(1, false));
  follower.Start();
  follower.SetRank(1);
  rows.status = RowsResponse::Status::kUnavailable;
  for (int i = 0; i < 12; ++i) {
    FeedNoChanges();
    RunFor(milliseconds(100));
  }
  REQUIRE_FALSE(follower.is_store_unavailable());
}

}  // namespace
}  // namespace lovagecleat::gateway
