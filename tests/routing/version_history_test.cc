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

}  // namespace
}  // namespace lovagecleat::routing
