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

// Exit codes shared by all utilities; each may define more.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitUsage = 2;

enum class Need { kRequired, kOptional };

// An option with a value: "--NAME VALUE_NAME".
struct ValueOption {
  std::string name;
  std::string value_name;
  std::string help;
  Need need = Need::kOptional;
};

// An option without a value: "--NAME".
struct SwitchOption {
  std::string name;
  std::string help;
};

struct ExitCode {
  int code = 0;
  std::string meaning;
};

// The command-line interface of a utility; --help is generated from it.
struct CommandLineInterface {
  std::string program;
  std::string summary;
  std::vector<std::string> usages;  // without the program's name
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

// Parses a command line and handles --help and --version.
class ArgumentParser {
 public:
  explicit ArgumentParser(CommandLineInterface interface);

  // Returns nothing if the process must exit at once, with exit_code().
  std::optional<Arguments> Parse(std::span<const char* const> arguments);

  int exit_code() const { return exit_code_; }

  // Prints a usage error and a reference to --help on standard error.
  void ReportUsageError(std::string_view message) const;

 private:
  CommandLineInterface interface_;
  int exit_code_ = kExitSuccess;
};

// Parses a decimal integer; returns nothing for any other text or on overflow.
std::optional<std::int64_t> ParseInteger(std::string_view text);

}  // namespace lovagecleat::command_line
