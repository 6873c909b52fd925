#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <regex>
#include <string>
#include <vector>

#include "tests/gateway/gateway_fixture.h"
#include "tests/gateway_reports/report_sender.h"

// Tests that a request which crashes the servers that run it is refused, and
// no other one.
namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"safe","host":"a.example","prefix":"/s/","kind":"safe",
  "timeoutMs":3000,"goalMs":300,"attempts":2,"service":"orders"},
 {"name":"once","host":"a.example","prefix":"/u/","kind":"unsafe",
  "timeoutMs":5000,"goalMs":300,"attempts":2,"service":"orders"}],
 "services":[{"name":"orders","healthPath":"/h","maxConns":90}],
 "tenants":[{"name":"t1","apiKeys":["key1"]},{"name":"t2","apiKeys":["key2"]}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

constexpr const char* kCrashingBody = "crash";
constexpr const char* kResetBody = "reset";
constexpr const char* kSilentBody = "silent";
constexpr std::size_t kHosts = 3;
constexpr int kServers = 3;
// Time until the hosts have read the rows of servers that have restarted.
constexpr Duration kRowsDelay = milliseconds(600);
// Time until they have read a row in the hosts table.
constexpr Duration kHostRowsDelay = milliseconds(2500);
// Servers that the request may crash before it is known.
constexpr int kMostCrashes = 3;
// Further requests with it that may reach servers.
constexpr int kMostFurtherRequests = 3;
// Enough for a host to send at least one to each server, which it draws at
// random: it misses one of four in 0.1% of runs.
constexpr int kManySoundRequests = 8 * kServers;
// Time after which heartbeats that a server has sent before have been read.
constexpr int kHeartbeatSeconds = 13;
// Time that a server works on a request before it crashes.
constexpr milliseconds kRunTime(40);

// Requests with kCrashingBody of the team t1 crash the servers that run them.
// Those with the other two lose their connection to a server that lives.
class CrashingRequestFixture : public GatewayFixture {
 public:
  CrashingRequestFixture() {
    rows.Set("op", "config", kRouting);
    for (int i = 0; i < kServers; ++i)
      servers_.push_back(std::make_unique<ScriptedServer>(
          [this, i](RawConnection& connection, const std::string& request) {
            return Run(connection, request, static_cast<std::size_t>(i));
          }));
    RestartCrashedServers();
  }

  // Gives each server that has crashed since the last call a new incarnation.
  void RestartCrashedServers() {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const int incarnation = 1 + crashes_.at(i);
      if (incarnations_.at(i) == incarnation) continue;
      if (renames_servers_) outdated_ids_.push_back(IdOf(i, incarnation - 1));
      incarnations_.at(i) = incarnation;
      WriteRow(i, 0);
    }
  }

  // Writes the rows of all servers with that sequence number.
  void WriteHeartbeats(int sequence) {
    for (std::size_t i = 0; i < servers_.size(); ++i) WriteRow(i, sequence);
  }

  // Removes the rows of crashed servers whose address others have.
  void RemoveOutdatedRows() {
    for (const std::string& id : outdated_ids_) rows.Remove("servers", id);
    outdated_ids_.clear();
    RunFor(kRowsDelay);
  }

  std::string SendBody(const std::string& target, const std::string& body,
                       std::size_t host, const std::string& key = "key1") {
    return Send("POST " + target +
                    " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                    "X-Lovagecleat-Request-Id: id1\r\nX-Api-Key: " +
                    key + "\r\nX-Lovagecleat-Deadline-Ms: 5000\r\n" +
                    "Content-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body,
                host);
  }

  // Sends it to one host after the other, `count` times, beside sound ones.
  void SendCrashing(int count, const std::string& target) {
    for (int i = 0; i < count; ++i) {
      const auto host = static_cast<std::size_t>(i) % kHosts;
      SendBody(target, kCrashingBody, host);
      RestartCrashedServers();
      RunFor(kRowsDelay);
      REQUIRE(IsServed(SendBody(target, "sound", host)));
      REQUIRE(IsServed(SendBody(target, kCrashingBody, host, "key2")));
    }
  }

  // Returns what each server was before it crashed.
  std::vector<routing::ServerIncarnation> FirstIncarnations() const {
    std::vector<routing::ServerIncarnation> servers;
    for (std::size_t i = 0; i < servers_.size(); ++i)
      servers.push_back(
          {ServerId(IdOf(i, 1)), servers_.at(i)->address(), "v1", 1});
    return servers;
  }

  // Returns the key of the content that the hosts have blocked.
  std::string BlockedContent() {
    // The last log has the lines of all hosts.
    const std::string log = LogText(kHosts - 1);
    std::smatch match;
    const std::regex line(
        R"re("event":"content_blocked","content":"([0-9a-z]+)")re");
    REQUIRE(std::regex_search(log, match, line));
    return match[1];
  }

  // Lets a host connect to all servers. Only on connections from before a crash
  // is it clear that no successor responds.
  void OpenConnections(std::size_t host) {
    for (int i = 0; i < 3 * kServers; ++i)
      REQUIRE(IsServed(SendBody("/s/2", "sound", host)));
  }

  static bool IsServed(const std::string& response) {
    return response.starts_with("HTTP/1.1 200");
  }

  int crashes() const {
    int count = 0;
    for (const auto& crashes : crashes_) count += crashes;
    return count;
  }

  std::atomic<bool> resets_connections_ = true;
  // Whether a server that starts again has a new id.
  std::atomic<bool> renames_servers_ = false;

 private:
  void WriteRow(std::size_t server, int sequence) {
    const int incarnation = incarnations_.at(server);
    const nlohmann::json row = {
        {"service", "orders"}, {"address", servers_.at(server)->address()},
        {"zone", "z"},         {"version", "v1"},
        {"state", "ready"},    {"slots", 4},
        {"born", incarnation}, {"seq", sequence}};
    rows.Set("servers", IdOf(server, incarnation), row.dump());
  }

  std::string IdOf(std::size_t server, int incarnation) const {
    const std::string id = "s" + std::to_string(server + 1);
    return renames_servers_ && incarnation > 1
               ? id + "-" + std::to_string(incarnation)
               : id;
  }

  bool Run(RawConnection& connection, const std::string& request,
           std::size_t server) {
    const std::string id = IdOf(server, 1 + crashes_.at(server));
    if (request.find("X-Lovagecleat-Expect-Instance: " + id + "\r\n") ==
        std::string::npos) {
      connection.Write(
          Join({"HTTP/1.1 421 Misdirected Request\r\n"
                "X-Lovagecleat-Instance-Id: ",
                id, "\r\nContent-Length: 0\r\n\r\n"}));
      return true;
    }
    const bool is_crashing =
        request.ends_with(kCrashingBody) &&
        request.find("X-Lovagecleat-Tenant: t1") != std::string::npos;
    if (is_crashing) {
      std::this_thread::sleep_for(kRunTime);
      ++crashes_.at(server);
      return false;
    }
    if (request.ends_with(kResetBody) && resets_connections_) return false;
    if (request.ends_with(kSilentBody)) {
      connection.DropIncoming();
      connection.WaitForClose();
      return false;
    }
    connection.Write(
        Join({"HTTP/1.1 200 OK\r\nX-Lovagecleat-Request-Id: id1\r\n", kSeal,
              "Content-Length: 2\r\n\r\nok"}));
    return true;
  }

  std::array<std::atomic<int>, kServers> crashes_{};
  std::array<int, kServers> incarnations_{};
  std::vector<std::string> outdated_ids_;
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
};

