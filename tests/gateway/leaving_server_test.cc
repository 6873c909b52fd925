#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "tests/gateway/gateway_fixture.h"

// Tests that servers which announce that they are about to exit get no new
// requests.
namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"plain","host":"a.example","prefix":"/p/","kind":"unsafe",
  "timeoutMs":3000,"goalMs":1000,"attempts":2,"service":"plain"},
 {"name":"stream","host":"a.example","prefix":"/s/","kind":"stream",
  "timeoutMs":9000,"goalMs":1000,"gapAimMs":100,"attempts":2,
  "service":"plain","resumable":true},
 {"name":"staged","host":"a.example","prefix":"/g/","kind":"unsafe",
  "timeoutMs":3000,"goalMs":1000,"attempts":2,"service":"plain",
  "stages":[{"service":"encoder","bytes":1000}]}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9},
  {"name":"encoder","pieces":{"slots":1,"queue":2,"batch":4,"callMs":400,
   "itemMs":10,"headroomMb":1,"handleS":4,"netMbps":1000}}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

constexpr const char* kNotice = "Server-Leaving: 1\r\n";
// Two reads of the store's tables.
constexpr Duration kRowsDelay = milliseconds(1000);
// A server that is still used gets one of this many requests almost certainly.
constexpr int kProbeRequests = 16;
constexpr int kMaximumTries = 64;

std::string MakeRequest(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
         "X-Lovagecleat-Request-Id: id1\r\nX-Lovagecleat-Deadline-Ms: 3000\r\n"
         "X-Lovagecleat-Pieces: 1\r\nX-Lovagecleat-Piece-Key: k\r\n"
         "Content-Length: 2\r\n\r\nhi";
}

std::string MakeResponse(const std::string& status, const std::string& fields,
                         const std::string& body) {
  return Join({"HTTP/1.1 ", status, " X\r\n", kSeal,
               "X-Lovagecleat-Request-Id: id1\r\n", fields, "Content-Length: ",
               std::to_string(body.size()), "\r\n\r\n", body});
}

ScriptedServer::Script Respond(const std::string& response) {
  return [response](RawConnection& connection, const std::string&) {
    connection.Write(response);
    return true;
  };
}

// Responses of a stage server to calls of one kind.
struct StageResponse {
  std::string fields;
  std::string body;
};

class LeavingServerFixture : public GatewayFixture {
 public:
  LeavingServerFixture()
      : staying(Respond(MakeResponse("200", "", "staying"))) {
    rows.Set("op", "config", kRouting);
  }

  void SetServer(const std::string& id, const std::string& service,
                 const std::string& address, std::uint64_t started_unix_ms,
                 const std::string& zone = "z") {
    const nlohmann::json row = {
        {"service", service},      {"address", address},  {"zone", zone},
        {"version", "v1"},         {"state", "ready"},    {"slots", 4},
        {"born", started_unix_ms}, {"seq", ++heartbeats_}};
    rows.Set("servers", id, row.dump());
  }

  // Starts with a server that sends notices and `staying`.
  void StartWith(const ScriptedServer& leaving) {
    SetServer("leaving", "plain", leaving.address(), 1);
    SetServer("staying", "plain", staying.address(), 1);
    Start();
  }

  // Sends requests until the server has got one.
  void SendUntilUsed(ScriptedServer& server, const std::string& path = "/p/",
                     std::size_t host = 0) {
    const int before = server.requests();
    for (int i = 0; i < kMaximumTries && server.requests() == before; ++i)
      Send(MakeRequest(path), host);
    REQUIRE(server.requests() == before + 1);
  }

  // Returns how many of some further requests the server gets. All must be
  // served.
  int RequestsFrom(const ScriptedServer& server,
                   const std::string& path = "/p/", std::size_t host = 0) {
    const int before = server.requests();
    for (int i = 0; i < kProbeRequests; ++i)
      REQUIRE(Send(MakeRequest(path), host).starts_with("HTTP/1.1 200"));
    return server.requests() - before;
  }

  ScriptedServer staying;

 private:
  int heartbeats_ = 0;
};

TEST_CASE_METHOD(LeavingServerFixture,
                 "A server that gives notice gets no new requests") {
  const auto& [status, fields] = GENERATE(table<std::string, std::string>(
      {{"200", ""},
       {"404", ""},
       {"500", ""},
       {"503", "X-Lovagecleat-Not-Executed: 1\r\n"}}));
  CAPTURE(status);
  ScriptedServer leaving(Respond(MakeResponse(status, fields + kNotice, "x")));
  StartWith(leaving);
  SendUntilUsed(leaving);
  REQUIRE(RequestsFrom(leaving) == 0);
}

