#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include "tests/gateway/gateway_fixture.h"

// Tests that all hosts together keep to the limit that a server names.
namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using transport::RawConnection;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"safe","host":"a.example","prefix":"/s/","kind":"safe",
  "timeoutMs":3000,"goalMs":100,"attempts":2,"service":"plain"},
 {"name":"staged","host":"a.example","prefix":"/g/","kind":"unsafe",
  "timeoutMs":3000,"goalMs":600,"attempts":2,"service":"plain",
  "stages":[{"service":"encoder","bytes":1000}]}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":90},
  {"name":"encoder","pieces":{"slots":1,"queue":2,"batch":4,"callMs":50,
   "itemMs":10,"headroomMb":1,"handleS":4,"netMbps":1000}}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

constexpr std::size_t kHosts = 3;
// A server may get so many times its limit and so many more requests in any
// window.
constexpr double kLimitFactor = 1.5;
constexpr int kLimitSlack = 5;
constexpr seconds kWindow{4};

std::string MakeRequest(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
         "X-Lovagecleat-Request-Id: id1\r\nX-Lovagecleat-Deadline-Ms: 900\r\n"
         "X-Lovagecleat-Pieces: 1\r\nX-Lovagecleat-Piece-Key: k\r\n"
         "Content-Length: 2\r\n\r\nhi";
}

std::string MakeResponse(const std::string& fields, const std::string& body) {
  return Join({"HTTP/1.1 200 X\r\n", kSeal, "X-Lovagecleat-Request-Id: id1\r\n",
               fields, "Content-Length: ", std::to_string(body.size()),
               "\r\n\r\n", body});
}

// Names a limit in all responses and remembers when requests arrived.
class LimitedServer {
 public:
  explicit LimitedServer(std::string limit)
      : limit_(std::move(limit)),
        server_([this](RawConnection& connection, const std::string& request) {
          const std::lock_guard<std::mutex> lock(mutex_);
          arrivals_.push_back(std::chrono::steady_clock::now());
          const std::string field =
              limit_.empty() ? "" : "Server-Limit: " + limit_ + "\r\n";
          const bool is_batch = request.starts_with("POST /stage-run");
          connection.Write(MakeResponse(
              field, is_batch ? R"({"items":[{"handle":"h0"}]})" : "ok"));
          return true;
        }) {}

  std::string address() const { return server_.address(); }

  void SetLimit(std::string limit) {
    const std::lock_guard<std::mutex> lock(mutex_);
    limit_ = std::move(limit);
  }

  std::size_t requests() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_.size();
  }

  // Returns the most requests in any window that begins at `from` or later.
  int MostInWindow(SteadyTime from) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::ptrdiff_t most = 0;
    for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first) {
      if (*first < from) continue;
      const auto end =
          std::upper_bound(first, arrivals_.end(), *first + kWindow);
      most = std::max(most, end - first);
    }
    return static_cast<int>(most);
  }

 private:
  std::mutex mutex_;
  std::string limit_;
  std::vector<SteadyTime> arrivals_;
  ScriptedServer server_;
};

class LimitedServerFixture : public GatewayFixture {
 public:
  LimitedServerFixture()
      : other([](RawConnection& connection, const std::string&) {
          connection.Write(MakeResponse("", "ok"));
          return true;
        }) {
    rows.Set("op", "config", kRouting);
  }

  // Sends requests to one host after the other. Returns how many were served.
  int SendFor(Duration time, const std::string& path) {
    const TimePoint end = loop().clock().Now() + time;
    int served = 0;
    for (std::size_t i = 0; loop().clock().Now() < end; ++i) {
      if (Send(MakeRequest(path), i % kHosts).starts_with("HTTP/1.1 200"))
        ++served;
      RunFor(milliseconds(10));
    }
    return served;
  }

  ScriptedServer other;
};

int AllowedRequests(double limit) {
  return static_cast<int>(kLimitFactor * limit * kWindow.count()) + kLimitSlack;
}

