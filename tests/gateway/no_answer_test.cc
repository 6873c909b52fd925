#include <atomic>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/gateway/gateway_fixture.h"

// Tests bytes that look like an answer and are none, and answers that have no
// body.
namespace lovagecleat::gateway {
namespace {

using std::chrono::milliseconds;
using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"unsafe","host":"a.example","prefix":"/u/","kind":"unsafe",
  "timeoutMs":3000,"goalMs":300,"attempts":1,"service":"plain"},
 {"name":"safe","host":"a.example","prefix":"/s/","kind":"safe",
  "timeoutMs":3000,"goalMs":300,"attempts":1,"service":"plain"},
 {"name":"stream","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":5000,"goalMs":1000,"gapAimMs":100,"attempts":1,
  "service":"plain"},
 {"name":"staged","host":"a.example","prefix":"/g/","kind":"safe",
  "timeoutMs":5000,"goalMs":1000,"attempts":2,"service":"plain",
  "stages":[{"service":"encoder","bytes":1000}]}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9},
  {"name":"encoder","pieces":{"slots":1,"queue":2,"batch":4,"callMs":50,
   "itemMs":10,"headroomMb":1,"handleS":4,"netMbps":1000}}],
 "limits":{"headerBytes":8000,"bodyBytes":9000000,"headerMs":500,
  "idleMs":9000}})";

// The time limits of the routes are longer.
constexpr auto kTimeToFail = milliseconds(1400);
// More than the network buffers.
constexpr std::size_t kLongUpload = std::size_t{8} * 1024 * 1024;