// Guards against a running stream that is left or cut because of the notice,
// and against a notice that counts only when the response is complete.
TEST_CASE_METHOD(
    LeavingServerFixture,
    "A stream at a server that gives notice goes on; new ones are refused") {
  ScriptedServer leaving([](RawConnection& connection, const std::string&) {
    connection.Write(Join(
        {"HTTP/1.1 200 OK\r\nX-Lovagecleat-Request-Id: id1\r\n", kSeal, kNotice,
         "Content-Type: text/event-stream\r\n",
         "Transfer-Encoding: chunked\r\n\r\n", Chunk("id: 1\ndata: a\n\n")}));
    std::this_thread::sleep_for(milliseconds(500));
    connection.Write(Join({Chunk("id: 2\ndata: b\n\n"), kStreamEnd}));
    return true;
  });
  SetServer("leaving", "plain", leaving.address(), 1);
  Start();
  std::string refusal;
  const std::string stream = RunWithClient([&](transport::RawClient& client) {
    client.Write(MakeRequest("/s/"));
    std::string text;
    while (text.find("id: 1") == std::string::npos &&
           client.ReadAvailable(text))
      std::this_thread::sleep_for(milliseconds(1));
    const transport::RawClient other(callers_port());
    other.Write(MakeRequest("/s/"));
    refusal = other.ReadToEnd();
    return text + client.ReadToEnd();
  });
  REQUIRE(refusal.starts_with("HTTP/1.1 503"));
  REQUIRE(stream.find("id: 2") != std::string::npos);
  REQUIRE(stream.ends_with(kStreamEnd));
  REQUIRE(leaving.requests() == 1);
}

TEST_CASE_METHOD(LeavingServerFixture,
                 "Rows of the same incarnation do not take a notice back") {
  ScriptedServer leaving(Respond(MakeResponse("200", kNotice, "leaving")));
  StartWith(leaving);
  SendUntilUsed(leaving);
  SECTION("A heartbeat that says ready") {
    SetServer("leaving", "plain", leaving.address(), 1);
    RunFor(kRowsDelay);
  }
  SECTION("The row is removed and returns") {
    rows.Remove("servers", "leaving");
    RunFor(kRowsDelay);
    SetServer("leaving", "plain", leaving.address(), 1);
    RunFor(kRowsDelay);
  }
  SECTION("The store is unavailable") {
    rows.status = RowsResponse::Status::kUnavailable;
    RunFor(kRowsDelay);
  }
  REQUIRE(RequestsFrom(leaving) == 0);
}

TEST_CASE_METHOD(LeavingServerFixture,
                 "A new incarnation is used in spite of an old notice") {
  std::atomic<bool> is_leaving = true;
  ScriptedServer server(
      [&is_leaving](RawConnection& connection, const std::string&) {
        connection.Write(MakeResponse("200", is_leaving ? kNotice : "", "x"));
        return true;
      });
  StartWith(server);
  SendUntilUsed(server);
  REQUIRE(RequestsFrom(server) == 0);
  is_leaving = false;
  SECTION("Under the same id") {
    SetServer("leaving", "plain", server.address(), 2);
  }
  SECTION("At the same address") {
    rows.Remove("servers", "leaving");
    SetServer("other", "plain", server.address(), 1);
  }
  RunFor(kRowsDelay);
  REQUIRE(RequestsFrom(server) > 0);
}

// Guards against a server that is never used because its predecessor under the
// same id gave notice in a late response.
TEST_CASE_METHOD(
    LeavingServerFixture,
    "A late response does not mark the server's next incarnation") {
  ScriptedServer old([](RawConnection& connection, const std::string&) {
    std::this_thread::sleep_for(milliseconds(1500));
    connection.Write(MakeResponse("200", kNotice, "old"));
    return true;
  });
  SetServer("server", "plain", old.address(), 1);
  Start();
  loop().After(milliseconds(200),
               [this] { SetServer("server", "plain", staying.address(), 2); });
  REQUIRE(Send(MakeRequest("/p/")).ends_with("old"));
  REQUIRE(RequestsFrom(staying) == kProbeRequests);
}