// Guards against one request that comes again at any host and crashes server
// after server (BUDGET).
TEST_CASE_METHOD(CrashingRequestFixture,
                 "All hosts refuse a request under which servers crash") {
  const std::string target = GENERATE("/s/1", "/s/1?page=2", "/u/1");
  StartHosts(kHosts);
  SendCrashing(12, target);
  REQUIRE(crashes() <= kMostCrashes + kMostFurtherRequests);
  REQUIRE(SendBody(target, kCrashingBody, 0).starts_with("HTTP/1.1 503"));
}

// Guards against a response of the server that has the address of a crashed one
// by now, which is taken for a sign that the crashed one lives and ends the
// block of the request (BUDGET, deadly).
TEST_CASE_METHOD(
    CrashingRequestFixture,
    "A successor at the address of a crashed server ends no block") {
  renames_servers_ = true;
  StartHosts(kHosts);
  for (std::size_t i = 0; i < 12; ++i) {
    SendBody("/s/1", kCrashingBody, i % kHosts);
    RestartCrashedServers();
    RunFor(kRowsDelay);
    for (int j = 0; j < kManySoundRequests; ++j)
      SendBody("/s/2", "sound", (i + 1) % kHosts);
    RemoveOutdatedRows();
    REQUIRE(IsServed(SendBody("/s/2", "sound", i % kHosts)));
  }
  REQUIRE(LogText(kHosts - 1).find("other_server") != std::string::npos);
  REQUIRE(crashes() <= kMostCrashes + kMostFurtherRequests);
}

// Guards against a response of a server that has started again under its id and
// address, before a host has read this, which is taken for a sign that it did
// not crash and ends the block of the request (BUDGET).
TEST_CASE_METHOD(CrashingRequestFixture,
                 "A server that starts again under its id ends no block") {
  StartHosts(kHosts);
  for (std::size_t i = 0; i < 12; ++i) {
    SendBody("/s/1", kCrashingBody, i % kHosts);
    RunFor(kRowsDelay);
    for (int j = 0; j < 2 * kServers; ++j)
      REQUIRE(IsServed(SendBody("/s/2", "sound", (i + 1) % kHosts)));
    RestartCrashedServers();
    RunFor(kRowsDelay);
  }
  REQUIRE(crashes() <= kMostCrashes + kMostFurtherRequests);
}

