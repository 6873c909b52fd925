#include <catch2/catch.hpp>

#include "tests/gateway/store_era_fixture.h"

namespace lovagecleat::gateway {
namespace {

using routing::RowVersion;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than the time between two reads of a table.
constexpr Duration kReadTime = milliseconds(1500);
// Longer than a missing entry of a server or an evacuation stays in force.
constexpr Duration kServerSettleTime = milliseconds(2500);
constexpr Duration kEvacuationSettleTime = seconds(12);
constexpr Duration kHostSettleTime = seconds(62);

TEST_CASE_METHOD(StoreEraFixture,
                 "A restored configuration does not replace a newer one") {
  store.Set("op", "config", MakeConfiguration(3));
  const FakeRowSource::Copy copy = store.Save();
  host.follower.Start();
  store.Set("op", "config", MakeConfiguration(5, "lost"));
  RunFor(kReadTime);
  REQUIRE(host.configuration_version == 5);
  store.Restore(copy);
  RunFor(kReadTime);
  REQUIRE(host.configuration_version == 5);
  REQUIRE_FALSE(host.has_regressed);
  // Hosts that ask this one get what is in force.
  REQUIRE(host.follower.replica().Find("op", "config")->value ==
          MakeConfiguration(5, "lost"));

  SECTION("and is taken when it is written again") {
    store.Set("op", "config", MakeConfiguration(5, "again"));
    RunFor(kReadTime);
    REQUIRE(host.configuration == MakeConfiguration(5, "again"));
  }
  SECTION("and a higher one is taken") {
    store.Set("op", "config", MakeConfiguration(6));
    RunFor(kReadTime);
    REQUIRE(host.configuration_version == 6);
  }
  SECTION("nor does one that is written in between") {
    store.Set("op", "config", MakeConfiguration(4));
    RunFor(kReadTime);
    REQUIRE(host.configuration_version == 5);
    REQUIRE(host.follower.replica().Find("op", "config")->value ==
            MakeConfiguration(5, "lost"));
  }
  SECTION("nor an unreadable one") {
    store.Set("op", "config", "{");
    RunFor(kReadTime);
    REQUIRE(host.follower.replica().Find("op", "config")->value ==
            MakeConfiguration(5, "lost"));
  }
}

// Guards against a configuration that is never taken: the number of its row is
// given out a second time.
TEST_CASE_METHOD(StoreEraFixture,
                 "Another configuration under the same row version is taken") {
  store.Set("op", "config", MakeConfiguration(3));
  host.follower.Start();
  const FakeRowSource::Copy copy = store.Save();
  store.Set("op", "config", MakeConfiguration(5, "lost"));
  RunFor(kReadTime);
  store.Restore(copy);
  store.Set("op", "config", MakeConfiguration(5, "again"));
  RunFor(kReadTime);
  REQUIRE(host.configuration == MakeConfiguration(5, "again"));
}

TEST_CASE_METHOD(StoreEraFixture,
                 "A configuration missing in the copy stays in force") {
  const FakeRowSource::Copy copy = store.Save();
  store.Set("op", "config", MakeConfiguration(3));
  host.follower.Start();
  store.Restore(copy);
  RunFor(kHostSettleTime);
  REQUIRE(host.configuration_version == 3);
  REQUIRE_FALSE(host.follower.replica().Find("op", "config")->is_removed);
}

TEST_CASE_METHOD(StoreEraFixture, "A restore does not lift an evacuation") {
  host.follower.Start();
  const FakeRowSource::Copy copy = store.Save();
  store.Set("op", "evacuate/z", "");
  RunFor(kReadTime);
  REQUIRE(host.IsEvacuated("z"));
  store.Restore(copy);
  RunFor(seconds(8));
  REQUIRE(host.IsEvacuated("z"));

  SECTION("that is written again") {
    store.Set("op", "evacuate/z", "");
    RunFor(kEvacuationSettleTime);
    REQUIRE(host.IsEvacuated("z"));
    store.Remove("op", "evacuate/z");
    RunFor(kReadTime);
    REQUIRE_FALSE(host.IsEvacuated("z"));
  }
  SECTION("unless it is still missing later") {
    RunFor(seconds(4));
    REQUIRE_FALSE(host.IsEvacuated("z"));
    REQUIRE(host.follower.replica().Find("op", "evacuate/z")->is_removed);
  }
  SECTION("that is written again and removed") {
    store.Set("op", "evacuate/z", "");
    store.Remove("op", "evacuate/z");
    RunFor(kReadTime);
    REQUIRE_FALSE(host.IsEvacuated("z"));
  }
  SECTION("nor does a second restore") {
    store.Restore(copy);
    RunFor(seconds(8));
    REQUIRE(host.IsEvacuated("z"));
  }
  SECTION("while the store is unavailable again") {
    store.status = RowsResponse::Status::kUnavailable;
    RunFor(seconds(20));
    REQUIRE(host.IsEvacuated("z"));
    store.status = RowsResponse::Status::kRead;
    store.Set("op", "evacuate/z", "");
    RunFor(kEvacuationSettleTime);
    REQUIRE(host.IsEvacuated("z"));
  }
}

TEST_CASE_METHOD(StoreEraFixture,
                 "An evacuation that the copy still has is in force") {
  store.Set("op", "evacuate/z", "");
  host.follower.Start();
  const FakeRowSource::Copy copy = store.Save();
  store.Remove("op", "evacuate/z");
  RunFor(kReadTime);
  REQUIRE_FALSE(host.IsEvacuated("z"));
  store.Restore(copy);
  RunFor(kReadTime);
  REQUIRE(host.IsEvacuated("z"));
  store.Remove("op", "evacuate/z");
  RunFor(kReadTime);
  REQUIRE_FALSE(host.IsEvacuated("z"));
}

TEST_CASE_METHOD(StoreEraFixture, "A server missing in the copy may return") {
  host.follower.Start();
  const FakeRowSource::Copy copy = store.Save();
  store.Set("servers", "a", MakeServer(1, false));
  RunFor(kReadTime);
  store.Restore(copy);
  RunFor(milliseconds(1500));
  REQUIRE(host.FindServer("a") != nullptr);

  SECTION("within two seconds") {
    store.Set("servers", "a", MakeServer(2, false));
    RunFor(kServerSettleTime);
    REQUIRE(host.FindServer("a") != nullptr);
  }
  SECTION("and is gone afterwards") {
    RunFor(kServerSettleTime);
    REQUIRE(host.FindServer("a") == nullptr);
    store.Set("servers", "a", MakeServer(2, false));
    RunFor(kReadTime);
    REQUIRE(host.FindServer("a") != nullptr);
  }
}

TEST_CASE_METHOD(StoreEraFixture, "A restore does not end a drain") {
  store.Set("servers", "a", MakeServer(10, false));
  host.follower.Start();
  const FakeRowSource::Copy copy = store.Save();
  store.Set("servers", "a", MakeServer(12, true));
  RunFor(kReadTime);
  REQUIRE(host.IsDraining("a"));
  store.Restore(copy);
  RunFor(kServerSettleTime);
  REQUIRE(host.IsDraining("a"));

  SECTION("nor does a late write of the server") {
    store.Set("servers", "a", MakeServer(11, false));
    RunFor(kReadTime);
    REQUIRE(host.IsDraining("a"));
    store.Set("servers", "a", MakeServer(12, false));
    RunFor(kReadTime);
    REQUIRE(host.IsDraining("a"));
  }
  SECTION("but the server itself does") {
    store.Set("servers", "a", MakeServer(13, false));
    RunFor(kReadTime);
    REQUIRE_FALSE(host.IsDraining("a"));
  }
  SECTION("but a new incarnation does") {
    store.Set("servers", "a", MakeServer(1, false, 2));
    RunFor(kReadTime);
    REQUIRE_FALSE(host.IsDraining("a"));
  }
  SECTION("but its removal does") {
    store.Remove("servers", "a");
    RunFor(kReadTime);
    REQUIRE(host.FindServer("a") == nullptr);
  }
  SECTION("nor do two restores") {
    store.Restore(copy);
    store.Restore(copy);
    RunFor(kReadTime);
    REQUIRE(host.IsDraining("a"));
  }
}

TEST_CASE_METHOD(StoreEraFixture,
                 "An earlier incarnation in the copy is not taken") {
  store.Set("servers", "a", MakeServer(90, false, 1));
  host.follower.Start();
  const FakeRowSource::Copy copy = store.Save();
  store.Set("servers", "a", MakeServer(1, false, 2));
  RunFor(kReadTime);
  store.Restore(copy);
  RunFor(kReadTime);
  REQUIRE(host.FindServer("a")->started_unix_ms == 2);
  // The clocks of two machines differ; the owner's own write counts.
  store.Set("servers", "a", MakeServer(91, false, 1));
  RunFor(kReadTime);
  REQUIRE(host.FindServer("a")->started_unix_ms == 1);
}

TEST_CASE_METHOD(StoreEraFixture,
                 "A restore does not bring a removed server back") {
  store.Set("servers", "a", MakeServer(10, false));
  host.follower.Start();
  const FakeRowSource::Copy copy = store.Save();
  store.Remove("servers", "a");
  RunFor(kReadTime);
  REQUIRE(host.FindServer("a") == nullptr);
  store.Restore(copy);
  RunFor(kReadTime);
  REQUIRE(host.FindServer("a") == nullptr);
  // It was alive.
  store.Set("servers", "a", MakeServer(11, false));
  RunFor(kReadTime);
  REQUIRE(host.FindServer("a") != nullptr);
}

TEST_CASE_METHOD(StoreEraFixture, "Hosts missing in the copy stay for a time") {
  host.follower.Start();
  const FakeRowSource::Copy copy = store.Save();
  store.Set("hosts", "b", "{}");
  RunFor(kReadTime);
  store.Restore(copy);
  RunFor(seconds(30));
  REQUIRE(host.hosts.contains("b"));
  RunFor(kHostSettleTime);
  REQUIRE_FALSE(host.hosts.contains("b"));
}

TEST_CASE_METHOD(StoreEraFixture,
                 "All tables are read again when one shows a new era") {
  store.Set("hosts", "a", "{}");
  store.Set("hosts", "b", "{}");
  host.follower.Start();
  const FakeRowSource::Copy copy = store.Save();
  RunFor(kReadTime);
  const int before = host.view.full_reads;
  store.Restore(copy);
  RunFor(milliseconds(700));
  REQUIRE(host.view.full_reads == before + 3);
  REQUIRE(host.follower.known_version().era() == 1);
  REQUIRE(host.metrics_text().find("lovagecleat_store_era_changes_total") !=
          std::string::npos);
  REQUIRE_FALSE(host.follower.is_store_unavailable());
}

// Guards against old rows that come back: a response was sent before the
// restore and arrives after one of the new era.
TEST_CASE_METHOD(StoreEraFixture,
                 "A late response of an older era is dropped") {
  store.Set("servers", "a", MakeServer(1, false));
  host.view.is_holding = true;
  host.follower.Start();  // responses of era 0 are held back
  const std::vector<routing::Row> rows = {
      {"servers", "b", MakeServer(1, false), {1, 1}, false}};
  host.follower.MergeFromPeer(rows);
  host.view.Release();
  REQUIRE(host.FindServer("a") == nullptr);
  REQUIRE(host.follower.known_version() == RowVersion());
  store.Restore({});
  store.Set("servers", "b", MakeServer(1, false));
  RunFor(kReadTime);
  REQUIRE(host.follower.known_version().era() == 1);
  REQUIRE(host.FindServer("b") != nullptr);
}

TEST_CASE_METHOD(StoreEraFixture, "A feed of an older era has no effect") {
  host.follower.SetRank(1);
  host.follower.Start();
  store.Restore({});
  RunFor(kReadTime);
  REQUIRE(host.follower.known_version().era() == 1);
  std::vector<TableChanges> late;
  for (const std::string& table : store.tables())
    late.push_back({table, {0, 0}, {0, 9}, {}, false, {}});
  late[0].rows = {{"op", "evacuate/z", "", {0, 9}, false}};
  const int before = store.follows;
  // A host that has not seen the restore does not count as a reader.
  for (int i = 0; i < 10; ++i) {
    host.follower.ApplyFeed(late);
    RunFor(milliseconds(100));
  }
  REQUIRE_FALSE(host.IsEvacuated("z"));
  // More than the calls that were due when the first feed arrived.
  REQUIRE(store.follows > before + 3);
}

TEST_CASE_METHOD(StoreEraFixture, "A feed of a newer era causes a full read") {
  store.Set("servers", "a", MakeServer(1, false));
  store.Set("servers", "b", MakeServer(1, false));
  host.follower.SetRank(1);
  host.follower.Start();
  const auto feed = [&](const RowVersion& version) {
    std::vector<TableChanges> changes;
    for (const std::string& table : store.tables())
      changes.push_back({table, version, version, {}, false, {}});
    host.follower.ApplyFeed(changes);
  };
  feed(host.follower.known_version());
  RunFor(milliseconds(500));
  FakeRowSource::Copy copy = store.Save();
  store.Restore(copy);
  feed({1, 1});
  REQUIRE(host.follower.known_version() == RowVersion(1, 2));
  for (int i = 0; i < 50; ++i) {
    feed({1, 2});
    RunFor(milliseconds(100));
  }
  REQUIRE(host.FindServer("a") != nullptr);
  REQUIRE(host.FindServer("b") != nullptr);
}

// Guards against servers that a fed host loses: the reader left the entry out
// of the feed, since nothing but its version had changed.
TEST_CASE_METHOD(StoreEraFixture,
                 "An entry written again after a restore is fed") {
  host.follower.Start();
  other.follower.SetRank(1);
  other.follower.Start();
  const FakeRowSource::Copy copy = store.Save();
  store.Set("servers", "a", MakeServer(1, false));
  const auto run = [&](Duration time) {
    for (Duration step = milliseconds(20); time > Duration::zero();
         time -= step) {
      RunFor(step);
      for (const auto& changes : std::exchange(host.fed, {}))
        other.follower.ApplyFeed(changes);
    }
  };
  run(kReadTime);
  REQUIRE(other.FindServer("a") != nullptr);
  store.Restore(copy);
  run(milliseconds(800));
  store.Set("servers", "a", MakeServer(2, false));
  run(seconds(6));
  REQUIRE(host.FindServer("a") != nullptr);
  REQUIRE(other.FindServer("a") != nullptr);
}

// Guards against changes that a fed host misses: the reader had kept the lost
// content, so nothing changed there when it was written again.
TEST_CASE_METHOD(StoreEraFixture,
                 "Content that the reader kept is fed when written again") {
  store.Set("op", "config", MakeConfiguration(3));
  store.Set("servers", "a", MakeServer(10, false));
  const FakeRowSource::Copy copy = store.Save();
  host.follower.Start();
  other.follower.SetRank(1);
  other.follower.Start();
  other.view.is_cut = true;
  store.Set("op", "config", MakeConfiguration(5));
  store.Set("servers", "a", MakeServer(12, true));
  RunFor(kReadTime);
  REQUIRE(host.IsDraining("a"));
  REQUIRE_FALSE(other.IsDraining("a"));
  store.Restore(copy);
  RunFor(kReadTime);
  other.view.is_cut = false;
  RunFor(kReadTime);
  host.fed.clear();
  store.Set("op", "config", MakeConfiguration(5));
  store.Set("servers", "a", MakeServer(13, true));
  other.view.is_cut = true;
  RunFor(kReadTime);
  for (const auto& changes : host.fed) other.follower.ApplyFeed(changes);
  REQUIRE(other.configuration_version == 5);
  REQUIRE(other.IsDraining("a"));
}

// Guards against a server that stays out of use: a reader that started after
// the restore sees no change in the entry and does not feed it.
TEST_CASE_METHOD(StoreEraFixture,
                 "A fed host finds out that a kept server has written") {
  store.Set("servers", "a", MakeServer(10, false));
  host.follower.SetRank(1);
  host.follower.Start();
  const FakeRowSource::Copy copy = store.Save();
  store.Remove("servers", "a");
  RunFor(kReadTime);
  store.Restore(copy);
  const auto feed = [&](Duration time) {
    for (Duration step = milliseconds(100); time > Duration::zero();
         time -= step) {
      std::vector<TableChanges> changes;
      for (const std::string& table : store.tables())
        changes.push_back({table,
                           host.follower.known_version(),
                           store.newest_version(),
                           {},
                           false,
                           {}});
      host.follower.ApplyFeed(changes);
      RunFor(step);
    }
  };
  feed(milliseconds(500));
  REQUIRE(host.FindServer("a") == nullptr);
  store.Set("servers", "a", MakeServer(11, false));
  feed(kServerSettleTime);
  REQUIRE(host.FindServer("a") != nullptr);
}

TEST_CASE_METHOD(StoreEraFixture,
                 "A host that is cut off gets the new era from a peer") {
  store.Set("servers", "a", MakeServer(1, false));
  store.Set("op", "config", MakeConfiguration(3));
  const FakeRowSource::Copy copy = store.Save();
  store.Set("op", "config", MakeConfiguration(5, "lost"));
  store.Set("servers", "a", MakeServer(2, true));
  host.follower.Start();
  other.follower.Start();
  host.view.is_cut = true;
  store.Restore(copy);
  RunFor(kReadTime);
  const auto fetch = [&] {
    host.follower.MergeFromPeer(
        other.follower.replica().NewerThan(host.follower.known_version()));
  };
  fetch();
  REQUIRE(host.configuration_version == 5);
  REQUIRE(host.IsDraining("a"));
  store.Set("op", "config", MakeConfiguration(5, "again"));
  store.Set("op", "evacuate/z", "");
  RunFor(kReadTime);
  fetch();
  REQUIRE(host.configuration == MakeConfiguration(5, "again"));
  REQUIRE(host.IsEvacuated("z"));
  host.view.is_cut = false;
  RunFor(seconds(3));
  REQUIRE(host.follower.known_version().era() == 1);
  REQUIRE(host.IsDraining("a"));
  REQUIRE(host.IsEvacuated("z"));
}

// Guards against an evacuation that nobody can lift: a host that has read the
// new era got a row of the older one from a peer.
TEST_CASE_METHOD(StoreEraFixture,
                 "Rows of an older era are not accepted from a peer") {
  host.follower.Start();
  store.Restore({});
  RunFor(kReadTime);
  const std::vector<routing::Row> rows = {
      {"op", "evacuate/z", "", {0, 9}, false}};
  host.follower.MergeFromPeer(rows);
  REQUIRE_FALSE(host.IsEvacuated("z"));
}

// One gateway whose own row is stored.
class StoreEraGatewayFixture : public GatewayFixture {
 public:
  StoreEraGatewayFixture() {
    rows.stores_hosts = true;
    rows.Set("op", "config", MakeConfiguration(3));
  }
};

TEST_CASE_METHOD(StoreEraGatewayFixture,
                 "A host writes its lost row again once") {
  const FakeRowSource::Copy copy = rows.Save();
  Start();
  RunUntil([&] { return gateway->is_ready(); });
  REQUIRE(rows.host_writes == 1);
  const FakeRowSource::Copy with_row = rows.Save();

  SECTION("if it is missing") {
    rows.Restore(copy);
    RunUntil([&] { return rows.Find("hosts", "host") != nullptr; });
    RunFor(milliseconds(2500));
    REQUIRE(rows.host_writes == 2);
    // After a second restore as well.
    rows.Restore(copy);
    RunUntil([&] { return rows.Find("hosts", "host") != nullptr; });
    RunFor(milliseconds(2500));
    REQUIRE(rows.host_writes == 3);
  }
  SECTION("if it is older") {
    FakeRowSource::Copy older = with_row;
    older.rows.at({"hosts", "host"}).value = "{}";
    rows.Restore(older);
    RunUntil([&] { return rows.host_writes == 2; });
    RunFor(milliseconds(2500));
    REQUIRE(rows.host_writes == 2);
  }
  SECTION("but not if the copy has it") {
    rows.Restore(with_row);
    RunFor(milliseconds(3000));
    REQUIRE(rows.host_writes == 1);
  }
}

// Guards against a lost evacuation: it was removed and set again between two
// reads of one reader, whose feed so went on without it. The response with the
// removal reached the host after that feed.
TEST_CASE_METHOD(StoreEraFixture, "A late response does not undo a feed") {
  store.Set("op", "evacuate/z", "");
  host.Start();
  RunFor(kReadTime);
  const RowVersion before = host.follower.known_version();
  host.view.is_holding = true;
  store.Remove("op", "evacuate/z");
  RunFor(milliseconds(500));
  store.Set("op", "evacuate/z", "");
  const TableChanges none{"op", before, store.newest_version(), {}, false, {}};
  host.follower.ApplyFeed(std::span<const TableChanges>(&none, 1));
  host.view.Release();
  RunFor(kReadTime);
  REQUIRE(host.IsEvacuated("z"));
}

// Guards against an older configuration in force for good: the reading host
// knew the newest one from a host that had kept it, so that writing it again
// was no change there, and its feed went on without it.
TEST_CASE_METHOD(StoreEraFixture,
                 "Content that another host kept is fed when written again") {
  store.Set("op", "config", MakeConfiguration(3));
  store.Restore(store.Save());
  const RowVersion restored = store.Find("op", "config")->version;
  const std::vector<routing::Row> kept = {
      {"op", "config", MakeConfiguration(5), restored, false}};
  host.follower.MergeFromPeer(kept);
  host.Start();
  RunFor(kReadTime);
  REQUIRE(host.configuration_version == 5);
  host.fed.clear();
  store.Set("op", "config", MakeConfiguration(5));
  RunFor(kReadTime);
  const auto has_rows = [](const std::vector<TableChanges>& feed) {
    return std::any_of(feed.begin(), feed.end(), [](const TableChanges& table) {
      return table.table == "op" && !table.rows.empty();
    });
  };
  REQUIRE(std::any_of(host.fed.begin(), host.fed.end(), has_rows));
}

TEST_CASE_METHOD(StoreEraGatewayFixture,
                 "A gateway takes a configuration that is written again") {
  const FakeRowSource::Copy copy = rows.Save();
  rows.Set("op", "config", MakeConfiguration(5, "lost"));
  Start();
  RunUntil([&] { return gateway->is_ready(); });
  const auto request = [&](const std::string& path) {
    return Send("GET " + path +
                " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                "X-Lovagecleat-Request-Id: id1\r\n\r\n");
  };
  // Without servers a known route gets 503.
  REQUIRE(request("/").starts_with("HTTP/1.1 503"));
  rows.Restore(copy);
  rows.Set("op", "config", R"({"version":5,"routes":[],"services":[]})");
  RunFor(milliseconds(1500));
  REQUIRE(request("/").starts_with("HTTP/1.1 404"));
}

}  // namespace
}  // namespace lovagecleat::gateway
