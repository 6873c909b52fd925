#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "tests/gateway/gateway_fixture.h"

// Tests that a server which asks a host to send nothing for some time gets
// nothing from it.
namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"safe","host":"a.example","prefix":"/s/","kind":"safe",
  "timeoutMs":3000,"goalMs":100,"attempts":2,"service":"plain"},
 {"name":"unsafe","host":"a.example","prefix":"/u/","kind":"unsafe",
  "timeoutMs":3000,"goalMs":100,"attempts":2,"service":"plain"},
 {"name":"patient","host":"a.example","prefix":"/p/","kind":"safe",
  "timeoutMs":3000,"goalMs":2000,"attempts":2,"service":"plain"},
 {"name":"stream","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":9000,"goalMs":1000,"attempts":3,"service":"plain",
  "resumable":true},
 {"name":"staged","host":"a.example","prefix":"/g/","kind":"unsafe",
  "timeoutMs":3000,"goalMs":2000,"attempts":2,"service":"plain",
  "stages":[{"service":"encoder","bytes":1000}]}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9},
  {"name":"encoder","pieces":{"slots":1,"queue":2,"batch":4,"callMs":50,
   "itemMs":10,"headroomMb":1,"handleS":4,"netMbps":1000}}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

constexpr std::string_view kNotRun = "X-Lovagecleat-Not-Executed: 1\r\n";
const std::string kServed =
    "HTTP/1.1 200 X\r\nX-Lovagecleat-Request-Id: id1\r\n"
    "X-Lovagecleat-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok";
const std::string kStageResult =
    "HTTP/1.1 200 X\r\nContent-Length: 27\r\n\r\n"
    R"({"items":[{"handle":"h0"}]})";

std::string MakeRequest(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
         "X-Lovagecleat-Request-Id: id1\r\n"
         "X-Lovagecleat-Deadline-Ms: 9000\r\nX-Lovagecleat-Pieces: 1\r\n"
         "X-Lovagecleat-Piece-Key: k\r\nContent-Length: 2\r\n\r\nhi";
}

std::string MakeQuietResponse(const std::string& retry_after,
                              std::string_view fields = kNotRun) {
  return Join({"HTTP/1.1 503 X\r\nX-Lovagecleat-Request-Id: id1\r\n", fields,
               "Retry-After: ", retry_after, "\r\nContent-Length: 0\r\n\r\n"});
}

// Sends the same response to every request.
ScriptedServer::Script Always(const std::string& response) {
  return [response](RawConnection& connection, const std::string&) {
    connection.Write(response);
    return true;
  };
}

// Asks the first caller for 300 ms without requests and measures whether it
// gets one meanwhile. Serves later requests with `response`.
class BrieflyQuietServer {
 public:
  explicit BrieflyQuietServer(const std::string& response)
      : server_([this, response](RawConnection& connection,
                                 const std::string& request) {
          const std::lock_guard<std::mutex> lock(mutex_);
          const auto now = std::chrono::steady_clock::now();
          if (!quiet_until_) quiet_until_ = now + milliseconds(300);
          if (now < *quiet_until_) {
            ++early_requests_;
            connection.Write(MakeQuietResponse("0.3"));
          } else {
            connection.Write(request.starts_with("POST /stage-free")
                                 ? "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"
                                 : response);
          }
          return true;
        }) {}

  std::string address() const { return server_.address(); }

  // Includes the first request.
  int early_requests() const { return early_requests_; }

 private:
  std::mutex mutex_;
  std::optional<std::chrono::steady_clock::time_point> quiet_until_;
  std::atomic<int> early_requests_ = 0;
  ScriptedServer server_;
};

double RetryAfterOf(const std::string& response) {
  const std::string name = "Retry-After: ";
  const auto at = response.find(name);
  return at == std::string::npos ? -1
                                 : std::stod(response.substr(at + name.size()));
}

