#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/gateway/gateway_fixture.h"

// Tests that hosts tell a prompt part under which several servers crash at the
// same moment from a loss of power.
namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using transport::RawClient;
using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"once","host":"a.example","prefix":"/o/","kind":"stream",
  "timeoutMs":9000,"goalMs":1000,"gapAimMs":100,"attempts":2,
  "service":"model"}],
 "services":[{"name":"model","healthPath":"/h","maxConns":90}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

// Crashes the servers that have it.
constexpr const char* kCrashingPart = "badbadbadbadbad1";
constexpr const char* kSoundPart = "cccc";
// Requests whose last part begins with it stay at their servers until these
// lose power.
constexpr const char* kHeldMark = "feed";
constexpr std::size_t kHosts = 3;
constexpr std::size_t kServers = 12;
// Requests that are sent at once, enough to reach kCrashesToKnow servers.
constexpr std::size_t kRequestsAtOnce = 12;
constexpr int kCrashesToKnow = 5;
// Requests with the part that may reach servers once they have crashed, and the
// hosts had time to hear of it.
constexpr int kMostFurtherRequests = 3;
constexpr Duration kContactTime = milliseconds(3000);
// Time that a server works on a request before it crashes.
constexpr milliseconds kRunTime(40);
constexpr Duration kSoundInterval = milliseconds(250);

// A request to one of the hosts.
struct HostRequest {
  std::size_t host = 0;
  std::string text;
};

class SimultaneousCrashesFixture : public GatewayFixture {
 public:
  SimultaneousCrashesFixture() {
    rows.Set("op", "config", kRouting);
    for (std::size_t i = 0; i < kServers; ++i)
      servers_.push_back(std::make_unique<ScriptedServer>(
          [this, i](RawConnection& connection, const std::string& request) {
            return Run(connection, request, i);
          }));
    for (std::size_t i = 0; i < kServers; ++i) WriteRow(i);
    StartHosts(kHosts);
  }

  // All requests have their first part in common; no two are alike in the last
  // one, which begins with `mark`.
  std::string MakeRequest(const std::string& part,
                          const std::string& mark = "") {
    return "POST /o/ HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
           "X-Lovagecleat-Request-Id: id1\r\n"
           "X-Lovagecleat-Deadline-Ms: 8000\r\n"
           "X-Lovagecleat-Token-Usage: 100,10\r\n"
           "X-Lovagecleat-Prompt-Prefix: aaaa:20," +
           part + ":20," + mark + std::to_string(++sent_) +
           ":60\r\nContent-Length: 2\r\n\r\nhi";
  }

  // Returns requests with these parts in turn, for one host after the other.
  std::vector<HostRequest> MakeRequests(std::size_t count,
                                        const std::vector<std::string>& parts,
                                        const std::string& mark = "") {
    std::vector<HostRequest> requests;
    for (std::size_t i = 0; i < count; ++i)
      requests.push_back(
          {i % kHosts, MakeRequest(parts.at(i % parts.size()), mark)});
    return requests;
  }

  // Sends all requests at once. `while_waiting` runs while they are open.
  std::vector<std::string> SendAll(
      const std::vector<HostRequest>& requests,
      const std::function<void()>& while_waiting = [] {}) {
    std::atomic<std::size_t> done = 0;
    std::vector<std::string> responses(requests.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < requests.size(); ++i)
      threads.emplace_back([&, i, port = callers_port(requests.at(i).host)] {
        const RawClient client(port);
        client.Write(requests.at(i).text);
        responses.at(i) = client.ReadToEnd();
        ++done;
      });
    while_waiting();
    RunUntil([&] { return done == requests.size(); });
    for (std::thread& thread : threads) thread.join();
    return responses;
  }

  // Sends sound requests to all hosts for that time and returns how many of
  // them were not served.
  int RunWithSoundRequests(Duration time, const std::string& part) {
    int unserved = 0;
    const TimePoint end = loop().clock().Now() + time;
    for (std::size_t i = 0; loop().clock().Now() < end; ++i) {
      if (!IsServed(Send(MakeRequest(part), i % kHosts))) ++unserved;
      RunFor(kSoundInterval);
    }
    return unserved;
  }

  // Ends the power of all servers that hold requests, for good or until they
  // start again.
  void LosePower() { has_power_ = false; }

  void RestartCrashedServers() {
    has_power_ = true;
    for (std::size_t i = 0; i < kServers; ++i)
      if (written_.at(i) != incarnations_.at(i)) WriteRow(i);
    // Until the hosts have read the rows.
    RunFor(milliseconds(600));
  }

  static bool IsServed(const std::string& response) {
    return response.starts_with("HTTP/1.1 200") &&
           response.ends_with(kStreamEnd);
  }

  int crashed_servers() const {
    int count = 0;
    for (const auto& incarnation : incarnations_)
      if (incarnation > 1) ++count;
    return count;
  }
  int crashing_requests() const { return crashing_requests_; }
  int held_requests() const { return held_requests_; }

  std::atomic<bool> crashes_servers_ = true;
  std::atomic<bool> begins_response_ = true;

 private:
  void WriteRow(std::size_t server) {
    const int incarnation = incarnations_.at(server);
    written_.at(server) = incarnation;
    const std::string id = "s" + std::to_string(server + 1);
    const nlohmann::json row = {
        {"service", "model"}, {"address", servers_.at(server)->address()},
        {"zone", "z"},        {"version", "v1"},
        {"state", "ready"},   {"slots", 2},
        {"born", incarnation}};
    rows.Set("servers", id, row.dump());
  }

  bool Run(RawConnection& connection, const std::string& request,
           std::size_t server) {
    const bool is_crashing =
        crashes_servers_ && request.find(kCrashingPart) != std::string::npos;
    const bool is_held =
        request.find(Join({",", kHeldMark})) != std::string::npos;
    if ((is_crashing || is_held) && begins_response_)
      connection.Write(kStreamHead);
    if (is_crashing) {
      ++crashing_requests_;
      std::this_thread::sleep_for(kRunTime);
      ++incarnations_.at(server);
      return false;
    }
    if (is_held) {
      ++held_requests_;
      while (has_power_) std::this_thread::sleep_for(milliseconds(1));
      ++incarnations_.at(server);
      return false;
    }
    connection.Write(
        Join({kStreamHead, Chunk("id: 1\ndata: a\n\n"), kStreamEnd}));
    return true;
  }

  std::atomic<bool> has_power_ = true;
  std::atomic<int> crashing_requests_ = 0;
  std::atomic<int> held_requests_ = 0;
  std::array<std::atomic<int>, kServers> incarnations_ = MakeIncarnations();
  std::array<int, kServers> written_{};
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
  int sent_ = 0;

  static std::array<std::atomic<int>, kServers> MakeIncarnations() {
    return {1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1};
  }
};

// Guards against a part under which many servers crash together, so that all of
// them count as one (BUDGET).
TEST_CASE_METHOD(SimultaneousCrashesFixture,
                 "A part that crashes servers together is known") {
  begins_response_ = GENERATE(true, false);
  const bool was_served = GENERATE(false, true);
  if (was_served) {
    crashes_servers_ = false;
    for (const std::string& response :
         SendAll(MakeRequests(kHosts, {kCrashingPart})))
      REQUIRE(IsServed(response));
    crashes_servers_ = true;
  }
  SendAll(MakeRequests(kRequestsAtOnce, {kCrashingPart}));
  REQUIRE(crashed_servers() >= kCrashesToKnow);
  RestartCrashedServers();
  REQUIRE(RunWithSoundRequests(kContactTime, kSoundPart) == 0);
  const int known = crashing_requests();
  for (int i = 0; i < 2; ++i) {
    SendAll(MakeRequests(kRequestsAtOnce, {kCrashingPart}));
    RestartCrashedServers();
  }
  CAPTURE(begins_response_.load(), was_served, crashed_servers());
  REQUIRE(crashing_requests() - known <= kMostFurtherRequests);
  REQUIRE(RunWithSoundRequests(milliseconds(1000), kSoundPart) == 0);
}

// Guards against blocking what sound requests share if servers lose power with
// it.
TEST_CASE_METHOD(SimultaneousCrashesFixture, "A loss of power blocks nothing") {
  begins_response_ = GENERATE(true, false);
  // Requests to all hosts that stay at their servers until these lose power.
  const auto lose_power = [this](const std::vector<HostRequest>& requests) {
    SendAll(requests, [&] {
      RunUntil(
          [&] { return held_requests() == static_cast<int>(requests.size()); });
      LosePower();
    });
    REQUIRE(crashed_servers() >= kCrashesToKnow);
  };
  const bool is_in_use = GENERATE(true, false);
  if (is_in_use) {
    // The other servers serve requests with the part.
    lose_power(MakeRequests(kRequestsAtOnce, {kSoundPart}, kHeldMark));
    REQUIRE(RunWithSoundRequests(kContactTime, kSoundPart) == 0);
  } else {
    // Most servers had other requests.
    lose_power(
        MakeRequests(kRequestsAtOnce, {kSoundPart, "d1", "d2"}, kHeldMark));
    REQUIRE(RunWithSoundRequests(kContactTime, "d3") == 0);
  }
  RestartCrashedServers();
  REQUIRE(LogText(kHosts - 1).find("content_crash") != std::string::npos);
  REQUIRE(RunWithSoundRequests(milliseconds(1000), kSoundPart) == 0);
}

}  // namespace
}  // namespace lovagecleat::gateway
