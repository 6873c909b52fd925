#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "tests/gateway/gateway_fixture.h"

// Tests requests whose server sends nothing for a while and then continues.
namespace lovagecleat::gateway {
namespace {

using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"safe","host":"a.example","prefix":"/s1/","kind":"safe",
  "timeoutMs":3000,"goalMs":300,"attempts":1,"service":"plain"},
 {"name":"safe-2","host":"a.example","prefix":"/s2/","kind":"safe",
  "timeoutMs":3000,"goalMs":300,"attempts":2,"service":"plain"},
 {"name":"stream-1","host":"a.example","prefix":"/r1/","kind":"stream",
  "timeoutMs":9000,"goalMs":1000,"attempts":1,"service":"plain",
  "resumable":true},
 {"name":"stream-2","host":"a.example","prefix":"/r2/","kind":"stream",
  "timeoutMs":9000,"goalMs":1000,"attempts":2,"service":"plain",
  "resumable":true}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

// Longer than every limit that the gateway has for the routes above.
constexpr auto kSilence = std::chrono::milliseconds(2600);

std::string MakeRequest(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
         "X-Lovagecleat-Request-Id: id1\r\n"
         "X-Lovagecleat-Deadline-Ms: 9000\r\nContent-Length: 2\r\n\r\nhi";
}

// Sends the first event of a stream, and after a silence the second and last.
bool StreamWithSilence(RawConnection& connection) {
  connection.Write(Join({kStreamHead, Chunk("id: 1\ndata: a\n\n")}));
  std::this_thread::sleep_for(kSilence);
  connection.Write(Join({Chunk("id: 2\ndata: b\n\n"), kStreamEnd}));
  return true;
}

class SilentServerFixture : public GatewayFixture {
 public:
  void StartWith(std::initializer_list<ScriptedServer*> servers) {
    rows.Set("op", "config", kRouting);
    int number = 0;
    for (ScriptedServer* server : servers)
      AddServer("s" + std::to_string(++number), "plain", server->address());
    Start();
  }
};

// Guards against cut streams: the last permitted attempt was abandoned at a
// silent server, and the response that had begun could not continue.
TEST_CASE_METHOD(SilentServerFixture,
                 "A begun stream without attempts left waits for its server") {
  const auto script = [](RawConnection& connection, const std::string&) {
    return StreamWithSilence(connection);
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  const std::string response = Send(MakeRequest("/r1/"));
  REQUIRE(response.find("id: 2") != std::string::npos);
  REQUIRE(response.ends_with(kStreamEnd));
  REQUIRE(first.requests() + second.requests() == 1);
}

// Guards against failed requests: the last permitted attempt was abandoned at a
// silent server and answered with 502.
TEST_CASE_METHOD(SilentServerFixture,
                 "A safe request without attempts left waits for its server") {
  const auto script = [](RawConnection& connection, const std::string&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    connection.Write(Join({"HTTP/1.1 200 X\r\n", kSeal,
                           "X-Lovagecleat-Request-Id: id1\r\n"
                           "Content-Length: 2\r\n\r\nok"}));
    return true;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  REQUIRE(Send(MakeRequest("/s1/")).starts_with("HTTP/1.1 200"));
  REQUIRE(first.requests() + second.requests() == 1);
}

// Guards against requests without an answer: callers left a stream whose last
// server sent no event, and the gateway waited until their deadline.
TEST_CASE_METHOD(SilentServerFixture,
                 "A stream that does not begin is answered in time") {
  ScriptedServer server([](RawConnection& connection, const std::string&) {
    connection.WaitForClose();
    return false;
  });
  StartWith({&server});
  const TimePoint start = loop().clock().Now();
  REQUIRE(Send(MakeRequest("/r1/")).starts_with("HTTP/1.1 504"));
  // Callers leave after four latency targets.
  REQUIRE(loop().clock().Now() - start < std::chrono::milliseconds(4000));
}

// Guards against requests without an answer: a stopping process ended while it
// waited for a silent server.
TEST_CASE_METHOD(SilentServerFixture,
                 "A request that is open when the process ends is answered") {
  ScriptedServer server([](RawConnection& connection, const std::string&) {
    connection.WaitForClose();
    return false;
  });
  StartWith({&server});
  std::string response;
  std::thread client([&, port = callers_port()] {
    const transport::RawClient raw(port);
    raw.Write(MakeRequest("/r1/"));
    response = raw.ReadToEnd();
  });
  RunUntil([&] { return server.requests() == 1; });
  gateway->Stop();
  loop().Run();
  KillHost(0);
  client.join();
  REQUIRE(response.starts_with("HTTP/1.1 502"));
}

// Guards against cut streams: a silent server was abandoned although no other
// server could continue the stream.
TEST_CASE_METHOD(SilentServerFixture,
                 "A begun stream without another server waits for its own") {
  ScriptedServer server([](RawConnection& connection, const std::string&) {
    return StreamWithSilence(connection);
  });
  StartWith({&server});
  const std::string response = Send(MakeRequest("/r2/"));
  REQUIRE(response.find("id: 2") != std::string::npos);
  REQUIRE(response.ends_with(kStreamEnd));
  REQUIRE(server.requests() == 1);
}

// Guards against cut streams: a silent server was abandoned for one that then
// rejected the stream.
TEST_CASE_METHOD(SilentServerFixture,
                 "A begun stream survives that the next server is full") {
  std::atomic<int> resumptions = 0;
  const auto script = [&resumptions](RawConnection& connection,
                                     const std::string& request) {
    if (request.find("Last-Event-Id: ") == std::string::npos)
      return StreamWithSilence(connection);
    if (++resumptions == 1) {
      connection.Write(
          "HTTP/1.1 503 X\r\nX-Lovagecleat-Not-Executed: 1\r\n"
          "X-Lovagecleat-Request-Id: id1\r\nContent-Length: 0\r\n\r\n");
    } else {
      connection.Write(
          Join({kStreamHead, Chunk("id: 2\ndata: b\n\n"), kStreamEnd}));
    }
    return true;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  const std::string response = Send(MakeRequest("/r2/"));
  REQUIRE(response.find("id: 2") != std::string::npos);
  REQUIRE(response.ends_with(kStreamEnd));
}

// Guards against corrupt responses: the response of a second server was
// appended to the beginning of one that was abandoned while it arrived.
TEST_CASE_METHOD(SilentServerFixture,
                 "A partly forwarded response is not joined with another") {
  const std::string half(100'000, 'x');
  const bool is_broken = GENERATE(false, true);
  const auto script = [&half, is_broken](RawConnection& connection,
                                         const std::string&) {
    connection.Write(Join({"HTTP/1.1 200 X\r\n", kSeal,
                           "X-Lovagecleat-Request-Id: id1\r\n"
                           "Content-Length: 200000\r\n\r\n",
                           half}));
    if (is_broken) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    connection.Write(half);
    return true;
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  StartWith({&first, &second});
  const std::string response = Send(MakeRequest("/s2/"));
  // Only the body contains this character.
  const auto body_bytes = std::count(response.begin(), response.end(), 'x');
  REQUIRE(body_bytes == (is_broken ? 100'000 : 200'000));
  REQUIRE(response.ends_with(kStreamEnd) == !is_broken);
}

}  // namespace
}  // namespace lovagecleat::gateway