class QuietServerFixture : public GatewayFixture {
 public:
  void StartWith(std::initializer_list<std::string> addresses,
                 const std::string& service = "plain") {
    rows.Set("op", "config", kRouting);
    int number = 0;
    for (const std::string& address : addresses)
      AddServer("s" + std::to_string(++number), service, address);
    Start();
  }
};

// Guards against requests to a server that has asked for none: at most two may
// arrive from half a second after that until the time is over.
TEST_CASE_METHOD(QuietServerFixture,
                 "A quiet server gets no requests until its time is over") {
  const std::string path = GENERATE("/s/", "/u/");
  ScriptedServer server(Always(MakeQuietResponse("2")));
  StartWith({server.address()});
  const TimePoint start = loop().clock().Now();
  while (loop().clock().Now() - start < milliseconds(1500)) {
    REQUIRE(Send(MakeRequest(path)).starts_with("HTTP/1.1 503"));
    RunFor(milliseconds(50));
  }
  REQUIRE(server.requests() == 1);
  REQUIRE(LogText().find(R"("event":"server_quiet","server":"s1")") !=
          std::string::npos);
  // The time and the random addition to it.
  RunFor(milliseconds(1500));
  Send(MakeRequest(path));
  REQUIRE(server.requests() == 2);
}

TEST_CASE_METHOD(QuietServerFixture,
                 "Requests go to another server while one is quiet") {
  ScriptedServer quiet(Always(MakeQuietResponse("5")));
  ScriptedServer other(Always(kServed));
  StartWith({quiet.address(), other.address()});
  for (int i = 0; i < 30; ++i)
    REQUIRE(Send(MakeRequest("/s/")).starts_with("HTTP/1.1 200"));
  REQUIRE(quiet.requests() == 1);
}

// Guards against callers that return too early or wait for nothing.
TEST_CASE_METHOD(QuietServerFixture,
                 "Callers learn when the first quiet server returns") {
  ScriptedServer first(Always(MakeQuietResponse("4")));
  ScriptedServer second(Always(MakeQuietResponse("9")));
  StartWith({first.address(), second.address()});
  const std::string initial = Send(MakeRequest("/s/"));
  REQUIRE(initial.starts_with("HTTP/1.1 503"));
  REQUIRE(RetryAfterOf(initial) >= 3.9);
  const TimePoint start = loop().clock().Now();
  const std::string refused = Send(MakeRequest("/s/"));
  REQUIRE(loop().clock().Now() - start < milliseconds(100));
  REQUIRE(refused.starts_with("HTTP/1.1 503"));
  // Up to a quarter more for the return, and again for the caller.
  REQUIRE(RetryAfterOf(refused) >= 3.5);
  REQUIRE(RetryAfterOf(refused) <= 4 * 1.25 * 1.25);
  REQUIRE(LogText().find(R"("cause":"servers_quiet")") != std::string::npos);
  REQUIRE(first.requests() + second.requests() == 2);
}

TEST_CASE_METHOD(QuietServerFixture,
                 "A request waits for a server that returns in time") {
  BrieflyQuietServer server(kServed);
  StartWith({server.address()});
  Send(MakeRequest("/p/"));
  REQUIRE(Send(MakeRequest("/p/")).starts_with("HTTP/1.1 200"));
  REQUIRE(server.early_requests() == 1);
}

// Guards against repeated requests: a 503 tells callers that the request was
// not run, which only the server knows.
TEST_CASE_METHOD(QuietServerFixture,
                 "A quiet time does not mean that a request was not run") {
  ScriptedServer server(Always(MakeQuietResponse("5", "")));
  StartWith({server.address()});
  REQUIRE(Send(MakeRequest("/u/")).starts_with("HTTP/1.1 502"));
  // This one is not sent.
  REQUIRE(Send(MakeRequest("/u/")).starts_with("HTTP/1.1 503"));
  REQUIRE(server.requests() == 1);
}

