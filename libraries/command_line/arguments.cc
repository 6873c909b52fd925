#include "command_line/arguments.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <charconv>
#include <iostream>
#include <memory>
#include <utility>

namespace lovagecleat::command_line {

namespace {

constexpr std::size_t kHelpColumn = 28;

void PrintAligned(std::ostream& out, std::string left, std::string_view right) {
  left.resize(std::max(left.size() + 1, kHelpColumn), ' ');
  out << "  " << left << right << '\n';
}

// Replaces TCLAP's help format, which has no section for exit codes.
class HelpOutput final : public TCLAP::CmdLineOutput {
 public:
  explicit HelpOutput(const CommandLineInterface& interface)
      : interface_(interface) {}

  void usage(TCLAP::CmdLineInterface&) override {
    std::cout << interface_.program << ": " << interface_.summary
              << "\n\nUsage:\n";
    for (const std::string& usage : interface_.usages) {
      std::cout << "  " << interface_.program << ' ' << usage << '\n';
    }
    std::cout << "\nOptions:\n";
    for (const ValueOption& option : interface_.options) {
      PrintAligned(std::cout, "--" + option.name + " " + option.value_name,
                   option.help);
    }
    for (const SwitchOption& option : interface_.switches) {
      PrintAligned(std::cout, "--" + option.name, option.help);
    }
    PrintAligned(std::cout, "--help", "prints this text");
    PrintAligned(std::cout, "--version", "prints the version");
    std::cout << "\nExit codes:\n";
    for (const ExitCode& exit_code : interface_.exit_codes) {
      PrintAligned(std::cout, std::to_string(exit_code.code),
                   exit_code.meaning);
    }
  }

  void version(TCLAP::CmdLineInterface&) override {
    std::cout << interface_.program << ' ' << LOVAGECLEAT_VERSION << '\n';
  }

  void failure(TCLAP::CmdLineInterface&, TCLAP::ArgException& error) override {
    throw error;
  }

 private:
  const CommandLineInterface& interface_;
};

using ValueArgument = TCLAP::ValueArg<std::string>;

// The TCLAP objects for one interface; they refer to each other.
class TclapParser {
 public:
  explicit TclapParser(const CommandLineInterface& interface)
      : help_output_(interface),
        command_line_(interface.summary, ' ', LOVAGECLEAT_VERSION),
        operands_("operands", "what to do", false, "text") {
    command_line_.setOutput(&help_output_);
    command_line_.setExceptionHandling(false);
    for (const ValueOption& option : interface.options) {
      const bool required = option.need == Need::kRequired;
      values_.push_back(std::make_unique<ValueArgument>(
          "", option.name, option.help, required, "", option.value_name));
      command_line_.add(*values_.back());
    }
    for (const SwitchOption& option : interface.switches) {
      switches_.push_back(std::make_unique<TCLAP::SwitchArg>(
          "", option.name, option.help, false));
      command_line_.add(*switches_.back());
    }
    command_line_.add(operands_);
  }

  Arguments Parse(std::vector<std::string> words) {
    command_line_.parse(words);
    Arguments arguments;
    for (const auto& value : values_) {
      if (value->isSet())
        arguments.values[value->getName()] = value->getValue();
    }
    for (const auto& option : switches_) {
      if (option->getValue()) arguments.switches.insert(option->getName());
    }
    arguments.operands = operands_.getValue();
    return arguments;
  }

 private:
  HelpOutput help_output_;
  TCLAP::CmdLine command_line_;
  std::vector<std::unique_ptr<ValueArgument>> values_;
  std::vector<std::unique_ptr<TCLAP::SwitchArg>> switches_;
  TCLAP::UnlabeledMultiArg<std::string> operands_;
};

// TCLAP parses an unknown option as an operand; valid operands never start with
// a hyphen.
const std::string* FindUnknownOption(const std::vector<std::string>& operands) {
  const auto found =
      std::find_if(operands.begin(), operands.end(),
                   [](const std::string& word) { return word[0] == '-'; });
  return found == operands.end() ? nullptr : &*found;
}

}  // namespace

std::optional<std::string> Arguments::Value(std::string_view option) const {
  const auto found = values.find(option);
  if (found == values.end()) return std::nullopt;
  return found->second;
}

bool Arguments::Has(std::string_view switch_name) const {
  return switches.contains(switch_name);
}

ArgumentParser::ArgumentParser(CommandLineInterface interface)
    : interface_(std::move(interface)) {}

std::optional<Arguments> ArgumentParser::Parse(
    std::span<const char* const> arguments) {
  // TCLAP reports errors by exceptions, which are all handled here.
  try {
    TclapParser parser(interface_);
    Arguments parsed = parser.Parse({arguments.begin(), arguments.end()});
    const std::string* const unknown = FindUnknownOption(parsed.operands);
    if (unknown == nullptr) return parsed;
    exit_code_ = kExitUsage;
    ReportUsageError("unknown option " + *unknown);
  } catch (const TCLAP::ExitException& end) {
    exit_code_ = end.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    exit_code_ = kExitUsage;
    ReportUsageError(error.error() + " " + error.argId());
  }
  return std::nullopt;
}

void ArgumentParser::ReportUsageError(std::string_view message) const {
  std::cerr << interface_.program << ": " << message << "; see "
            << interface_.program << " --help\n";
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || stop != end) return std::nullopt;
  return number;
}

}  // namespace lovagecleat::command_line
