#pragma once

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "configuration/configuration.h"

// Parses operator commands from the command line.
namespace lovagecleat::ctl {

// A GET request to a path of the operator API.
struct Query {
  std::string path;
};

struct SubmitChange {
  configuration::Change change;
};

using Command = std::variant<Query, SubmitChange>;

enum class CommandError {
  kNone,
  kUnknownCommand,
  kWrongOperands,
  kUnreadableFile,
  kInvalid,  // see problems()
};

// Parses operands such as {"zone", "out", "fsd-main"} into a command.
class CommandReader {
 public:
  // Returns nullopt and sets last_error() if the operands are invalid. `until`
  // is the value of --until, which only audit accepts.
  std::optional<Command> Read(std::span<const std::string> operands,
                              const std::optional<std::string>& until);

  CommandError last_error() const { return last_error_; }
  // One line of text per problem of an invalid change.
  const std::vector<std::string>& problems() const { return problems_; }

 private:
  std::optional<Command> ReadQuery(std::span<const std::string> operands,
                                   const std::optional<std::string>& until);
  std::optional<configuration::Change> ReadChange(
      std::span<const std::string> operands);
  std::optional<configuration::Change> ReadTargets(
      std::span<const std::string> operands);
  std::optional<configuration::Change> ReadConfiguration(
      const std::string& file);
  std::nullopt_t Fail(CommandError error);

  CommandError last_error_ = CommandError::kNone;
  std::vector<std::string> problems_;
};

}  // namespace lovagecleat::ctl
