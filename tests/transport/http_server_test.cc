#include <atomic>
#include <thread>

#include "tests/transport/loop_fixture.h"
#include "tests/transport/raw_server.h"

namespace lovagecleat::transport {
namespace {

using std::chrono::milliseconds;

constexpr HttpServerLimits kSmallLimits{.maximum_body_bytes = 100,
                                        .maximum_header_bytes = 500,
                                        .maximum_open_calls = 2};

using CallPointer = std::shared_ptr<HttpServerCall>;

class ServerFixture : public LoopFixture {
 public:
  ServerFixture() {
    server_.Route("POST", "/echo", [](const CallPointer& call) {
      call->Respond(200, "application/json", call->body(),
                    {{"X-Query", call->QueryParameter("until")},
                     {"X-Team", call->Header("x-team")}});
    });
    server_.Route("POST", "/hold",
                  [this](CallPointer call) { held_ = std::move(call); });
    server_.Route("GET", "/connection", [](const CallPointer& call) {
      call->Respond(200, "text/plain", std::to_string(call->connection()), {});
    });
    server_.Route("GET", "/v1/objects/*", [](const CallPointer& call) {
      call->Respond(200, "text/plain", call->path(), {});
    });
    port_ = *server_.Listen("127.0.0.1", 0);
  }

  HttpRequest Request(const std::string& path) const {
    HttpRequest request;
    request.address = "127.0.0.1:" + std::to_string(port_);
    request.path = path;
    request.body = "{}";
    return request;
  }

  HttpResponse Call(HttpRequest request) {
    std::optional<HttpResponse> response;
    client_.Start(std::move(request),
                  [&](const HttpResponse& r) { response = r; });
    RunUntil([&] { return response.has_value(); });
    return *response;
  }

  // Runs the loop while `exchange` blocks on sockets in another thread.
  std::string RunInThread(const std::function<std::string()>& exchange) {
    std::atomic<bool> is_done = false;
    std::string text;
    std::thread thread([&] {
      text = exchange();
      is_done = true;
    });
    RunUntil([&] { return is_done.load(); });
    thread.join();
    return text;
  }

  // Starts a call to /hold and returns when the server has received it.
  void StartHeldCall(const HttpClient::EventCallback& on_event = nullptr) {
    held_.reset();
    response_.reset();
    call_ = client_.Start(
        Request("/hold"), [this](const HttpResponse& r) { response_ = r; },
        on_event);
    RunUntil([this] { return held_ != nullptr; });
  }

