#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <string>

#include "tests/gateway/version_servers.h"

// Orders to roll a version out, carried out by real gateways.
namespace lovagecleat::gateway {
namespace {

using routing::RolloutState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"safe","host":"a.example","prefix":"/s/","kind":"safe",
  "timeoutMs":5000,"goalMs":1000,"attempts":2,"service":"plain"},
 {"name":"stream","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":5000,"goalMs":1000,"attempts":2,"service":"plain",
  "resumable":true}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":900}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";
// A server is taken to be cold for this long.
constexpr auto kColdTime = milliseconds(5500);
// Rows have been read after this time.
constexpr auto kChangeDelay = milliseconds(1000);
constexpr auto kRequestInterval = milliseconds(8);
const ServiceId kService("plain");

// A server that names its version in responses, or fails.
class PlainServer {
 public:
  explicit PlainServer(std::string version)
      : version_(std::move(version)),
        server_([this](transport::RawConnection& connection,
                       const std::string& request) {
          const bool fails = fails_;
          connection.Write(
              Join({fails ? "HTTP/1.1 500 X\r\n" : "HTTP/1.1 200 X\r\n", kSeal,
                    kRequestIdName, FieldOf(request, kRequestIdName),
                    "\r\nContent-Length: 2\r\n\r\n", version_}));
          return true;
        }) {}

  void SetFails(bool fails) { fails_ = fails; }
  std::string address() const { return server_.address(); }
  int requests() const { return server_.requests(); }

 private:
  std::string version_;
  std::atomic<bool> fails_ = false;
  ScriptedServer server_;
};

class RolloutFixture : public GatewayFixture {
 public:
  RolloutFixture() {
    rows.Set("op", "config", kRouting);
    SetExposure({0.1, 50, seconds(5)});
  }

  PlainServer& Add(const std::string& version) {
    PlainServer& server = servers_[version].emplace_back(version);
    AddServer(version + "-" + std::to_string(servers_[version].size()), "plain",
              server.address(), version);
    return server;
  }
  // Starts hosts with three servers of each version that are warm.
  void StartWithServers(std::size_t hosts = 1) {
    StartHosts(hosts);
    SetExposure({0.1, 50, seconds(5)});
    for (const char* version : {"v1", "v1", "v1", "v2", "v2", "v2"})
      Add(version);
    RunFor(kColdTime);
  }
  void Order(const std::string& value) {
    rows.Set("op", "rollout/plain", value);
    RunFor(kChangeDelay);
  }
  // Sends requests to all hosts in turn. Returns how many were not served.
  int SendFor(Duration time, std::size_t hosts = 1) {
    const TimePoint end = loop().clock().Now() + time;
    int unserved = 0;
    for (std::size_t i = 0; loop().clock().Now() < end; ++i) {
      const std::string response =
          Send(MakeRequest("/s/", "r" + std::to_string(++last_id_)), i % hosts);
      if (!response.starts_with("HTTP/1.1 200")) ++unserved;
      RunFor(kRequestInterval);
    }
    return unserved;
  }
  int RequestsTo(const std::string& version) const {
    int sum = 0;
    const auto found = servers_.find(version);
    if (found == servers_.end()) return 0;
    for (const PlainServer& server : found->second) sum += server.requests();
    return sum;
  }
  void RemoveServers(const std::string& version) {
    for (std::size_t i = 1; i <= servers_[version].size(); ++i)
      rows.Remove("servers", version + "-" + std::to_string(i));
  }
  std::optional<RolloutState> State() {
    const auto& status = rows.rollout_statuses[kService].status;
    return status ? std::optional(status->state) : std::nullopt;
  }
  void SetFails(const std::string& version, bool fails) {
    for (PlainServer& server : servers_[version]) server.SetFails(fails);
  }

