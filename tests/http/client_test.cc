#include <catch2/catch.hpp>
#include <optional>

#include "http/http.h"
#include "tests/transport/loop_fixture.h"
#include "tests/transport/raw_server.h"

namespace lovagecleat::http {
namespace {

using transport::RawConnection;
using transport::RawServer;

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* kResponse =
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok";

constexpr const char* kResponseAndExtraBytes =
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 ";

std::string Join(std::string_view first, std::string_view second) {
  return std::string(first).append(second);
}

// Records the events of one call.
struct Recorder final : CallObserver {
  ResponseOwner OwnerOf(const ResponseHead& head, bool is_reused) override {
    was_reused = is_reused;
    const auto id = FindField(head.fields, "X-Id");
    if (!id && needs_id) return ResponseOwner::kUnknown;
    return id.value_or("1") == "1" ? ResponseOwner::kThisCall
                                   : ResponseOwner::kOtherCall;
  }
  bool IsCopyHarmless() override { return is_copy_harmless; }
  void OnResponseHead(const ResponseHead& head) override {
    status = head.status;
  }
  void OnResponseBody(std::string_view bytes) override { body.append(bytes); }
  void OnResponseComplete() override { is_complete = true; }
  void OnCallFailed(CallEnd call_end) override { end = call_end; }
  std::uint64_t maximum_body_bytes() const override { return limit; }
  bool has_ended() const { return is_complete || end.has_value(); }

  std::uint64_t limit = 1'000'000;
  bool needs_id = false;
  bool is_copy_harmless = true;

  bool was_reused = false;
  int status = 0;
  std::string body;
  bool is_complete = false;
  std::optional<CallEnd> end;
};

class ClientFixture : public transport::LoopFixture {
 public:
  void Call(const std::string& address, Recorder& recorder,
            Reuse reuse = Reuse::kAny) {
    call_ = pool_.Start({"server", address, ""}, kRequest, reuse, recorder);
    RunUntil([&] { return recorder.has_ended(); });
    call_.reset();
  }