  HttpServer server_{loop(), kSmallLimits};
  HttpClient client_{loop()};
  std::uint16_t port_ = 0;
  CallPointer held_;
  HttpCallId call_;
  std::optional<HttpResponse> response_;
};

TEST_CASE_METHOD(ServerFixture, "A response carries status, headers and body") {
  HttpRequest request = Request("/echo?until=7&x=y");
  request.headers["X-Team"] = "north";
  const auto response = Call(request);
  REQUIRE(response.status == 200);
  REQUIRE(response.body == "{}");
  REQUIRE(response.headers.at("content-type") == "application/json");
  REQUIRE(response.headers.at("x-query") == "7");
  REQUIRE(response.headers.at("x-team") == "north");
  HttpRequest object = Request("/v1/objects/a/b");
  object.method = "GET";
  REQUIRE(Call(object).body == "/v1/objects/a/b");
}

TEST_CASE_METHOD(ServerFixture,
                 "Unknown paths and methods get a problem document") {
  const auto unknown = Call(Request("/nothing"));
  REQUIRE(unknown.status == 404);
  REQUIRE(unknown.headers.at("content-type") == "application/problem+json");
  REQUIRE(unknown.body.find("not_run") != std::string::npos);
  HttpRequest request = Request("/echo");
  request.method = "DELETE";
  REQUIRE(Call(request).status == 405);
}

TEST_CASE_METHOD(ServerFixture, "Calls on one connection share its number") {
  HttpRequest request = Request("/connection");
  request.method = "GET";
  const std::string first = Call(request).body;
  REQUIRE(Call(request).body == first);
  request.connection = ConnectionChoice::kFresh;
  REQUIRE(Call(request).body != first);
}

TEST_CASE_METHOD(
    ServerFixture,
    "Bodies, headers and open calls over the limits are rejected") {
  HttpRequest large = Request("/echo");
  large.body = std::string(101, 'x');
  REQUIRE(Call(large).status == 413);
  HttpRequest headers = Request("/echo");
  headers.headers["X-Long"] = std::string(600, 'x');
  REQUIRE(Call(headers).status == 431);
  StartHeldCall();
  const auto first = held_;
  StartHeldCall();
  const auto refused = Call(Request("/echo"));
  REQUIRE(refused.status == 503);
  REQUIRE(refused.headers.at("retry-after") == "1");
  held_->Respond(204, "", "", {});
  first->Respond(204, "", "", {});
  RunUntil([&] { return server_.open_calls() == 0; });
  REQUIRE(Call(Request("/echo")).status == 200);
}

TEST_CASE_METHOD(ServerFixture, "A chunked body over the limit gets 413") {
  const auto response = RunInThread([&] {
    const RawClient raw(port_);
    raw.Write(
        "POST /echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        "Transfer-Encoding: chunked\r\n\r\n");
    const std::string piece(60, 'x');
    for (int i = 0; i < 3; ++i) raw.Write("3c\r\n" + piece + "\r\n");
    raw.Write("0\r\n\r\n");
    return raw.ReadToEnd();
  });
  REQUIRE(response.starts_with("HTTP/1.1 413"));
}

TEST_CASE_METHOD(ServerFixture, "A Content-Length over the limit gets 413") {
  const auto response = RunInThread([&] {
    const RawClient raw(port_);
    raw.Write(
        "POST /echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        "Content-Length: 1000000\r\n\r\n");
    return raw.ReadToEnd();
  });
  REQUIRE(response.starts_with("HTTP/1.1 413"));
}

TEST_CASE_METHOD(
    ServerFixture,
    "The server keeps working after a large body sent despite the 413") {
  const auto response = RunInThread([&] {
    const RawClient raw(port_);
    raw.Write(
        "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 6000000\r\n\r\n");
    raw.Write(std::string(6000000, 'x'));
    return raw.ReadToEnd();
  });
  REQUIRE(response.find("200 OK") == std::string::npos);
  REQUIRE(Call(Request("/echo")).status == 200);
}

TEST_CASE_METHOD(ServerFixture,
                 "A chunked body far over the limit is not accepted") {
  const auto response = RunInThread([&] {
    const RawClient raw(port_);
    raw.Write(
        "POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string piece(60, 'x');
    for (int i = 0; i < 100; ++i) raw.Write("3c\r\n" + piece + "\r\n");
    return raw.ReadToEnd();
  });
  REQUIRE(response.find("200 OK") == std::string::npos);
}

TEST_CASE_METHOD(ServerFixture, "Bytes that are not HTTP end the connection") {
  const auto response = RunInThread([&] {
    const RawClient raw(port_);
    raw.Write("\x16\x03\x01 no HTTP\r\n\r\n");
    return raw.ReadToEnd();
  });
  REQUIRE(response.find("200 OK") == std::string::npos);
  REQUIRE(Call(Request("/echo")).status == 200);
}

TEST_CASE_METHOD(ServerFixture,
                 "Each event arrives before the next is written") {
  std::vector<std::string> seen;
  StartHeldCall(
      [&](const ServerSentEvent& event) { seen.push_back(event.id); });
  held_->StartStream({});
  for (int i = 0; i < 20; ++i) {
    held_->WriteEvent({"token", std::to_string(i), "{}"});
    RunUntil([&] { return seen.size() == static_cast<std::size_t>(i) + 1; });
    REQUIRE(seen.back() == std::to_string(i));
  }
  REQUIRE_FALSE(response_);
  held_->EndStream();
  RunUntil([&] { return response_.has_value(); });
  REQUIRE(response_->failure == HttpFailure::kNone);
  REQUIRE(response_->headers.at("content-type") == "text/event-stream");
}

TEST_CASE_METHOD(ServerFixture,
                 "A disconnect is reported before and during a stream") {
  StartHeldCall();
  int disconnects = 0;
  held_->OnDisconnected([&] { ++disconnects; });
  client_.Cancel(call_);
  RunUntil([&] { return disconnects == 1 && server_.open_calls() == 0; });
  StartHeldCall([](const ServerSentEvent&) {});
  held_->OnDisconnected([&] { ++disconnects; });
  held_->StartStream({});
  held_->WriteEvent({"token", "0", "{}"});
  client_.Cancel(call_);
  RunUntil([&] { return disconnects == 2 && server_.open_calls() == 0; });
  held_->WriteEvent({"token", "1", "{}"});
  held_->EndStream();
  REQUIRE(disconnects == 2);
}

TEST_CASE_METHOD(ServerFixture,
                 "A completed call is not reported as disconnected") {
  StartHeldCall();
  int disconnects = 0;
  held_->OnDisconnected([&] { ++disconnects; });
  held_->Respond(200, "application/json", "{}", {});
  RunUntil([&] { return response_ && server_.open_calls() == 0; });
  REQUIRE(disconnects == 0);
}

TEST_CASE_METHOD(ServerFixture,
                 "Abort closes the connection without a response") {
  StartHeldCall();
  held_->Abort();
  RunUntil([&] { return response_.has_value(); });
  REQUIRE(response_->failure == HttpFailure::kConnectionLost);
  StartHeldCall([](const ServerSentEvent&) {});
  held_->StartStream({});
  held_->WriteEvent({"token", "0", "{}"});
  held_->Abort();
  RunUntil([&] { return response_.has_value(); });
  RunUntil([&] { return server_.open_calls() == 0; });
}

TEST_CASE_METHOD(ServerFixture, "Open streams continue after StopListening") {
  std::vector<std::string> seen;
  StartHeldCall(
      [&](const ServerSentEvent& event) { seen.push_back(event.id); });
  held_->StartStream({});
  server_.StopListening();
  REQUIRE(Call(Request("/echo")).failure == HttpFailure::kNotConnected);
  held_->WriteEvent({"token", "0", "{}"});
  held_->EndStream();
  RunUntil([&] { return response_.has_value(); });
  REQUIRE(response_->failure == HttpFailure::kNone);
  REQUIRE(seen == std::vector<std::string>{"0"});
}

TEST_CASE_METHOD(ServerFixture, "A failed Listen reports its reason") {
  HttpServer other(loop(), kSmallLimits);
  REQUIRE_FALSE(other.Listen("localhost", 0));
  REQUIRE(other.last_error() == ListenError::kNotAnIpAddress);
  REQUIRE_FALSE(other.Listen("127.0.0.1", port_));
  REQUIRE(other.last_error() == ListenError::kAddressInUse);
}

}  // namespace
}  // namespace lovagecleat::transport
