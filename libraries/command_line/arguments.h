#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecleat::command_line {

// Exit codes that all utilities share; each adds its own.
inline constexpr int kExitDone = 0;
inline constexpr int kExitUsage = 2;

enum class Need { kRequired, kOptional };

// "--NAME VALUE_NAME".
struct ValueOption {
  std::string name;
  std::string value_name;
  std::string help;
  Need need = Need::kOptional;
};

// "--NAME".
struct SwitchOption {
  std::string name;
  std::string help;
};

struct ExitCode {
  int code = 0;
  std::string meaning;
};

// All that a utility takes; --help is printed from it.
struct Interface {
  std::string program;
  std::string summary;
  std::vector<std::string> usages;  // what follows the program's name
  std::vector<ValueOption> options;
  std::vector<SwitchOption> switches;
  std::vector<ExitCode> exit_codes;
};

struct Arguments {
  std::map<std::string, std::string, std::less<>> values;
  std::set<std::string, std::less<>> switches;
  std::vector<std::string> operands;

  std::optional<std::string> Value(std::string_view option) const;
  bool Has(std::string_view switch_name) const;
};

// Reads a command line. --help and --version are answered by the parser.
class ArgumentParser {
 public:
  explicit ArgumentParser(Interface interface);

  // Nothing where the process is to end at once, with exit_code().
  std::optional<Arguments> Parse(std::span<const char* const> arguments);

  int exit_code() const { return exit_code_; }

  // Says on standard error what is wrong and how to get help.
  void ReportUsage(std::string_view sentence) const;

 private:
  Interface interface_;
  int exit_code_ = kExitDone;
};

// A whole number in decimal, with nothing before or behind it.
std::optional<std::int64_t> ParseInteger(std::string_view text);

}  // namespace lovagecleat::command_line
