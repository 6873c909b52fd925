#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "command_line/command_line.h"
#include "configuration/configuration.h"
#include "utilities/call/answer.h"

// lovagecleat-call sends one request and prints its answer.
namespace lovagecleat::call {
namespace {

using Json = nlohmann::json;

// The longest deadline of a request is 10 s; a later answer counts as missing.
constexpr std::chrono::seconds kRequestTimeout{12};

command_line::CommandLineInterface CallInterface() {
  using command_line::Need;
  command_line::CommandLineInterface interface;
  interface.program = "lovagecleat-call";
  interface.summary = "sends one request and prints its answer";
  interface.usages = {
      "--host IP:PORT --class CLASS --team TEAM --input JSON [--key KEY]"};
  interface.options = {
      {"host", "IP:PORT", "any entry host", Need::kRequired},
      {"class", "CLASS", "the class of work", Need::kRequired},
      {"team", "TEAM", "the team that asks", Need::kRequired},
      {"input", "JSON", "the first stage's input, an object", Need::kRequired},
      {"key", "KEY", "the idempotency key; repeat with the same one"},
      {"deadline-ms", "N", "50 to 10000; never lengthens the class's target"}};
  interface.switches = {{"stream", "prints the answer as it is generated"},
                        {"trace", "prints the stages at the end"},
                        {"json", "prints the answer or problem as JSON"}};
  interface.exit_codes = {
      {command_line::kExitSuccess, "done"},
      {kExitFailed, "failed: it ran, and may be asked again"},
      {command_line::kExitUsage, "wrong usage"},
      {kExitNotRun, "not run"},
      {kExitUnknown, "unknown: it may have run; repeat with the same key"},
      {kExitNotReachable, "the host is not reachable; it did not run"}};
  return interface;
}

// Returns nullopt after reporting an invalid option on standard error.
std::optional<std::string> BuildBody(
    const command_line::Arguments& arguments,
    const command_line::ArgumentParser& parser) {
  constexpr bool allow_exceptions = false;
  const Json input = Json::parse(arguments.Value("input").value_or(""), nullptr,
                                 allow_exceptions);
  if (!input.is_object()) {
    parser.ReportUsageError("--input needs a JSON object");
    return std::nullopt;
  }
  Json body = {{"class", arguments.Value("class").value_or("")},
               {"team", arguments.Value("team").value_or("")},
               {"input", input}};
  const auto deadline = arguments.Value("deadline-ms");
  if (deadline) {
    const auto number = command_line::ParseInteger(*deadline);
    if (!number) {
      parser.ReportUsageError("--deadline-ms needs a whole number");
      return std::nullopt;
    }
    body["deadline_ms"] = *number;
  }
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char letter) { return letter > ' ' && letter <= '~'; });
}

std::optional<transport::HttpRequest> BuildRequest(
    const command_line::Arguments& arguments,
    const command_line::ArgumentParser& parser) {
  transport::HttpRequest request;
  request.address = arguments.Value("host").value_or("");
  if (!configuration::ParseEndpoint(request.address)) {
    parser.ReportUsageError("--host needs an IP address and a port");
    return std::nullopt;
  }
  if (!arguments.operands.empty()) {
    parser.ReportUsageError("the program takes no operands");
    return std::nullopt;
  }
  request.path = "/v1/requests";
  request.headers["Content-Type"] = "application/json";
  if (arguments.Has("stream")) request.headers["Accept"] = "text/event-stream";
  const auto key = arguments.Value("key");
  if (key) {
    if (key->empty() || !IsPrintable(*key)) {
      parser.ReportUsageError("--key needs printable characters");
      return std::nullopt;
    }
    request.headers["Idempotency-Key"] = *key;
  }
  auto body = BuildBody(arguments, parser);
  if (!body) return std::nullopt;
  request.body = *std::move(body);
  request.first_byte_timeout = kRequestTimeout;
  request.progress_timeout = kRequestTimeout;
  return request;
}

void Print(const Answer& answer, const command_line::Arguments& arguments) {
  if (!answer.reason.empty()) {
    std::cerr << "lovagecleat-call: " << answer.reason << '\n';
  }
  if (arguments.Has("json")) {
    if (!answer.document.empty()) std::cout << answer.document << '\n';
    return;
  }
  if (answer.exit_code != command_line::kExitSuccess) {
    std::cerr << command_line::RenderDocument(answer.document);
    return;
  }
  const bool is_already_printed = arguments.Has("stream");
  if (is_already_printed) {
    std::cout << '\n';
  } else {
    std::cout << OutputText(answer.document) << '\n';
  }
  if (arguments.Has("trace")) std::cout << TraceText(answer.document);
}

int Run(std::span<const char* const> words) {
  command_line::ArgumentParser parser(CallInterface());
  const auto arguments = parser.Parse(words);
  if (!arguments) return parser.exit_code();
  auto request = BuildRequest(*arguments, parser);
  if (!request) return command_line::kExitUsage;
  const bool show_tokens = !arguments->Has("json");
  StreamReader stream([&](std::string_view text) {
    if (show_tokens) std::cout << text << std::flush;
  });
  command_line::HttpSession session;
  request->deadline = session.Now() + kRequestTimeout;
  const transport::HttpResponse response = session.Call(
      *std::move(request), [&](const transport::ServerSentEvent& event) {
        stream.HandleEvent(event);
      });
  const Answer answer = InterpretResponse(response, stream);
  Print(answer, *arguments);
  return answer.exit_code;
}

}  // namespace
}  // namespace lovagecleat::call

int main(int count, char** words) {
  return lovagecleat::call::Run({words, static_cast<std::size_t>(count)});
}
