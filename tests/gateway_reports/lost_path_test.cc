#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "tests/gateway/gateway_fixture.h"

// Tests that the callers of a host that has lost its path to all servers are
// served by way of the other hosts.
namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using transport::RawConnection;
using Cut = transport::RawServer::Cut;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"safe","host":"a.example","prefix":"/s/","kind":"safe",
  "timeoutMs":3000,"goalMs":300,"attempts":2,"service":"orders"},
 {"name":"once","host":"a.example","prefix":"/u/","kind":"unsafe",
  "timeoutMs":3000,"goalMs":300,"attempts":1,"service":"orders"},
 {"name":"stream","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":6000,"goalMs":1000,"gapAimMs":100,"attempts":2,
  "service":"model","sticky":true,"resumable":true}],
 "services":[{"name":"orders","healthPath":"/h","maxConns":90},
  {"name":"model","healthPath":"/h","maxConns":90}],
 "tenants":[{"name":"t1","apiKeys":["key1"]}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

constexpr std::size_t kHosts = 3;
constexpr std::size_t kServersPerService = 3;
// Time after which a host must know that it has no path.
constexpr Duration kNoticeTime = milliseconds(2500);
// Time after which a host must use its path again.
constexpr Duration kReturnTime = milliseconds(3500);
constexpr int kRequests = 8;

// Each host reaches the servers by a path of its own, which can be cut.
class LostPathFixture : public GatewayFixture {
 public:
  LostPathFixture() {
    rows.Set("op", "config", kRouting);
    for (std::size_t host = 0; host < kHosts; ++host)
      for (std::size_t i = 0; i < 2 * kServersPerService; ++i)
        paths_.at(host).push_back(std::make_unique<ScriptedServer>(
            [this, host](RawConnection& connection,
                         const std::string& request) {
              return Run(connection, request, host);
            }));
    // Rows name a server by its number in place of an address.
    edit_server_row = [this](std::size_t host, const std::string& value) {
      nlohmann::json row = nlohmann::json::parse(value);
      const auto number = std::stoul(row.at("address").get<std::string>());
      row["address"] = paths_.at(host).at(number)->address();
      return row.dump();
    };
    for (std::size_t i = 0; i < 2 * kServersPerService; ++i)
      AddServer("s" + std::to_string(i),
                i < kServersPerService ? "orders" : "model", std::to_string(i));
  }

  void CutPaths(std::size_t host, Cut cut) {
    for (const auto& server : paths_.at(host)) server->server().CutPath(cut);
  }

  void RestorePaths(std::size_t host) {
    for (const auto& server : paths_.at(host)) server->server().RestorePath();
  }

  static std::string MakeRequest(const std::string& path,
                                 const std::string& extra = "") {
    return "POST " + path +
           " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
           "X-Lovagecleat-Request-Id: id1\r\nX-Api-Key: key1\r\n"
           "X-Lovagecleat-Deadline-Ms: 2500\r\n"
           "X-Lovagecleat-Token-Usage: 10,10\r\n"
           "X-Lovagecleat-Prompt-Prefix: aaaa:5,bbbb:5\r\n" +
           extra + "Content-Length: 2\r\n\r\nhi";
  }

  std::string SendTo(std::size_t host, const std::string& path,
                     const std::string& extra = "") {
    return Send(MakeRequest(path, extra), host);
  }

  // Lets the hosts find out that their paths are cut.
  void NoticeCut(std::size_t host) {
    for (const char* route : {"/s/1", "/u/1", "/r/1"}) SendTo(host, route);
    RunFor(kNoticeTime);
  }

  // Returns how many of the requests on all routes were served.
  int ServedOf(int count, std::size_t host) {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      const std::array routes{"/s/1", "/u/1", "/r/1"};
      const std::string response =
          SendTo(host, routes.at(static_cast<std::size_t>(i) % routes.size()));
      if (response.starts_with("HTTP/1.1 200") &&
          response.find("whole") != std::string::npos)
        ++served;
    }
    return served;
  }

  std::atomic<bool> closes_connections_ = false;  // after each response

  std::atomic<bool> gives_notice_ = false;  // in each response

  std::atomic<bool> waits_for_close_ = false;  // in place of a response
  std::atomic<int> closed_by_client_ = 0;

  void ResetRequests() {
    for (auto& requests : requests_) requests = 0;
  }
  int requests_of(std::size_t host) const { return requests_.at(host); }

 private:
  bool Run(RawConnection& connection, const std::string& request,
           std::size_t host) {
    ++requests_.at(host);
    const bool has_key = request.find("X-Api-Key") != std::string::npos;
    const bool has_team =
        request.find("X-Lovagecleat-Tenant: t1") != std::string::npos;
    if (has_key || !has_team) return false;
    if (waits_for_close_) {
      connection.WaitForClose();
      ++closed_by_client_;
      return false;
    }
    if (request.starts_with("POST /r/")) {
      connection.Write(Join({kStreamHead, Chunk("id: 1\ndata: a\n\n"),
                             Chunk("id: 2\ndata: whole\n\n"), kStreamEnd}));
      return true;
    }
    connection.Write(
        Join({"HTTP/1.1 200 OK\r\nX-Lovagecleat-Request-Id: id1\r\n", kSeal,
              closes_connections_ ? "Connection: close\r\n" : "",
              gives_notice_ ? "Server-Leaving: 1\r\n" : "",
              "Content-Length: 5\r\n\r\nwhole"}));
    return !closes_connections_;
  }

  std::array<std::vector<std::unique_ptr<ScriptedServer>>, kHosts> paths_;
  std::array<std::atomic<int>, kHosts> requests_{};
};

