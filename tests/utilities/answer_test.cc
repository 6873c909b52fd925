#include "utilities/call/answer.h"

#include <catch2/catch.hpp>
#include <string>

namespace lovagecleat::call {
namespace {

using transport::HttpFailure;
using transport::HttpResponse;

// Collects the text of a stream.
class Stream {
 public:
  Stream() : reader_([this](std::string_view text) { text_ += text; }) {}

  void Token(const std::string& id, const std::string& text) {
    reader_.Take({"token", id, R"({"text": ")" + text + "\"}"});
  }
  void End(const std::string& event, const std::string& outcome) {
    reader_.Take({event, "", R"({"outcome": ")" + outcome + "\"}"});
  }
  Answer Finish(HttpFailure failure = HttpFailure::kNone) {
    HttpResponse response;
    response.failure = failure;
    response.status = 200;
    return Interpret(response, reader_);
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
  return Interpret(response, StreamReader([](std::string_view) {})).exit_code;
}

TEST_CASE("A whole stream gives its text and outcome") {
  Stream stream;
  stream.Token("0", "check ");
  stream.Token("1", "the dish");
  stream.End("answer", "done");
  CHECK(stream.text() == "check the dish");
  CHECK(stream.Finish().exit_code == command_line::kExitDone);
}

TEST_CASE("A stream with a gap, a repeat or no end is never done") {
  Stream gap;
  gap.Token("0", "a");
  gap.Token("2", "c");
  gap.End("answer", "done");
  CHECK(gap.Finish().exit_code == kExitUnknown);
  CHECK(gap.text() == "a");

  Stream repeat;
  repeat.Token("0", "a");
  repeat.Token("0", "a");
  repeat.End("answer", "done");
  CHECK(repeat.Finish().exit_code == kExitUnknown);

  Stream cut;
  cut.Token("0", "a");
  CHECK(cut.Finish().exit_code == kExitUnknown);
  CHECK(cut.Finish(HttpFailure::kConnectionLost).exit_code == kExitUnknown);

  Stream late;
  late.End("answer", "done");
  late.Token("0", "a");
  CHECK(late.Finish().exit_code == kExitUnknown);
}

TEST_CASE("Problems give the exit code of their outcome") {
  CHECK(ExitCodeOf(200, R"({"outcome": "done", "output": {}})") ==
        command_line::kExitDone);
  CHECK(ExitCodeOf(503, R"({"outcome": "not_run"})") == kExitNotRun);
  CHECK(ExitCodeOf(502, R"({"outcome": "failed"})") == kExitFailed);
  CHECK(ExitCodeOf(504, R"({"outcome": "unknown"})") == kExitUnknown);
  CHECK(ExitCodeOf(503, "something else") == kExitUnknown);
  CHECK(ExitCodeOf(200, "{}") == kExitUnknown);
  Stream stream;
  stream.End("problem", "not_run");
  CHECK(stream.Finish().exit_code == kExitNotRun);
}

TEST_CASE("Only what was never sent is called not reachable") {
  HttpResponse response;
  const StreamReader stream([](std::string_view) {});
  response.failure = HttpFailure::kNotConnected;
  CHECK(Interpret(response, stream).exit_code == kExitNotReachable);
  for (const HttpFailure failure :
       {HttpFailure::kConnectionLost, HttpFailure::kNoProgress,
        HttpFailure::kDeadlineReached, HttpFailure::kMalformed,
        HttpFailure::kTooLarge}) {
    response.failure = failure;
    CHECK(Interpret(response, stream).exit_code == kExitUnknown);
  }
}

TEST_CASE("The output is shown as text where it has one") {
  CHECK(OutputText(R"({"output": {"text": "done"}})") == "done");
  CHECK(OutputText(R"({"output": {"order": 7}})") == R"({"order":7})");
  CHECK(TraceText(R"({"trace": [{"stage": "encode", "attempts": 1}]})") ==
        "\ntrace\nstage   attempts\nencode  1\n");
}

}  // namespace
}  // namespace lovagecleat::call
