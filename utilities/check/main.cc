#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "command_line/command_line.h"
#include "configuration/configuration.h"

// lovagecleat-check validates settings and configuration files.
namespace lovagecleat {
namespace {

using configuration::Problem;

constexpr int kExitInvalid = 1;

command_line::CommandLineInterface CheckInterface() {
  command_line::CommandLineInterface interface;
  interface.program = "lovagecleat-check";
  interface.summary = "validates a settings or configuration file";
  interface.usages = {"settings FILE", "gateway FILE", "configuration FILE"};
  interface.switches = {{"json", "prints one JSON object"}};
  interface.exit_codes = {
      {command_line::kExitSuccess, "the file is valid"},
      {kExitInvalid, "the file is invalid; all problems are printed"},
      {command_line::kExitUsage,
       "wrong usage, or the "
       "file cannot be read"}};
  return interface;
}

template <typename Reader>
std::vector<Problem> FindProblems(const std::string& text) {
  Reader reader;
  reader.Read(text);
  return reader.problems();
}

void PrintJson(const std::string& file, const std::vector<Problem>& problems) {
  nlohmann::json items = nlohmann::json::array();
  for (const Problem& problem : problems) {
    items.push_back({{"key", problem.key},
                     {"value", problem.value},
                     {"expected", problem.expected}});
  }
  const nlohmann::json document = {
      {"file", file}, {"valid", problems.empty()}, {"problems", items}};
  std::cout << document.dump(-1, ' ', false,
                             nlohmann::json::error_handler_t::replace)
            << '\n';
}

void PrintText(const std::string& file, const std::vector<Problem>& problems) {
  if (problems.empty()) std::cout << file << ": valid\n";
  for (const Problem& problem : problems) {
    std::cout << configuration::DescribeProblem(file, problem) << '\n';
  }
}

int Run(std::span<const char* const> words) {
  command_line::ArgumentParser parser(CheckInterface());
  const auto arguments = parser.Parse(words);
  if (!arguments) return parser.exit_code();
  const std::vector<std::string>& operands = arguments->operands;
  const bool is_known_kind =
      operands.size() == 2 &&
      (operands[0] == "settings" || operands[0] == "gateway" ||
       operands[0] == "configuration");
  if (!is_known_kind) {
    parser.ReportUsageError(
        "expected settings FILE, gateway FILE or configuration FILE");
    return command_line::kExitUsage;
  }
  const std::string& file = operands[1];
  const auto text = command_line::ReadFile(file);
  if (!text) {
    parser.ReportUsageError("cannot read " + file);
    return command_line::kExitUsage;
  }
  std::vector<Problem> problems;
  if (operands[0] == "settings") {
    problems = FindProblems<configuration::SettingsReader>(*text);
  } else if (operands[0] == "gateway") {
    problems = FindProblems<configuration::GatewaySettingsReader>(*text);
  } else {
    problems = FindProblems<configuration::ConfigurationReader>(*text);
  }
  if (arguments->Has("json")) {
    PrintJson(file, problems);
  } else {
    PrintText(file, problems);
  }
  return problems.empty() ? command_line::kExitSuccess : kExitInvalid;
}

}  // namespace
}  // namespace lovagecleat

int main(int count, char** words) {
  return lovagecleat::Run({words, static_cast<std::size_t>(count)});
}