// Guards against callers that are not served because their host has lost its
// path to the servers, while others have theirs (RECOVER).
TEST_CASE_METHOD(LostPathFixture,
                 "A host without a path to servers serves its callers") {
  const Cut cut = GENERATE(Cut::kSilent, Cut::kReset, Cut::kOnlyNewRefused);
  StartHosts(kHosts);
  REQUIRE(ServedOf(kRequests, 0) == kRequests);
  closes_connections_ = cut == Cut::kOnlyNewRefused;
  CutPaths(0, cut);
  NoticeCut(0);
  REQUIRE(ServedOf(3 * kRequests, 0) == 3 * kRequests);
  // The last log has the lines of all hosts.
  REQUIRE(LogText(kHosts - 1).find("path_lost") != std::string::npos);
  REQUIRE(LogText(kHosts - 1).find("content_blocked") == std::string::npos);
  if (cut == Cut::kOnlyNewRefused) return;
  RestorePaths(0);
  RunFor(kReturnTime);
  const int before = requests_of(0);
  REQUIRE(ServedOf(kRequests, 0) == kRequests);
  REQUIRE(requests_of(0) - before == kRequests);
}

// Guards against requests to a server that is about to exit: the host that had
// passed a request on to another zone did not learn what the server said.
TEST_CASE_METHOD(
    LostPathFixture,
    "A notice in a response from another zone reaches the caller's "
    "host") {
  for (std::size_t host = 1; host < kHosts; ++host) host_zones[host] = "y";
  StartHosts(kHosts);
  REQUIRE(ServedOf(kRequests, 0) == kRequests);
  CutPaths(0, Cut::kReset);
  NoticeCut(0);
  gives_notice_ = true;
  REQUIRE(SendTo(0, "/s/1").starts_with("HTTP/1.1 200"));
  RunFor(milliseconds(200));
  // The last log has the lines of all hosts.
  const std::string log = LogText(kHosts - 1);
  std::istringstream lines(log);
  bool has_learned = false;
  for (std::string line; std::getline(lines, line);)
    has_learned |= line.find(R"("server_leaving")") != std::string::npos &&
                   line.find(R"("host":"host")") != std::string::npos &&
                   line.find(R"("source":"peer")") != std::string::npos;
  INFO(log);
  REQUIRE(has_learned);
}

// Guards against callers that wait although no host can serve them, and against
// requests that go round between hosts.
TEST_CASE_METHOD(LostPathFixture,
                 "Requests are refused at once if no host has a path") {
  StartHosts(kHosts);
  REQUIRE(ServedOf(kRequests, 0) == kRequests);
  for (std::size_t host = 0; host < kHosts; ++host) CutPaths(host, Cut::kReset);
  for (std::size_t host = 0; host < kHosts; ++host) NoticeCut(host);
  const TimePoint start = loop().clock().Now();
  for (std::size_t host = 0; host < kHosts; ++host) {
    const std::string response = SendTo(host, "/s/1");
    REQUIRE(response.starts_with("HTTP/1.1 503"));
    REQUIRE(response.find("Retry-After: ") != std::string::npos);
  }
  REQUIRE(loop().clock().Now() - start < milliseconds(300));
}

TEST_CASE_METHOD(LostPathFixture, "A request is passed on once") {
  StartHosts(kHosts);
  CutPaths(0, Cut::kReset);
  NoticeCut(0);
  REQUIRE(SendTo(0, "/s/1").starts_with("HTTP/1.1 200"));
  REQUIRE(SendTo(0, "/s/1", "X-Lovagecleat-Relayed: 1\r\n")
              .starts_with("HTTP/1.1 503"));
}

TEST_CASE_METHOD(LostPathFixture,
                 "A caller that leaves ends the work at the other host") {
  StartHosts(kHosts);
  CutPaths(0, Cut::kReset);
  NoticeCut(0);
  waits_for_close_ = true;
  RunWithClient(
      [](transport::RawClient& raw) {
        raw.Write(MakeRequest("/u/1"));
        std::this_thread::sleep_for(milliseconds(300));
        raw.Close();
        return std::string();
      },
      0);
  RunUntil([&] { return closed_by_client_ == 1; });
}

// Guards against a 503, which promises that a request was not run, after a host
// that may have run it was lost.
TEST_CASE_METHOD(LostPathFixture,
                 "A request that may have run is not reported as not run") {
  StartHosts(kHosts);
  CutPaths(0, Cut::kReset);
  NoticeCut(0);
  waits_for_close_ = true;
  loop().After(milliseconds(300), [this] {
    const std::size_t handling_host = requests_of(1) > 0 ? 1 : 2;
    CutPaths(3 - handling_host, Cut::kReset);
    KillHost(handling_host);
  });
  ResetRequests();
  REQUIRE(SendTo(0, "/s/1").starts_with("HTTP/1.1 502"));
}

}  // namespace
}  // namespace lovagecleat::gateway