// Guards against hosts of an older version, which take the response of a
// successor for one of the crashed server and tell the others so (BUDGET).
TEST_CASE_METHOD(CrashingRequestFixture,
                 "Hosts of an older version end no block of a request") {
  StartHosts(kHosts);
  ReportSender older(*this, kHosts);
  for (int i = 0; crashes() < kMostCrashes; ++i) {
    SendBody("/u/1", kCrashingBody, static_cast<std::size_t>(i) % kHosts);
    RestartCrashedServers();
    RunFor(kRowsDelay);
  }
  messages::ContentReports reports;
  for (const routing::ServerIncarnation& server : FirstIncarnations())
    reports.add_living_servers(StableHash(server.Key()));
  const std::string key = BlockedContent();
  reports.add_served_contents(key);
  older.Send(*this, reports);
  rows.Set("hosts", "part/" + key, R"({"released":true})");
  RunFor(kHostRowsDelay);
  for (std::size_t host = 0; host < kHosts; ++host)
    REQUIRE(SendBody("/u/1", kCrashingBody, host).starts_with("HTTP/1.1 503"));
  REQUIRE(crashes() == kMostCrashes);
}

// Guards against a crash that is taken for a connection which the server had
// closed before, so that one request runs at more servers than its route allows
// (BUDGET).
TEST_CASE_METHOD(CrashingRequestFixture,
                 "A request crashes no more servers than it has attempts") {
  StartHosts(1);
  // Opens a connection to each server, which is then reused.
  for (int i = 0; i < 4 * kServers; ++i)
    REQUIRE(IsServed(SendBody("/s/1", "sound", 0)));
  SendBody("/s/1", kCrashingBody, 0);
  REQUIRE(crashes() <= 2);
}

// Guards against hosts whose connections are lost while the servers live: they
// must not make other hosts refuse sound requests.
TEST_CASE_METHOD(CrashingRequestFixture,
                 "Connections lost at servers that live block nothing") {
  StartHosts(kHosts);
  OpenConnections(1);
  for (int i = 0; i < 4; ++i) {
    SendBody("/s/1", kResetBody, 0);
    RunFor(kRowsDelay);
    // Responses of all servers.
    for (int j = 0; j < 3 * kServers; ++j)
      REQUIRE(IsServed(SendBody("/s/2", "sound", 1)));
  }
  resets_connections_ = false;
  for (std::size_t host = 0; host < kHosts; ++host)
    REQUIRE(IsServed(SendBody("/s/1", kResetBody, host)));
}

// Guards against a sound request that stays refused because one host lost its
// connections one after the other (hosts-without-path, a reset path).
TEST_CASE_METHOD(CrashingRequestFixture,
                 "A block is taken back once the servers respond") {
  StartHosts(kHosts);
  OpenConnections(1);
  for (int i = 0; i < 12; ++i) SendBody("/s/1", kResetBody, 0);
  // The last log has the lines of all hosts.
  REQUIRE(LogText(kHosts - 1).find("content_blocked") != std::string::npos);
  resets_connections_ = false;
  RunFor(kRowsDelay);
  for (int i = 0; i < 3 * kServers; ++i)
    REQUIRE(IsServed(SendBody("/s/2", "sound", 1)));
  RunFor(milliseconds(100));
  for (std::size_t host = 0; host < kHosts; ++host)
    REQUIRE(IsServed(SendBody("/s/1", kResetBody, host)));
}

// Guards against a sound request that stays refused although no host had other
// connections to the servers.
TEST_CASE_METHOD(CrashingRequestFixture,
                 "A block is taken back once the servers write to the store") {
  StartHosts(kHosts);
  for (int i = 0; i < 12; ++i) SendBody("/s/1", kResetBody, 0);
  REQUIRE(LogText(kHosts - 1).find("content_blocked") != std::string::npos);
  resets_connections_ = false;
  for (int second = 1; second <= kHeartbeatSeconds; ++second) {
    WriteHeartbeats(second);
    RunFor(std::chrono::seconds(1));
  }
  for (std::size_t host = 0; host < kHosts; ++host)
    REQUIRE(IsServed(SendBody("/s/1", kResetBody, host)));
}

TEST_CASE_METHOD(CrashingRequestFixture,
                 "A connection that ends by a timeout is no crash") {
  StartHosts(1);
  REQUIRE(SendBody("/u/1", kSilentBody, 0).starts_with("HTTP/1.1 502"));
  REQUIRE(LogText().find(R"("outcome":"broken")") != std::string::npos);
  REQUIRE(LogText().find("content_crash") == std::string::npos);
}

}  // namespace
}  // namespace lovagecleat::gateway
