#include <catch2/catch.hpp>

#include "platform/store_client.h"
#include "tests/gateway/gateway_fixture.h"

// Tests servers and a store that send one part of a response without end.
namespace lovagecleat::gateway {
namespace {

using transport::RawConnection;

constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"unsafe","host":"a.example","prefix":"/u/","kind":"unsafe",
  "timeoutMs":3000,"goalMs":300,"attempts":1,"service":"plain"},
 {"name":"safe","host":"a.example","prefix":"/s/","kind":"safe",
  "timeoutMs":3000,"goalMs":300,"attempts":1,"service":"plain"},
 {"name":"stream","host":"a.example","prefix":"/r/","kind":"stream",
  "timeoutMs":5000,"goalMs":1000,"attempts":1,"service":"plain"},
 {"name":"staged","host":"a.example","prefix":"/g/","kind":"safe",
  "timeoutMs":5000,"goalMs":1000,"attempts":2,"service":"plain",
  "stages":[{"service":"encoder","bytes":1000}]}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9},
  {"name":"encoder","pieces":{"slots":1,"queue":2,"batch":4,"callMs":50,
   "itemMs":10,"headroomMb":1,"handleS":4,"netMbps":1000}}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

constexpr std::string_view kResponse =
    "HTTP/1.1 200 X\r\nX-Lovagecleat-Request-Id: id1\r\n"
    "X-Lovagecleat-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok";
constexpr std::string_view kChunkedFailure =
    "HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::string_view kChunkedSuccess =
    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";

// More than the limit on failures, control calls and single events, together
// with the network's buffers.
constexpr std::size_t kMoreThanAccepted = std::size_t{24} * 1024 * 1024;
// The time limits of the routes are longer.
constexpr auto kTimeToFail = std::chrono::milliseconds(1400);

std::string MakeRequest(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
         "X-Lovagecleat-Request-Id: id1\r\n"
         "X-Lovagecleat-Pieces: 1\r\nX-Lovagecleat-Piece-Key: k\r\n"
         "X-Lovagecleat-Deadline-Ms: 9000\r\nContent-Length: 2\r\n\r\nhi";
}

// A part of a response, after some that are complete.
struct EndlessPart {
  std::string begin;
  std::string unit;
};

// Parts that a response to any call may have.
std::vector<EndlessPart> AnyCallParts() {
  return {{"", "HTTP/1.1 "},
          {"HTTP/1.1 200 X\r\nX: ", "x"},
          {"HTTP/1.1 200 X\r\n", "X: y\r\n"},
          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
          {Join({kChunkedFailure, "1;"}), "x"},
          {Join({kChunkedFailure, "0\r\n"}), "X: y\r\n"},
          {std::string(kChunkedFailure),
           "200;x=y\r\n" + std::string(512, 'a') + "\r\n"},
          {"HTTP/1.1 500 X\r\n\r\n", "abc"},
          {Join({kChunkedSuccess, "1;"}), "x"}};
}

// Sends a part of a response without end, and counts the connections that were
// closed for it.
class EndlessSender {
 public:
  explicit EndlessSender(EndlessPart part,
                         std::size_t maximum = kMoreThanAccepted)
      : part_(std::move(part)), maximum_(maximum) {}

  // Returns whether to read another request.
  bool Send(RawConnection& connection) {
    connection.Write(part_.begin);
    if (connection.WriteUntilClosed(part_.unit, maximum_)) ++closed_;
    return false;
  }
  int closed() const { return closed_; }

 private:
  EndlessPart part_;
  std::size_t maximum_;
  std::atomic<int> closed_ = 0;
};

class EndlessResponseFixture : public GatewayFixture {
 public:
  // Answers each request itself.
  ScriptedServer::Script Endless() {
    return [this](RawConnection& connection, const std::string&) {
      return sender->Send(connection);
    };
  }

