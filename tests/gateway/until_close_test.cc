#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/gateway/gateway_fixture.h"

// Tests responses of servers that have neither a length nor chunks and end with
// their connection.
namespace lovagecleat::gateway {
namespace {

using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"safe","host":"a.example","prefix":"/s/","kind":"safe",
  "timeoutMs":3000,"goalMs":500,"attempts":2,"service":"plain"},
 {"name":"once","host":"a.example","prefix":"/o/","kind":"stream",
  "timeoutMs":9000,"goalMs":1000,"gapAimMs":100,"attempts":2,
  "service":"plain"},
 {"name":"resumable","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":9000,"goalMs":1000,"gapAimMs":100,"attempts":3,
  "service":"plain","resumable":true}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

constexpr const char* kHead =
    "HTTP/1.1 200 OK\r\nX-Lovagecleat-Request-Id: id1\r\n"
    "X-Lovagecleat-Response-Seal: s\r\n"
    "Content-Type: text/event-stream\r\n\r\n";

std::string MakeRequest(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
         "X-Lovagecleat-Request-Id: id1\r\nX-Lovagecleat-Deadline-Ms: 5000\r\n"
         "Content-Length: 2\r\n\r\nhi";
}

class UntilCloseFixture : public GatewayFixture {
 public:
  // Starts with two servers that send `body` without a length. A request that
  // resumes the stream gets `rest`.
  void StartWith(const std::string& body, const std::string& rest) {
    rows.Set("op", "config", kRouting);
    const auto script = [body, rest](RawConnection& connection,
                                     const std::string& request) {
      const bool resumes =
          request.find("Last-Event-Id: 1\r\n") != std::string::npos;
      connection.Write(Join({kHead, resumes ? rest : body}));
      return false;
    };
    for (const char* id : {"s1", "s2"}) {
      servers_.push_back(std::make_unique<ScriptedServer>(script));
      AddServer(id, "plain", servers_.back()->address());
    }
    Start();
  }

 private:
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
};

TEST_CASE_METHOD(UntilCloseFixture,
                 "A response may end with its server's connection") {
  const std::string path = GENERATE("/s/", "/o/", "/r/");
  StartWith("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "");
  const std::string response = Send(MakeRequest(path));
  REQUIRE(response.starts_with("HTTP/1.1 200"));
  REQUIRE(response.find("data: b") != std::string::npos);
  if (path != "/s/") REQUIRE(response.ends_with(kStreamEnd));
}

TEST_CASE_METHOD(UntilCloseFixture,
                 "A stream that ends within an event is resumed or cut") {
  StartWith("id: 1\ndata: a\n\nid: 2\nda", "id: 2\ndata: b\n\n");
  SECTION("Resumed") {
    const std::string response = Send(MakeRequest("/r/"));
    REQUIRE(response.find("data: b\n\n") != std::string::npos);
    REQUIRE(response.ends_with(kStreamEnd));
  }
  SECTION("Cut") {
    const std::string response = Send(MakeRequest("/o/"));
    REQUIRE(response.find("data: a") != std::string::npos);
    REQUIRE_FALSE(response.ends_with(kStreamEnd));
  }
}

// Guards against an empty stream that looks complete to the caller although its
// server crashed as it began the response.
TEST_CASE_METHOD(UntilCloseFixture,
                 "A stream without an event or a length is no success") {
  const std::string path = GENERATE("/o/", "/r/");
  StartWith("", "");
  REQUIRE(Send(MakeRequest(path)).starts_with("HTTP/1.1 502"));
}

}  // namespace
}  // namespace lovagecleat::gateway