 private:
  std::map<std::string, std::deque<PlainServer>> servers_;
  int last_id_ = 0;
};

// Guards against orders that are not carried out, and sound versions that are
// not completed in time.
TEST_CASE_METHOD(RolloutFixture, "A sound version is rolled out") {
  const std::size_t hosts = GENERATE(1U, 3U);
  CAPTURE(hosts);
  StartWithServers(hosts);
  RunFor(kChangeDelay);
  Order(R"({"service":"plain","to":"v2","rolloutS":12})");
  CHECK(SendFor(seconds(5), hosts) == 0);
  CHECK(State() == RolloutState::kRunning);
  const int before = RequestsTo("v1");
  const int on_trial = RequestsTo("v2");
  CAPTURE(before, on_trial);
  CHECK(on_trial > 0);
  CHECK(on_trial < 0.1 * (before + on_trial) + 50);
  CHECK(SendFor(seconds(8), hosts) == 0);
  CHECK(State() == RolloutState::kCompleted);
  REQUIRE(rows.rollout_writes.size() == 2);
  CHECK(rows.rollout_writes[0].state == RolloutState::kRunning);
  CHECK(rows.rollout_writes[0].to == "v2");
  CHECK(rows.rollout_writes[1].state == RolloutState::kCompleted);
  const int sent_before = RequestsTo("v1");
  CHECK(SendFor(seconds(1), hosts) == 0);
  CHECK(RequestsTo("v1") == sent_before);
  std::string logs;
  for (std::size_t host = 0; host < hosts; ++host) logs += LogText(host);
  CHECK(logs.find("rollout_status") != std::string::npos);
}

// Guards against bad versions that are used on, and callers who get their
// failures although a sound version was there.
TEST_CASE_METHOD(RolloutFixture, "A version that fails is rolled back") {
  const std::size_t hosts = GENERATE(1U, 3U);
  CAPTURE(hosts);
  StartWithServers(hosts);
  RunFor(kChangeDelay);
  Order(R"({"service":"plain","to":"v2","rolloutS":20})");
  SetFails("v2", true);
  CHECK(SendFor(seconds(15), hosts) == 0);
  CHECK(State() == RolloutState::kRolledBack);
  const int sent = RequestsTo("v2");
  CHECK(sent > 0);
  CHECK(sent < 50);
  SetFails("v2", false);
  CHECK(SendFor(seconds(3), hosts) == 0);
  CHECK(RequestsTo("v2") == sent);
}

// Guards against a version that is bad late and completed all the same.
TEST_CASE_METHOD(RolloutFixture, "A version that fails late is rolled back") {
  StartWithServers();
  RunFor(kChangeDelay);
  Order(R"({"service":"plain","to":"v2","rolloutS":16})");
  CHECK(SendFor(seconds(8)) == 0);
  SetFails("v2", true);
  SendFor(seconds(8));
  CHECK(State() == RolloutState::kRolledBack);
}

// Guards against orders that cannot be read and move traffic or stop the
// process.
TEST_CASE_METHOD(RolloutFixture, "A row that is no order changes nothing") {
  const std::string value = GENERATE(
      as<std::string>(), "", "[]", "{", "null", R"({"service":"plain"})",
      R"({"service":"plain","to":7,"rolloutS":5})",
      R"({"service":"crews","to":"v2","rolloutS":5})",
      R"({"service":7,"to":"v2","rolloutS":5})", "\xff\xfe");
  CAPTURE(value);
  StartHosts(1);
  for (const char* version : {"v1", "v2"}) Add(version);
  RunFor(kChangeDelay);
  Order(value);
  RunFor(kChangeDelay);
  CHECK(SendFor(milliseconds(500)) == 0);
  CHECK(RequestsTo("v1") > 0);
  CHECK(RequestsTo("v2") > 0);
  CHECK_FALSE(State());
  CHECK(LogText().find("rollout_order_problem") != std::string::npos);
}

// Guards against traffic to a version whose order has no usable time.
TEST_CASE_METHOD(RolloutFixture, "An order without time is rolled back") {
  const std::string value =
      GENERATE(as<std::string>(), R"({"service":"plain","to":"v2"})",
               R"({"service":"plain","to":"v2","rolloutS":0})",
               R"({"service":"plain","to":"v2","rolloutS":-5})",
               R"({"service":"plain","to":"v2","rolloutS":"soon"})",
               R"({"service":"plain","to":"v2","rolloutS":null})");
  CAPTURE(value);
  StartHosts(1);
  for (const char* version : {"v1", "v2"}) Add(version);
  Order(value);
  RunFor(kChangeDelay);
  CHECK(SendFor(milliseconds(500)) == 0);
  CHECK(RequestsTo("v2") == 0);
  CHECK(State() == RolloutState::kRolledBack);
  CHECK(LogText().find("rollout_order_problem") != std::string::npos);
}

// Guards against names that nothing has and that nobody is told of.
TEST_CASE_METHOD(RolloutFixture, "An order for an unknown version is logged") {
  StartHosts(1);
  Add("v1");
  Order(R"({"service":"plain","to":"v9","rolloutS":6})");
  rows.Set("op", "rollout/none",
           R"({"service":"none","to":"v2","rolloutS":600})");
  CHECK(SendFor(seconds(9)) == 0);
  CHECK(State() == RolloutState::kRolledBack);
  CHECK(LogText().find("unknown_version") != std::string::npos);
  CHECK(LogText().find("unknown_service") != std::string::npos);
}

// Guards against hosts that start after the verdict and do not know it.
TEST_CASE_METHOD(RolloutFixture, "A host that starts later reads the state") {
  const RolloutState state =
      GENERATE(RolloutState::kRolledBack, RolloutState::kCompleted);
  for (const char* version : {"v1", "v2"}) Add(version);
  Order(R"({"service":"plain","to":"v2","rolloutS":60})");
  rows.rollout_statuses[kService] = {
      routing::RolloutStatus{"v2", state, std::nullopt},
      routing::RowVersion(0, 1000)};
  StartHosts(1);
  RunFor(kChangeDelay);
  CHECK(SendFor(milliseconds(800)) == 0);
  const bool is_completed = state == RolloutState::kCompleted;
  CHECK((RequestsTo("v2") > 0) == is_completed);
  CHECK((RequestsTo("v1") > 0) != is_completed);
  CHECK(rows.rollout_writes.empty());
}

// Guards against an order that is carried out although the operator has taken
// it back.
TEST_CASE_METHOD(RolloutFixture, "A removed order stops its version") {
  StartWithServers();
  RunFor(kChangeDelay);
  Order(R"({"service":"plain","to":"v2","rolloutS":30})");
  CHECK(SendFor(seconds(6)) == 0);
  CHECK(RequestsTo("v2") > 0);
  rows.Remove("op", "rollout/plain");
  SendFor(kChangeDelay);
  const int sent = RequestsTo("v2");
  CHECK(SendFor(seconds(2)) == 0);
  CHECK(RequestsTo("v2") == sent);
  // It is used when there is no other.
  RemoveServers("v1");
  RunFor(kChangeDelay);
  CHECK(SendFor(seconds(1)) == 0);
  CHECK(RequestsTo("v2") > sent);
}

// Guards against deployments without orders that are served in another way.
TEST_CASE_METHOD(GatewayFixture, "Without orders no state is read or written") {
  const PlainServer old_server("v1");
  const PlainServer new_server("v2");
  AddServer("s1", "plain", old_server.address(), "v1");
  rows.Set("op", "config", kRouting);
  StartHosts(1);
  RunFor(kChangeDelay);
  AddServer("s2", "plain", new_server.address(), "v2");
  RunFor(kChangeDelay);
  for (int i = 0; i < 40; ++i)
    Send(MakeRequest("/s/", "r" + std::to_string(i)));
  CHECK(old_server.requests() > 0);
  CHECK(new_server.requests() > 0);
  CHECK(rows.rollout_reads == 0);
  CHECK(rows.rollout_writes.empty());
}

// Guards against an order that is dropped, and whose state is never written,
// because it is the first row of a restored store that differs.
TEST_CASE_METHOD(RolloutFixture,
                 "An order written right after a restore is carried out") {
  StartWithServers();
  RunFor(kChangeDelay);
  const FakeRowSource::Copy copy = rows.Save();
  Order(R"({"service":"plain","to":"v2","rolloutS":300})");
  rows.Restore(copy);
  Order(R"({"service":"plain","to":"v2","rolloutS":8})");
  CHECK(SendFor(seconds(9)) == 0);
  CHECK(State() == RolloutState::kCompleted);
}

// Guards against an order that a restore of the store brings back in place of a
// newer one.
TEST_CASE_METHOD(RolloutFixture,
                 "An earlier order that a restore brings back has no effect") {
  StartWithServers();
  RunFor(kChangeDelay);
  Order(R"({"service":"plain","to":"v9","rolloutS":300})");
  const FakeRowSource::Copy copy = rows.Save();
  const char* const newest = R"({"service":"plain","to":"v2","rolloutS":9})";
  Order(newest);
  rows.Restore(copy);
  CHECK(SendFor(seconds(3)) == 0);
  // Operators write again what the store has lost.
  Order(newest);
  CHECK(SendFor(seconds(6)) == 0);
  CHECK(State() == RolloutState::kCompleted);
  CHECK(rows.rollout_statuses[kService].status->to == "v2");
}

// Guards against a version that is used before its order is read.
TEST_CASE_METHOD(RolloutFixture, "A version that appears waits for its order") {
  StartHosts(1);
  SetExposure({0.1, 50, seconds(5)});
  Add("v1");
  RunFor(seconds(5));
  Add("v2");
  CHECK(SendFor(milliseconds(1500)) == 0);
  CHECK(RequestsTo("v2") == 0);
  CHECK(SendFor(seconds(2)) == 0);
  CHECK(RequestsTo("v2") > 0);
}

}  // namespace
}  // namespace lovagecleat::gateway
