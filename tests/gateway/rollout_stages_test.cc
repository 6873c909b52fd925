#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "tests/gateway/version_servers.h"

// Calls of stages while an order rolls a version of their service out. Exposure
// is counted in items.
namespace lovagecleat::gateway {
namespace {

using routing::RolloutState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"staged","host":"a.example","prefix":"/g/","kind":"safe",
  "timeoutMs":5000,"goalMs":1000,"attempts":2,"service":"plain",
  "stages":[{"service":"encoder","bytes":1000}]}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":900},
  {"name":"encoder","pieces":{"slots":1,"queue":2,"batch":4,"callMs":20,
   "itemMs":2,"headroomMb":1,"handleS":4,"netMbps":1000}}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";
// A server is taken to be cold for this long.
constexpr auto kColdTime = milliseconds(5500);
// Rows have been read after this time.
constexpr auto kChangeDelay = milliseconds(1000);
constexpr auto kCallTime = milliseconds(20);
constexpr auto kRequestInterval = milliseconds(8);
constexpr int kItems = 4;
constexpr double kShare = 0.1;
constexpr double kSlack = 50;
const ServiceId kService("encoder");

std::string MakeResponse(int status, const std::string& extra,
                         const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A stage server of one version that completes every item, or fails each call.
class VersionStageServer {
 public:
  VersionStageServer()
      : server_([this](RawConnection& connection, const std::string& request) {
          connection.Write(Answer(request));
          return true;
        }) {}

  std::string address() const { return server_.address(); }
  int items() const { return items_; }
  void SetFails(bool fails) { fails_ = fails; }
  // Ends as the servers before do when an order is completed.
  void Stop() { server_.server().CutPath(transport::RawServer::Cut::kReset); }

 private:
  std::string Answer(const std::string& request) {
    if (request.starts_with("GET /report"))
      return MakeResponse(200, "", R"({"queued":0,"busy":false,"freeMb":1})");
    if (request.starts_with("POST /stage-free"))
      return MakeResponse(200, "", "");
    const auto body =
        nlohmann::json::parse(request.substr(request.find("\r\n\r\n") + 4));
    nlohmann::json results = nlohmann::json::array();
    for (std::size_t i = 0; i < body.at("items").size(); ++i)
      results.push_back(
          {{"handle", address() + "/h" + std::to_string(++items_)}});
    std::this_thread::sleep_for(kCallTime);
    if (fails_) return MakeResponse(500, "", "");
    return MakeResponse(200, "", nlohmann::json{{"items", results}}.dump());
  }

  std::atomic<int> items_ = 0;
  std::atomic<bool> fails_ = false;
  ScriptedServer server_;
};

class RolloutStagesFixture : public GatewayFixture {
 public:
  RolloutStagesFixture()
      : plain_([](RawConnection& connection, const std::string& request) {
          connection.Write(
              MakeResponse(200,
                           Join({kSeal, kRequestIdName,
                                 FieldOf(request, kRequestIdName), "\r\n"}),
                           "ok"));
          return true;
        }) {
    rows.Set("op", "config", kRouting);
    AddServer("plain", "plain", plain_.address());
  }

  // Starts hosts with three servers of each version that are warm.
  void StartWithServers(std::size_t hosts) {
    hosts_ = hosts;
    StartHosts(hosts);
    SetExposure({kShare, kSlack, seconds(5)});
    for (const char* version : {"v1", "v2"})
      for (int i = 1; i <= 3; ++i)
        AddServer(version + ("-" + std::to_string(i)), "encoder",
                  servers[version].emplace_back().address(), version);
    RunFor(kColdTime + kChangeDelay);
  }
  void Order(const std::string& value) {
    rows.Set("op", "rollout/encoder", value);
    RunFor(kChangeDelay);
  }
  // Sends requests to all hosts in turn. Returns how many were not served.
  int SendFor(Duration time) {
    const TimePoint end = loop().clock().Now() + time;
    int unserved = 0;
    while (loop().clock().Now() < end) {
      const std::string id = "r" + std::to_string(++last_id_);
      const std::string response = Send(
          // Requests that are alike would be taken for one that crashes
          // servers.
          Join({"POST /g/", id,
                " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n",
                kRequestIdName, id,
                "\r\nX-Lovagecleat-Deadline-Ms: 5000\r\nX-Lovagecleat-Pieces: ",
                std::to_string(kItems), "\r\nX-Lovagecleat-Piece-Key: ", id,
                "\r\nContent-Length: 2\r\n\r\nhi"}),
          static_cast<std::size_t>(last_id_) % hosts_);
      if (!response.starts_with("HTTP/1.1 200")) ++unserved;
      RunFor(kRequestInterval);
    }
    return unserved;
  }
  int Items(const std::string& version) {
    int sum = 0;
    for (const VersionStageServer& server : servers[version])
      sum += server.items();
    return sum;
  }
  std::optional<RolloutState> State() {
    const auto& status = rows.rollout_statuses[kService].status;
    return status ? std::optional(status->state) : std::nullopt;
  }

  std::map<std::string, std::deque<VersionStageServer>> servers;

 private:
  ScriptedServer plain_;
  std::size_t hosts_ = 1;
  int last_id_ = 0;
};

// Guards against sound versions of a stage service that get no calls, or more
// items than they may, or are not completed in time.
TEST_CASE_METHOD(RolloutStagesFixture,
                 "A sound version of a stage service is rolled out") {
  const std::size_t hosts = GENERATE(1U, 3U);
  CAPTURE(hosts);
  StartWithServers(hosts);
  Order(R"({"service":"encoder","to":"v2","rolloutS":12})");
  CHECK(SendFor(seconds(6)) == 0);
  CHECK(State() == RolloutState::kRunning);
  const int on_trial = Items("v2");
  const int before = Items("v1");
  CAPTURE(before, on_trial);
  CHECK(on_trial > 0);
  CHECK(on_trial <= kShare * (before + on_trial) + kSlack);
  for (int i = 0; i < 60 && State() == RolloutState::kRunning; ++i)
    CHECK(SendFor(milliseconds(100)) == 0);
  REQUIRE(State() == RolloutState::kCompleted);
  for (VersionStageServer& server : servers["v1"]) server.Stop();
  const int sent_before = Items("v1");
  CHECK(SendFor(seconds(2)) == 0);
  CHECK(Items("v1") == sent_before);
  CHECK(Items("v2") > on_trial);
}

// Guards against bad versions of a stage service that are used on, and callers
// who get their failures although a sound version was there.
TEST_CASE_METHOD(RolloutStagesFixture,
                 "A version of a stage service that fails is rolled back") {
  const std::size_t hosts = GENERATE(1U, 3U);
  CAPTURE(hosts);
  StartWithServers(hosts);
  for (VersionStageServer& server : servers["v2"]) server.SetFails(true);
  Order(R"({"service":"encoder","to":"v2","rolloutS":20})");
  int unserved = 0;
  for (int i = 0; i < 210 && State() != RolloutState::kRolledBack; ++i)
    unserved += SendFor(milliseconds(100));
  CHECK(unserved == 0);
  REQUIRE(State() == RolloutState::kRolledBack);
  const int sent = Items("v2");
  const int before = Items("v1");
  CAPTURE(sent, before);
  CHECK(sent > 0);
  CHECK(sent <= kShare * (before + sent) + kSlack);
  CHECK(SendFor(seconds(2)) == 0);
  CHECK(Items("v2") == sent);
}

}  // namespace
}  // namespace lovagecleat::gateway
