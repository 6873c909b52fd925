#include "utilities/load/answer_check.h"

#include <catch2/catch.hpp>

#include "utilities/load/report.h"

namespace lovagecleat::load {
namespace {

using std::chrono::milliseconds;
using transport::HttpFailure;
using transport::HttpResponse;
using transport::ServerSentEvent;

ServerSentEvent Token(int offset, const std::string& text) {
  return {"token", std::to_string(offset), R"({"text":")" + text + R"("})"};
}

ServerSentEvent Answer(const std::string& text) {
  return {"answer", "",
          R"({"request":"r","output":{"text":")" + text + R"("}})"};
}

Outcome StreamOutcome(const std::vector<ServerSentEvent>& events) {
  AnswerCheck check("m1-2.", Delivery::kStream);
  Sample sample;
  for (const auto& event : events) {
    check.HandleEvent(event, milliseconds(1), sample);
  }
  HttpResponse response;
  response.status = 200;
  check.HandleResponse(response, sample);
  return sample.outcome;
}

TEST_CASE(
    "A streamed answer is done only if it is complete, in order and for this "
    "request") {
  REQUIRE(StreamOutcome({Token(0, "m1-2."), Token(1, " a"),
                         Answer("m1-2. a")}) == Outcome::kDone);
  REQUIRE(StreamOutcome({Token(0, "m1-2."), Token(2, " a"),
                         Answer("m1-2. a")}) == Outcome::kMismatched);
  REQUIRE(StreamOutcome({Token(0, "m1-2."), Answer("m1-2. a")}) ==
          Outcome::kMismatched);
  REQUIRE(StreamOutcome({Token(0, "m1-3."), Answer("m1-3.")}) ==
          Outcome::kMismatched);
  REQUIRE(StreamOutcome({Token(0, "m1-2."), Answer("m1-2."), Token(1, "a")}) ==
          Outcome::kMismatched);
  REQUIRE(StreamOutcome({Token(0, "m1-2.")}) == Outcome::kNoAnswer);
}

TEST_CASE(
    "A problem gives its outcome and type; a lost connection gives no answer") {
  AnswerCheck check("m1-2.", Delivery::kSingleResponse);
  Sample sample;
  HttpResponse response;
  response.status = 503;
  response.body = R"({"type":"urn:lovagecleat:no_server","outcome":"not_run"})";
  check.HandleResponse(response, sample);
  REQUIRE(sample.outcome == Outcome::kNotRun);
  REQUIRE(sample.refusal == "no_server");

  Sample broken;
  response.failure = HttpFailure::kConnectionLost;
  check.HandleResponse(response, broken);
  REQUIRE(broken.outcome == Outcome::kNoAnswer);
}

TEST_CASE(
    "The report of a run contains every class and refers to no other file") {
  Workload workload;
  workload.classes = {ClassLoad{ClassId("fault<lookup")}};
  workload.teams = {TeamShare{TeamId("t")}};
  workload.phases = {Phase{"flat", std::chrono::seconds(2)}};
  Sample done;
  done.outcome = Outcome::kDone;
  done.target = milliseconds(10);
  done.latency = milliseconds(5);
  done.stages = {StageSample{"encode", "enc-1", "z1", 1, 0.0, 4.0}};
  Sample late = done;
  late.latency = milliseconds(20);
  const std::string json =
      SummarizeAsJson(RunInfo{7, 1.0, "ours"}, workload, {done, late});
  REQUIRE(json.find("\"attainment\": 0.5") != std::string::npos);
  const std::string html = RenderReport(json);
  REQUIRE(html.find("fault&lt;lookup") != std::string::npos);
  REQUIRE(html.find("<svg") != std::string::npos);
  REQUIRE(html.find("src=") == std::string::npos);
}

}  // namespace
}  // namespace lovagecleat::load
