#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/gateway/gateway_fixture.h"

// Tests that a prompt part which crashes the servers that begin to respond to
// it is refused, and nothing else.
namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"once","host":"a.example","prefix":"/o/","kind":"stream",
  "timeoutMs":9000,"goalMs":1000,"gapAimMs":100,"attempts":2,
  "service":"model","sticky":true},
 {"name":"resumable","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":9000,"goalMs":1000,"gapAimMs":100,"attempts":2,
  "service":"model","sticky":true,"resumable":true}],
 "services":[{"name":"model","healthPath":"/h","maxConns":90}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

constexpr const char* kCrashingPart = "badbadbadbadbad1";
constexpr std::size_t kHosts = 3;
constexpr int kServers = 6;
// Time until the hosts have read the rows of servers that have restarted.
constexpr Duration kRowsDelay = milliseconds(600);
// A part that has crashed this many servers must be known.
constexpr int kMostCrashes = 5;
// Requests with it that may reach servers after that.
constexpr int kMostFurtherRequests = 3;

std::string MakeRequest(const std::string& path, const std::string& parts) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
         "X-Lovagecleat-Request-Id: id1\r\nX-Lovagecleat-Deadline-Ms: 5000\r\n"
         "X-Lovagecleat-Token-Usage: 100,10\r\n"
         "X-Lovagecleat-Prompt-Prefix: " +
         parts + "\r\nContent-Length: 2\r\n\r\nhi";
}

class CrashingPromptFixture : public GatewayFixture {
 public:
  CrashingPromptFixture() {
    rows.Set("op", "config", kRouting);
    for (int i = 0; i < kServers; ++i)
      servers_.push_back(std::make_unique<ScriptedServer>(
          [this, i](RawConnection& connection, const std::string& request) {
            if (request.find(kCrashingPart) != std::string::npos) {
              ++crashing_requests_;
              ++crashes_.at(static_cast<std::size_t>(i));
              if (begins_response_) connection.Write(kStreamHead);
              return false;
            }
            connection.Write(
                Join({kStreamHead, Chunk("id: 1\ndata: a\n\n"), kStreamEnd}));
            return true;
          }));
    RestartCrashedServers();
  }

  // Gives each server that has crashed since the last call a new incarnation.
  void RestartCrashedServers() {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const int incarnation = 1 + crashes_.at(i);
      if (incarnations_.at(i) == incarnation) continue;
      incarnations_.at(i) = incarnation;
      const nlohmann::json row = {
          {"service", "model"}, {"address", servers_.at(i)->address()},
          {"zone", "z"},        {"version", "v1"},
          {"state", "ready"},   {"slots", 4},
          {"born", incarnation}};
      rows.Set("servers", "s" + std::to_string(i + 1), row.dump());
    }
  }

  // Requests with the part are never alike in their last part.
  std::string SendCrashing(const std::string& path, std::size_t host) {
    return Send(MakeRequest(path, "aaaa:20," + std::string(kCrashingPart) +
                                      ":20," + std::to_string(++sent_) + ":60"),
                host);
  }

  std::string SendSound(const std::string& path, std::size_t host) {
    return Send(
        MakeRequest(path, "aaaa:20,bbbb:20," + std::to_string(++sent_) + ":60"),
        host);
  }

  int crashing_requests() const { return crashing_requests_; }

  // Sends requests with the part to one host after the other, beside sound
  // ones, until servers have crashed `count` times.
  void CrashServers(int count, const std::string& path) {
    for (std::size_t i = 0; crashing_requests_ < count; ++i) {
      REQUIRE(i < 40);
      SendCrashing(path, i % kHosts);
      REQUIRE(SendSound(path, (i + 1) % kHosts).starts_with("HTTP/1.1 200"));
      RestartCrashedServers();
      RunFor(kRowsDelay);
    }
  }

  std::atomic<bool> begins_response_ = true;

 private:
  std::atomic<int> crashing_requests_ = 0;
  std::array<std::atomic<int>, kServers> crashes_{};
  std::array<int, kServers> incarnations_{};
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
  int sent_ = 0;
};

// Guards against requests with one prompt part that crash server after server,
// each sent by another host (BUDGET).
TEST_CASE_METHOD(CrashingPromptFixture,
                 "All hosts refuse a prompt part under which servers crash") {
  const std::string path = GENERATE("/o/", "/r/");
  StartHosts(kHosts);
  for (std::size_t i = 0; i < 20; ++i) {
    SendCrashing(path, i % kHosts);
    REQUIRE(SendSound(path, (i + 1) % kHosts).starts_with("HTTP/1.1 200"));
    RestartCrashedServers();
    RunFor(kRowsDelay);
  }
  REQUIRE(crashing_requests() <= kMostCrashes + kMostFurtherRequests);
}

}  // namespace
}  // namespace lovagecleat::gateway
