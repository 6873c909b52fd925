#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

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
// Crashes at this distance have no common cause.
constexpr Duration kDistinctTime = milliseconds(260);
// Time until they have read a row in the hosts table.
constexpr Duration kHostRowsDelay = milliseconds(2500);
// Time since a crash after which the part is tried again.
constexpr std::int64_t kLongAgoMs = 60'000;
// A part that has crashed this many servers must be known.
constexpr int kMostCrashes = 5;
// Requests with it that may reach servers after that.
constexpr int kMostFurtherRequests = 3;
// Enough for a host to send at least one to each server, which it draws at
// random: it misses one of seven in 0.1% of runs.
constexpr int kManyUnrelatedRequests = 8 * kServers;

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
            const std::string id = CurrentId(static_cast<std::size_t>(i));
            if (request.find("X-Lovagecleat-Expect-Instance: " + id + "\r\n") ==
                std::string::npos) {
              connection.Write(
                  Join({"HTTP/1.1 421 Misdirected Request\r\n"
                        "X-Lovagecleat-Instance-Id: ",
                        id, "\r\nContent-Length: 0\r\n\r\n"}));
              return true;
            }
            const bool has_part =
                request.find(kCrashingPart) != std::string::npos;
            if (has_part && resets_connections_) {
              connection.Write(kStreamHead);
              return false;
            }
            if (has_part && crashes_servers_) {
              ++crashing_requests_;
              ++crashes_.at(static_cast<std::size_t>(i));
              if (begins_response_) connection.Write(kStreamHead);
              return false;
            }
            if (unsealed_) {
              connection.Write(
                  "HTTP/1.1 200 OK\r\nX-Lovagecleat-Request-Id: id1\r\n"
                  "Content-Length: 2\r\n\r\nok");
              return true;
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
      if (renames_servers_) outdated_ids_.push_back(IdOf(i, incarnation - 1));
      incarnations_.at(i) = incarnation;
      const nlohmann::json row = {
          {"service", "model"}, {"address", servers_.at(i)->address()},
          {"zone", "z"},        {"version", "v1"},
          {"state", "ready"},   {"slots", 4},
          {"born", incarnation}};
      rows.Set("servers", IdOf(i, incarnation), row.dump());
    }
  }

  // Removes the rows of crashed servers whose address others have.
  void RemoveOutdatedRows() {
    for (const std::string& id : outdated_ids_) rows.Remove("servers", id);
    outdated_ids_.clear();
    RunFor(kRowsDelay);
  }

  // Requests with the part are never alike in their last part.
  std::string SendCrashing(const std::string& path, std::size_t host) {
    ++sent_;
    return RetryCrashing(path, host);
  }

  // Sends the last request once more, as its caller does.
  std::string RetryCrashing(const std::string& path, std::size_t host) {
    return Send(MakeRequest(path, "aaaa:20," + std::string(kCrashingPart) +
                                      ":20," + std::to_string(sent_) + ":60"),
                host);
  }

  std::string SendSound(const std::string& path, std::size_t host) {
    return Send(
        MakeRequest(path, "aaaa:20,bbbb:20," + std::to_string(++sent_) + ":60"),
        host);
  }

  // Requests without a common part go to any server.
  std::string SendUnrelated(const std::string& path, std::size_t host) {
    const std::string number = std::to_string(++sent_);
    return Send(MakeRequest(path, number + ":20," + number + "0:60"), host);
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

  // Whether servers only close the connections of requests with the part.
  std::atomic<bool> resets_connections_ = false;
  std::atomic<bool> crashes_servers_ = true;
  std::atomic<bool> begins_response_ = true;
  std::atomic<bool> unsealed_ = false;  // sound responses lack the seal
  // Whether a server that starts again has a new id.
  std::atomic<bool> renames_servers_ = false;

 private:
  std::string IdOf(std::size_t server, int incarnation) const {
    const std::string id = "s" + std::to_string(server + 1);
    return renames_servers_ && incarnation > 1
               ? id + "-" + std::to_string(incarnation)
               : id;
  }
  std::string CurrentId(std::size_t server) const {
    return IdOf(server, 1 + crashes_.at(server));
  }

  std::atomic<int> crashing_requests_ = 0;
  std::array<std::atomic<int>, kServers> crashes_{};
  std::array<int, kServers> incarnations_{};
  std::vector<std::string> outdated_ids_;
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
  int sent_ = 0;
};

// Guards against requests with one prompt part that crash server after server,
// each sent by another host (BUDGET).
TEST_CASE_METHOD(CrashingPromptFixture,
                 "All hosts refuse a prompt part under which servers crash") {
  const std::string path = GENERATE("/o/", "/r/");
  StartHosts(kHosts);
  for (std::size_t i = 0; i < 12; ++i) {
    SendCrashing(path, i % kHosts);
    REQUIRE(SendSound(path, (i + 1) % kHosts).starts_with("HTTP/1.1 200"));
    RestartCrashedServers();
    RunFor(kRowsDelay);
  }
  REQUIRE(crashing_requests() <= kMostCrashes + kMostFurtherRequests);
}

