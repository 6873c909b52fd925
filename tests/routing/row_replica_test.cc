#include <catch2/catch.hpp>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

Row MakeRow(const char* key, std::uint64_t version, bool is_removed = false) {
  return {"t",
          key,
          is_removed ? "" : "v" + std::to_string(version),
          {0, version},
          is_removed};
}

TEST_CASE("An older version never replaces a newer one") {
  RowReplica replica;
  REQUIRE(replica.Merge(MakeRow("a", 5)));
  REQUIRE_FALSE(replica.Merge(MakeRow("a", 4)));
  REQUIRE_FALSE(replica.Merge(MakeRow("a", 5)));
  REQUIRE(replica.Merge(MakeRow("a", 6)));
  REQUIRE(replica.newest_version() == RowVersion(0, 6));
}

// Guards against rows that are lost: a restored store gives lower versions out
// again.
TEST_CASE("A row of a newer era replaces one with a higher number") {
  RowReplica replica;
  Row row = MakeRow("a", 9);
  REQUIRE(replica.Merge(row));
  row.version = {1, 2};
  REQUIRE(replica.Merge(row));
  row.version = {0, 12};
  REQUIRE_FALSE(replica.Merge(row));
  REQUIRE(replica.NewerThan({0, 50}).size() == 1);
  REQUIRE(replica.MarkMissingRemoved("t", {}, {0, 60}).empty());
  REQUIRE(replica.MarkMissingRemoved("t", {}, {1, 3}).size() == 1);
}

TEST_CASE("A full read does not remove rows of an older era") {
  RowReplica replica;
  replica.Merge(MakeRow("a", 5));
  replica.Merge(MakeRow("b", 6, true));
  REQUIRE(replica.MarkMissingRemoved("t", {}, {1, 3}).empty());
  const auto rows = replica.RowsBeforeEra("t", 1);
  REQUIRE(rows.size() == 1);
  REQUIRE(rows[0].key == "a");
  REQUIRE(replica.RowsBeforeEra("t", 0).empty());
  REQUIRE(replica.RowsBeforeEra("other", 1).empty());
}

TEST_CASE("An older version does not restore a removed row") {
  RowReplica replica;
  REQUIRE(replica.Merge(MakeRow("a", 5)));
  REQUIRE(replica.Merge(MakeRow("a", 7, true)));
  REQUIRE_FALSE(replica.Merge(MakeRow("a", 5)));
  REQUIRE(replica.Merge(MakeRow("a", 8)));
}

TEST_CASE("A full read removes missing rows, but no newer ones") {
  RowReplica replica;
  replica.Merge(MakeRow("a", 1));
  replica.Merge(MakeRow("b", 2));
  replica.Merge(MakeRow("c", 9));
  const std::vector<Row> present = {MakeRow("a", 1)};
  const auto removed = replica.MarkMissingRemoved("t", present, {0, 5});
  REQUIRE(removed.size() == 1);
  REQUIRE(removed[0].key == "b");
  REQUIRE(removed[0].is_removed);
  REQUIRE(removed[0].version == RowVersion(0, 5));
  REQUIRE(replica.MarkMissingRemoved("other", {}, {0, 20}).empty());
}

TEST_CASE("NewerThan returns newer rows, including removed ones") {
  RowReplica replica;
  replica.Merge(MakeRow("a", 1));
  replica.Merge(MakeRow("b", 2));
  replica.Merge(MakeRow("a", 3, true));
  const auto rows = replica.NewerThan({0, 1});
  REQUIRE(rows.size() == 2);
  REQUIRE(replica.NewerThan({0, 3}).empty());
}

}  // namespace
}  // namespace lovagecleat::routing