// Guards against a server that is never used because another process at its
// former address gave notice.
TEST_CASE_METHOD(LeavingServerFixture,
                 "A response of another server is no notice of this one") {
  std::atomic<int> requests = 0;
  ScriptedServer server(
      [&requests](RawConnection& connection, const std::string&) {
        connection.Write(++requests == 1 ? MakeResponse("421", kNotice, "")
                                         : MakeResponse("200", "", "x"));
        return true;
      });
  StartWith(server);
  SendUntilUsed(server);
  // Longer than the suspension of an unreachable server.
  RunFor(milliseconds(800));
  REQUIRE(RequestsFrom(server) > 0);
}

// Guards against requests that wait for their time limit, although the caller
// could reach new servers with its next attempt.
TEST_CASE_METHOD(LeavingServerFixture,
                 "Requests are refused at once if all servers give notice") {
  ScriptedServer leaving(Respond(MakeResponse("200", kNotice, "leaving")));
  ScriptedServer also_leaving(Respond(MakeResponse("200", kNotice, "leaving")));
  SetServer("a", "plain", leaving.address(), 1);
  SetServer("b", "plain", also_leaving.address(), 1);
  Start();
  REQUIRE(Send(MakeRequest("/p/")).starts_with("HTTP/1.1 200"));
  REQUIRE(Send(MakeRequest("/p/")).starts_with("HTTP/1.1 200"));
  const TimePoint start = loop().clock().Now();
  const std::string response = Send(MakeRequest("/p/"));
  REQUIRE(response.starts_with("HTTP/1.1 503"));
  REQUIRE(response.find("Retry-After: 0.") != std::string::npos);
  REQUIRE(loop().clock().Now() - start < milliseconds(200));
  REQUIRE(leaving.requests() == 1);
  REQUIRE(also_leaving.requests() == 1);
  SetServer("c", "plain", staying.address(), 1);
  RunFor(kRowsDelay);
  REQUIRE(RequestsFrom(leaving) + RequestsFrom(also_leaving) == 0);
}

// Times for messages between hosts, and for a host that starts to ask others.
constexpr Duration kSpreadDelay = milliseconds(300);
constexpr Duration kAskDelay = milliseconds(1000);

// Guards against hosts that use a server until they get the notice themselves,
// or from the store, which may be unavailable.
TEST_CASE_METHOD(LeavingServerFixture,
                 "Notices reach the other hosts of the zone") {
  ScriptedServer leaving(Respond(MakeResponse("200", kNotice, "leaving")));
  SetServer("leaving", "plain", leaving.address(), 1);
  SetServer("staying", "plain", staying.address(), 1);
  StartHosts(2);
  rows.status = RowsResponse::Status::kUnavailable;
  SendUntilUsed(leaving);
  RunFor(kSpreadDelay);
  REQUIRE(RequestsFrom(leaving, "/p/", 1) == 0);
}

TEST_CASE_METHOD(LeavingServerFixture,
                 "A host that starts gets the notices that others know") {
  ScriptedServer leaving(Respond(MakeResponse("200", kNotice, "leaving")));
  SetServer("leaving", "plain", leaving.address(), 1);
  SetServer("staying", "plain", staying.address(), 1);
  StartHosts(2);
  SendUntilUsed(leaving);
  RunFor(kSpreadDelay);
  StartHosts(3);
  RunFor(kAskDelay);
  REQUIRE(RequestsFrom(leaving, "/p/", 2) == 0);
}

// Guards against a server that is never used at one host because another one
// reported that its predecessor was about to exit.
TEST_CASE_METHOD(LeavingServerFixture,
                 "A notice from another host applies to one incarnation") {
  ScriptedServer leaving(Respond(MakeResponse("200", kNotice, "leaving")));
  SetServer("server", "plain", leaving.address(), 1);
  StartHosts(2);
  REQUIRE(Send(MakeRequest("/p/")).starts_with("HTTP/1.1 200"));
  RunFor(kSpreadDelay);
  REQUIRE(Send(MakeRequest("/p/"), 1).starts_with("HTTP/1.1 503"));
  SetServer("server", "plain", staying.address(), 2);
  RunFor(kRowsDelay);
  REQUIRE(RequestsFrom(staying, "/p/", 1) == kProbeRequests);
}