// Guards against a part that is never known, since each request with it is
// blocked first and explains the crashes under it (BUDGET).
TEST_CASE_METHOD(CrashingPromptFixture,
                 "A part is known although its requests are blocked first") {
  begins_response_ = GENERATE(true, false);
  StartHosts(kHosts);
  for (std::size_t i = 0; i < 8; ++i) {
    SendCrashing("/r/", i % kHosts);
    RestartCrashedServers();
    RunFor(kRowsDelay);
    RetryCrashing("/r/", (i + 1) % kHosts);
    REQUIRE(SendSound("/r/", (i + 1) % kHosts).starts_with("HTTP/1.1 200"));
    RestartCrashedServers();
    RunFor(kRowsDelay);
  }
  REQUIRE(crashing_requests() <= kMostCrashes + kMostFurtherRequests);
}

// Guards against a response of the server that has the address of a crashed one
// by now, which is taken for a sign that the crashed one lives and ends the
// block of the part (BUDGET, deadly).
TEST_CASE_METHOD(
    CrashingPromptFixture,
    "A successor at the address of a crashed server frees no part") {
  renames_servers_ = true;
  StartHosts(kHosts);
  for (std::size_t i = 0; i < 12; ++i) {
    SendCrashing("/r/", i % kHosts);
    RestartCrashedServers();
    RunFor(kRowsDelay);
    for (int j = 0; j < kManyUnrelatedRequests; ++j)
      SendUnrelated("/r/", (i + 1) % kHosts);
    RemoveOutdatedRows();
  }
  REQUIRE(LogText(kHosts - 1).find("other_server") != std::string::npos);
  REQUIRE(crashing_requests() <= kMostCrashes + kMostFurtherRequests);
}

// Guards against hosts that take a part whose block was taken back for one that
// was served, so that it crashes more servers before they know it (BUDGET).
TEST_CASE_METHOD(CrashingPromptFixture,
                 "A block that is taken back does not make its part sound") {
  StartHosts(kHosts);
  // Opens connections to all servers.
  for (int i = 0; i < 4 * kServers; ++i) SendUnrelated("/r/", 1);
  resets_connections_ = true;
  while (LogText(kHosts - 1).find("content_blocked") == std::string::npos) {
    SendCrashing("/o/", 0);
    RunFor(kDistinctTime);
  }
  resets_connections_ = false;
  for (int i = 0; i < 4 * kServers; ++i) SendUnrelated("/r/", 1);
  RunUntil([&] {
    return LogText(kHosts - 1).find(R"("reason":"refuted")") !=
           std::string::npos;
  });
  CrashServers(3, "/o/");
  for (std::size_t host = 0; host < kHosts; ++host)
    REQUIRE(SendCrashing("/o/", host).starts_with("HTTP/1.1 503"));
  REQUIRE(crashing_requests() == 3);
}

// Guards against a server whose first bytes are lost with it.
TEST_CASE_METHOD(CrashingPromptFixture,
                 "Servers that crash before they respond count too") {
  begins_response_ = false;
  StartHosts(kHosts);
  CrashServers(kMostCrashes + 1, "/o/");
  for (std::size_t i = 0; i < 2 * kHosts; ++i) SendCrashing("/o/", i % kHosts);
  REQUIRE(crashing_requests() <= kMostCrashes + kMostFurtherRequests);
}

// Guards against a part that is sound at first and then crashes servers before
// they respond (BUDGET).
TEST_CASE_METHOD(
    CrashingPromptFixture,
    "A part that was served before is known after as many crashes") {
  begins_response_ = false;
  crashes_servers_ = false;
  StartHosts(kHosts);
  for (std::size_t i = 0; i < kHosts; ++i)
    REQUIRE(SendCrashing("/o/", i).starts_with("HTTP/1.1 200"));
  crashes_servers_ = true;
  CrashServers(kMostCrashes + 1, "/o/");
  for (std::size_t i = 0; i < 2 * kHosts; ++i) SendCrashing("/o/", i % kHosts);
  REQUIRE(crashing_requests() <= kMostCrashes + kMostFurtherRequests);
}

// Guards against a block that only the hosts know that ran when it was decided
// (herds of processes are killed at once).
TEST_CASE_METHOD(CrashingPromptFixture,
                 "Hosts that start know the blocked parts") {
  StartHosts(kHosts);
  SECTION("From the store") {
    CrashServers(3, "/o/");
    REQUIRE(rows.content_block_writes == 1);
    for (std::size_t i = 0; i < kHosts; ++i) KillHost(i);
  }
  SECTION("From other hosts") {
    rows.stores_content_blocks = false;
    CrashServers(3, "/o/");
  }
  StartHosts(kHosts + 1);
  RunFor(kRowsDelay);
  const std::string response = SendCrashing("/o/", kHosts);
  REQUIRE(response.starts_with("HTTP/1.1 503"));
  REQUIRE(response.find("Retry-After: ") != std::string::npos);
  REQUIRE(crashing_requests() == 3);
  REQUIRE(SendSound("/o/", kHosts).starts_with("HTTP/1.1 200"));
}

