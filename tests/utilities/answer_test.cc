#include "utilities/call/answer.h"

#include <catch2/catch.hpp>
#include <string>

namespace lovagecleat::call {
namespace {

using transport::HttpFailure;
using transport::HttpResponse;

// Feeds events to a StreamReader and collects their text.
class TestStream {
 public:
  TestStream() : reader_([this](std::string_view text) { text_ += text; }) {}

  void AddToken(const std::string& id, const std::string& text) {
    reader_.HandleEvent({"token", id, R"({"text": ")" + text + "\"}"});
  }
  void AddFinalEvent(const std::string& event, const std::string& outcome) {
    reader_.HandleEvent({event, "", R"({"outcome": ")" + outcome + "\"}"});
  }
  Answer Finish(HttpFailure failure = HttpFailure::kNone) {
    HttpResponse response;
    response.failure = failure;
    response.status = 200;
    return InterpretResponse(response, reader_);
  }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
  StreamReader reader_;
};

int ExitCodeOf(int status, const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.body = body;
  return InterpretResponse(response, StreamReader([](std::string_view) {}))
      .exit_code;
}

TEST_CASE("A complete stream gives its text and outcome") {
  TestStream stream;
  stream.AddToken("0", "check ");
  stream.AddToken("1", "the dish");
  stream.AddFinalEvent("answer", "done");
  CHECK(stream.text() == "check the dish");
  CHECK(stream.Finish().exit_code == command_line::kExitSuccess);
}

TEST_CASE(
    "A stream with a missing, repeated or late token or without a final event "
    "has an unknown outcome") {
  TestStream gap;
  gap.AddToken("0", "a");
  gap.AddToken("2", "c");
  gap.AddFinalEvent("answer", "done");
  CHECK(gap.Finish().exit_code == kExitUnknown);
  CHECK(gap.text() == "a");

  TestStream repeat;
  repeat.AddToken("0", "a");
  repeat.AddToken("0", "a");
  repeat.AddFinalEvent("answer", "done");
  CHECK(repeat.Finish().exit_code == kExitUnknown);

  TestStream cut;
  cut.AddToken("0", "a");
  CHECK(cut.Finish().exit_code == kExitUnknown);
  CHECK(cut.Finish(HttpFailure::kConnectionLost).exit_code == kExitUnknown);

  TestStream late;
  late.AddFinalEvent("answer", "done");
  late.AddToken("0", "a");
  CHECK(late.Finish().exit_code == kExitUnknown);
}

TEST_CASE("The exit code follows from the outcome of the answer or problem") {
  CHECK(ExitCodeOf(200, R"({"outcome": "done", "output": {}})") ==
        command_line::kExitSuccess);
  CHECK(ExitCodeOf(503, R"({"outcome": "not_run"})") == kExitNotRun);
  CHECK(ExitCodeOf(502, R"({"outcome": "failed"})") == kExitFailed);
  CHECK(ExitCodeOf(504, R"({"outcome": "unknown"})") == kExitUnknown);
  CHECK(ExitCodeOf(503, "something else") == kExitUnknown);
  CHECK(ExitCodeOf(200, "{}") == kExitUnknown);
  TestStream stream;
  stream.AddFinalEvent("problem", "not_run");
  CHECK(stream.Finish().exit_code == kExitNotRun);
}

TEST_CASE("Only a request that was not sent is reported as not reachable") {
  HttpResponse response;
  const StreamReader stream([](std::string_view) {});
  response.failure = HttpFailure::kNotConnected;
  CHECK(InterpretResponse(response, stream).exit_code == kExitNotReachable);
  for (const HttpFailure failure :
       {HttpFailure::kConnectionLost, HttpFailure::kNoProgress,
        HttpFailure::kDeadlineReached, HttpFailure::kInvalidResponse,
        HttpFailure::kTooLarge}) {
    response.failure = failure;
    CHECK(InterpretResponse(response, stream).exit_code == kExitUnknown);
  }
}

TEST_CASE("The output is shown as its text if it has one, otherwise as JSON") {
  CHECK(OutputText(R"({"output": {"text": "done"}})") == "done");
  CHECK(OutputText(R"({"output": {"order": 7}})") == R"({"order":7})");
  CHECK(TraceText(R"({"trace": [{"stage": "encode", "attempts": 1}]})") ==
        "\ntrace\nstage   attempts\nencode  1\n");
}

}  // namespace
}  // namespace lovagecleat::call
