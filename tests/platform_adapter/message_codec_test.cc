#include <catch2/catch.hpp>

#include "platform/platform_message_codec.h"
#include "tests/policy/property.h"

namespace lovagecleat::platform_adapter {
namespace {

const PlatformMessageCodec kCodec;

http::RequestHead MakeHead(http::HeaderFields fields) {
  return {"POST", "/a/", 1, std::move(fields)};
}

TEST_CASE("Header fields of a request are parsed") {
  const auto request = kCodec.ReadRequest(
      MakeHead({{"x-lovagecleat-request-id", "id"},
                {"X-Lovagecleat-Deadline-Ms", "1500"},
                {"X-Api-Key", "key"},
                {"Last-Event-Id", "12"},
                {"Resumes", "first"},
                {"X-Lovagecleat-Token-Usage", "1460,80"},
                {"X-Lovagecleat-Prompt-Prefix", "a:800,b:410,c:250"},
                {"X-Lovagecleat-Pieces", "2,0,8"},
                {"X-Lovagecleat-Piece-Key", "k"}}));
  REQUIRE(request);
  REQUIRE(request->id == "id");
  REQUIRE(request->timeout == std::chrono::milliseconds(1500));
  REQUIRE(request->key == "key");
  REQUIRE(request->resume_after == 12U);
  REQUIRE(request->resumed_stream == "first");
  REQUIRE(request->prompt.prompt_tokens == 1460);
  REQUIRE(request->prompt.output_tokens == 80);
  REQUIRE(request->prompt.parts.size() == 3);
  REQUIRE(request->prompt.SharedTokens() == 1210);
  REQUIRE(request->stage_items == std::vector<std::size_t>{2, 0, 8});
  REQUIRE(request->stage_key == "k");
}

TEST_CASE("Requests with duplicate or malformed fields are rejected") {
  REQUIRE_FALSE(
      kCodec.ReadRequest(MakeHead({{"X-Api-Key", "a"}, {"x-api-key", "b"}})));
  REQUIRE_FALSE(
      kCodec.ReadRequest(MakeHead({{"X-Lovagecleat-Deadline-Ms", "soon"}})));
  REQUIRE_FALSE(
      kCodec.ReadRequest(MakeHead({{"X-Lovagecleat-Pieces", "1,999999"}})));
  REQUIRE(kCodec.ReadRequest(MakeHead({})));
}

// Guards against overflows of signed numbers: later times were added to these.
TEST_CASE("Times beyond all use are limited") {
  const auto request = kCodec.ReadRequest(
      MakeHead({{"X-Lovagecleat-Deadline-Ms", "9223372036854775807"}}));
  REQUIRE(request);
  REQUIRE(request->timeout == std::chrono::hours(24));
  const auto entry = kCodec.ReadServer(
      "i-1",
      R"({"service":"s","address":"10.0.0.1:1","zone":"z","state":"ready",
          "warmupMs":1e300})");
  REQUIRE(entry);
  REQUIRE(entry->warm_up_time == std::chrono::hours(24));
  const auto table = kCodec.ReadRouting(
      R"({"version":1,"services":[{"name":"s"}],"routes":[{"name":"r",
          "host":"h","prefix":"/","kind":"safe","service":"s",
          "timeoutMs":-1e300}],"limits":{"idleMs":1e300}})");
  REQUIRE(table);
  REQUIRE(table->routes.front().timeout == -std::chrono::hours(24));
  REQUIRE(table->limits.idle_time == std::chrono::hours(24));
}

TEST_CASE("Only a server's field or status 421 marks a request as not run") {
  const auto metadata_of = [](int status, http::HeaderFields fields) {
    return kCodec.ReadResponseHead({status, "", std::move(fields)},
                                   TimePoint());
  };
  REQUIRE_FALSE(metadata_of(503, {}).is_not_run);
  REQUIRE(metadata_of(503, {{"X-Lovagecleat-Not-Executed", "1"}}).is_not_run);
  REQUIRE(metadata_of(421, {}).is_wrong_server);
  REQUIRE(metadata_of(421, {}).is_not_run);
  const auto loaded =
      metadata_of(200, {{"X-Lovagecleat-Server-Load", "3,1,8"}});
  REQUIRE(loaded.load);
  REQUIRE(loaded.load->waiting == 1);
  REQUIRE_FALSE(loaded.is_sealed);
}