// Guards against hosts that ignore a server's limit, or each use all of it
// (LIMIT).
TEST_CASE_METHOD(LimitedServerFixture,
                 "All hosts together keep to the limit of a server") {
  const auto& [text, limit] = GENERATE(
      table<std::string, double>({{"1", 1}, {"0.25", 0.25}, {"6.5", 6.5}}));
  CAPTURE(text);
  LimitedServer server(text);
  AddServer("limited", "plain", server.address());
  AddServer("other", "plain", other.address());
  StartHosts(kHosts);
  SendFor(milliseconds(500), "/s/");
  const SteadyTime from = std::chrono::steady_clock::now();
  const std::size_t before = server.requests();
  REQUIRE(before > 0);
  SendFor(milliseconds(6000), "/s/");
  REQUIRE(server.MostInWindow(from) <= AllowedRequests(limit));
  // The limit is used.
  REQUIRE(server.requests() - before >= static_cast<std::size_t>(limit * 3));
}

TEST_CASE_METHOD(LimitedServerFixture,
                 "A limit ends when the server names none any more") {
  LimitedServer server("0.25");
  AddServer("limited", "plain", server.address());
  AddServer("other", "plain", other.address());
  StartHosts(kHosts);
  SendFor(milliseconds(1500), "/s/");
  server.SetLimit("");
  // Hosts find out with the next request that the limit allows.
  const TimePoint end = loop().clock().Now() + seconds(30);
  while (LogText().find(R"("per_second":-1)") == std::string::npos &&
         loop().clock().Now() < end)
    SendFor(milliseconds(100), "/s/");
  RunFor(milliseconds(100));
  const std::size_t before = server.requests();
  const int served = SendFor(milliseconds(500), "/s/");
  CAPTURE(served);
  REQUIRE(server.requests() - before >= 5);
}

// Guards against a wait for a server that is sure to be too late.
TEST_CASE_METHOD(
    LimitedServerFixture,
    "Requests beyond the limits of all servers are refused at once "
    "with the time until the next") {
  LimitedServer server("0.5");
  AddServer("limited", "plain", server.address());
  StartHosts(kHosts);
  REQUIRE(Send(MakeRequest("/s/")).starts_with("HTTP/1.1 200"));
  const TimePoint start = loop().clock().Now();
  const std::string response = Send(MakeRequest("/s/"));
  REQUIRE(loop().clock().Now() - start < milliseconds(90));
  REQUIRE(response.starts_with("HTTP/1.1 503"));
  const std::string name = "Retry-After: ";
  REQUIRE(std::stod(response.substr(response.find(name) + name.size())) > 0.5);
}

TEST_CASE_METHOD(LimitedServerFixture,
                 "Calls to a stage server keep to its limit") {
  LimitedServer encoder("2");
  AddServer("encoder", "encoder", encoder.address());
  AddServer("other", "plain", other.address());
  StartHosts(kHosts);
  const SteadyTime start = std::chrono::steady_clock::now();
  const int served = SendFor(milliseconds(6000), "/g/");
  REQUIRE(encoder.MostInWindow(start + milliseconds(500)) <=
          AllowedRequests(2));
  REQUIRE(served >= 2);
}

// Guards against calls that wait for the limit of an incarnation that has
// ended.
TEST_CASE_METHOD(LimitedServerFixture,
                 "A stage server that restarts is called without its limit") {
  LimitedServer encoder("0.25");
  const auto set_encoder = [&](int born) {
    rows.Set("servers", "encoder",
             R"({"service":"encoder","address":")" + encoder.address() +
                 R"(","zone":"z","version":"v1","state":"ready","slots":4,)" +
                 R"("born":)" + std::to_string(born) + "}");
  };
  set_encoder(1);
  AddServer("other", "plain", other.address());
  StartHosts(kHosts);
  SendFor(milliseconds(1000), "/g/");
  encoder.SetLimit("");
  set_encoder(2);
  // The hosts read the row, and calls that wait start.
  RunFor(milliseconds(1200));
  REQUIRE(SendFor(milliseconds(500), "/g/") >= 2);
}

}  // namespace
}  // namespace lovagecleat::gateway
