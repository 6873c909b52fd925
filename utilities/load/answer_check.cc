#include "utilities/load/answer_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lovagecleat::load {

namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;

std::vector<StageSample> ReadTrace(const Json& document) {
  std::vector<StageSample> stages;
  const auto trace = document.find("trace");
  if (trace == document.end()) return stages;
  for (const Json& one : *trace) {
    StageSample stage;
    stage.stage = one.value("stage", "");
    stage.server = one.value("server", "");
    stage.zone = one.value("zone", "");
    stage.attempts = one.value("attempts", 0U);
    stage.queued_ms = one.value("queued_ms", 0.0);
    stage.served_ms = one.value("served_ms", 0.0);
    stages.push_back(std::move(stage));
  }
  return stages;
}

Outcome ParseOutcome(const std::string& name) {
  if (name == "not_run") return Outcome::kNotRun;
  if (name == "unknown") return Outcome::kUnknown;
  return Outcome::kFailed;
}

}  // namespace

void AnswerCheck::HandleEvent(const transport::ServerSentEvent& event,
                              Duration since_intended, Sample& sample) {
  if (stream_ != Stream::kOpen) {
    // No event may follow the answer or problem.
    stream_ = Stream::kBroken;
    sample.outcome = Outcome::kMismatched;
    return;
  }
  if (event.event == "token") {
    HandleToken(event, since_intended, sample);
    return;
  }
  stream_ = Stream::kEnded;
  if (event.event == "answer") HandleAnswer(event.data, sample);
  if (event.event == "problem") HandleProblem(event.data, sample);
}

void AnswerCheck::HandleToken(const transport::ServerSentEvent& event,
                              Duration since_intended, Sample& sample) {
  const Json data = Json::parse(event.data, nullptr, false);
  const bool is_next = event.id == std::to_string(next_offset_);
  if (!is_next || !data.is_object()) {
    stream_ = Stream::kBroken;
    sample.outcome = Outcome::kMismatched;
    return;
  }
  ++next_offset_;
  text_ += data.value("text", "");
  if (sample.first_token) {
    sample.longest_gap =
        std::max(sample.longest_gap, since_intended - sample.last_token);
  } else {
    sample.first_token = since_intended;
  }
  sample.last_token = since_intended;
  ++sample.tokens;
}

void AnswerCheck::HandleResponse(const transport::HttpResponse& response,
                                 Sample& sample) {
  if (sample.outcome != Outcome::kPending) return;
  if (response.failure != transport::HttpFailure::kNone) {
    sample.outcome = Outcome::kNoAnswer;
    return;
  }
  if (response.status != kStatusOk) {
    HandleProblem(response.body, sample);
    return;
  }
  if (delivery_ == Delivery::kStream) {
    // The stream ended without an answer or problem event.
    sample.outcome = Outcome::kNoAnswer;
    return;
  }
  HandleAnswer(response.body, sample);
}

void AnswerCheck::HandleAnswer(std::string_view json, Sample& sample) {
  sample.outcome = Outcome::kMismatched;
  try {
    const Json document = Json::parse(json);
    sample.request = document.value("request", "");
    sample.stages = ReadTrace(document);
    const Json& output = document.at("output");
    const std::string text =
        output.is_object() ? output.value("text", "") : std::string();
    if (IsExpectedAnswer(output.dump(), text)) sample.outcome = Outcome::kDone;
  } catch (const Json::exception&) {
    return;
  }
}

bool AnswerCheck::IsExpectedAnswer(const std::string& output,
                                   const std::string& text) const {
  if (output.find(marker_) == std::string::npos) return false;
  if (text.empty()) return true;
  if (!text.starts_with(marker_)) return false;
  return delivery_ == Delivery::kSingleResponse || text == text_;
}

void AnswerCheck::HandleProblem(std::string_view json, Sample& sample) {
  sample.outcome = Outcome::kNoAnswer;
  const Json document = Json::parse(json, nullptr, false);
  if (!document.is_object() || !document.contains("outcome")) return;
  try {
    sample.request = document.value("request", "");
    const std::string type = document.value("type", "");
    sample.refusal = type.substr(type.rfind(':') + 1);
    sample.stages = ReadTrace(document);
    sample.outcome = ParseOutcome(document.at("outcome").get<std::string>());
  } catch (const Json::exception&) {
    return;
  }
}

}  // namespace lovagecleat::load
