#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/gateway/gateway_world.h"

// Requests with stages through a whole gateway, against scripted servers.
namespace lovagecleat::gateway {
namespace {

using transport::RawConnection;

// One item takes 60 ms, so that its call is lost after 180 ms.
constexpr const char* kRouting = R"({"version":3,"routes":[
 {"name":"staged","host":"a.example","prefix":"/g/","kind":"unsafe",
  "timeoutMs":3000,"goalMs":1000,"attempts":2,"service":"plain",
  "stages":[{"service":"encoder","bytes":1000}]}],
 "services":[{"name":"plain","healthPath":"/h","maxConns":9},
  {"name":"encoder","pieces":{"slots":1,"queue":2,"batch":4,"callMs":50,
   "itemMs":10,"headroomMb":1,"handleS":4,"netMbps":1000}}],
 "limits":{"headerBytes":8000,"bodyBytes":1000,"headerMs":500,"idleMs":9000}})";

std::string Answer(const std::string& extra, const std::string& body) {
  return "HTTP/1.1 200 X\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Staged(std::size_t items) {
  return "POST /g/ HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
         "X-Lovagecleat-Request-Id: id1\r\nX-Lovagecleat-Deadline-Ms: 3000\r\n"
         "X-Lovagecleat-Pieces: " +
         std::to_string(items) +
         "\r\nX-Lovagecleat-Piece-Key: k\r\nContent-Length: 2\r\n\r\nhi";
}

// A stage server that makes every item, or does what a test says instead.
class StageServer {
 public:
  explicit StageServer(std::string report = R"({"queued":0,"busy":false,)"
                                            R"("freeMb":1})")
      : report_(std::move(report)),
        server_([this](RawConnection& connection, const std::string& request) {
          return Handle(connection, request);
        }) {}

  std::string address() const { return server_.address(); }

  std::atomic<int> calls = 0;
  std::atomic<int> questions = 0;
  std::atomic<int> lost_answers = 0;  // so many first calls get no answer
  std::atomic<int> without_room = 0;  // so many first calls find no room

 private:
  bool Handle(RawConnection& connection, const std::string& request) {
    if (request.starts_with("GET /report")) {
      ++questions;
      connection.Write(Answer("", report_));
      return true;
    }
    if (request.starts_with("POST /stage-free")) {
      connection.Write(Answer("", ""));
      return true;
    }
    const int call = ++calls;
    if (call <= lost_answers) {
      connection.WaitForEnd();
      return false;
    }
    const auto body =
        nlohmann::json::parse(request.substr(request.find("\r\n\r\n") + 4));
    nlohmann::json items = nlohmann::json::array();
    for (std::size_t i = 0; i < body.at("items").size(); ++i) {
      if (call <= without_room) {
        items.push_back({{"reason", "room"}});
      } else {
        items.push_back({{"handle", "h" + std::to_string(i)}});
      }
    }
    connection.Write(Answer("", nlohmann::json{{"items", items}}.dump()));
    return true;
  }

  std::string report_;
  ScriptedServer server_;
};

class StagesWorld : public GatewayWorld {
 public:
  StagesWorld()
      : plain([](RawConnection& connection, const std::string&) {
          connection.Write(
              Answer("X-Lovagecleat-Request-Id: id1\r\n"
                     "X-Lovagecleat-Response-Seal: s\r\n",
                     "ok"));
          return true;
        }) {}

  void StartWith(StageServer& stage) {
    rows.Set("op", "config", kRouting);
    AddServer("plain", "plain", plain.address());
    AddServer("stage", "encoder", stage.address());
    Start();
  }

  ScriptedServer plain;
};

TEST_CASE_METHOD(StagesWorld, "A request is sent with the results it needs") {
  StageServer stage;
  StartWith(stage);
  REQUIRE(Send(Staged(3)).starts_with("HTTP/1.1 200"));
  REQUIRE(stage.calls == 1);
  REQUIRE(plain.last_request().find("X-Lovagecleat-Inputs: h0,h1,h2") !=
          std::string::npos);
  REQUIRE(stage.questions == 0);
}

// Pattern: answers of a stage server are lost. Its one place must not count as
// taken until a timeout of many calls.
TEST_CASE_METHOD(StagesWorld, "A call whose answer is lost frees its server") {
  StageServer stage;
  stage.lost_answers = 1;
  StartWith(stage);
  const TimePoint start = loop().clock().Now();
  REQUIRE(Send(Staged(1)).starts_with("HTTP/1.1 200"));
  // The patience of a call, a question and the call once more; a timeout of
  // twelve calls would be 720 ms.
  REQUIRE(loop().clock().Now() - start < std::chrono::milliseconds(600));
  REQUIRE(stage.questions >= 1);
  REQUIRE(stage.calls == 2);
}

TEST_CASE_METHOD(StagesWorld, "A server that is still at work is waited for") {
  StageServer stage(R"({"queued":0,"busy":true,"freeMb":1})");
  stage.lost_answers = 1;
  StartWith(stage);
  const TimePoint start = loop().clock().Now();
  REQUIRE(Send(Staged(1)).starts_with("HTTP/1.1 200"));
  REQUIRE(loop().clock().Now() - start >= std::chrono::milliseconds(700));
}

// Pattern: cold return of the gathering hosts. Results that they know nothing
// of fill the servers.
TEST_CASE_METHOD(StagesWorld,
                 "A server without room is asked how much it has") {
  StageServer stage;
  stage.without_room = 5;  // more often than an item may fail
  StartWith(stage);
  REQUIRE(Send(Staged(2)).starts_with("HTTP/1.1 200"));
  REQUIRE(stage.questions >= 1);
  REQUIRE(stage.calls == 6);
}

// Pattern: all hosts start anew under load. Callers try only twice.
TEST_CASE_METHOD(StagesWorld,
                 "A request that comes before the configuration is served") {
  StageServer stage;
  rows.failing_table = "op";
  StartWith(stage);
  loop().After(std::chrono::milliseconds(200),
               [this] { rows.failing_table.clear(); });
  REQUIRE(Send(Staged(1)).starts_with("HTTP/1.1 200"));
}

TEST_CASE_METHOD(StagesWorld, "Without a configuration requests are refused") {
  StageServer stage;
  rows.failing_table = "op";
  StartWith(stage);
  REQUIRE(Send(Staged(1)).starts_with("HTTP/1.1 503"));
}

}  // namespace
}  // namespace lovagecleat::gateway
