#include <catch2/catch.hpp>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("v");

ServerEntry MakeEntry(const char* id, const char* zone = "z") {
  ServerEntry entry;
  entry.id = ServerId(id);
  entry.service = kService;
  entry.address = "10.0.0.1:80";
  entry.zone = ZoneId(zone);
  return entry;
}

TimePoint At(int time) { return TimePoint(milliseconds(time)); }

TEST_CASE("Draining servers and those of evacuated zones get nothing new") {
  ServerDirectory directory;
  directory.Put(MakeEntry("a"), At(0));
  directory.Put(MakeEntry("b", "other"), At(0));
  ServerEntry draining = MakeEntry("c");
  draining.is_draining = true;
  directory.Put(draining, At(0));
  REQUIRE(directory.Usable(kService, At(0)).size() == 2);
  directory.SetEvacuated(ZoneId("other"), true, At(0));
  REQUIRE(directory.Usable(kService, At(0)).size() == 1);
  REQUIRE(directory.Listed(kService).size() == 1);
  directory.SetEvacuated(ZoneId("other"), false, At(0));
  REQUIRE(directory.Usable(kService, At(0)).size() == 2);
  directory.Remove(ServerId("a"));
  REQUIRE(directory.Usable(kService, At(0)).size() == 1);
}

TEST_CASE("A server that starts anew under its id is told from its past") {
  ServerDirectory directory;
  ServerEntry entry = MakeEntry("a");
  entry.born_unix_ms = 100;
  REQUIRE(directory.Put(entry, At(0)));
  REQUIRE_FALSE(directory.Put(entry, At(0)));
  directory.Report(entry.id, CallResult::kUnreachable, At(0));
  REQUIRE(directory.Usable(kService, At(1)).empty());
  entry.born_unix_ms = 200;
  REQUIRE(directory.Put(entry, At(0)));
  REQUIRE(directory.Usable(kService, At(1)).size() == 1);
}

TEST_CASE(
    "An entry that lapsed in an outage of the store is used for a while") {
  ServerDirectory directory;
  directory.Put(MakeEntry("back"), At(0));
  directory.Put(MakeEntry("gone"), At(0));
  directory.Lapse(ServerId("back"), At(2000));
  directory.Lapse(ServerId("gone"), At(2000));
  directory.DropLapsed(At(1999));
  REQUIRE(directory.Usable(kService, At(1999)).size() == 2);
  directory.Put(MakeEntry("back"), At(0));
  directory.DropLapsed(At(2000));
  const auto usable = directory.Usable(kService, At(2000));
  REQUIRE(usable.size() == 1);
  REQUIRE(usable[0]->entry.id == ServerId("back"));
}

TEST_CASE("A failing server rests, then gets one call at a time") {
  ServerDirectory directory;
  directory.Put(MakeEntry("a"), At(0));
  const ServerId id("a");
  directory.Report(id, CallResult::kFailed, At(0));
  REQUIRE(directory.Usable(kService, At(0)).size() == 1);
  directory.Report(id, CallResult::kFailed, At(0));
  REQUIRE(directory.Usable(kService, At(1)).empty());
  REQUIRE(directory.Listed(kService).size() == 1);
  const auto trial = directory.Usable(kService, At(600));
  REQUIRE(trial.size() == 1);
  trial[0]->in_flight = 1;
  REQUIRE(directory.Usable(kService, At(600)).empty());
  directory.Report(id, CallResult::kGood, At(700));
  REQUIRE(directory.Usable(kService, At(700)).size() == 1);
}

// Found on quiet-1 of the grown first site: requests that waited at loaded
// servers were taken for failures, and their prompts were read again elsewhere.
TEST_CASE("A slow answer or two do not take a server out") {
  ServerDirectory directory;
  directory.Put(MakeEntry("a"), At(0));
  const ServerId id("a");
  for (int i = 0; i < 3; ++i) directory.Report(id, CallResult::kSlow, At(0));
  REQUIRE(directory.Usable(kService, At(0)).size() == 1);
  directory.Report(id, CallResult::kGood, At(0));
  for (int i = 0; i < 3; ++i) directory.Report(id, CallResult::kSlow, At(0));
  REQUIRE(directory.Usable(kService, At(0)).size() == 1);
  directory.Report(id, CallResult::kSlow, At(0));
  REQUIRE(directory.Usable(kService, At(0)).empty());
}

TEST_CASE("Rests grow to a bound, and a full server does not rest") {
  ServerDirectory directory;
  directory.Put(MakeEntry("a"), At(0));
  const ServerId id("a");
  for (int i = 0; i < 20; ++i) directory.Report(id, CallResult::kFull, At(0));
  REQUIRE(directory.Usable(kService, At(0)).size() == 1);
  for (int i = 0; i < 20; ++i)
    directory.Report(id, CallResult::kUnreachable, At(0));
  REQUIRE(directory.Usable(kService, At(3000)).empty());
  REQUIRE(directory.Usable(kService, At(4000)).size() == 1);
}

// Pattern: cold return of a zone.
TEST_CASE("What started, returned or failed is not sure to be warm") {
  ServerDirectory directory;
  directory.Put(MakeEntry("a"), At(0));
  const ServerRecord* record = directory.Find(ServerId("a"));
  REQUIRE(record->cold_until > At(3000));
  ServerEntry cold = MakeEntry("a");
  cold.cold_for = milliseconds(9000);
  directory.Put(cold, At(1000));
  REQUIRE(record->cold_until > At(10000));
  directory.SetEvacuated(ZoneId("z"), true, At(20000));
  directory.SetEvacuated(ZoneId("z"), false, At(30000));
  REQUIRE(record->cold_until > At(33000));
  directory.Report(ServerId("a"), CallResult::kFailed, At(50000));
  REQUIRE(record->cold_until > At(53000));
  directory.Report(ServerId("a"), CallResult::kGood, At(60000));
  REQUIRE(record->cold_until < At(60000));
}

}  // namespace
}  // namespace lovagecleat::routing