  Poller poller_{loop()};
  ConnectionPool pool_{poller_};
  std::unique_ptr<http::Call> call_;
};

TEST_CASE_METHOD(ClientFixture, "Consecutive calls share one connection") {
  RawServer server([](RawConnection& connection) {
    while (connection.ReadRequest()) connection.Write(kResponse);
  });
  for (int i = 0; i < 3; ++i) {
    Recorder recorder;
    Call(server.address(), recorder);
    REQUIRE(recorder.is_complete);
    REQUIRE(recorder.body == "ok");
  }
  REQUIRE(pool_.opened_connections() == 1);
}

TEST_CASE_METHOD(ClientFixture,
                 "The Keep-Alive timeout of a server is respected") {
  RawServer server([](RawConnection& connection) {
    while (connection.ReadRequest())
      connection.Write(
          "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
          "Content-Length: 0\r\n\r\n");
  });
  for (int i = 0; i < 2; ++i) {
    Recorder recorder;
    Call(server.address(), recorder);
    REQUIRE(recorder.is_complete);
  }
  REQUIRE(pool_.opened_connections() == 2);
}

TEST_CASE_METHOD(ClientFixture,
                 "A call to a closed port fails as not connected") {
  Recorder recorder;
  Call("127.0.0.1:" + std::to_string(transport::UnusedPort()), recorder);
  REQUIRE(recorder.end);
  REQUIRE(recorder.end->failure == CallFailure::kNotConnected);
}

TEST_CASE_METHOD(ClientFixture, "A call is never sent a second time") {
  std::atomic<int> requests = 0;
  RawServer server([&](RawConnection& connection) {
    if (!connection.ReadRequest()) return;
    ++requests;
    connection.Write(kResponse);
    // Reads the next request on the same connection and closes without a
    // response.
    if (connection.ReadRequest()) ++requests;
  });
  Recorder first;
  Call(server.address(), first);
  Recorder second;
  Call(server.address(), second);
  REQUIRE(second.end);
  REQUIRE(second.end->failure == CallFailure::kConnectionLost);
  REQUIRE(second.end->was_reused);
  REQUIRE(requests == 2);
}

TEST_CASE_METHOD(ClientFixture, "A response to another request is skipped") {
  RawServer server([](RawConnection& connection) {
    if (!connection.ReadRequest()) return;
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 5\r\n\r\nwrong");
    connection.Write(kResponse);
    connection.WaitForClose();
  });
  Recorder recorder;
  Call(server.address(), recorder);
  REQUIRE(recorder.is_complete);
  REQUIRE(recorder.body == "ok");
}

TEST_CASE_METHOD(ClientFixture,
                 "A connection with bytes after the response is not reused") {
  RawServer server([](RawConnection& connection) {
    while (connection.ReadRequest()) connection.Write(kResponseAndExtraBytes);
  });
  for (int i = 0; i < 2; ++i) {
    Recorder recorder;
    Call(server.address(), recorder);
    REQUIRE(recorder.body == "ok");
  }
  REQUIRE(pool_.opened_connections() == 2);
}

TEST_CASE_METHOD(ClientFixture,
                 "Truncated and invalid responses fail the call") {
  const auto failure_of = [this](const std::string& bytes) {
    RawServer server([bytes](RawConnection& connection) {
      if (connection.ReadRequest()) connection.Write(bytes);
    });
    Recorder recorder;
    Call(server.address(), recorder);
    REQUIRE(recorder.end);
    pool_.CloseIdleConnections("server");
    return recorder.end->failure;
  };
  REQUIRE(failure_of("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc") ==
          CallFailure::kConnectionLost);
  REQUIRE(failure_of("") == CallFailure::kConnectionLost);
  REQUIRE(failure_of("\x01\x02 nonsense\r\n\r\n") ==
          CallFailure::kInvalidResponse);
}

TEST_CASE_METHOD(ClientFixture,
                 "The end of the connection completes an unframed response") {
  RawServer server([](RawConnection& connection) {
    if (connection.ReadRequest())
      connection.Write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it");
  });
  Recorder recorder;
  Call(server.address(), recorder);
  REQUIRE(recorder.is_complete);
  REQUIRE(recorder.body == "all of it");
}

// Guards against sending a request after its call was destroyed: when that
// happened in the loop iteration in which the connection was established, the
// request was still sent and ran on two servers.
TEST_CASE_METHOD(ClientFixture,
                 "Nothing is sent for a call that was destroyed") {
  std::atomic<int> requests = 0;
  RawServer server([&](RawConnection& connection) {
    if (connection.ReadRequest()) ++requests;
  });
  Recorder recorder;
  call_ = pool_.Start({"server", server.address(), ""}, kRequest, Reuse::kAny,
                      recorder);
  // The connection is established before the loop runs again.
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  loop().After(Duration::zero(), [this] { call_.reset(); });
  const TimePoint until = loop().clock().Now() + std::chrono::milliseconds(200);
  RunUntil([&] { return loop().clock().Now() >= until; });
  REQUIRE(requests == 0);
}

TEST_CASE_METHOD(ClientFixture, "Destroying a call closes its connection") {
  std::atomic<bool> has_ended = false;
  RawServer server([&](RawConnection& connection) {
    if (!connection.ReadRequest()) return;
    connection.WaitForClose();
    has_ended = true;
  });
  Recorder recorder;
  call_ = pool_.Start({"server", server.address(), ""}, kRequest, Reuse::kAny,
                      recorder);
  RunUntil([&] { return call_->may_have_been_sent(); });
  call_.reset();
  RunUntil([&] { return has_ended.load(); });
  REQUIRE_FALSE(recorder.has_ended());
}

// Guards against a request that reaches its server after its caller was
// answered: bytes on their way are delivered when a cut of the path ends,
// unless the connection was reset.
TEST_CASE_METHOD(ClientFixture,
                 "A request that is not acknowledged is withdrawn") {
  const auto idle_time =
      GENERATE(std::chrono::milliseconds(0), std::chrono::milliseconds(1500));
  std::atomic<bool> is_cut = false;
  std::atomic<bool> was_reset = false;
  RawServer server([&](RawConnection& connection) {
    if (!connection.ReadRequest()) return;
    connection.Write(kResponse);
    connection.DropIncomingButResets();
    is_cut = true;
    connection.WaitForClose();
    was_reset = true;
  });
  Recorder first;
  Call(server.address(), first);
  const TimePoint idle_until = loop().clock().Now() + idle_time;
  RunUntil([&] { return is_cut && loop().clock().Now() >= idle_until; });
  Recorder recorder;
  Call(server.address(), recorder);
  REQUIRE(recorder.end);
  REQUIRE(recorder.end->was_reused);
  REQUIRE(recorder.end->is_server_lost);
  RunUntil([&] { return was_reset.load(); });
}

// Guards against memory and time without bounds: a server sends one part of a
// response without end.
TEST_CASE_METHOD(ClientFixture, "A response without end fails the call") {
  constexpr const char* chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto part = GENERATE_COPY(table<std::string, std::string>(
      {{"", "HTTP/1.1 "},
       {"HTTP/1.1 200 OK\r\nX: ", "x"},
       {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
       {"", "HTTP/1.1 100 Continue\r\n\r\n"},
       {"", "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 0\r\n\r\n"},
       {Join(chunked, "1;"), "x"},
       {Join(chunked, "0\r\n"), "X: y\r\n"},
       {chunked, "2;x=y\r\nab\r\n"},
       {"HTTP/1.1 200 OK\r\n\r\n", "abc"},
       {"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "abc"}}));
  const std::string& begin = std::get<0>(part);
  const std::string& unit = std::get<1>(part);
  INFO(begin << " " << unit);
  // More than the network buffers and the limit together.
  constexpr std::size_t more_than_accepted = std::size_t{32} * 1024 * 1024;
  std::atomic<bool> was_closed = false;
  std::atomic<bool> has_ended = false;
  RawServer server([&](RawConnection& connection) {
    if (!connection.ReadRequest()) return;
    connection.Write(begin);
    was_closed = connection.WriteUntilClosed(unit, more_than_accepted);
    has_ended = true;
  });
  Recorder recorder;
  recorder.limit = 100'000;
  Call(server.address(), recorder);
  REQUIRE(recorder.end);
  REQUIRE(recorder.end->failure == CallFailure::kResponseTooLarge);
  REQUIRE(recorder.body.size() <= recorder.limit);
  RunUntil([&] { return has_ended.load(); });
  REQUIRE(was_closed);
}

// Guards against failed calls: the kernel ended a connection whose server did
// not read for longer than TCP_USER_TIMEOUT.
TEST_CASE_METHOD(ClientFixture, "A server may read nothing for some seconds") {
  RawServer server([](RawConnection& connection) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    while (connection.ReadRequest()) connection.Write(kResponse);
  });
  const std::string body(std::size_t{4} * 1024 * 1024, 'x');
  Recorder recorder;
  call_ = pool_.Start({"server", server.address(), ""},
                      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body,
                      Reuse::kAny, recorder);
  RunUntil([&] { return recorder.has_ended(); });
  call_.reset();
  REQUIRE(recorder.is_complete);
}

// Guards against bytes that are no answer in the protocol and count as one, and
// against a wait for more after a status below 100.
TEST_CASE_METHOD(ClientFixture, "A status that does not exist fails the call") {
  const std::string status =
      GENERATE("000", "001", "099", "101", "600", "999", "20", "2000", "2x0");
  CAPTURE(status);
  std::atomic<bool> was_closed = false;
  RawServer server([&](RawConnection& connection) {
    if (!connection.ReadRequest()) return;
    connection.Write("HTTP/1.1 " + status +
                     " X\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok");
    connection.WaitForClose();
    was_closed = true;
  });
  Recorder recorder;
  const TimePoint start = loop().clock().Now();
  Call(server.address(), recorder);
  REQUIRE(recorder.end);
  REQUIRE(recorder.end->failure == CallFailure::kInvalidResponse);
  REQUIRE(loop().clock().Now() - start < std::chrono::milliseconds(1000));
  RunUntil([&] { return was_closed.load(); });
}

TEST_CASE_METHOD(ClientFixture, "Interim answers are skipped") {
  const std::string status = GENERATE("100", "102", "103", "199");
  const int count = GENERATE(1, 4);
  RawServer server([&](RawConnection& connection) {
    if (!connection.ReadRequest()) return;
    for (int i = 0; i < count; ++i)
      connection.Write("HTTP/1.1 " + status + " X\r\n\r\n");
    connection.Write(kResponse);
    connection.WaitForClose();
  });
  Recorder recorder;
  Call(server.address(), recorder);
  REQUIRE(recorder.is_complete);
  REQUIRE(recorder.status == 200);
}

// Guards against a part of a response that is taken for the whole, when its
// server resets the connection: with the end of the connection, or an error
// that a write has met, before the reset.
TEST_CASE_METHOD(ClientFixture,
                 "A reset does not complete a response without a length") {
  const bool has_ended_sending = GENERATE(false, true);
  const bool is_long = GENERATE(false, true);
  const bool is_reused = GENERATE(false, true);
  CAPTURE(has_ended_sending, is_long, is_reused);
  std::atomic<bool> was_reset = false;
  RawServer server([&](RawConnection& connection) {
    if (is_reused) {
      connection.ReadRequest();
      connection.Write(kResponse);
    }
    if (!connection.ReadHead()) return;
    connection.Write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\na part");
    if (has_ended_sending) connection.ShutdownSending();
    connection.Reset();
    was_reset = true;
  });
  if (is_reused) {
    Recorder first;
    Call(server.address(), first);
    REQUIRE(first.is_complete);
  }
  const std::string body(is_long ? std::size_t{8} * 1024 * 1024 : 10, 'x');
  Recorder recorder;
  call_ = pool_.Start({"server", server.address(), ""},
                      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body,
                      Reuse::kAny, recorder);
  RunUntil([&] { return call_->may_have_been_sent(); });
  // The answer and its end are there before the loop runs again.
  while (!was_reset) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  RunUntil([&] { return recorder.has_ended(); });
  call_.reset();
  REQUIRE(recorder.end);
  REQUIRE(recorder.end->failure == CallFailure::kConnectionLost);
}

// Guards against the same when the reset comes later: a server that has not got
// the whole request has not answered it.
TEST_CASE_METHOD(ClientFixture,
                 "The end of the connection completes no response early") {
  RawServer server([&](RawConnection& connection) {
    if (!connection.ReadHead()) return;
    connection.Write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\na part");
    connection.ShutdownSending();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    connection.Reset();
  });
  const std::string body(std::size_t{8} * 1024 * 1024, 'x');
  Recorder recorder;
  call_ = pool_.Start({"server", server.address(), ""},
                      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body,
                      Reuse::kAny, recorder);
  RunUntil([&] { return recorder.has_ended(); });
  call_.reset();
  REQUIRE(recorder.end);
  REQUIRE(recorder.end->failure == CallFailure::kConnectionLost);
}

// Guards against the response of an earlier call: bytes that had come while no
// call was outstanding, and were not read yet, were taken for the answer to the
// next call.
TEST_CASE_METHOD(ClientFixture,
                 "A connection with unread bytes is not used for a call") {
  std::atomic<bool> may_continue = false;
  std::atomic<bool> has_sent_extra = false;
  std::atomic<int> connections = 0;
  RawServer server([&](RawConnection& connection) {
    const bool is_first = ++connections == 1;
    if (!connection.ReadRequest()) return;
    connection.Write(kResponse);
    while (is_first && !may_continue)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    if (is_first)
      connection.Write(
          "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwrong");
    has_sent_extra = true;
    connection.WaitForClose();
  });
  Recorder first;
  Call(server.address(), first);
  may_continue = true;
  while (!has_sent_extra)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  Recorder second;
  Call(server.address(), second);
  REQUIRE(second.is_complete);
  REQUIRE(second.body == "ok");
  REQUIRE(connections == 2);
}

// Guards against the response of an earlier call: calls of different kinds
// cannot recognize each other's responses.
TEST_CASE_METHOD(ClientFixture, "A connection serves calls of one kind") {
  std::atomic<int> connections = 0;
  RawServer server([&](RawConnection& connection) {
    ++connections;
    while (connection.ReadRequest()) connection.Write(kResponse);
  });
  for (const char* kind : {"a", "b", "a", "b", "a"}) {
    Recorder recorder;
    call_ = pool_.Start({"server", server.address(), kind}, kRequest,
                        Reuse::kAny, recorder);
    RunUntil([&] { return recorder.has_ended(); });
    REQUIRE(recorder.is_complete);
  }
  REQUIRE(connections == 2);
  REQUIRE(pool_.idle_connections() == 2);
  pool_.CloseIdleConnections("server");
  REQUIRE(pool_.idle_connections() == 0);
}

TEST_CASE_METHOD(ClientFixture,
                 "A connection is kept only if a copy would do no harm") {
  RawServer server([&](RawConnection& connection) {
    while (connection.ReadRequest()) connection.Write(kResponse);
  });
  Recorder harmful;
  harmful.is_copy_harmless = false;
  Call(server.address(), harmful);
  REQUIRE(harmful.is_complete);
  REQUIRE(pool_.idle_connections() == 0);
  Recorder harmless;
  Call(server.address(), harmless);
  REQUIRE_FALSE(harmless.was_reused);
  REQUIRE(pool_.idle_connections() == 1);
  Recorder next;
  Call(server.address(), next);
  REQUIRE(next.was_reused);
  Recorder separate;
  Call(server.address(), separate, Reuse::kNone);
  REQUIRE_FALSE(separate.was_reused);
  REQUIRE(pool_.opened_connections() == 3);
}

TEST_CASE_METHOD(ClientFixture,
                 "A response of an unknown call fails the call") {
  RawServer server([&](RawConnection& connection) {
    if (!connection.ReadRequest()) return;
    connection.Write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
    connection.Write(kResponse);
    connection.WaitForClose();
  });
  Recorder recorder;
  recorder.needs_id = true;
  Call(server.address(), recorder);
  REQUIRE(recorder.end);
  REQUIRE(recorder.end->failure == CallFailure::kInvalidResponse);
  REQUIRE(pool_.idle_connections() == 0);
}

TEST_CASE_METHOD(ClientFixture,
                 "Connections to a distrusted server are not reused") {
  RawServer server([&](RawConnection& connection) {
    while (connection.ReadRequest()) connection.Write(kResponse);
  });
  const auto call_twice = [&](const std::string& name) {
    for (int i = 0; i < 2; ++i) {
      Recorder recorder;
      call_ = pool_.Start({name, server.address(), ""}, kRequest, Reuse::kAny,
                          recorder);
      RunUntil([&] { return recorder.has_ended(); });
    }
  };
  call_twice("server");
  call_twice("other");
  REQUIRE(pool_.opened_connections() == 2);
  pool_.DistrustConnections("server");
  REQUIRE(pool_.idle_connections() == 1);
  call_twice("server");
  REQUIRE(pool_.opened_connections() == 4);
  call_twice("other");
  REQUIRE(pool_.opened_connections() == 4);
}

// Guards against a call that waits for the body of a response to HEAD.
TEST_CASE_METHOD(ClientFixture, "A response to HEAD has no body") {
  const std::string length = GENERATE("", "Content-Length: 9\r\n");
  RawServer server([&](RawConnection& connection) {
    while (connection.ReadRequest())
      connection.Write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + length + "\r\n");
  });
  Recorder recorder;
  call_ =
      pool_.Start({"server", server.address(), ""},
                  "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", Reuse::kAny, recorder);
  RunUntil([&] { return recorder.has_ended(); });
  REQUIRE(recorder.is_complete);
  REQUIRE(recorder.body.empty());
}

}  // namespace
}  // namespace lovagecleat::http