std::string MakeRequest(const std::string& path,
                        const std::string& method = "POST",
                        const std::string& body = "hi") {
  return method + " " + path +
         " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
         "X-Lovagecleat-Request-Id: id1\r\n"
         "X-Lovagecleat-Pieces: 1\r\nX-Lovagecleat-Piece-Key: k\r\n"
         "X-Lovagecleat-Deadline-Ms: 9000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string MakeAnswer(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         " X\r\nX-Lovagecleat-Request-Id: id1\r\n"
         "X-Lovagecleat-Response-Seal: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

class NoAnswerFixture : public GatewayFixture {
 public:
  void StartWith(ScriptedServer& plain, const ScriptedServer* stage = nullptr) {
    rows.Set("op", "config", kRouting);
    AddServer("plain", "plain", plain.address());
    if (stage != nullptr) AddServer("stage", "encoder", stage->address());
    Start();
  }
};

// Guards against bytes that are no answer in the protocol at the caller, and
// against a wait until the deadline: a status below 100 was taken for that of
// an interim answer.
TEST_CASE_METHOD(NoAnswerFixture,
                 "A status that does not exist fails its request at once") {
  const std::string status = GENERATE("000", "001", "099", "101", "600", "999");
  const std::string path = GENERATE("/u/", "/s/", "/r/");
  CAPTURE(status, path);
  std::atomic<int> closed = 0;
  ScriptedServer server([&](RawConnection& connection, const std::string&) {
    connection.Write(MakeAnswer(status, "ok"));
    connection.WaitForClose();
    ++closed;
    return false;
  });
  StartWith(server);
  const TimePoint start = loop().clock().Now();
  REQUIRE(Send(MakeRequest(path)).starts_with("HTTP/1.1 502"));
  REQUIRE(loop().clock().Now() - start < kTimeToFail);
  RunUntil([&] { return closed == 1; });
  REQUIRE(LogText().find(R"("outcome":"garbled")") != std::string::npos);
}

// Guards against the same in stage calls.
TEST_CASE_METHOD(NoAnswerFixture,
                 "A status that does not exist fails a stage call at once") {
  const std::string status = GENERATE("000", "099", "101", "600");
  CAPTURE(status);
  ScriptedServer plain([](RawConnection& connection, const std::string&) {
    connection.Write(MakeAnswer("200", "ok"));
    return true;
  });
  std::atomic<int> closed = 0;
  ScriptedServer stage([&](RawConnection& connection, const std::string&) {
    connection.Write("HTTP/1.1 " + status +
                     " X\r\nContent-Length: 27\r\n\r\n"
                     R"({"items":[{"handle":"h0"}]})");
    connection.WaitForClose();
    ++closed;
    return false;
  });
  StartWith(plain, &stage);
  const TimePoint start = loop().clock().Now();
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 503"));
  REQUIRE(loop().clock().Now() - start < kTimeToFail);
  REQUIRE(plain.requests() == 0);
  RunUntil([&] { return closed == stage.requests(); });
}

// Guards against a release or a report that counts as answered.
TEST_CASE_METHOD(NoAnswerFixture,
                 "A status that does not exist ends a control call") {
  const std::string path = GENERATE("/stage-free", "/report");
  const std::string status = GENERATE("000", "101", "600");
  CAPTURE(path, status);
  ScriptedServer plain([](RawConnection& connection, const std::string&) {
    connection.Write(MakeAnswer("200", "ok"));
    return true;
  });
  std::atomic<int> closed = 0;
  ScriptedServer stage([&](RawConnection& connection,
                           const std::string& request) {
    if (request.find(path) != std::string::npos) {
      connection.Write("HTTP/1.1 " + status +
                       " X\r\nContent-Length: 0\r\n\r\n");
      connection.WaitForClose();
      ++closed;
      return false;
    }
    const bool is_call = request.starts_with("POST /stage-run");
    // Slow enough for a report to be asked for.
    if (is_call && path == "/report")
      std::this_thread::sleep_for(milliseconds(600));
    const std::string body = is_call ? R"({"items":[{"handle":"h0"}]})" : "{}";
    connection.Write("HTTP/1.1 200 X\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    return true;
  });
  StartWith(plain, &stage);
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
  const TimePoint start = loop().clock().Now();
  RunUntil([&] { return closed >= 1; });
  REQUIRE(loop().clock().Now() - start < kTimeToFail);
}

// Guards against a part of a response that the caller takes for the whole: a
// server answered a long upload at once, without a length, and reset the
// connection while the upload was being written.
TEST_CASE_METHOD(NoAnswerFixture,
                 "A response cut by a reset during an upload is not complete") {
  const std::string path = GENERATE("/u/", "/s/", "/r/");
  const bool ends_sending = GENERATE(false, true);
  const auto pause = GENERATE(milliseconds(0), milliseconds(20));
  const bool reads_all = GENERATE(false, true);
  CAPTURE(path, ends_sending, pause.count(), reads_all);
  transport::RawServer server([&](RawConnection& connection) {
    if (!connection.ReadHead()) return;
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Lovagecleat-Request-Id: id1\r\n"
        "X-Lovagecleat-Response-Seal: s\r\n\r\n");
    connection.Write("id: 1\ndata: a part\n\n");
    if (reads_all) connection.ReadRequest();
    if (ends_sending && !reads_all) connection.ShutdownSending();
    std::this_thread::sleep_for(pause);
    connection.Reset();
  });
  rows.Set("op", "config", kRouting);
  AddServer("plain", "plain", server.address());
  Start();
  const std::string response =
      Send(MakeRequest(path, "POST", std::string(kLongUpload, 'x')));
  CAPTURE(response);
  const bool is_whole = response.starts_with("HTTP/1.1 200") &&
                        (response.ends_with(kStreamEnd) ||
                         response.find("Content-Length") != std::string::npos);
  REQUIRE_FALSE(is_whole);
}

// Guards against requests with HEAD that got 504: their responses have a
// length, but no body.
TEST_CASE_METHOD(NoAnswerFixture, "HEAD gets the head of its response") {
  const std::string path = GENERATE("/u/", "/s/", "/r/");
  const bool has_length = GENERATE(true, false);
  CAPTURE(path, has_length);
  ScriptedServer server([&](RawConnection& connection, const std::string&) {
    connection.Write(Join(
        {"HTTP/1.1 200 OK\r\nX-Lovagecleat-Request-Id: "
         "id1\r\nX-Lovagecleat-Response-Seal: s\r\n",
         has_length ? "Content-Length: 70000\r\n" : "", "X-Other: y\r\n\r\n"}));
    return true;
  });
  StartWith(server);
  const TimePoint start = loop().clock().Now();
  for (int i = 0; i < 2; ++i) {
    const std::string response = Send(MakeRequest(path, "HEAD", ""));
    CAPTURE(response);
    REQUIRE(response.starts_with("HTTP/1.1 200"));
    REQUIRE(response.find("X-Other: y\r\n") != std::string::npos);
    REQUIRE((response.find("Content-Length: 70000\r\n") != std::string::npos) ==
            has_length);
    REQUIRE(response.find("Content-Length: 0\r\n") == std::string::npos);
    REQUIRE(response.ends_with("\r\n\r\n"));
  }
  REQUIRE(loop().clock().Now() - start < kTimeToFail);
  // A server may send the body all the same.
  REQUIRE(server.connections() == (has_length ? 2 : 1));
}

// Guards against a response of another request: the body of a response that
// must not have one came where the next response was expected.
TEST_CASE_METHOD(NoAnswerFixture,
                 "The body of a response without one belongs to no request") {
  const std::string head =
      GENERATE("HTTP/1.1 204 No Content\r\nContent-Length: ",
               "HTTP/1.1 304 Not Modified\r\nContent-Length: ");
  const std::string path = GENERATE("/u/", "/s/");
  CAPTURE(head, path);
  std::atomic<int> requests = 0;
  ScriptedServer server([&](RawConnection& connection, const std::string&) {
    const std::string smuggled = MakeAnswer("200", "wrong");
    if (++requests > 1) {
      connection.Write(MakeAnswer("200", "right"));
      return true;
    }
    connection.Write(head + std::to_string(smuggled.size()) +
                     "\r\nX-Lovagecleat-Request-Id: id1\r\n"
                     "X-Lovagecleat-Response-Seal: s\r\n\r\n");
    // The body comes when the next request is there.
    if (connection.ReadRequest()) {
      ++requests;
      connection.Write(smuggled);
      std::this_thread::sleep_for(milliseconds(50));
      connection.Write(MakeAnswer("200", "right"));
    }
    return true;
  });
  StartWith(server);
  const std::string first = Send(MakeRequest(path));
  CAPTURE(first);
  REQUIRE(first.starts_with(head.substr(0, 12)));
  REQUIRE(first.find("wrong") == std::string::npos);
  REQUIRE(Send(MakeRequest(path)).ends_with("right"));
}

}  // namespace
}  // namespace lovagecleat::gateway
