#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <thread>

#include "http/http.h"
#include "tests/transport/loop_fixture.h"
#include "tests/transport/raw_server.h"

namespace lovagecleat::http {
namespace {

using transport::RawClient;

// Responds with the target and body of the request; holds requests for /hold,
// which the test answers.
class Handler final : public ExchangeHandler, public ExchangeObserver {
 public:
  void OnExchange(Exchange& exchange) override {
    ++exchanges;
    if (exchange.head().target == "/hold") {
      held = &exchange;
      exchange.SetObserver(this);
      return;
    }
    if (exchange.head().target == "/pad")
      return exchange.Respond(200, {}, std::string(padding, 'x'));
    exchange.Respond(200, {{"X-Target", exchange.head().target}},
                     exchange.body());
  }
  void OnClientDisconnected() override {
    held = nullptr;
    ++disconnects;
  }

  std::size_t padding = 0;  // body size of responses to /pad
  Exchange* held = nullptr;
  int exchanges = 0;
  int disconnects = 0;
};

class ServerFixture : public transport::LoopFixture {
 public:
  ServerFixture() {
    ServerLimits limits;
    limits.message = {400, 100};
    limits.head_timeout = std::chrono::milliseconds(300);
    limits.idle_timeout = std::chrono::milliseconds(600);
    server_.SetLimits(limits);
    REQUIRE(server_.Listen("127.0.0.1:0"));
  }

  // Runs the loop while `client` blocks on sockets in another thread.
  std::string RunWithClient(
      const std::function<std::string(RawClient&)>& client) {
    std::atomic<bool> is_done = false;
    std::string text;
    std::thread thread([&] {
      RawClient raw(server_.port());
      text = client(raw);
      is_done = true;
    });
    RunUntil([&] { return is_done.load(); });
    thread.join();
    return text;
  }

  std::string Send(const std::string& bytes) {
    return RunWithClient([&](RawClient& raw) {
      raw.Write(bytes);
      return raw.ReadToEnd();
    });
  }

  Poller poller_{loop()};
  Handler handler_;
  Server server_{poller_, handler_};
};

std::size_t CountOccurrences(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1))
    ++count;
  return count;
}

TEST_CASE_METHOD(ServerFixture,
                 "Requests on one connection are answered in order") {
  const std::string response = Send(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
      "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
      "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  REQUIRE(CountOccurrences(response, "HTTP/1.1 200 OK") == 3);
  REQUIRE(response.find("X-Target: /1") < response.find("X-Target: /2"));
  REQUIRE(response.find("X-Target: /2") < response.find("X-Target: /3"));
  REQUIRE(response.find("\r\n\r\nhi") != std::string::npos);
}

TEST_CASE_METHOD(
    ServerFixture,
    "Malformed, oversized and late requests are rejected by status") {
  REQUIRE(Send("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(500, 'x') +
               "\r\n\r\n")
              .starts_with("HTTP/1.1 431"));
  REQUIRE(Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n")
              .starts_with("HTTP/1.1 413"));
  REQUIRE(Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
               "Transfer-Encoding: chunked\r\n\r\n")
              .starts_with("HTTP/1.1 400"));
  REQUIRE(Send("GET / HTTP/1.1\r\nHos").starts_with("HTTP/1.1 408"));
  REQUIRE(handler_.exchanges == 0);
}

TEST_CASE_METHOD(ServerFixture,
                 "An idle connection is closed without a response") {
  REQUIRE(
      RunWithClient([](RawClient& raw) { return raw.ReadToEnd(); }).empty());
}

TEST_CASE_METHOD(ServerFixture,
                 "A client that disconnects is detected at once") {
  RunWithClient([](RawClient& raw) {
    raw.Write("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    raw.Close();
    return std::string();
  });
  RunUntil([&] { return handler_.disconnects == 1; });
  REQUIRE(server_.active_exchanges() == 0);
}

TEST_CASE_METHOD(ServerFixture,
                 "A response sent in parts uses chunked coding") {
  std::atomic<bool> is_done = false;
  std::string text;
  std::thread thread([&] {
    const RawClient raw(server_.port());
    raw.Write("GET /hold HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    text = raw.ReadToEnd();
    is_done = true;
  });
  RunUntil([&] { return handler_.held != nullptr; });
  handler_.held->BeginResponse(200, {}, std::nullopt);
  handler_.held->SendBody("abc");
  handler_.held->FinishResponse();
  RunUntil([&] { return is_done.load(); });
  thread.join();
  REQUIRE(text.find("Transfer-Encoding: chunked") != std::string::npos);
  REQUIRE(text.ends_with("3\r\nabc\r\n0\r\n\r\n"));
}

TEST_CASE_METHOD(ServerFixture, "An aborted response does not look complete") {
  std::atomic<bool> is_done = false;
  std::string text;
  std::thread thread([&] {
    const RawClient raw(server_.port());
    raw.Write("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    text = raw.ReadToEnd();
    is_done = true;
  });
  RunUntil([&] { return handler_.held != nullptr; });
  handler_.held->BeginResponse(200, {}, std::nullopt);
  handler_.held->SendBody("abc");
  handler_.held->Abort();
  RunUntil([&] { return is_done.load(); });
  thread.join();
  REQUIRE(text.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE_METHOD(ServerFixture, "A draining server asks clients to close") {
  server_.StartDraining();
  const std::string response = Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(response.find("Connection: close") != std::string::npos);
}

// Guards against truncated responses: the connection to a client that paused
// its reading was closed with a part of the response still buffered.
TEST_CASE_METHOD(ServerFixture,
                 "A client that pauses its reading gets the whole response") {
  const std::string field = GENERATE("", "Connection: close\r\n");
  handler_.padding = std::size_t{7} * 1024 * 1024;
  const std::string response = RunWithClient([&](RawClient& raw) {
    raw.Write("GET /pad HTTP/1.1\r\nHost: h\r\n" + field + "\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(1300));
    if (field.empty())
      raw.Write("GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return raw.ReadToEnd();
  });
  REQUIRE(response.size() > handler_.padding);
  REQUIRE(CountOccurrences(response, "HTTP/1.1 200 OK") ==
          (field.empty() ? 2 : 1));
}

// Guards against truncated responses: the kernel ended a connection whose
// client did not read for longer than TCP_USER_TIMEOUT.
TEST_CASE_METHOD(ServerFixture, "A client may read nothing for some seconds") {
  handler_.padding = std::size_t{1024} * 1024;
  const std::string response = RunWithClient([](RawClient& raw) {
    raw.Write("GET /pad HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    return raw.ReadToEnd();
  });
  REQUIRE(response.size() > handler_.padding);
}

// Guards against requests without an answer: after the process had not run for
// a while, a connection counted as idle although a request waited on it.
TEST_CASE_METHOD(ServerFixture,
                 "A request that waits to be read keeps its connection open") {
  loop().After(std::chrono::milliseconds(300), [] {
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
  });
  const std::string responses = RunWithClient([](RawClient& raw) {
    raw.Write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    raw.Write("GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return raw.ReadToEnd();
  });
  REQUIRE(CountOccurrences(responses, "HTTP/1.1 200 OK") == 2);
}

}  // namespace
}  // namespace lovagecleat::http
