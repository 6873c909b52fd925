#include "utilities/call/answer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace lovagecleat::call {

namespace {

using Json = nlohmann::json;
using transport::HttpFailure;

constexpr int kStatusOk = 200;

// A discarded value stands for text that is no JSON.
Json Parse(std::string_view text) {
  constexpr bool allow_exceptions = false;
  return Json::parse(text, nullptr, allow_exceptions);
}

std::string StringIn(const Json& document, const char* key) {
  if (!document.is_object()) return {};
  const auto found = document.find(key);
  if (found == document.end() || !found->is_string()) return {};
  return found->get<std::string>();
}

Answer FromProblem(const std::string& body) {
  const std::string outcome = StringIn(Parse(body), "outcome");
  if (outcome == "not_run") return {kExitNotRun, body, ""};
  if (outcome == "failed") return {kExitFailed, body, ""};
  // Nothing that is not understood may be taken for "not run".
  return {kExitUnknown, body, ""};
}

Answer FromAnswer(const std::string& body) {
  if (StringIn(Parse(body), "outcome") == "done") {
    return {command_line::kExitDone, body, ""};
  }
  return {kExitUnknown, body, "the answer has no outcome"};
}

Answer FromFailure(HttpFailure failure) {
  const bool not_sent = failure == HttpFailure::kNotConnected ||
                        failure == HttpFailure::kSendWindowOver;
  if (not_sent) return {kExitNotReachable, "", "the host is not reachable"};
  return {kExitUnknown, "", "the connection ended before the answer did"};
}

}  // namespace

StreamReader::StreamReader(TextCallback on_text)
    : on_text_(std::move(on_text)) {}

void StreamReader::Take(const transport::ServerSentEvent& event) {
  if (answer_) {
    is_broken_ = true;
    return;
  }
  if (event.event == "token") {
    TakeToken(event);
  } else if (event.event == "answer") {
    answer_ = FromAnswer(event.data);
  } else if (event.event == "problem") {
    answer_ = FromProblem(event.data);
  }
}

void StreamReader::TakeToken(const transport::ServerSentEvent& event) {
  const auto offset = command_line::ParseInteger(event.id);
  const bool in_order =
      offset && *offset == static_cast<std::int64_t>(next_offset_);
  if (!in_order) is_broken_ = true;
  if (is_broken_) return;
  ++next_offset_;
  on_text_(StringIn(Parse(event.data), "text"));
}

Answer Interpret(const transport::HttpResponse& response,
                 const StreamReader& stream) {
  if (stream.is_broken()) {
    return {kExitUnknown, "", "the streamed answer has a gap"};
  }
  if (stream.answer()) return *stream.answer();
  if (response.failure != HttpFailure::kNone) {
    return FromFailure(response.failure);
  }
  if (response.status != kStatusOk) return FromProblem(response.body);
  if (response.body.empty()) {
    return {kExitUnknown, "", "the streamed answer has no end"};
  }
  return FromAnswer(response.body);
}

std::string OutputText(std::string_view document) {
  const Json answer = Parse(document);
  if (!answer.is_object() || !answer.contains("output")) return {};
  const Json& output = answer["output"];
  std::string text = StringIn(output, "text");
  if (!text.empty()) return text;
  return output.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string TraceText(std::string_view document) {
  const Json answer = Parse(document);
  if (!answer.is_object() || !answer.contains("trace")) return {};
  const Json only_trace = {{"trace", answer["trace"]}};
  return command_line::RenderDocument(
      only_trace.dump(-1, ' ', false, Json::error_handler_t::replace));
}

}  // namespace lovagecleat::call
