#include "services/entry/caller_messages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "services/entry/backend_calls.h"

namespace lovagecleat::entry {
namespace {

using policy::AttemptOutcome;
using policy::RefusalReason;
using transport::HttpFailure;
using transport::HttpResponse;

TEST_CASE("A request with all fields is read") {
  CallerRequestReader reader;
  const auto arrival = reader.Read(
      R"({"class":"lookup","team":"a","input":{"text":"x"},"deadline_ms":900})");
  REQUIRE(arrival.has_value());
  REQUIRE(arrival->request_class == ClassId("lookup"));
  REQUIRE(arrival->team == TeamId("a"));
  REQUIRE(arrival->input == R"({"text":"x"})");
  REQUIRE(arrival->deadline == std::chrono::milliseconds(900));
}

TEST_CASE(
    "An invalid request is refused with a detail that names the invalid key") {
  const auto detail_of = [](const std::string& body) {
    CallerRequestReader reader;
    REQUIRE_FALSE(reader.Read(body).has_value());
    REQUIRE(reader.last_problem().reason == RefusalReason::kMalformed);
    return reader.last_problem().detail;
  };
  using Catch::Contains;
  REQUIRE_THAT(detail_of(""), Contains("JSON object"));
  REQUIRE_THAT(detail_of("[]"), Contains("JSON object"));
  REQUIRE_THAT(detail_of(R"({"class":"c","team":"t"})"), Contains("input"));
  REQUIRE_THAT(detail_of(R"({"class":"","team":"t","input":1})"),
               Contains("class"));
  REQUIRE_THAT(detail_of(R"({"class":"c","team":7,"input":1})"),
               Contains("team"));
  REQUIRE_THAT(detail_of(R"({"class":"c","team":"t","input":1,"more":1})"),
               Contains("more"));
  REQUIRE_THAT(
      detail_of(R"({"class":"c","team":"t","input":1,"deadline_ms":"1"})"),
      Contains("deadline_ms"));
}

TEST_CASE("Deeply nested input is refused without exhausting the stack") {
  const std::size_t depth = 100000;
  const std::string nested = std::string(depth, '[') + std::string(depth, ']');
  CallerRequestReader reader;
  const auto arrival =
      reader.Read(R"({"class":"c","team":"t","input":)" + nested + "}");
  REQUIRE_FALSE(arrival.has_value());
}

TEST_CASE(
    "A deadline too large for a duration stays out of range without overflow") {
  CallerRequestReader reader;
  const auto arrival = reader.Read(
      R"({"class":"c","team":"t","input":1,"deadline_ms":18446744073709551615})");
  REQUIRE(arrival.has_value());
  REQUIRE(arrival->deadline > std::chrono::seconds(10));
}

TEST_CASE("Idempotency keys have 1 to 128 printable characters") {
  REQUIRE(IsValidIdempotencyKey("dispatch 17/b"));
  REQUIRE_FALSE(IsValidIdempotencyKey(""));
  REQUIRE_FALSE(IsValidIdempotencyKey("line\nbreak"));
  REQUIRE_FALSE(IsValidIdempotencyKey(std::string(129, 'k')));
}

TEST_CASE(
    "A problem document contains the reason, the outcome and Retry-After") {
  policy::DeliverRefusal refusal;
  refusal.reason = RefusalReason::kCannotMeetDeadline;
  refusal.outcome = policy::RequestOutcome::kNotRun;
  refusal.detail = "\xff is not UTF-8";
  refusal.retry_after = std::chrono::milliseconds(1200);
  const ProblemDocument document = FormatProblem(refusal);
  const auto json = nlohmann::json::parse(document.body);
  REQUIRE(document.status == 503);
  REQUIRE(json.at("type") == "urn:lovagecleat:cannot_meet_deadline");
  REQUIRE(json.at("outcome") == "not_run");
  REQUIRE(document.headers.at("Retry-After") == "2");
}

TEST_CASE("An answer contains the output unchanged") {
  policy::DeliverAnswer answer;
  answer.request = RequestId("r-1");
  answer.output = R"({"text":"ok"})";
  const auto json = nlohmann::json::parse(FormatAnswer(answer));
  REQUIRE(json.at("output").at("text") == "ok");
  REQUIRE(json.at("request") == "r-1");
}

TEST_CASE("Only refused and unsent calls count as not run") {
  const auto outcome_of = [](int status, HttpFailure failure,
                             const char* not_run) {
    HttpResponse response;
    response.status = status;
    response.failure = failure;
    response.headers["x-not-run"] = not_run;
    return OutcomeOf(response);
  };
  REQUIRE(outcome_of(200, HttpFailure::kNone, "") == AttemptOutcome::kOk);
  REQUIRE(outcome_of(503, HttpFailure::kNone, "true") ==
          AttemptOutcome::kRefused);
  REQUIRE(outcome_of(503, HttpFailure::kNone, "") ==
          AttemptOutcome::kServerError);
  REQUIRE(outcome_of(500, HttpFailure::kNone, "true") ==
          AttemptOutcome::kServerError);
  REQUIRE(outcome_of(0, HttpFailure::kNotConnected, "") ==
          AttemptOutcome::kNotSent);
  REQUIRE_FALSE(
      policy::IsKnownNotRun(outcome_of(0, HttpFailure::kConnectionLost, "")));
  REQUIRE_FALSE(
      policy::IsKnownNotRun(outcome_of(0, HttpFailure::kNoProgress, "")));
}

TEST_CASE("Malformed server reports are rejected") {
  HttpResponse response;
  REQUIRE_FALSE(ReadReportHeaders(response).has_value());
  response.headers = {{"x-server-generation", "7"},
                      {"x-server-warmth", "warm"},
                      {"x-server-in-flight", "3"}};
  const auto report = ReadReportHeaders(response);
  REQUIRE(report.has_value());
  REQUIRE(report->generation == 7);
  REQUIRE(report->warmth == policy::Warmth::kWarm);
  REQUIRE(report->in_flight == 3);
  response.headers["x-server-generation"] = "7x";
  REQUIRE_FALSE(ReadReportHeaders(response).has_value());
  REQUIRE_FALSE(ReadLoadReport("{}").has_value());
  REQUIRE_FALSE(
      ReadLoadReport(
          R"({"generation":-1,"warmth":"warm","in_flight":0,"age_ms":1})")
          .has_value());
}

}  // namespace
}  // namespace lovagecleat::entry
