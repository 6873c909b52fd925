#pragma once

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "configuration/configuration.h"

// What an operator may ask for, read from the command line.
namespace lovagecleat::ctl {

// A GET of one of the operators' paths.
struct Query {
  std::string path;
};

struct Submit {
  configuration::Change change;
};

using Command = std::variant<Query, Submit>;

enum class CommandError {
  kNone,
  kUnknownCommand,
  kWrongOperands,
  kUnreadableFile,
  kInvalid,  // see problems()
};

// Turns operands such as {"zone", "out", "fsd-main"} into a command.
class CommandReader {
 public:
  // `until` is the value of --until, for audit.
  std::optional<Command> Read(std::span<const std::string> operands,
                              const std::optional<std::string>& until);

  CommandError last_error() const { return last_error_; }
  // Each as one line of text.
  const std::vector<std::string>& problems() const { return problems_; }

 private:
  std::optional<Command> ReadQuery(std::span<const std::string> operands,
                                   const std::optional<std::string>& until);
  std::optional<configuration::Change> ReadChange(
      std::span<const std::string> operands);
  std::optional<configuration::Change> ReadTargets(
      std::span<const std::string> operands);
  std::optional<configuration::Change> ReadReplacement(const std::string& file);
  std::nullopt_t Fail(CommandError error);

  CommandError last_error_ = CommandError::kNone;
  std::vector<std::string> problems_;
};

}  // namespace lovagecleat::ctl