  // Answers requests for the path endlessly, and others of a stage server
  // usually.
  ScriptedServer::Script EndlessAt(const std::string& path) {
    return [this, path](RawConnection& connection, const std::string& request) {
      if (request.find(path) != std::string::npos)
        return sender->Send(connection);
      const bool is_call = request.starts_with("POST /stage-run");
      const std::string body = is_call ? R"({"items":[{"handle":"h0"}]})" : "";
      connection.Write("HTTP/1.1 200 X\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
      return true;
    };
  }

  void StartWith(ScriptedServer& plain, const ScriptedServer* stage = nullptr) {
    rows.Set("op", "config", kRouting);
    AddServer("plain", "plain", plain.address());
    if (stage != nullptr) AddServer("stage", "encoder", stage->address());
    Start();
  }

  ScriptedServer::Script Respond() {
    return [](RawConnection& connection, const std::string&) {
      connection.Write(kResponse);
      return true;
    };
  }

  std::optional<EndlessSender> sender;
};

// Guards against memory and time without bounds, for each part of a response.
TEST_CASE_METHOD(EndlessResponseFixture,
                 "A response without end fails its request") {
  const EndlessPart part = GENERATE(from_range(AnyCallParts()));
  const std::string path = GENERATE("/u/", "/s/", "/r/");
  INFO(path << " " << part.begin << part.unit);
  sender.emplace(part);
  ScriptedServer server(Endless());
  StartWith(server);
  const TimePoint start = loop().clock().Now();
  REQUIRE(Send(MakeRequest(path)).starts_with("HTTP/1.1 502"));
  REQUIRE(loop().clock().Now() - start < kTimeToFail);
  RunUntil([&] { return sender->closed() == 1; });
}

// Guards against a stalled stream: an event that was too large was neither
// forwarded nor did it end the stream.
TEST_CASE_METHOD(EndlessResponseFixture, "An event without end ends a stream") {
  const bool has_begun = GENERATE(false, true);
  const std::string begin =
      Join({kStreamHead, has_begun ? Chunk("id: 1\ndata: a\n\n") : ""});
  sender.emplace(EndlessPart{begin, Chunk("data: xxxxxxxx\n")});
  ScriptedServer server(Endless());
  StartWith(server);
  const TimePoint start = loop().clock().Now();
  const std::string response = Send(MakeRequest("/r/"));
  REQUIRE(loop().clock().Now() - start < kTimeToFail);
  REQUIRE(response.starts_with(has_begun ? "HTTP/1.1 200" : "HTTP/1.1 502"));
  REQUIRE_FALSE(response.ends_with(kStreamEnd));
  RunUntil([&] { return sender->closed() == 1; });
}

// Guards against memory and time without bounds: the body of a success is
// forwarded as it comes.
TEST_CASE_METHOD(EndlessResponseFixture,
                 "A successful response without end is cut") {
  sender.emplace(
      EndlessPart{Join({"HTTP/1.1 200 X\r\nX-Lovagecleat-Request-Id: id1\r\n",
                        kSeal, "Transfer-Encoding: chunked\r\n\r\n"}),
                  Chunk(std::string(1000, 'x'))},
      8 * kMoreThanAccepted);
  ScriptedServer server(Endless());
  StartWith(server);
  const std::string response = Send(MakeRequest("/u/"));
  REQUIRE(response.starts_with("HTTP/1.1 200"));
  REQUIRE_FALSE(response.ends_with(kStreamEnd));
  RunUntil([&] { return sender->closed() == 1; });
}

// Guards against memory and time without bounds in stage calls.
TEST_CASE_METHOD(EndlessResponseFixture,
                 "A stage response without end fails its request") {
  std::vector<EndlessPart> parts = AnyCallParts();
  parts.push_back({"HTTP/1.1 200 X\r\n\r\n", R"({"items":[)"});
  const EndlessPart part = GENERATE_COPY(from_range(parts));
  INFO(part.begin << part.unit);
  sender.emplace(part);
  ScriptedServer plain(Respond());
  ScriptedServer stage(EndlessAt("/stage-run"));
  StartWith(plain, &stage);
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 503"));
  REQUIRE(plain.requests() == 0);
  RunUntil([&] { return sender->closed() == stage.requests(); });
}

// Guards against memory and time without bounds in releases.
TEST_CASE_METHOD(EndlessResponseFixture,
                 "A response without end to a release ends its connection") {
  std::vector<EndlessPart> parts = AnyCallParts();
  parts.push_back({"HTTP/1.1 200 X\r\n\r\n", "x"});
  sender.emplace(GENERATE_COPY(from_range(parts)));
  ScriptedServer plain(Respond());
  ScriptedServer stage(EndlessAt("/stage-free"));
  StartWith(plain, &stage);
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
  RunUntil([&] { return sender->closed() == 1; });
}

// Guards against memory and time without bounds in reports, which are asked for
// while a call is slow.
TEST_CASE_METHOD(EndlessResponseFixture,
                 "A report without end does not end its call") {
  std::vector<EndlessPart> parts = AnyCallParts();
  parts.push_back({"HTTP/1.1 200 X\r\n\r\n", R"({"queued":0,)"});
  sender.emplace(GENERATE_COPY(from_range(parts)));
  ScriptedServer plain(Respond());
  const ScriptedServer::Script script = EndlessAt("/report");
  ScriptedServer stage(
      [&](RawConnection& connection, const std::string& request) {
        if (request.starts_with("POST /stage-run"))
          std::this_thread::sleep_for(std::chrono::milliseconds(600));
        return script(connection, request);
      });
  StartWith(plain, &stage);
  REQUIRE(Send(MakeRequest("/g/")).starts_with("HTTP/1.1 200"));
  RunUntil([&] { return sender->closed() >= 1; });
}

// Guards against memory and time without bounds in answers of the store.
TEST_CASE_METHOD(transport::LoopFixture,
                 "An answer of the store without end is no answer") {
  std::vector<EndlessPart> parts = AnyCallParts();
  parts.push_back({"HTTP/1.1 200 X\r\n\r\n", R"({"rows":[)"});
  const EndlessPart part = GENERATE_COPY(from_range(parts));
  INFO(part.begin << part.unit);
  EndlessSender sender(part, 4 * kMoreThanAccepted);
  transport::RawServer store([&](RawConnection& connection) {
    if (connection.ReadRequest()) sender.Send(connection);
  });
  http::Poller poller(loop());
  http::ConnectionPool pool(poller);
  const SystemClock clock;
  logging::EventLog log(clock, "host", -1);
  platform_adapter::StoreClient client(loop(), pool, log, store.address());
  std::optional<RowsResponse> response;
  client.ReadAll("servers",
                 [&](RowsResponse read) { response = std::move(read); });
  RunUntil([&] { return response.has_value(); });
  REQUIRE(response->status == RowsResponse::Status::kUnavailable);
  RunUntil([&] { return sender.closed() == 1; });
}

}  // namespace
}  // namespace lovagecleat::gateway
