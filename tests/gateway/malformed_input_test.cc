#include <catch2/catch.hpp>
#include <chrono>

#include "tests/gateway/gateway_fixture.h"

// Tests that input which cannot be read ends one request or is left out, and
// not the process.
namespace lovagecleat::gateway {
namespace {

using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"staged","host":"a.example","prefix":"/g/","kind":"unsafe",
  "timeoutMs":2000,"goalMs":1000,"attempts":2,"service":"plain",
  "stages":[{"service":"encoder","bytes":1000}]}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9},
  {"name":"encoder","pieces":{"slots":1,"queue":2,"batch":4,"callMs":50,
   "itemMs":10,"headroomMb":1,"handleS":4,"netMbps":1000}}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

constexpr auto kChangeDelay = std::chrono::milliseconds(1500);

std::string MakeResponse(const std::string& extra, const std::string& body) {
  return "HTTP/1.1 200 X\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string MakeRequest(const std::string& id, const std::string& key) {
  return "POST /g/ HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
         "X-Lovagecleat-Request-Id: " +
         id +
         "\r\nX-Lovagecleat-Deadline-Ms: 2000\r\nX-Lovagecleat-Pieces: 1\r\n"
         "X-Lovagecleat-Piece-Key: " +
         key + "\r\nContent-Length: 2\r\n\r\nhi";
}

class MalformedInputFixture : public GatewayFixture {
 public:
  MalformedInputFixture()
      : plain([](RawConnection& connection, const std::string&) {
          connection.Write(MakeResponse(
              "X-Lovagecleat-Request-Id: id1\r\n" + std::string(kSeal), "ok"));
          return true;
        }),
        stage([](RawConnection& connection, const std::string&) {
          connection.Write(MakeResponse("", R"({"items":[{"handle":"h"}]})"));
          return true;
        }) {
    rows.Set("op", "config", kRouting);
    AddServer("plain", "plain", plain.address());
    AddServer("stage", "encoder", stage.address());
  }

  bool IsServed() {
    return Send(MakeRequest("id1", "k")).starts_with("HTTP/1.1 200");
  }

  ScriptedServer plain;
  ScriptedServer stage;
};

// Guards against the end of all processes at once: a row of the hosts table
// with a field of another type threw an exception in the loop.
TEST_CASE_METHOD(MalformedInputFixture,
                 "A row of a host that cannot be read is left out") {
  const char* value = GENERATE(
      "", "7", "{}", "{", R"({"peers":5})", R"({"peers":null})",
      R"({"peers":"127.0.0.1:9","zone":[]})",
      R"({"peers":"127.0.0.1:9","processor":"x"})",
      R"({"peers":"127.0.0.1:9","processor":-1})", R"({"peers":"nowhere"})");
  CAPTURE(value);
  rows.Set("hosts", "another", value);
  Start();
  RunUntil([this] { return gateway->is_ready(); });
  REQUIRE(IsServed());
  rows.Set("hosts", "a-third", value);
  RunFor(kChangeDelay);
  REQUIRE(IsServed());
  REQUIRE(LogText().find("host_unreadable") != std::string::npos);
}

// Guards against the end of a process: the stage call of a request with a key
// that is no UTF-8 could not be written as JSON, which threw an exception. One
// with such an id took all items of other requests in the same message to a
// batching host with it.
TEST_CASE_METHOD(MalformedInputFixture,
                 "A request with fields that are no UTF-8 is rejected") {
  Start();
  RunUntil([this] { return gateway->is_ready(); });
  const std::string bad = GENERATE("\xff", "a\xc3", "\xed\xa0\x80");
  const bool is_key = GENERATE(true, false);
  CAPTURE(is_key);
  const std::string response =
      Send(is_key ? MakeRequest("id1", bad) : MakeRequest(bad, "k"));
  REQUIRE(response.starts_with("HTTP/1.1 400"));
  REQUIRE(stage.requests() == 0);
  REQUIRE(IsServed());
  REQUIRE(Send(MakeRequest("id1", "\xc3\xa9")).starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace lovagecleat::gateway
