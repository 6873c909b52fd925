#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "policy/policy.h"
#include "policy/roster_row.h"
#include "tests/policy/fake_table.h"

namespace lovagecleat::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using tests::FakeTable;
using tests::TableFault;

const ZoneId kZone("z");

std::vector<HostInfo> ListedHosts(const std::vector<std::string>& ids) {
  std::vector<HostInfo> hosts;
  hosts.reserve(ids.size());
  for (const std::string& host_id : ids)
    hosts.push_back(
        {HostId(host_id), kZone, "127.0.0.1:1", MemberState::kActive});
  return hosts;
}

struct KeeperHost {
  KeeperHost(const std::string& host_id, std::uint64_t seed, TimePoint start)
      : id(host_id), keeper(HostId(host_id), kZone, counter, {}, seed, start) {}

  HostId id;
  OperationCounter counter;
  RosterKeeper keeper;
};

// Runs one host's operations against the table until it is idle.
void RunUntilIdle(KeeperHost& host, FakeTable& table, TimePoint now,
                  TableFault write_fault = TableFault::kNone) {
  std::vector<Command> commands = host.keeper.Tick(now);
  while (!commands.empty()) {
    TableAnswered answer;
    if (const auto* read = std::get_if<ReadTable>(&commands.front()))
      answer = table.Read(*read);
    if (const auto* write = std::get_if<WriteTable>(&commands.front()))
      answer = table.Write(*write, write_fault);
    commands = host.keeper.HandleTableAnswer(answer, now);
  }
}

TEST_CASE(
    "The first epoch contains all listed hosts, and a new host joins it") {
  FakeTable table;
  KeeperHost a("a", 1, TimePoint{});
  KeeperHost b("b", 2, TimePoint{});
  for (KeeperHost* host : {&a, &b})
    host->keeper.ApplyInventory(ListedHosts({"a", "b"}), TimePoint{});
  RunUntilIdle(a, table, TimePoint{});
  REQUIRE(a.keeper.epoch() == 0);  // other hosts may be starting too
  RunUntilIdle(b, table, TimePoint{});
  RunUntilIdle(a, table, TimePoint{} + seconds(2));
  REQUIRE(a.keeper.epoch() == 1);
  RunUntilIdle(b, table, TimePoint{} + seconds(2));
  const auto adopted = b.keeper.TakeAdopted();
  REQUIRE(adopted);
  REQUIRE(adopted->hosts == std::vector<HostId>{a.id, b.id});
  REQUIRE(adopted->origin == RosterOrigin::kAfterStart);
  REQUIRE_FALSE(b.keeper.TakeAdopted());

  KeeperHost c("c", 3, TimePoint{} + seconds(5));
  RunUntilIdle(c, table, TimePoint{} + seconds(5));
  REQUIRE(c.keeper.epoch() == 2);
  const auto joined = c.keeper.TakeAdopted();
  REQUIRE(joined->Contains(c.id));
  REQUIRE(joined->origin == RosterOrigin::kBeforeStart);
  REQUIRE(c.keeper.confirmed_at() == TimePoint{} + seconds(5));
}

TEST_CASE(
    "After a lost answer to a write, a read shows whether it took effect") {
  for (const TableFault fault :
       {TableFault::kLostResponse, TableFault::kLostRequest,
        TableFault::kLostThenApplied}) {
    FakeTable table;
    KeeperHost a("a", 1, TimePoint{});
    a.keeper.ApplyInventory(ListedHosts({"a"}), TimePoint{});
    RunUntilIdle(a, table, TimePoint{} + seconds(2), fault);
    REQUIRE(a.keeper.epoch() == 0);
    RunUntilIdle(a, table, TimePoint{} + seconds(3));
    REQUIRE(a.keeper.epoch() == 1);
    if (table.late_writes() > 0) table.ApplyLate(0);
    RunUntilIdle(a, table, TimePoint{} + seconds(9));
    REQUIRE(a.keeper.epoch() == 1);
    REQUIRE(a.keeper.confirmed_at() == TimePoint{} + seconds(9));
  }
}