// Stage servers without other load are used in the order of their ids.
class LeavingStageServerFixture : public LeavingServerFixture {
 public:
  LeavingStageServerFixture()
      : leaving([this](RawConnection& connection, const std::string& request) {
          return Handle(connection, request);
        }),
        staying_stage([](RawConnection& connection, const std::string&) {
          connection.Write(
              MakeResponse("200", "", R"({"items":[{"handle":"s"}]})"));
          return true;
        }) {
    SetServer("a", "encoder", leaving.address(), 1);
    SetServer("b", "encoder", staying_stage.address(), 1);
    SetServer("staying", "plain", staying.address(), 1);
    Start();
  }

  StageResponse call{"", R"({"items":[{"handle":"l"}]})"};
  StageResponse report{"", R"({"queued":0,"busy":false,"freeMb":1})"};
  StageResponse release;
  std::atomic<int> calls = 0;
  std::atomic<int> reports = 0;
  std::atomic<int> releases = 0;

  ScriptedServer leaving;
  ScriptedServer staying_stage;

 private:
  bool Handle(RawConnection& connection, const std::string& request) {
    const bool is_report = request.starts_with("GET /report");
    const bool is_release = request.starts_with("POST /stage-free");
    ++(is_report ? reports : is_release ? releases : calls);
    const StageResponse& response = is_report    ? report
                                    : is_release ? release
                                                 : call;
    connection.Write(MakeResponse("200", response.fields, response.body));
    return true;
  }
};

TEST_CASE_METHOD(LeavingStageServerFixture,
                 "A stage server that gives notice gets no new calls") {
  SECTION("In the response to a call") { call.fields = kNotice; }
  SECTION("In the response to a release") { release.fields = kNotice; }
  SECTION("In a report") {
    call.body = R"({"items":[{"reason":"room"}]})";
    report.fields = kNotice;
  }
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
  // Covers the delay of a release.
  RunFor(milliseconds(100));
  REQUIRE(calls == 1);
  RequestsFrom(leaving, "/g/");
  REQUIRE(calls == 1);
}

TEST_CASE_METHOD(
    LeavingServerFixture,
    "Requests are refused at once if all their stage servers give notice") {
  ScriptedServer leaving(
      Respond(MakeResponse("200", kNotice, R"({"items":[{"handle":"l"}]})")));
  SetServer("leaving", "encoder", leaving.address(), 1);
  SetServer("staying", "plain", staying.address(), 1);
  Start();
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
  // Covers the delay of a release.
  RunFor(milliseconds(100));
  const int calls = leaving.requests();
  const TimePoint start = loop().clock().Now();
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 503"));
  REQUIRE(loop().clock().Now() - start < milliseconds(200));
  REQUIRE(leaving.requests() == calls);
}

// Guards against items that fail, since the retry budget is used up, although
// no server has received them.
TEST_CASE_METHOD(LeavingServerFixture,
                 "Items queued for a server that gives notice move on") {
  ScriptedServer leaving(
      [](RawConnection& connection, const std::string& request) {
        if (request.starts_with("POST /stage-run"))
          std::this_thread::sleep_for(milliseconds(800));
        connection.Write(
            MakeResponse("200", kNotice, R"({"items":[{"handle":"l"}]})"));
        return true;
      });
  ScriptedServer other_zone(
      Respond(MakeResponse("200", "", R"({"items":[{"handle":"o"}]})")));
  SetServer("leaving", "encoder", leaving.address(), 1);
  SetServer("staying", "plain", staying.address(), 1);
  Start();
  DisableRetries();
  // Only after the items are queued.
  loop().After(milliseconds(200), [&] {
    SetServer("other", "encoder", other_zone.address(), 1, "other");
  });
  const std::string responses = RunWithClient([&](transport::RawClient& first) {
    first.Write(MakeRequest("/g/"));
    std::this_thread::sleep_for(milliseconds(50));
    const transport::RawClient second(callers_port());
    second.Write(MakeRequest("/g/"));
    return first.ReadToEnd() + second.ReadToEnd();
  });
  REQUIRE(responses.find("503") == std::string::npos);
  REQUIRE(other_zone.requests() == 1);
}

// Guards against results that occupy the memory of a server until they expire.
TEST_CASE_METHOD(LeavingStageServerFixture,
                 "Results at a server that gives notice are released") {
  call.fields = kNotice;
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
  RunUntil([this] { return releases == 1; });
}

}  // namespace
}  // namespace lovagecleat::gateway