TEST_CASE_METHOD(
    CrashingPromptFixture,
    "Blocks that a restore of the store has lost are written again") {
  StartHosts(kHosts);
  const FakeRowSource::Copy copy = rows.Save();
  CrashServers(3, "/o/");
  RunFor(kRowsDelay);
  const std::string key = "part/" + std::string(kCrashingPart);
  REQUIRE(rows.Find("hosts", key) != nullptr);
  rows.Restore(copy);
  REQUIRE(rows.Find("hosts", key) == nullptr);
  RunUntil([&] { return rows.Find("hosts", key) != nullptr; });
  REQUIRE(SendCrashing("/o/", 0).starts_with("HTTP/1.1 503"));
}

// Guards against a part that stays blocked although it is sound, and against
// more than one request that shows that it is not.
TEST_CASE_METHOD(CrashingPromptFixture,
                 "One request at a time tries a blocked part again") {
  StartHosts(kHosts);
  const auto block = [&](const std::string& part) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const std::int64_t now_ms =
        std::chrono::duration_cast<milliseconds>(now).count();
    const nlohmann::json row = {{"crashed_unix_ms", now_ms - kLongAgoMs},
                                {"expires_unix_ms", now_ms + kLongAgoMs},
                                {"trials", 0}};
    rows.Set("hosts", "part/" + part, row.dump());
    RunFor(kHostRowsDelay);
  };
  SECTION("It crashes its server") {
    block(kCrashingPart);
    for (std::size_t i = 0; i < 3 * kHosts; ++i)
      SendCrashing("/r/", i % kHosts);
    REQUIRE(crashing_requests() == 1);
    const std::string key = "part/" + std::string(kCrashingPart);
    // Rows are written with the next tick.
    RunUntil([&] {
      return nlohmann::json::parse(rows.Find("hosts", key)->value)
                 .at("trials") == 1;
    });
  }
  SECTION("It is served") {
    block("bbbb");
    int served = 0;
    for (std::size_t i = 0; i < 3 * kHosts; ++i) {
      if (SendSound("/r/", i % kHosts).starts_with("HTTP/1.1 200")) ++served;
      RunFor(milliseconds(50));
    }
    REQUIRE(served >= 3 * static_cast<int>(kHosts) - 2);
    RunUntil([&] {
      return rows.Find("hosts", "part/bbbb")->value == R"({"released":true})";
    });
  }
}

TEST_CASE_METHOD(CrashingPromptFixture, "Rows end and begin blocks of parts") {
  StartHosts(1);
  const std::string key = "part/" + std::string(kCrashingPart);
  const auto now_ms = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  const auto set = [&](std::int64_t expires_ms) {
    const nlohmann::json row = {{"crashed_unix_ms", now_ms},
                                {"expires_unix_ms", expires_ms},
                                {"trials", 0}};
    rows.Set("hosts", key, row.dump());
    RunFor(kHostRowsDelay);
  };
  SECTION("A block of another host") {
    set(now_ms + 60'000);
    REQUIRE(SendCrashing("/o/", 0).starts_with("HTTP/1.1 503"));
    SECTION("An operator releases the part") {
      rows.Set("hosts", key, R"({"released":true})");
      RunFor(kHostRowsDelay);
      SendCrashing("/o/", 0);
      REQUIRE(crashing_requests() == 1);
    }
  }
  SECTION("A block that is over") {
    set(now_ms - 1);
    SendCrashing("/o/", 0);
    REQUIRE(crashing_requests() == 1);
  }
  SECTION("Unreadable rows") {
    for (const char* value :
         {"", "1", "{", R"({"crashed_unix_ms":"x"})", R"({"released":1})",
          R"({"crashed_unix_ms":1e300,"expires_unix_ms":1,"trials":1})"}) {
      rows.Set("hosts", key, value);
      RunFor(kHostRowsDelay);
    }
    rows.Set("hosts", "part/ÿ", R"({"released":true})");
    RunFor(kHostRowsDelay);
    SendCrashing("/o/", 0);
    REQUIRE(crashing_requests() == 1);
    REQUIRE(LogText().find("content_block_unreadable") != std::string::npos);
  }
}

// Guards against suspects at servers that fail a response and live.
TEST_CASE_METHOD(CrashingPromptFixture,
                 "A failed response is no crash of its server") {
  unsealed_ = true;
  StartHosts(1);
  REQUIRE(SendSound("/o/", 0).starts_with("HTTP/1.1 502"));
  REQUIRE(LogText().find("not_whole") != std::string::npos);
  REQUIRE(LogText().find("content_crash") == std::string::npos);
}

}  // namespace
}  // namespace lovagecleat::gateway
