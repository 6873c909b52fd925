#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <string>

#include "command_line/command_line.h"
#include "utilities/ctl/commands.h"
#include "utilities/ctl/exit_codes.h"
#include "utilities/ctl/operator_client.h"
#include "utilities/ctl/request_log.h"

// lovagecleat-ctl shows the state of the system and submits operator changes
// through any entry host.
namespace lovagecleat::ctl {
namespace {

command_line::CommandLineInterface CtlInterface() {
  command_line::CommandLineInterface interface;
  interface.program = "lovagecleat-ctl";
  interface.summary = "shows the state of the system and submits changes";
  interface.usages = {"--host IP:PORT status",
                      "--host IP:PORT configuration",
                      "--host IP:PORT audit [--until REVISION]",
                      "--host IP:PORT explain REQUEST",
                      "--log FILE explain REQUEST",
                      "--host IP:PORT set-target CLASS HOUR=MS...",
                      "--host IP:PORT zone out|in ZONE",
                      "--host IP:PORT server out|in SERVER",
                      "--host IP:PORT replace FILE"};
  interface.options = {
      {"host", "IP:PORT", "any entry host"},
      {"log", "FILE", "a gateway log to explain from; - reads standard input"},
      {"until", "REVISION", "the newest audit row to show"},
      {"who", "NAME", "written to the audit trail; default: $USER"},
      {"revision", "N", "refuse unless N is in force; default: read first"},
      {"change-id", "ID", "to repeat a change whose outcome is unknown"}};
  interface.switches = {{"json", "prints the answer as JSON"}};
  interface.exit_codes = {
      {command_line::kExitSuccess, "done"},
      {kExitRefused, "refused; nothing was changed"},
      {command_line::kExitUsage, "wrong usage"},
      {kExitConflict, "conflict: another change came first"},
      {kExitUnknown, "the outcome is unknown; see audit"},
      {kExitPending,
       "pending: held here and by this host's peers, but the "
       "platform's table is down"},
      {kExitNotReachable, "the host is not reachable; nothing was changed"}};
  return interface;
}

// Returns an id of 128 random bits, which is unique without coordination
// between operators.
std::string NewChangeId() {
  std::random_device device;
  constexpr int words = 4;
  std::string id = "ctl";
  for (int i = 0; i < words; ++i) id += "-" + std::to_string(device());
  return id;
}

std::string_view Describe(CommandError error) {
  switch (error) {
    case CommandError::kUnknownCommand:
      return "unknown command";
    case CommandError::kWrongOperands:
      return "wrong operands for this command";
    case CommandError::kUnreadableFile:
      return "the file cannot be read";
    default:
      return "the change is invalid";
  }
}

std::string_view Describe(int exit_code) {
  switch (exit_code) {
    case kExitRefused:
      return "refused";
    case kExitConflict:
      return "conflict: another change came first";
    case kExitUnknown:
      return "the outcome is unknown; look for the change id in audit, or "
             "repeat with the same --change-id";
    case kExitPending:
      return "pending: held out provisionally until the platform's table "
             "answers; it is not accepted yet";
    default:
      return "the host is not reachable";
  }
}

void Print(const Result& result, bool json) {
  if (result.exit_code != command_line::kExitSuccess) {
    std::cerr << "lovagecleat-ctl: " << Describe(result.exit_code) << '\n';
  }
  if (result.document.empty()) return;
  if (json) {
    std::cout << result.document << '\n';
  } else {
    std::cout << command_line::RenderDocument(result.document);
  }
}

// Returns nullopt after reporting an invalid option on standard error.
std::optional<ChangeRequest> PrepareChange(
    const command_line::Arguments& arguments,
    const command_line::ArgumentParser& parser, const SubmitChange& submit) {
  ChangeRequest request;
  request.change = submit.change;
  request.change_id = arguments.Value("change-id").value_or(NewChangeId());
  const char* const user = std::getenv("USER");
  request.operator_name =
      arguments.Value("who").value_or(user == nullptr ? "" : user);
  if (request.operator_name.empty()) {
    parser.ReportUsageError("a change needs --who");
    return std::nullopt;
  }
  const auto revision = arguments.Value("revision");
  if (!revision) return request;
  const auto number = command_line::ParseInteger(*revision);
  if (!number || *number < 0) {
    parser.ReportUsageError("--revision needs a whole number");
    return std::nullopt;
  }
  request.expected_revision = static_cast<std::uint64_t>(*number);
  return request;
}

// Prints the gateway log lines about one request.
int ExplainFromLog(const std::string& file, const std::string& request) {
  std::ifstream file_stream;
  if (file != "-") file_stream.open(file);
  std::istream& log = file == "-" ? std::cin : file_stream;
  if (!log) {
    std::cerr << "lovagecleat-ctl: cannot read " << file << '\n';
    return command_line::kExitUsage;
  }
  const std::vector<RequestLogLine> lines = ReadRequestLog(log, request);
  if (lines.empty()) {
    std::cerr << "lovagecleat-ctl: no line of " << file << " contains request "
              << request << '\n';
    return kExitRefused;
  }
  for (const RequestLogLine& line : lines)
    std::cout << line.unix_ms << ' ' << line.text << '\n';
  return command_line::kExitSuccess;
}

int Run(std::span<const char* const> words) {
  command_line::ArgumentParser parser(CtlInterface());
  const auto arguments = parser.Parse(words);
  if (!arguments) return parser.exit_code();
  if (const auto log = arguments->Value("log")) {
    const std::vector<std::string>& operands = arguments->operands;
    if (operands.size() == 2 && operands[0] == "explain")
      return ExplainFromLog(*log, operands[1]);
    parser.ReportUsageError("--log is only for explain REQUEST");
    return command_line::kExitUsage;
  }
  const std::string host = arguments->Value("host").value_or("");
  if (!configuration::ParseEndpoint(host)) {
    parser.ReportUsageError("--host needs an IP address and a port");
    return command_line::kExitUsage;
  }
  CommandReader reader;
  const auto command =
      reader.Read(arguments->operands, arguments->Value("until"));
  if (!command) {
    for (const std::string& line : reader.problems()) std::cerr << line << '\n';
    if (reader.last_error() == CommandError::kInvalid) return kExitRefused;
    parser.ReportUsageError(Describe(reader.last_error()));
    return command_line::kExitUsage;
  }
  OperatorClient client(host);
  const auto execute = Overloaded{
      [&](const Query& query) { return client.SendQuery(query.path); },
      [&](const SubmitChange& submit) -> Result {
        const auto request = PrepareChange(*arguments, parser, submit);
        if (!request) return {command_line::kExitUsage, ""};
        std::cerr << "change id: " << request->change_id << '\n';
        return client.Submit(*request);
      }};
  const Result result = std::visit(execute, *command);
  if (result.exit_code != command_line::kExitUsage) {
    Print(result, arguments->Has("json"));
  }
  return result.exit_code;
}

}  // namespace
}  // namespace lovagecleat::ctl

int main(int count, char** words) {
  return lovagecleat::ctl::Run({words, static_cast<std::size_t>(count)});
}