// Guards against dropping the whole load when the field has more figures than
// this version knows, as in the first plays of servers that add a fourth.
TEST_CASE("A server's load is read from a field with further figures") {
  const auto load_of = [](const char* value) {
    return kCodec
        .ReadResponseHead({200, "", {{"X-Lovagecleat-Server-Load", value}}},
                          TimePoint())
        .load;
  };
  const auto short_load = load_of("3,1,8");
  REQUIRE(short_load);
  REQUIRE_FALSE(short_load->slowdown);
  for (const char* value :
       {"3,1,8,250", " 3 , 1,8 ,250 ", "3,1,8,250,7", "3,1,8,250,new;x=1,-4"}) {
    CAPTURE(value);
    const auto load = load_of(value);
    REQUIRE(load);
    REQUIRE(load->running == 3);
    REQUIRE(load->waiting == 1);
    REQUIRE(load->slots == 8);
    REQUIRE(load->slowdown == 2.5);
  }
  REQUIRE(load_of("3,1,8,62.5")->slowdown == 0.625);
}

TEST_CASE("Figures of a server's load that cannot be read are reported") {
  const auto metadata_of = [](http::HeaderFields fields) {
    return kCodec.ReadResponseHead({200, "", std::move(fields)}, TimePoint());
  };
  REQUIRE_FALSE(metadata_of({}).load);
  REQUIRE(metadata_of({}).problems.empty());
  for (const char* value :
       {"", "3", "3,1", "3,,8", "-3,1,8", "3,-1,8", "3,1,-8", "three,1,8",
        "3,1,99999999999999999999", "3,1,8000000", "3.5,1,8", "nan,1,8"}) {
    CAPTURE(value);
    const auto metadata = metadata_of({{"X-Lovagecleat-Server-Load", value}});
    REQUIRE_FALSE(metadata.load);
    REQUIRE(metadata.problems.size() == 1);
    REQUIRE(metadata.problems.front().field == "X-Lovagecleat-Server-Load");
    REQUIRE(metadata.problems.front().value == value);
  }
  // The other figures count without the fourth.
  for (const char* value : {"3,1,8,,", "3,1,8,0", "3,1,8,-100", "3,1,8,nan",
                            "3,1,8,inf", "3,1,8,1e300", "3,1,8,slow"}) {
    CAPTURE(value);
    const auto metadata = metadata_of({{"X-Lovagecleat-Server-Load", value}});
    REQUIRE(metadata.load);
    REQUIRE(metadata.load->waiting == 1);
    REQUIRE_FALSE(metadata.load->slowdown);
    REQUIRE(metadata.problems.size() == 1);
  }
}

TEST_CASE("A server's notice that it leaves is read from any response") {
  const auto metadata_of = [](http::HeaderFields fields) {
    return kCodec.ReadResponseHead({500, "", std::move(fields)}, TimePoint());
  };
  REQUIRE_FALSE(metadata_of({}).is_leaving);
  REQUIRE(metadata_of({{"Server-Leaving", "1"}}).is_leaving);
  REQUIRE(metadata_of({{"server-leaving", "0"}, {"Server-Leaving", "1"}})
              .is_leaving);
  REQUIRE_FALSE(metadata_of({{"Server-Leaving", "0"}}).is_leaving);
  for (const char* value : {"yes", "", "1, 1", "-1"}) {
    CAPTURE(value);
    const auto unreadable = metadata_of({{"Server-Leaving", value}});
    REQUIRE(unreadable.is_leaving);
    REQUIRE(unreadable.problems.size() == 1);
    REQUIRE(unreadable.problems.front().field == "Server-Leaving");
    REQUIRE(unreadable.problems.front().value == value);
  }
}