TEST_CASE(
    "An unlisted host is removed and reserved unless it sends heartbeats") {
  FakeTable table;
  KeeperHost a("a", 1, TimePoint{});
  a.keeper.ApplyInventory(ListedHosts({"a", "b", "c"}), TimePoint{});
  RunUntilIdle(a, table, TimePoint{} + seconds(2));
  REQUIRE(a.keeper.epoch() == 1);
  // Neither b nor c is listed any more; only b still sends heartbeats.
  a.keeper.ApplyInventory(ListedHosts({"a"}), TimePoint{});
  a.keeper.ObservePeer(HostId("b"), 1, TimePoint{} + seconds(25));
  RunUntilIdle(a, table, TimePoint{} + seconds(28));
  REQUIRE(a.keeper.epoch() == 1);
  RunUntilIdle(a, table, TimePoint{} + seconds(40));
  const auto roster = a.keeper.TakeAdopted();
  REQUIRE(roster->epoch == 2);
  REQUIRE(roster->hosts == std::vector<HostId>{a.id, HostId("b")});
  REQUIRE(roster->reserved_hosts == std::vector<HostId>{HostId("c")});
  REQUIRE(roster->reserved_divisors == std::vector<std::uint32_t>{3});
}

TEST_CASE("A listed host without heartbeats is removed only after minutes") {
  FakeTable table;
  KeeperHost a("a", 1, TimePoint{});
  a.keeper.ApplyInventory(ListedHosts({"a", "b"}), TimePoint{});
  RunUntilIdle(a, table, TimePoint{} + seconds(2));
  RunUntilIdle(a, table, TimePoint{} + minutes(4));
  REQUIRE(a.keeper.epoch() == 1);
  RunUntilIdle(a, table, TimePoint{} + minutes(6));
  REQUIRE(a.keeper.epoch() == 2);
}

// The members of epoch 1 may confirm each other without the table. A host that
// knows of no member that adopted epoch 2 must therefore not write epoch 3.
TEST_CASE("No epoch is written before a previous member uses the current one") {
  FakeTable table;
  KeeperHost a("a", 1, TimePoint{});
  a.keeper.ApplyInventory(ListedHosts({"a"}), TimePoint{});
  RunUntilIdle(a, table, TimePoint{} + seconds(2));
  KeeperHost b("b", 2, TimePoint{} + seconds(3));
  RunUntilIdle(b, table, TimePoint{} + seconds(3));
  REQUIRE(b.keeper.epoch() == 2);
  RunUntilIdle(b, table, TimePoint{} + minutes(10));
  REQUIRE(b.keeper.epoch() == 2);
  b.keeper.ObservePeer(a.id, 2, TimePoint{} + minutes(11));
  RunUntilIdle(b, table, TimePoint{} + minutes(17));
  REQUIRE(b.keeper.epoch() == 3);
}

TEST_CASE("A host with an older epoch gets the roster pushed") {
  FakeTable table;
  KeeperHost a("a", 1, TimePoint{});
  KeeperHost b("b", 2, TimePoint{});
  a.keeper.ApplyInventory(ListedHosts({"a", "b"}), TimePoint{});
  RunUntilIdle(a, table, TimePoint{} + seconds(2));
  a.keeper.ObservePeer(b.id, 0, TimePoint{} + seconds(3));
  const auto pushes = a.keeper.TakeOutgoing();
  REQUIRE(pushes.size() == 1);
  b.keeper.HandlePush(pushes[0].message.roster_push(), TimePoint{});
  REQUIRE(b.keeper.epoch() == 1);
  REQUIRE_FALSE(b.keeper.confirmed_at());
}

TEST_CASE("A roster row that is truncated or inconsistent is rejected") {
  Roster roster;
  roster.zone = kZone;
  roster.epoch = 7;
  roster.hosts = {HostId("a"), HostId("b")};
  roster.host_divisors = {2, 2};
  const std::string row = WriteRosterRow(roster);
  REQUIRE(ReadRosterRow(kZone, row));
  for (std::size_t i = 0; i < row.size(); ++i)
    REQUIRE_FALSE(ReadRosterRow(kZone, row.substr(0, i)));
  roster.hosts = {HostId("a"), HostId("a")};
  REQUIRE_FALSE(ReadRosterRow(kZone, WriteRosterRow(roster)));
  roster.hosts = {HostId("a")};
  REQUIRE_FALSE(ReadRosterRow(kZone, WriteRosterRow(roster)));
}

}  // namespace
}  // namespace lovagecleat::policy
