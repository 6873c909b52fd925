#include <catch2/catch.hpp>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

using std::chrono::seconds;

const ServiceId kService("engine");

TimePoint At(int second) { return TimePoint() + seconds(second); }

TEST_CASE("A service's only version is known since its first server") {
  VersionHistory history;
  REQUIRE_FALSE(history.SoleVersion(kService, At(0)));
  history.AddServer(kService, "v1", At(10));
  REQUIRE_FALSE(history.SoleVersion(kService, At(9)));
  REQUIRE(history.SoleVersion(kService, At(10)) == "v1");
  history.AddServer(kService, "v1", At(11));
  history.RemoveServer(kService, "v1", At(12));
  REQUIRE(history.SoleVersion(kService, At(10)) == "v1");
}

// Guards against resumed streams with events of two versions: servers of the
// earlier version may have begun a stream and be gone.
TEST_CASE("A version that has gone counts for the time before it went") {
  VersionHistory history;
  history.AddServer(kService, "v1", At(0));
  history.AddServer(kService, "v2", At(5));
  REQUIRE_FALSE(history.SoleVersion(kService, At(0)));
  REQUIRE_FALSE(history.SoleVersion(kService, At(6)));
  history.RemoveServer(kService, "v1", At(8));
  REQUIRE_FALSE(history.SoleVersion(kService, At(8)));
  REQUIRE(history.SoleVersion(kService, At(9)) == "v2");
  REQUIRE_FALSE(history.SoleVersion(ServiceId("other"), At(9)));
}

TEST_CASE("The directory tracks versions over restarts and removals") {
  ServerDirectory directory;
  ServerEntry entry;
  entry.id = ServerId("a");
  entry.service = kService;
  entry.software_version = "v1";
  directory.Put(entry, At(0));
  directory.Put(entry, At(1));
  REQUIRE(directory.versions().SoleVersion(kService, At(0)) == "v1");
  entry.software_version = "v2";
  REQUIRE(directory.Put(entry, At(5)));
  REQUIRE_FALSE(directory.versions().SoleVersion(kService, At(4)));
  REQUIRE(directory.versions().SoleVersion(kService, At(6)) == "v2");
  directory.ExpireAt(ServerId("a"), At(7));
  directory.RemoveExpired(At(8));
  entry.id = ServerId("b");
  entry.software_version = "v3";
  directory.Put(entry, At(9));
  REQUIRE_FALSE(directory.versions().SoleVersion(kService, At(7)));
  REQUIRE(directory.versions().SoleVersion(kService, At(9)) == "v3");
}

// Guards against refused streams: processes that started lately did not know
// that a service had had one version.
TEST_CASE("A restored history reaches back to before the process started") {
  VersionHistory before;
  before.AddServer(kService, "v1", At(0));
  const auto records = before.Records(At(0));
  VersionHistory history;
  const bool is_restored_first = GENERATE(true, false);
  if (!is_restored_first) history.AddServer(kService, "v1", At(20));
  history.Restore(kService, records.at(kService), At(20));
  if (is_restored_first) history.AddServer(kService, "v1", At(21));
  REQUIRE(history.SoleVersion(kService, At(5)) == "v1");
  REQUIRE_FALSE(history.SoleVersion(kService, At(-1)));
}

// Guards against streams with events of two versions: the servers of a version
// left while no process saw it.
TEST_CASE("A restored version without servers counts until the restart") {
  VersionHistory before;
  before.AddServer(kService, "v1", At(0));
  VersionHistory history;
  history.Restore(kService, before.Records(At(0)).at(kService), At(20));
  history.AddServer(kService, "v2", At(20));
  REQUIRE_FALSE(history.SoleVersion(kService, At(15)));
  REQUIRE_FALSE(history.SoleVersion(kService, At(20)));
  REQUIRE(history.SoleVersion(kService, At(21)) == "v2");
}

TEST_CASE("Records of several processes add up") {
  VersionHistory history;
  history.Restore(kService, {At(10), {{"v2", std::nullopt}}}, At(20));
  history.Restore(kService, {At(0), {{"v1", At(12)}, {"v2", At(11)}}}, At(20));
  history.AddServer(kService, "v2", At(20));
  REQUIRE_FALSE(history.SoleVersion(kService, At(12)));
  REQUIRE(history.SoleVersion(kService, At(13)) == "v2");
}

TEST_CASE("Records leave out versions that were gone before") {
  VersionHistory history;
  history.AddServer(kService, "v1", At(0));
  history.AddServer(kService, "v2", At(1));
  history.RemoveServer(kService, "v1", At(5));
  const VersionRecord all = history.Records(At(0)).at(kService);
  REQUIRE(all.known_since == At(0));
  REQUIRE(all.versions.at("v1") == At(5));
  REQUIRE_FALSE(all.versions.at("v2"));
  const VersionRecord late = history.Records(At(6)).at(kService);
  REQUIRE(late.known_since == At(6));
  REQUIRE_FALSE(late.versions.contains("v1"));
}

TEST_CASE("The revision rises as versions come and go, not with each server") {
  VersionHistory history;
  history.AddServer(kService, "v1", At(0));
  const std::uint64_t first = history.revision();
  history.AddServer(kService, "v1", At(1));
  history.RemoveServer(kService, "v1", At(2));
  REQUIRE(history.revision() == first);
  history.RemoveServer(kService, "v1", At(3));
  REQUIRE(history.revision() > first);
}

}  // namespace
}  // namespace lovagecleat::routing
