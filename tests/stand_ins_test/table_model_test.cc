#include "tests/stand_ins/table_model.h"

#include <array>
#include <catch2/catch.hpp>

namespace lovagecleat::stand_ins {
namespace {

using policy::TableWrite;

TEST_CASE("A write of several rows is atomic") {
  TableModel table;
  const std::array first = {TableWrite{"a", 0, "1"}, TableWrite{"b", 0, "1"}};
  REQUIRE(table.Write(first).kind == TableReplyKind::kSuccess);

  const std::array second = {TableWrite{"a", 1, "2"}, TableWrite{"b", 7, "2"}};
  const TableReply conflict = table.Write(second);
  REQUIRE(conflict.kind == TableReplyKind::kConflict);
  REQUIRE(conflict.rows[0].version == 1);
  REQUIRE(conflict.rows[0].value == "1");

  const std::array<std::string, 2> keys = {"a", "c"};
  const TableReply read = table.Read(keys);
  REQUIRE(read.rows[0].value == "1");
  REQUIRE(read.rows[1].version == 0);
}

TEST_CASE("Only one of two writes with the same expected version succeeds") {
  TableModel table;
  const std::array write = {TableWrite{"a", 0, "x"}};
  REQUIRE(table.Write(write).rows[0].version == 1);
  REQUIRE(table.Write(write).kind == TableReplyKind::kConflict);
}

TEST_CASE("A scan returns rows by key within prefix, start and limit") {
  TableModel table;
  for (const char* key : {"p/3", "p/1", "q/1", "p/2", "o/9"}) {
    const std::array write = {TableWrite{key, 0, "v"}};
    table.Write(write);
  }
  const TableReply scan = table.Scan("p/", "p/2", 5);
  REQUIRE(scan.rows.size() == 2);
  REQUIRE(scan.rows[0].key == "p/2");
  REQUIRE(table.Scan("p/", "", 1).rows[0].key == "p/1");
}

TEST_CASE("A write with a lost response has taken effect") {
  TableModel table;
  table.DropResponses(1);
  const std::array write = {TableWrite{"a", 0, "x"}};
  REQUIRE(table.Write(write).kind == TableReplyKind::kNoResponse);
  const std::array<std::string, 1> keys = {"a"};
  REQUIRE(table.Read(keys).rows[0].version == 1);
}

TEST_CASE("An unavailable or silent table executes no write") {
  TableModel table;
  const std::array write = {TableWrite{"a", 0, "x"}};
  table.SetHealth(TableHealth::kOutage);
  REQUIRE(table.Write(write).kind == TableReplyKind::kUnavailable);
  table.SetHealth(TableHealth::kSilent);
  REQUIRE(table.Write(write).kind == TableReplyKind::kNoResponse);
  table.SetHealth(TableHealth::kAvailable);
  const std::array<std::string, 1> keys = {"a"};
  REQUIRE(table.Read(keys).rows[0].version == 0);
}

}  // namespace
}  // namespace lovagecleat::stand_ins
