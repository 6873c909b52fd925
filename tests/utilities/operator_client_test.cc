#include "utilities/ctl/operator_client.h"

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "utilities/ctl/exit_codes.h"

// Tests the client against a server on the same GLib context.
namespace lovagecleat::ctl {
namespace {

using Json = nlohmann::json;
using transport::HttpServerCall;

constexpr std::string_view kJsonType = "application/json";

// Serves the operator API of an entry host with preset answers.
class FakeHost {
 public:
  FakeHost() : loop_(clock_), server_(loop_, {}) {
    server_.Route("GET", "/v1/operator/status",
                  [](const std::shared_ptr<HttpServerCall>& call) {
                    call->Respond(200, kJsonType, R"({"revision": 41})", {});
                  });
    server_.Route("GET", "/v1/operator/audit",
                  [this](const std::shared_ptr<HttpServerCall>& call) {
                    const Json document = {{"changes", audit}};
                    call->Respond(200, kJsonType, document.dump(), {});
                  });
    server_.Route("POST", "/v1/operator/changes",
                  [this](const std::shared_ptr<HttpServerCall>& call) {
                    received.push_back(Json::parse(call->body()));
                    if (status == 0) return call->Abort();
                    call->Respond(status, kJsonType, answer, {});
                  });
    port_ = server_.Listen("127.0.0.1", 0);
    REQUIRE(port_.has_value());
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(*port_); }
  void Close() { server_.StopListening(); }

  int status = 200;  // 0: the server aborts the connection
  std::string answer = R"({"state": "accepted", "revision": 42})";
  Json audit = Json::array();
  std::vector<Json> received;

 private:
  SystemClock clock_;
  transport::Loop loop_;
  transport::HttpServer server_;
  std::optional<std::uint16_t> port_;
};

ChangeRequest DrainZone() {
  ChangeRequest request;
  request.change_id = "c-1";
  request.operator_name = "bushra";
  request.change = configuration::SetZoneState{ZoneId("fsd-main"),
                                               configuration::ZoneState::kOut};
  return request;
}

TEST_CASE("A change is sent once, with the current revision") {
  FakeHost host;
  OperatorClient client(host.address());
  const Result result = client.Submit(DrainZone());
  CHECK(result.exit_code == command_line::kExitSuccess);
  CHECK(result.document == host.answer);
  REQUIRE(host.received.size() == 1);
  CHECK(host.received[0] == Json::parse(R"({"change_id": "c-1", "who": "bushra",
          "expected_revision": 41,
          "change": {"kind": "zone", "zone": "fsd-main", "state": "out"}})"));
}

TEST_CASE("A given revision is sent without reading the current one") {
  FakeHost host;
  OperatorClient client(host.address());
  ChangeRequest request = DrainZone();
  request.expected_revision = 7;
  client.Submit(request);
  REQUIRE(host.received.size() == 1);
  CHECK(host.received[0]["expected_revision"] == 7);
}

TEST_CASE("Each answer maps to its exit code") {
  struct Case {
    int status;
    std::string answer;
    int exit_code;
  };
  const std::vector<Case> cases = {
      {409, R"({"state": "conflict", "revision": 42})", kExitConflict},
      {422, R"({"problems": []})", kExitRefused},
      {503, R"({"state": "pending"})", kExitPending},
      {503, R"({"state": "not_run"})", kExitRefused},
      {504, R"({"state": "unknown", "change_id": "c-1"})", kExitUnknown},
      {0, "", kExitUnknown}};
  FakeHost host;
  for (const Case& item : cases) {
    host.status = item.status;
    host.answer = item.answer;
    OperatorClient client(host.address());
    INFO(item.status << " " << item.answer);
    CHECK(client.Submit(DrainZone()).exit_code == item.exit_code);
  }
  CHECK(host.received.size() == cases.size());
}

TEST_CASE(
    "After a lost answer, the audit trail shows that a change was accepted") {
  FakeHost host;
  host.audit = {{{"change_id", "c-0"}, {"revision", 43}},
                {{"change_id", "c-1"}, {"revision", 42}}};
  for (const int status : {0, 504}) {
    host.status = status;
    OperatorClient client(host.address());
    const Result result = client.Submit(DrainZone());
    CHECK(result.exit_code == command_line::kExitSuccess);
    CHECK(Json::parse(result.document) ==
          Json::parse(R"({"state": "accepted", "revision": 42})"));
  }
}

TEST_CASE("A closed port is reported as not reachable") {
  FakeHost host;
  const std::string address = host.address();
  host.Close();
  OperatorClient client(address);
  ChangeRequest request = DrainZone();
  request.expected_revision = 41;
  CHECK(client.Submit(request).exit_code == kExitNotReachable);
  CHECK(client.SendQuery("/v1/operator/status").exit_code == kExitNotReachable);
}

}  // namespace
}  // namespace lovagecleat::ctl
