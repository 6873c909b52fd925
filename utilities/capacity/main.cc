#include <iostream>
#include <nlohmann/json.hpp>

#include "command_line/command_line.h"
#include "utilities/capacity/measurements.h"

// lovagecleat-capacity measures the cost of an entry host's decisions by system
// size.
namespace lovagecleat::capacity {
namespace {

command_line::CommandLineInterface CapacityInterface() {
  command_line::CommandLineInterface interface;
  interface.program = "lovagecleat-capacity";
  interface.summary =
      "measures the cost of an entry host's decisions by system size";
  interface.usages = {""};
  interface.exit_codes = {{command_line::kExitSuccess, "measured"},
                          {command_line::kExitUsage, "wrong usage"}};
  return interface;
}

int Run(std::span<const char* const> words) {
  command_line::ArgumentParser parser(CapacityInterface());
  const auto arguments = parser.Parse(words);
  if (!arguments) return parser.exit_code();
  nlohmann::json slopes;
  slopes["members"] = MeasureMembers();
  slopes["servers"] = MeasureServers();
  slopes["teams"] = MeasureTeams();
  slopes["configuration"] = MeasureConfiguration();
  slopes["tokens"] = MeasureTokens();
  slopes["intents"] = MeasureIntents();
  std::cout << slopes.dump() << '\n';
  return command_line::kExitSuccess;
}

}  // namespace
}  // namespace lovagecleat::capacity

int main(int count, char** words) {
  return lovagecleat::capacity::Run({words, static_cast<std::size_t>(count)});
}