TEST_CASE_METHOD(QuietServerFixture,
                 "An unreadable quiet time is logged and has a default") {
  const std::string value =
      GENERATE("soon", "-3", "", "nan", "Fri, 04 Dec 2026 11:00:00 GMT");
  ScriptedServer server(Always(MakeQuietResponse(value)));
  StartWith({server.address()});
  Send(MakeRequest("/s/"));
  Send(MakeRequest("/s/"));
  REQUIRE(server.requests() == 1);
  REQUIRE(
      LogText().find(
          R"("event":"field_unreadable","server":"s1","field":"Retry-After",)"
          R"("value":")" +
          value + R"(","expected":"seconds, 0 or more")") != std::string::npos);
  RunFor(milliseconds(1400));
  Send(MakeRequest("/s/"));
  REQUIRE(server.requests() == 2);
}

// Guards against cut streams: no server but a quiet one was left that the
// stream had not been sent to, although the one that began it could continue
// it.
TEST_CASE_METHOD(
    QuietServerFixture,
    "A begun stream returns to its server while others are quiet") {
  ScriptedServer quiet(Always(MakeQuietResponse("60")));
  ScriptedServer server(
      [](RawConnection& connection, const std::string& request) {
        if (request.find("Last-Event-Id: ") == std::string::npos) {
          connection.Write(Join({kStreamHead, Chunk("id: 1\ndata: a\n\n")}));
          std::this_thread::sleep_for(milliseconds(300));
          return false;
        }
        connection.Write(
            Join({kStreamHead, Chunk("id: 2\ndata: b\n\n"), kStreamEnd}));
        return true;
      });
  StartWith({quiet.address(), server.address()});
  while (quiet.requests() == 0) Send(MakeRequest("/s/"));
  const std::string response = Send(MakeRequest("/r/"));
  REQUIRE(response.find("id: 2") != std::string::npos);
  REQUIRE(response.ends_with(kStreamEnd));
}

TEST_CASE_METHOD(QuietServerFixture, "A restarted server is used again") {
  std::atomic<bool> has_restarted = false;
  ScriptedServer server([&](RawConnection& connection, const std::string&) {
    connection.Write(has_restarted ? kServed : MakeQuietResponse("60"));
    return true;
  });
  const auto set_row = [&](int born) {
    rows.Set("servers", "s1",
             R"({"service":"plain","address":")" + server.address() +
                 R"(","zone":"z","version":"v1","state":"ready","slots":4,)"
                 R"("seq":1,"born":)" +
                 std::to_string(born) + "}");
  };
  rows.Set("op", "config", kRouting);
  set_row(1000);
  Start();
  Send(MakeRequest("/s/"));
  REQUIRE(Send(MakeRequest("/s/")).starts_with("HTTP/1.1 503"));
  REQUIRE(server.requests() == 1);
  has_restarted = true;
  set_row(2000);
  RunFor(milliseconds(500));
  REQUIRE(Send(MakeRequest("/s/")).starts_with("HTTP/1.1 200"));
}

TEST_CASE_METHOD(QuietServerFixture,
                 "Stage calls go to another server while one is quiet") {
  ScriptedServer plain(Always(kServed));
  ScriptedServer quiet(Always(MakeQuietResponse("5")));
  // Slower than expected, so that it is used only in place of the other.
  ScriptedServer other([](RawConnection& connection, const std::string&) {
    std::this_thread::sleep_for(milliseconds(100));
    connection.Write(kStageResult);
    return true;
  });
  AddServer("plain", "plain", plain.address());
  StartWith({quiet.address(), other.address()}, "encoder");
  for (int i = 0; i < 10; ++i) {
    REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
    RunFor(milliseconds(50));
  }
  REQUIRE(quiet.requests() == 1);
}

// Guards against a zone that counts as able to run items while all of its
// servers are quiet.
TEST_CASE_METHOD(
    QuietServerFixture,
    "Items go to another zone while the servers of one are quiet") {
  ScriptedServer plain(Always(kServed));
  ScriptedServer quiet(Always(MakeQuietResponse("60")));
  ScriptedServer other(Always(kStageResult));
  AddServer("plain", "plain", plain.address());
  rows.Set("servers", "other",
           R"({"service":"encoder","address":")" + other.address() +
               R"(","zone":"y","version":"v1","state":"ready","slots":4,)"
               R"("seq":1})");
  StartWith({quiet.address()}, "encoder");
  for (int i = 0; i < 30; ++i) {
    REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
    RunFor(milliseconds(30));
  }
  REQUIRE(quiet.requests() == 1);
}

