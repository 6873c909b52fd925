#include "platform/platform.h"

#include "tests/transport/loop_fixture.h"

namespace lovagecleat::platform {
namespace {

using policy::TableAnswered;
using policy::TableOutcome;
using transport::HttpServerCall;

using CallPointer = std::shared_ptr<HttpServerCall>;

constexpr std::string_view kJson = "application/json";
constexpr std::string_view kOneRow =
    R"({"rows": [{"key": "k", "version": 3, "value": "v"}]})";

class PlatformFixture : public transport::LoopFixture {
 public:
  PlatformFixture() {
    for (const char* path :
         {"/v1/table/read", "/v1/table/scan", "/v1/table/write"})
      server_.Route("POST", path, [this](const CallPointer& call) {
        last_body_ = call->body();
        last_path_ = call->path();
        handler_(*call);
        last_call_ = call;
      });
    server_.Route("GET", "/v1/inventory",
                  [this](const CallPointer& call) { handler_(*call); });
    port_ = *server_.Listen("127.0.0.1", 0);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  void RespondWith(int status, std::string_view body) {
    handler_ = [status, text = std::string(body)](HttpServerCall& call) {
      call.Respond(status, kJson, text, {});
    };
  }

  TableAnswered Write() {
    std::optional<TableAnswered> answered;
    TableClient table(client_, address(),
                      [&](const TableAnswered& a) { answered = a; });
    table.Write({OperationId(9), {{"k", 2, "v"}}});
    REQUIRE_FALSE(answered);
    RunUntil([&] { return answered.has_value(); });
    REQUIRE(answered->operation == OperationId(9));
    return *answered;
  }

  transport::HttpServer server_{loop(), {}};
  transport::HttpClient client_{loop()};
  std::uint16_t port_ = 0;
  std::function<void(HttpServerCall&)> handler_;
  std::string last_body_;
  std::string last_path_;
  CallPointer last_call_;
};

TEST_CASE_METHOD(PlatformFixture,
                 "Commands are sent as the calls of the protocol") {
  RespondWith(200, kOneRow);
  const auto written = Write();
  REQUIRE(written.outcome == TableOutcome::kOk);
  REQUIRE(written.rows.size() == 1);
  REQUIRE(written.rows[0].key == "k");
  REQUIRE(written.rows[0].version == 3);
  REQUIRE(written.rows[0].value == "v");
  REQUIRE(last_path_ == "/v1/table/write");
  REQUIRE(last_body_ ==
          R"({"writes":[{"expected_version":2,"key":"k","value":"v"}]})");
  int answers = 0;
  TableClient table(client_, address(),
                    [&](const TableAnswered&) { ++answers; });
  table.Read({OperationId(1), {"a", "b"}});
  RunUntil([&] { return answers == 1; });
  REQUIRE(last_path_ == "/v1/table/read");
  REQUIRE(last_body_ == R"({"keys":["a","b"]})");
  table.Scan({OperationId(2), "audit/", "audit/5", 10});
  RunUntil([&] { return answers == 2; });
  REQUIRE(last_path_ == "/v1/table/scan");
  REQUIRE(last_body_ == R"({"from":"audit/5","limit":10,"prefix":"audit/"})");
}

TEST_CASE_METHOD(PlatformFixture, "Each response status maps to its outcome") {
  RespondWith(409, kOneRow);
  const auto conflict = Write();
  REQUIRE(conflict.outcome == TableOutcome::kConflict);
  REQUIRE(conflict.rows.size() == 1);
  RespondWith(503, "{}");
  REQUIRE(Write().outcome == TableOutcome::kUnavailable);
  for (const int status : {400, 404, 413, 429, 500, 502, 504}) {
    RespondWith(status, kOneRow);
    REQUIRE(Write().outcome == TableOutcome::kUnknown);
  }
  // An unreadable response proves nothing about the write.
  for (const char* body :
       {"", "[]", "{}", R"({"rows": {}})", R"({"rows": [1]})",
        R"({"rows": [{"key": "k", "version": -1, "value": "v"}]})",
        R"({"rows": [{"key": "k", "version": 1}]})"}) {
    RespondWith(200, body);
    REQUIRE(Write().outcome == TableOutcome::kUnknown);
  }
  handler_ = [](HttpServerCall& call) { call.Abort(); };
  REQUIRE(Write().outcome == TableOutcome::kUnknown);
}

TEST_CASE_METHOD(PlatformFixture,
                 "Without a response the outcome is unknown at the timeout") {
  handler_ = [](HttpServerCall&) {};
  const TimePoint start = loop().clock().Now();
  REQUIRE(Write().outcome == TableOutcome::kUnknown);
  const Duration elapsed = loop().clock().Now() - start;
  REQUIRE(elapsed >= TableClient::kResponseTimeout);
  REQUIRE(elapsed < 2 * TableClient::kResponseTimeout);
}

TEST_CASE_METHOD(PlatformFixture,
                 "A failed connection means the write was not applied") {
  RespondWith(200, kOneRow);
  server_.StopListening();
  REQUIRE(Write().outcome == TableOutcome::kUnavailable);
}

constexpr const char* kInventory = R"({"sequence": 9,
 "hosts": [{"id": "h", "zone": "z", "peer_address": "127.0.0.1:1",
            "state": "leaving"}],
 "servers": [{"id": "s", "service": "llm", "zone": "z",
              "address": "127.0.0.1:2", "state": "live", "cold_limit": 1,
              "warm_limit": 8}]})";

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

TEST_CASE("An inventory with any invalid part is rejected") {
  InventoryReader reader;
  const auto inventory = reader.Read(kInventory);
  REQUIRE(inventory);
  REQUIRE(inventory->sequence == 9);
  REQUIRE(inventory->hosts.at(0).state == policy::MemberState::kLeaving);
  REQUIRE(inventory->servers.at(0).warm_limit == 8);
  const auto error_of = [&](const std::string& from, const std::string& to) {
    REQUIRE_FALSE(reader.Read(Replace(kInventory, from, to)));
    return reader.last_error();
  };
  REQUIRE(error_of("9,", "-1,") == InventoryError::kMalformedJson);
  REQUIRE(error_of("]}", "]") == InventoryError::kMalformedJson);
  REQUIRE(error_of("leaving", "gone") == InventoryError::kInvalidHost);
  REQUIRE(error_of("\"zone\"", "\"place\"") == InventoryError::kInvalidHost);
  REQUIRE(error_of("\"cold_limit\": 1", "\"cold_limit\": \"1\"") ==
          InventoryError::kInvalidServer);
  REQUIRE(error_of("8}", "99999999999}") == InventoryError::kInvalidServer);
  REQUIRE(error_of("\"llm\"", "\"\"") == InventoryError::kInvalidServer);
  const std::string server = R"({"id": "s", "service": "llm", "zone": "z",
     "address": "a", "state": "live", "cold_limit": 1, "warm_limit": 1}, )";
  REQUIRE(error_of("\"servers\": [", "\"servers\": [" + server) ==
          InventoryError::kDuplicateId);
}

TEST_CASE_METHOD(PlatformFixture,
                 "Polling of the inventory continues after failures") {
  RespondWith(503, "{}");
  std::vector<InventoryError> errors;
  int inventories = 0;
  InventoryClient inventory(loop(), client_, address(), 1);
  inventory.OnError([&](InventoryError error) { errors.push_back(error); });
  inventory.OnInventory([&](const policy::Inventory&) { ++inventories; });
  inventory.Start();
  RunUntil([&] { return errors.size() == 1; });
  REQUIRE(errors[0] == InventoryError::kUnexpectedStatus);
  RespondWith(200, "{");
  RunUntil([&] { return errors.size() == 2; });
  REQUIRE(errors[1] == InventoryError::kMalformedJson);
  RespondWith(200, kInventory);
  RunUntil([&] { return inventories == 1; });
}

}  // namespace
}  // namespace lovagecleat::platform
