#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <thread>
#include <vector>

#include "http/http.h"
#include "tests/transport/loop_fixture.h"
#include "tests/transport/raw_server.h"

namespace lovagecleat::http {
namespace {

using std::chrono::milliseconds;
using transport::RawClient;

constexpr std::size_t kBodyBytes = 200'000;

// Responds with the length of the body; holds requests for /hold.
class Handler final : public ExchangeHandler {
 public:
  void OnExchange(Exchange& exchange) override {
    ++exchanges;
    if (exchange.head().target == "/hold") return;
    if (exchange.head().target == "/large")
      return exchange.Respond(200, {}, std::string(kBodyBytes, 'x'));
    exchange.Respond(
        200, {{"X-Length", std::to_string(exchange.body().size())}}, {});
  }

  int exchanges = 0;
};

// A server whose account has room for about three bodies.
class BoundedServerFixture : public transport::LoopFixture {
 public:
  BoundedServerFixture() {
    memory::AccountLimits account;
    account.total = 1'600'000;
    account.pool = 800'000;
    account.address_share = account.total;
    account.stall_time = milliseconds(200);
    account.maximum_wait = milliseconds(600);
    poller_.account().SetLimits(account);
    ServerLimits limits;
    limits.message = {16384, kBodyBytes};
    limits.connections = 8;
    server_.SetLimits(limits);
    REQUIRE(server_.Listen("127.0.0.1:0"));
  }

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

  // Opens a connection that sends `bytes` and stays open.
  RawClient& Open(const std::string& bytes) {
    clients_.push_back(std::make_unique<RawClient>(server_.port()));
    RawClient& client = *clients_.back();
    std::atomic<bool> is_done = false;
    std::thread thread([&] {
      client.Write(bytes);
      is_done = true;
    });
    RunUntil([&] { return is_done.load(); });
    thread.join();
    return client;
  }

  void WaitFor(Duration duration) {
    const TimePoint end = loop().clock().Now() + duration;
    RunUntil([&] { return loop().clock().Now() > end; });
  }

  static std::string Post(std::size_t announced, std::size_t sent) {
    return "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(announced) + "\r\n\r\n" + std::string(sent, 'x');
  }

  memory::ByteAccount& account() { return poller_.account(); }

  Poller poller_{loop()};
  Handler handler_;
  Server server_{poller_, handler_};
  std::vector<std::unique_ptr<RawClient>> clients_;
};

TEST_CASE_METHOD(BoundedServerFixture,
                 "What requests and connections hold is entered and released") {
  REQUIRE(Send(Post(kBodyBytes, kBodyBytes)).find("X-Length: 200000") !=
          std::string::npos);
  RunUntil([&] { return server_.connections() == 0; });
  RunUntil([&] { return account().total() == 0; });
  Open(Post(kBodyBytes, 60'000));
  RunUntil(
      [&] { return account().held(memory::Kind::kBodies) >= 2 * kBodyBytes; });
  // 4,000 fields of four bytes in the head are objects of 64 bytes.
  std::string many = "GET /hold HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < 4000; ++i) many += "a:\r\n";
  Open(many + "\r\n");
  RunUntil([&] { return handler_.exchanges == 2; });
  REQUIRE(account().held(memory::Kind::kHeads) >= 4000 * sizeof(HeaderField));
}

// Guards against a process beyond its memory under bodies that stop short.
TEST_CASE_METHOD(BoundedServerFixture,
                 "Bodies that stop short wait, and make room for a whole one") {
  for (int i = 0; i < 6; ++i) Open(Post(kBodyBytes, 60'000));
  REQUIRE(account().total() <= account().limits().total);
  std::string response;
  for (int i = 0; i < 20 && !response.starts_with("HTTP/1.1 200"); ++i) {
    // A client waits before it returns.
    WaitFor(milliseconds(200));
    response = Send(Post(kBodyBytes, kBodyBytes));
  }
  REQUIRE(response.starts_with("HTTP/1.1 200"));
  REQUIRE(account().evictions(memory::Eviction::kStalled) +
              account().evictions(memory::Eviction::kWaitedTooLong) >
          0);
}

// Guards against complete requests that wait behind incomplete ones.
TEST_CASE_METHOD(BoundedServerFixture,
                 "A request that got room is run although others wait") {
  memory::AccountLimits limits = account().limits();
  limits.stall_time = limits.maximum_wait = std::chrono::seconds(30);
  account().SetLimits(limits);
  RawClient& first = Open(Post(kBodyBytes, 60'000));
  RunUntil([&] { return account().total() > 2 * kBodyBytes; });
  for (int i = 0; i < 2; ++i) Open(Post(kBodyBytes, 60'000));
  RunUntil([&] { return account().waiting() == 1; });
  std::thread thread(
      [&first] { first.Write(std::string(kBodyBytes - 60'000, 'x')); });
  RunUntil([&] { return handler_.exchanges == 1; });
  thread.join();
  REQUIRE(account().evictions(memory::Eviction::kStalled) == 0);
}

TEST_CASE_METHOD(BoundedServerFixture,
                 "A request without room is refused before it is run") {
  // Served requests fill the pool; their clients cannot be closed instead.
  for (int i = 0; i < 3; ++i)
    Open("POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" +
         std::string(kBodyBytes, 'x'));
  RunUntil([&] { return handler_.exchanges == 3; });
  const std::string response = Send(Post(kBodyBytes, kBodyBytes));
  REQUIRE(response.starts_with("HTTP/1.1 503"));
  REQUIRE(response.find("Retry-After: ") != std::string::npos);
  REQUIRE(response.find("Connection: close") != std::string::npos);
  REQUIRE(handler_.exchanges == 3);
  // A small one passes.
  REQUIRE(Send(Post(100, 100)).find("X-Length: 100") != std::string::npos);
}

// Guards against responses that pile up for a client that sends requests and
// reads nothing.
TEST_CASE_METHOD(BoundedServerFixture,
                 "Requests behind unread responses are not run") {
  std::string requests;
  for (int i = 0; i < 200; ++i)
    requests += "GET /large HTTP/1.1\r\nHost: h\r\n\r\n";
  Open(requests);
  WaitFor(milliseconds(300));
  REQUIRE(handler_.exchanges < 200);
  REQUIRE(account().held(memory::Kind::kResponses) <= 2 * kBodyBytes);
  REQUIRE(Send(Post(100, 100)).find("X-Length: 100") != std::string::npos);
}

TEST_CASE_METHOD(BoundedServerFixture,
                 "A new connection displaces the one idle for longest") {
  for (int i = 0; i < 8; ++i) Open("");
  RunUntil([&] { return server_.connections() == 8; });
  WaitFor(milliseconds(1100));
  REQUIRE(Send(Post(100, 100)).find("X-Length: 100") != std::string::npos);
  REQUIRE(server_.displaced_connections() == 1);
}

TEST_CASE_METHOD(BoundedServerFixture,
                 "After a refusal no more than a body is read and dropped") {
  std::string response = RunWithClient([](RawClient& raw) {
    raw.Write(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
    // Fails once the server has closed the connection.
    for (int i = 0; i < 3000; ++i) raw.Write(chunk);
    return std::string();
  });
  RunUntil([&] { return server_.connections() == 0; });
  REQUIRE(server_.rejections().at(413) == 1);
}

}  // namespace
}  // namespace lovagecleat::http
