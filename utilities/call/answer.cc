#include "utilities/call/answer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace lovagecleat::call {

namespace {

using Json = nlohmann::json;
using transport::HttpFailure;

constexpr int kStatusOk = 200;

// Returns a discarded value for text that is not JSON.
Json Parse(std::string_view text) {
  constexpr bool allow_exceptions = false;
  return Json::parse(text, nullptr, allow_exceptions);
}

std::string StringMember(const Json& document, const char* key) {
  if (!document.is_object()) return {};
  const auto found = document.find(key);
  if (found == document.end() || !found->is_string()) return {};
  return found->get<std::string>();
}

Answer AnswerFromProblem(const std::string& body) {
  const std::string outcome = StringMember(Parse(body), "outcome");
  if (outcome == "not_run") return {kExitNotRun, body, ""};
  if (outcome == "failed") return {kExitFailed, body, ""};
  // An unrecognized problem must not be reported as not run.
  return {kExitUnknown, body, ""};
}

Answer AnswerFromDocument(const std::string& body) {
  if (StringMember(Parse(body), "outcome") == "done") {
    return {command_line::kExitSuccess, body, ""};
  }
  return {kExitUnknown, body, "the outcome of the answer is not \"done\""};
}

Answer AnswerFromFailure(HttpFailure failure) {
  const bool not_sent = failure == HttpFailure::kNotConnected ||
                        failure == HttpFailure::kSendWindowExpired;
  if (not_sent) return {kExitNotReachable, "", "the host is not reachable"};
  return {kExitUnknown, "",
          "the connection closed before the answer was complete"};
}

}  // namespace

StreamReader::StreamReader(TextCallback on_text)
    : on_text_(std::move(on_text)) {}

void StreamReader::HandleEvent(const transport::ServerSentEvent& event) {
  if (answer_) {
    is_broken_ = true;
    return;
  }
  if (event.event == "token") {
    HandleToken(event);
  } else if (event.event == "answer") {
    answer_ = AnswerFromDocument(event.data);
  } else if (event.event == "problem") {
    answer_ = AnswerFromProblem(event.data);
  }
}

void StreamReader::HandleToken(const transport::ServerSentEvent& event) {
  const auto offset = command_line::ParseInteger(event.id);
  const bool in_order =
      offset && *offset == static_cast<std::int64_t>(next_offset_);
  if (!in_order) is_broken_ = true;
  if (is_broken_) return;
  ++next_offset_;
  on_text_(StringMember(Parse(event.data), "text"));
}

Answer InterpretResponse(const transport::HttpResponse& response,
                         const StreamReader& stream) {
  if (stream.is_broken()) {
    return {kExitUnknown, "",
            "the streamed answer has missing, repeated or late events"};
  }
  if (stream.answer()) return *stream.answer();
  if (response.failure != HttpFailure::kNone) {
    return AnswerFromFailure(response.failure);
  }
  if (response.status != kStatusOk) return AnswerFromProblem(response.body);
  if (response.body.empty()) {
    return {kExitUnknown, "",
            "the stream ended without an answer or problem event"};
  }
  return AnswerFromDocument(response.body);
}

std::string OutputText(std::string_view document) {
  const Json answer = Parse(document);
  if (!answer.is_object() || !answer.contains("output")) return {};
  const Json& output = answer["output"];
  std::string text = StringMember(output, "text");
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