TEST_CASE_METHOD(QuietServerFixture,
                 "Items wait for a stage server that returns in time") {
  ScriptedServer plain(Always(kServed));
  BrieflyQuietServer server(kStageResult);
  AddServer("plain", "plain", plain.address());
  StartWith({server.address()}, "encoder");
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
  REQUIRE(server.early_requests() == 1);
}

TEST_CASE_METHOD(
    QuietServerFixture,
    "A request is refused at once if its stage servers are quiet") {
  ScriptedServer plain(Always(kServed));
  ScriptedServer server(Always(MakeQuietResponse("4")));
  AddServer("plain", "plain", plain.address());
  StartWith({server.address()}, "encoder");
  // The items of the first request cannot wait that long either.
  for (int i = 0; i < 2; ++i) {
    const TimePoint start = loop().clock().Now();
    const std::string refused = Send(MakeRequest("/g/"));
    REQUIRE(loop().clock().Now() - start < milliseconds(300));
    REQUIRE(refused.starts_with("HTTP/1.1 503"));
    REQUIRE(RetryAfterOf(refused) >= 3.5);
  }
  REQUIRE(server.requests() == 1);
  REQUIRE(plain.requests() == 0);
}

// Guards against requests of the host's own to a quiet server.
TEST_CASE_METHOD(QuietServerFixture,
                 "Results at a quiet server are released when it returns") {
  ScriptedServer plain([](RawConnection& connection, const std::string&) {
    std::this_thread::sleep_for(milliseconds(800));
    connection.Write(kServed);
    return true;
  });
  std::atomic<int> runs = 0;
  std::atomic<int> releases = 0;
  ScriptedServer stage(
      [&](RawConnection& connection, const std::string& request) {
        if (request.starts_with("POST /stage-free")) {
          ++releases;
          connection.Write("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
        } else if (++runs == 1) {
          connection.Write(kStageResult);
        } else {
          connection.Write(MakeQuietResponse("3"));
        }
        return true;
      });
  AddServer("plain", "plain", plain.address());
  StartWith({stage.address()}, "encoder");
  std::thread first([port = callers_port()] {
    transport::RawClient client(port);
    client.Write(MakeRequest("/g/"));
    client.ReadToEnd();
  });
  RunFor(milliseconds(300));
  Send(MakeRequest("/g/"));
  RunFor(milliseconds(1500));
  first.join();
  REQUIRE(runs == 2);
  REQUIRE(releases == 0);
  RunFor(milliseconds(2700));
  REQUIRE(releases == 1);
}

// Guards against a server's answer to a call without a request going unread,
// and against requests for reports from a quiet server.
TEST_CASE_METHOD(QuietServerFixture,
                 "A server that asks for quiet while it runs a call finishes") {
  ScriptedServer plain(Always(kServed));
  std::atomic<int> runs = 0;
  std::atomic<int> reports = 0;
  ScriptedServer stage(
      [&](RawConnection& connection, const std::string& request) {
        if (request.starts_with("GET /report")) {
          ++reports;
        } else if (request.starts_with("POST /stage-free")) {
          // The call of the second request is in progress by then.
          std::this_thread::sleep_for(milliseconds(100));
          connection.Write(MakeQuietResponse("5"));
          return true;
        } else if (++runs == 2) {
          // Such a call counts as slow after 180 ms.
          std::this_thread::sleep_for(milliseconds(500));
        }
        connection.Write(kStageResult);
        return true;
      });
  AddServer("plain", "plain", plain.address());
  StartWith({stage.address()}, "encoder");
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
  REQUIRE(runs == 2);
  REQUIRE(reports == 0);
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 503"));
  REQUIRE(runs == 2);
}

}  // namespace
}  // namespace lovagecleat::gateway
