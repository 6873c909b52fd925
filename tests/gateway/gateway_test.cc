#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>

#include "tests/gateway/gateway_fixture.h"

namespace lovagecleat::gateway {
namespace {

using transport::RawClient;
using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"unsafe","host":"a.example","prefix":"/u/","kind":"unsafe",
  "timeoutMs":800,"goalMs":300,"attempts":2,"service":"plain"},
 {"name":"safe","host":"a.example","prefix":"/s/","kind":"safe",
  "timeoutMs":800,"goalMs":300,"attempts":2,"service":"plain"},
 {"name":"stream","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":5000,"goalMs":1000,"attempts":2,"service":"plain",
  "resumable":true},
 {"name":"once","host":"a.example","prefix":"/o/","kind":"stream",
  "timeoutMs":5000,"goalMs":1000,"attempts":2,"service":"plain"}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000},
 "tenants":[{"name":"team","apiKeys":["key"]}]})";

std::string MakeRequest(const std::string& path,
                        const std::string& extra = "") {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
         "X-Lovagecleat-Request-Id: id1\r\nX-Api-Key: key\r\n"
         "X-Lovagecleat-Deadline-Ms: 3000\r\nContent-Length: 2\r\n" +
         extra + "\r\nhi";
}

std::string MakeResponse(int status, const std::string& extra,
                         const std::string& body = "ok") {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nX-Lovagecleat-Request-Id: id1\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr const char* kNotRun = "X-Lovagecleat-Not-Executed: 1\r\n";

ScriptedServer::Script RespondWith(std::string response) {
  return [response = std::move(response)](RawConnection& connection,
                                          const std::string&) {
    connection.Write(response);
    return true;
  };
}

class GatewayTest : public GatewayFixture {
 public:
  void StartWith(std::initializer_list<ScriptedServer*> servers) {
    rows.Set("op", "config", kRouting);
    int number = 0;
    for (ScriptedServer* server : servers)
      AddServer("s" + std::to_string(++number), "plain", server->address());
    Start();
  }
};

TEST_CASE_METHOD(GatewayTest,
                 "A request is forwarded unchanged but for reserved fields") {
  ScriptedServer server(RespondWith(MakeResponse(200, kSeal)));
  StartWith({&server});
  const std::string response =
      Send(MakeRequest("/u/x?y=z",
                       "X-Own: 1\r\nX-Lovagecleat-Tenant: forged\r\n"
                       "X-Lovagecleat-Hold: forged\r\nKv-From: forged\r\n"
                       "X-Lovagecleat-Expect-Instance: forged\r\n"));
  REQUIRE(response.starts_with("HTTP/1.1 200"));
  REQUIRE(response.find("X-Lovagecleat-Response-Seal: s") != std::string::npos);
  REQUIRE(response.ends_with("\r\n\r\nok"));
  const std::string request = server.last_request();
  REQUIRE(request.starts_with("POST /u/x?y=z HTTP/1.1\r\nHost: a.example"));
  REQUIRE(request.ends_with("hi"));
  REQUIRE(request.find("X-Own: 1") != std::string::npos);
  REQUIRE(request.find("X-Lovagecleat-Tenant: team") != std::string::npos);
  REQUIRE(request.find("X-Lovagecleat-Expect-Instance: s1") !=
          std::string::npos);
  REQUIRE(request.find("forged") == std::string::npos);
  REQUIRE(request.find("key") == std::string::npos);
}

TEST_CASE_METHOD(GatewayTest,
                 "Requests without a route or a valid key reach no server") {
  ScriptedServer server(RespondWith(MakeResponse(200, kSeal)));
  Start();
  REQUIRE(Send(MakeRequest("/u/")).starts_with("HTTP/1.1 503"));
  rows.Set("op", "config", kRouting);
  AddServer("s1", "plain", server.address());
  // Changes of the table are read at a limited rate.
  RunUntil([&, until = loop().clock().Now() + std::chrono::seconds(1)] {
    return loop().clock().Now() >= until;
  });
  REQUIRE(Send(MakeRequest("/none/")).starts_with("HTTP/1.1 404"));
  std::string other = MakeRequest("/u/");
  other.replace(other.find("X-Api-Key: key"), 14, "X-Api-Key: not");
  REQUIRE(Send(other).starts_with("HTTP/1.1 401"));
  REQUIRE(server.requests() == 0);
  REQUIRE(Send(MakeRequest("/u/")).starts_with("HTTP/1.1 200"));
}

TEST_CASE_METHOD(GatewayTest,
                 "An unsafe request whose response is lost is not repeated") {
  ScriptedServer first(
      [](RawConnection&, const std::string&) { return false; });
  ScriptedServer second(
      [](RawConnection&, const std::string&) { return false; });
  StartWith({&first, &second});
  const std::string response = Send(MakeRequest("/u/"));
  REQUIRE(response.starts_with("HTTP/1.1 502"));
  REQUIRE(first.requests() + second.requests() == 1);
}

TEST_CASE_METHOD(
    GatewayTest,
    "An unsafe request that was not run is sent to another server") {
  ScriptedServer full(RespondWith(MakeResponse(503, kNotRun)));
  StartWith({&full});
  const std::string refused = Send(MakeRequest("/u/"));
  REQUIRE(refused.starts_with("HTTP/1.1 503"));
  REQUIRE(refused.find("Retry-After: ") != std::string::npos);
  ScriptedServer good(RespondWith(MakeResponse(200, kSeal)));
  AddServer("s2", "plain", good.address());
  RunUntil([&, until = loop().clock().Now() + std::chrono::seconds(1)] {
    return loop().clock().Now() >= until;
  });
  for (int i = 0; i < 4; ++i)
    REQUIRE(Send(MakeRequest("/u/")).starts_with("HTTP/1.1 200"));
}

TEST_CASE_METHOD(GatewayTest,
                 "A request to a replaced server instance counts as not run") {
  ScriptedServer moved(RespondWith(MakeResponse(421, "")));
  ScriptedServer good(RespondWith(MakeResponse(200, kSeal)));
  StartWith({&moved, &good});
  for (int i = 0; i < 4; ++i)
    REQUIRE(Send(MakeRequest("/u/")).starts_with("HTTP/1.1 200"));
}

TEST_CASE_METHOD(GatewayTest,
                 "A 503 without the not-executed field becomes a 502") {
  ScriptedServer server(RespondWith(MakeResponse(503, kSeal)));
  StartWith({&server});
  REQUIRE(Send(MakeRequest("/u/")).starts_with("HTTP/1.1 502"));
}

TEST_CASE_METHOD(GatewayTest, "A safe request is retried after a failure") {
  std::atomic<int> failures = 0;
  const auto script = [&](RawConnection& connection, const std::string&) {
    const bool fails = failures++ == 0;
    connection.Write(fails ? MakeResponse(500, kSeal)
                           : MakeResponse(200, kSeal));
    return true;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  REQUIRE(Send(MakeRequest("/s/")).starts_with("HTTP/1.1 200"));
  REQUIRE(first.requests() == 1);
  REQUIRE(second.requests() == 1);
}

TEST_CASE_METHOD(GatewayTest,
                 "A safe request to a silent server is retried on another") {
  std::atomic<int> calls = 0;
  const auto script = [&](RawConnection& connection, const std::string&) {
    if (calls++ > 0) connection.Write(MakeResponse(200, kSeal));
    connection.WaitForClose();
    return false;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  REQUIRE(Send(MakeRequest("/s/")).starts_with("HTTP/1.1 200"));
  REQUIRE(calls == 2);
}

// Guards against cancelled calls: requests were cancelled at slow servers and
// failed, since the retry budget did not allow another send.
TEST_CASE_METHOD(GatewayTest,
                 "A slow call continues when the retry budget is empty") {
  const auto script = [](RawConnection& connection, const std::string&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(450));
    connection.Write(MakeResponse(200, kSeal));
    return true;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  DisableRetries();
  StartWith({&first, &second});
  REQUIRE(Send(MakeRequest("/s/")).starts_with("HTTP/1.1 200"));
  REQUIRE(first.requests() + second.requests() == 1);
}

// Servers that crash together must not use up the retry budget: a request that
// does not arrive adds no load.
TEST_CASE_METHOD(GatewayTest,
                 "A failed connection does not use the retry budget") {
  ScriptedServer server(RespondWith(MakeResponse(200, kSeal)));
  DisableRetries();
  for (int i = 0; i < 4; ++i)
    AddServer("gone" + std::to_string(i), "plain",
              "127.0.0.1:" + std::to_string(transport::UnusedPort()));
  StartWith({&server});
  for (int i = 0; i < 8; ++i)
    REQUIRE(Send(MakeRequest("/u/")).starts_with("HTTP/1.1 200"));
}

TEST_CASE_METHOD(GatewayTest,
                 "A 200 without a seal or with an encoding becomes a 502") {
  for (const char* extra :
       {"", "X-Lovagecleat-Response-Seal: s\r\nContent-Encoding: gzip\r\n"}) {
    GatewayTest fixture;
    ScriptedServer server(RespondWith(MakeResponse(200, extra)));
    fixture.StartWith({&server});
    REQUIRE(fixture.Send(MakeRequest("/u/")).starts_with("HTTP/1.1 502"));
  }
}

TEST_CASE_METHOD(GatewayTest, "A request ends at its route's timeout") {
  ScriptedServer server([](RawConnection& connection, const std::string&) {
    connection.WaitForClose();
    return false;
  });
  StartWith({&server});
  const TimePoint start = loop().clock().Now();
  REQUIRE(Send(MakeRequest("/u/")).starts_with("HTTP/1.1 504"));
  const Duration elapsed = loop().clock().Now() - start;
  REQUIRE(elapsed >= std::chrono::milliseconds(700));
  REQUIRE(elapsed < std::chrono::milliseconds(1300));
}

// The first server closes the connection within the second event; the other
// server resumes the stream.
TEST_CASE_METHOD(GatewayTest,
                 "A resumable stream continues after its last complete event") {
  std::atomic<int> calls = 0;
  std::atomic<bool> has_resumed_after_1 = false;
  const auto script = [&](RawConnection& connection,
                          const std::string& request) {
    if (calls++ == 0) {
      connection.Write(
          Join({kStreamHead, Chunk("id: 1\ndata: a\n\nid: 2\ndata: ")}));
      return false;
    }
    has_resumed_after_1 =
        request.find("Last-Event-Id: 1\r\n") != std::string::npos;
    connection.Write(Join({kStreamHead, Chunk("id: 2\ndata: b\n\n"),
                           Chunk("id: 3\ndata: c\n\n"), "0\r\n\r\n"}));
    return true;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  const std::string response = Send(MakeRequest("/r/"));
  REQUIRE(has_resumed_after_1);
  REQUIRE(response.starts_with("HTTP/1.1 200"));
  const std::size_t a = response.find("id: 1\ndata: a\n\n");
  const std::size_t b = response.find("id: 2\ndata: b\n\n");
  const std::size_t c = response.find("id: 3\ndata: c\n\n");
  REQUIRE(a < b);
  REQUIRE(b < c);
  REQUIRE(c != std::string::npos);
  REQUIRE(response.find("id: 2", b + 1) == std::string::npos);
  REQUIRE(response.ends_with("0\r\n\r\n"));
}

TEST_CASE_METHOD(GatewayTest,
                 "A broken stream that cannot resume is not terminated") {
  const auto script = [](RawConnection& connection, const std::string&) {
    connection.Write(Join({kStreamHead, Chunk("id: 1\ndata: a\n\n")}));
    return false;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  const std::string response = Send(MakeRequest("/o/"));
  REQUIRE_FALSE(response.ends_with("0\r\n\r\n"));
  REQUIRE(first.requests() + second.requests() == 1);
}

TEST_CASE_METHOD(GatewayTest,
                 "A stream with a missing event is not terminated") {
  ScriptedServer server(
      RespondWith(Join({kStreamHead, Chunk("id: 1\ndata: a\n\n"),
                        Chunk("id: 3\ndata: c\n\n"), "0\r\n\r\n"})));
  StartWith({&server});
  const std::string response = Send(MakeRequest("/o/"));
  REQUIRE(response.find("id: 3") == std::string::npos);
  REQUIRE_FALSE(response.ends_with("0\r\n\r\n"));
}

TEST_CASE_METHOD(GatewayTest,
                 "The server call ends when the client disconnects") {
  std::atomic<bool> has_call = false;
  std::atomic<bool> has_ended = false;
  ScriptedServer server([&](RawConnection& connection, const std::string&) {
    has_call = true;
    connection.WaitForClose();
    has_ended = true;
    return false;
  });
  StartWith({&server});
  const TimePoint start = loop().clock().Now();
  RunWithClient([&](RawClient& raw) {
    raw.Write(MakeRequest("/r/"));
    while (!has_call) std::this_thread::yield();
    raw.Close();
    return std::string();
  });
  RunUntil([&] { return has_ended.load(); });
  REQUIRE(loop().clock().Now() - start < std::chrono::milliseconds(500));
}

// Guards against cut responses: a stopping process ended although a slow client
// was still reading a response that was complete at the host.
TEST_CASE_METHOD(GatewayTest,
                 "A stop waits for clients that still read their responses") {
  const std::string body(std::size_t{7} << 20, 'x');
  ScriptedServer server([&](RawConnection& connection, const std::string&) {
    connection.Write(Join({"HTTP/1.1 200 OK\r\n", kSeal,
                           "X-Lovagecleat-Request-Id: id1\r\nContent-Length: ",
                           std::to_string(body.size()), "\r\n\r\n", body}));
    return true;
  });
  StartWith({&server});
  std::string response;
  std::thread client([&, port = callers_port()] {
    const RawClient raw(port);
    raw.Write(MakeRequest("/s/"));
    // Longer than the process waits for new connections.
    std::this_thread::sleep_for(std::chrono::milliseconds(3000));
    response = raw.ReadToEnd();
  });
  RunUntil([&] {
    return LogText().find(R"("cause":"served")") != std::string::npos;
  });
  gateway->Stop();
  loop().Run();
  KillHost(0);
  client.join();
  REQUIRE(response.size() > body.size());
  REQUIRE(response.ends_with("0\r\n\r\n"));
}

// Guards against cut-off requests: a stopping host accepted requests until it
// was killed.
TEST_CASE_METHOD(GatewayTest,
                 "Requests that come long after a stop are refused") {
  std::atomic<bool> is_released = false;
  ScriptedServer server([&](RawConnection& connection, const std::string&) {
    while (!is_released) std::this_thread::yield();
    connection.Write(Join({kStreamHead, "0\r\n\r\n"}));
    return true;
  });
  StartWith({&server});
  loop().OnSignal(SIGUSR1, [this] { gateway->Stop(); });
  std::string late;
  const std::string held = RunWithClient([&](RawClient& raw) {
    raw.Write(MakeRequest("/o/"));
    RawClient other(callers_port());
    const std::string request = MakeRequest("/u/");
    const std::string_view view = request;
    other.Write(view.substr(0, view.size() - 1));
    while (server.requests() == 0) std::this_thread::yield();
    kill(getpid(), SIGUSR1);
    std::this_thread::sleep_for(std::chrono::milliseconds(2700));
    other.Write(view.substr(view.size() - 1));
    late = other.ReadToEnd();
    is_released = true;
    return raw.ReadToEnd();
  });
  REQUIRE(held.starts_with("HTTP/1.1 200"));
  REQUIRE(late.starts_with("HTTP/1.1 503"));
  REQUIRE(server.requests() == 1);
}

TEST_CASE_METHOD(GatewayTest,
                 "A new host is ready once others have read its row") {
  StartWith({});
  const TimePoint start = loop().clock().Now();
  RunUntil([&] { return gateway->is_ready(); });
  REQUIRE(loop().clock().Now() - start >= std::chrono::milliseconds(1400));
}

TEST_CASE_METHOD(GatewayTest, "A known host is ready at once") {
  AddOwnHostRow();
  const TimePoint start = loop().clock().Now();
  StartWith({});
  RunUntil([&] { return gateway->is_ready(); });
  REQUIRE(loop().clock().Now() - start < std::chrono::milliseconds(500));
}

// Guards against lost requests: a lower idle limit closed connections that
// clients could reuse under the limit with which these became idle.
TEST_CASE_METHOD(
    GatewayTest,
    "A lower idle limit spares connections that are idle already") {
  using std::chrono::milliseconds;
  ScriptedServer server(RespondWith(MakeResponse(200, kSeal)));
  const auto routing = [](int version, int idle_ms) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"safe","host":"a.example","prefix":"/s/",
 "kind":"safe","timeoutMs":800,"goalMs":300,"attempts":2,"service":"plain"}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":)" +
           std::to_string(idle_ms) + "}}";
  };
  rows.Set("op", "config", routing(3, 2000));
  AddServer("s1", "plain", server.address());
  Start();
  loop().After(milliseconds(200),
               [&] { rows.Set("op", "config", routing(4, 400)); });
  const std::string head =
      "GET /s/ HTTP/1.1\r\nHost: a.example\r\n"
      "X-Lovagecleat-Request-Id: id1\r\n";
  const std::string responses = RunWithClient([&](RawClient& client) {
    client.Write(head + "\r\n");
    std::this_thread::sleep_for(milliseconds(1600));
    client.Write(head + "Connection: close\r\n\r\n");
    return client.ReadToEnd();
  });
  REQUIRE(responses.find("HTTP/1.1 200", 1) != std::string::npos);
}

// Guards against crashes at the end of a process: timers that were due ran
// while the gateway was destroyed.
TEST_CASE_METHOD(GatewayTest, "A gateway that is destroyed runs no timers") {
  StartWith({});
  AddOwnHostRow();
  RunFor(std::chrono::milliseconds(500));
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const int before = rows.follows;
  KillHost(0);
  REQUIRE(rows.follows == before);
}

// Guards against requests without an answer: a server that reports lost stage
// results for a request without stages was taken at its word.
TEST_CASE_METHOD(GatewayTest,
                 "A request without stages does not wait for stage results") {
  ScriptedServer server(RespondWith(MakeResponse(409, kNotRun)));
  StartWith({&server});
  const TimePoint start = loop().clock().Now();
  REQUIRE(Send(MakeRequest("/u/")).starts_with("HTTP/1.1 503"));
  REQUIRE(loop().clock().Now() - start < std::chrono::milliseconds(500));
}

// Guards against requests at a server that is about to exit: its connection was
// used for the server that had registered under the same id in the meantime.
TEST_CASE_METHOD(GatewayTest,
                 "A connection is not used for the server's next incarnation") {
  using std::chrono::milliseconds;
  ScriptedServer old([](RawConnection& connection, const std::string&) {
    std::this_thread::sleep_for(milliseconds(1200));
    connection.Write(MakeResponse(200, kSeal, "data: a\n\n"));
    return true;
  });
  ScriptedServer next(RespondWith(MakeResponse(200, kSeal, "data: a\n\n")));
  rows.Set("op", "config", kRouting);
  AddServer("s1", "plain", old.address(), "v1");
  Start();
  loop().After(milliseconds(100),
               [&] { AddServer("s1", "plain", next.address(), "v2"); });
  REQUIRE(Send(MakeRequest("/o/")).starts_with("HTTP/1.1 200"));
  REQUIRE(Send(MakeRequest("/o/")).starts_with("HTTP/1.1 200"));
  REQUIRE(old.requests() == 1);
  REQUIRE(next.requests() == 1);
}

}  // namespace
}  // namespace lovagecleat::gateway