TEST_CASE("A server's quiet time is read from status 503 only") {
  using std::chrono::milliseconds;
  const auto metadata_of = [](int status, http::HeaderFields fields) {
    return kCodec.ReadResponseHead({status, "", std::move(fields)},
                                   TimePoint());
  };
  REQUIRE_FALSE(metadata_of(503, {}).quiet_time);
  REQUIRE_FALSE(metadata_of(429, {{"Retry-After", "2"}}).quiet_time);
  REQUIRE(metadata_of(503, {{"Retry-After", "2"}}).quiet_time ==
          milliseconds(2000));
  REQUIRE(metadata_of(503, {{"Retry-After", "0.25"}}).quiet_time ==
          milliseconds(250));
  REQUIRE(metadata_of(503, {{"Retry-After", "2"}, {"Retry-After", "1"}})
              .quiet_time == milliseconds(2000));
  const Duration maximum = std::chrono::minutes(10);
  for (const char* value : {"86400", "1e300", "inf"})
    REQUIRE(metadata_of(503, {{"Retry-After", value}}).quiet_time == maximum);
  for (const char* value :
       {"-1", "", "soon", "nan", "1s", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    CAPTURE(value);
    const auto unreadable = metadata_of(503, {{"Retry-After", value}});
    REQUIRE(unreadable.quiet_time == milliseconds(1000));
    REQUIRE(unreadable.problems.size() == 1);
    REQUIRE(unreadable.problems.front().value == value);
  }
}

TEST_CASE("A server's limit is a number of requests a second") {
  const auto metadata_of = [](http::HeaderFields fields) {
    return kCodec.ReadResponseHead({200, "", std::move(fields)}, TimePoint());
  };
  REQUIRE_FALSE(metadata_of({}).request_limit);
  REQUIRE(metadata_of({{"Server-Limit", "1"}}).request_limit == 1.0);
  REQUIRE(metadata_of({{"server-limit", "0.25"}}).request_limit == 0.25);
  REQUIRE(metadata_of({{"Server-Limit", "0"}}).request_limit == 0.0);
  REQUIRE(metadata_of({{"Server-Limit", "3"}, {"Server-Limit", "2"}})
              .request_limit == 2.0);
  REQUIRE(metadata_of({{"Server-Limit", "1e300"}}).request_limit == 1e6);
  for (const char* value : {"", "-1", "nan", "inf", "many", "1/s", "1,5"}) {
    CAPTURE(value);
    const auto unreadable = metadata_of({{"Server-Limit", value}});
    REQUIRE_FALSE(unreadable.request_limit);
    REQUIRE(unreadable.is_limit_unreadable);
    REQUIRE(unreadable.problems.size() == 1);
    REQUIRE(unreadable.problems.front().field == "Server-Limit");
  }
  REQUIRE(metadata_of({{"Server-Limit", "x"}, {"Server-Limit", "2"}})
              .request_limit == 2.0);
}

TEST_CASE("Batches contain keys or inputs, and results are read in order") {
  routing::QueuedItem first;
  first.request = "r1";
  first.key = "k";
  first.deadline = TimePoint(std::chrono::milliseconds(900));
  routing::QueuedItem second;
  second.request = "r2";
  second.position = {2, 1};
  second.inputs = {"h1", "h2"};
  gateway::ForwardedCall call;
  call.server = ServerId("s");
  call.address = "10.0.0.1:80";
  const std::vector<routing::QueuedItem> items = {first, second};
  const std::string bytes = kCodec.WriteBatch(call, items, TimePoint());
  REQUIRE(bytes.starts_with("POST /stage-run HTTP/1.1\r\n"));
  REQUIRE(bytes.find("X-Lovagecleat-Expect-Instance: s\r\n") !=
          std::string::npos);
  REQUIRE(bytes.find(R"("key":"k")") != std::string::npos);
  REQUIRE(bytes.find(R"("leftMs":900)") != std::string::npos);
  REQUIRE(bytes.find(R"("inputs":["h1","h2"])") != std::string::npos);
  const auto results = kCodec.ReadBatchResponse(
      R"({"items":[{"handle":"h"},{"reason":"late"},{"reason":"gone"},)"
      R"({"reason":"room"},{"reason":"error"},{}]})");
  REQUIRE(results);
  REQUIRE(results->size() == 6);
  REQUIRE((*results)[0].handle == "h");
  REQUIRE((*results)[1].outcome == gateway::ItemOutcome::kDeadlinePassed);
  REQUIRE((*results)[2].outcome == gateway::ItemOutcome::kInputLost);
  REQUIRE((*results)[3].outcome == gateway::ItemOutcome::kNoResultMemory);
  REQUIRE((*results)[4].outcome == gateway::ItemOutcome::kFailed);
  REQUIRE((*results)[5].outcome == gateway::ItemOutcome::kFailed);
  REQUIRE_FALSE(kCodec.ReadBatchResponse("{}"));
}

TEST_CASE("Stage server reports give idleness and free space") {
  const auto report =
      kCodec.ReadReport(R"({"queued":0,"busy":false,"freeMb":2.5,"new":1})");
  REQUIRE(report);
  REQUIRE(report->is_idle);
  REQUIRE(report->free_bytes == 2'500'000);
  REQUIRE(kCodec.ReadReport(R"({"queued":0,"busy":0,"freeMb":-1})")->is_idle);
  REQUIRE_FALSE(
      kCodec.ReadReport(R"({"queued":0,"busy":true,"freeMb":1})")->is_idle);
  REQUIRE_FALSE(
      kCodec.ReadReport(R"({"queued":2,"busy":0,"freeMb":1})")->is_idle);
  for (const char* bad :
       {"", "[]", R"({"queued":0,"busy":false})", R"({"busy":0,"freeMb":1})",
        R"({"queued":"0","busy":false,"freeMb":1})",
        R"({"queued":0,"busy":"no","freeMb":1})"})
    REQUIRE_FALSE(kCodec.ReadReport(bad));
  gateway::ForwardedCall call;
  call.server = ServerId("i-1");
  call.address = "1.2.3.4:5";
  REQUIRE(kCodec.WriteReportRequest(call).starts_with(
      "GET /report HTTP/1.1\r\nHost: 1.2.3.4:5\r\n"));
}

TEST_CASE("Malformed server entries are rejected") {
  const std::string good =
      R"({"service":"v","address":"1.2.3.4:5","zone":"z","state":"draining",)"
      R"("version":"v1.1","seq":4,"born":1700000000000})";
  const auto entry = kCodec.ReadServer("i-1", good);
  REQUIRE(entry);
  REQUIRE(entry->id == ServerId("i-1"));
  REQUIRE(entry->is_draining);
  REQUIRE(entry->started_unix_ms == 1700000000000U);
  REQUIRE(entry->software_version == "v1.1");
  REQUIRE(entry->sequence == 4U);
  for (const char* bad :
       {"", "[]", "{\"service\":1}", "\xff\xfe",
        R"({"service":"v","address":"1.2.3.4:5","zone":"z","state":"odd"})",
        (R"({"service":"v","address":"1.2.3.4:5","zone":"z","state":"ready",)"
         R"("born":"late"})"),
        (R"({"service":"v","address":"1.2.3.4:5","zone":"z","state":"ready",)"
         R"("version":2})")}) {
    INFO(bad);
    REQUIRE_FALSE(kCodec.ReadServer("i-1", bad));
  }
}

constexpr const char* kTable =
    R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",)"
    R"("kind":"stream","timeoutMs":6000,"goalMs":1300,"priority":1,)"
    R"("backends":[{"service":"a","weight":90},{"service":"b","weight":10}],)"
    R"("attempts":2,"stages":[{"service":"c","after":[],"bytes":3000000}],)"
    R"("sticky":true,"resumable":true,"gapAimMs":400}],)"
    R"("services":[{"name":"c","pieces":{"slots":1,"queue":2,"batch":8,)"
    R"("callMs":150.0,"itemMs":16.0,"headroomMb":36.0,"handleS":4.0}},)"
    R"({"name":"a","warmupPerS":8.2}],"limits":{"idleMs":15000},)"
    R"("tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":0}]})";

TEST_CASE("The operators' configuration is read into a routing table") {
  const auto table = kCodec.ReadRouting(kTable);
  REQUIRE(table);
  REQUIRE(table->version == 7);
  const routing::Route* route = table->FindRoute("h", "/p/x");
  REQUIRE(route != nullptr);
  REQUIRE(route->kind == routing::RequestKind::kStream);
  REQUIRE(route->MayRepeat());
  REQUIRE(route->latency_target == std::chrono::milliseconds(1300));
  REQUIRE(route->services.size() == 2);
  REQUIRE(route->stages[0].result_bytes == 3000000);
  const routing::Service* service = table->FindService(ServiceId("c"));
  REQUIRE(service->batches->items == 8);
  REQUIRE(service->batches->item_time == std::chrono::milliseconds(16));
  REQUIRE(service->batches->result_lifetime == std::chrono::seconds(4));
  REQUIRE(table->FindService(ServiceId("a"))->cold_requests_per_second == 8.2);
  REQUIRE(table->team_by_key.at("k2").priority_override == 0);
}

TEST_CASE("Orders to roll a version out are read field by field") {
  const auto order = kCodec.ReadRolloutOrder(
      R"({"service":"orders","to":"v2","rolloutS":2.5,"more":[]})");
  REQUIRE(order);
  CHECK(order->service == "orders");
  CHECK(order->to == "v2");
  CHECK(order->seconds == 2.5);
  const auto other =
      kCodec.ReadRolloutOrder(R"({"service":1,"to":["v2"],"rolloutS":"60"})");
  REQUIRE(other);
  CHECK(other->service == "");
  CHECK_FALSE(other->to);
  CHECK_FALSE(other->seconds);
  CHECK_FALSE(kCodec.ReadRolloutOrder("[]"));
  CHECK_FALSE(kCodec.ReadRolloutOrder("{"));
}

TEST_CASE("Reading arbitrary bytes does not crash") {
  constexpr tests::PropertyRuns runs{
      .seed = 9, .count = 2000, .maximum_size = 40};
  tests::RequireProperty(runs, [] {
    tests::Choices choices(*tests::AnyChoices());
    std::string bytes(kTable);
    while (!choices.IsExhausted()) {
      const auto place = static_cast<std::size_t>(
          choices.Below(static_cast<int>(bytes.size())));
      bytes[place] = static_cast<char>(choices.Below(256));
    }
    kCodec.ReadRouting(bytes);
    kCodec.ReadServer("i", bytes);
    kCodec.ReadRolloutOrder(bytes);
    kCodec.ReadBatchResponse(bytes);
    kCodec.ReadReport(bytes);
  });
}

}  // namespace
}  // namespace lovagecleat::platform_adapter
