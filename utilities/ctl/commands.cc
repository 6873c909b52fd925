#include "utilities/ctl/commands.h"

#include <utility>

#include "command_line/command_line.h"

namespace lovagecleat::ctl {

namespace {

using configuration::Change;
using configuration::HourlyTarget;

constexpr std::string_view kPathPrefix = "/v1/operator/";

// Percent-encodes all but the unreserved characters of RFC 3986.
std::string EscapeForQuery(std::string_view text) {
  constexpr std::string_view hexadecimal = "0123456789ABCDEF";
  constexpr unsigned half_byte_bits = 4;
  constexpr unsigned half_byte_mask = 15;
  std::string escaped;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    const bool is_unreserved = (byte >= '0' && byte <= '9') ||
                               (byte >= 'a' && byte <= 'z') ||
                               (byte >= 'A' && byte <= 'Z') || byte == '-' ||
                               byte == '.' || byte == '_' || byte == '~';
    if (is_unreserved) {
      escaped += character;
      continue;
    }
    escaped += '%';
    escaped += hexadecimal[byte >> half_byte_bits];
    escaped += hexadecimal[byte & half_byte_mask];
  }
  return escaped;
}

// Parses HOUR=MS, such as "11=3000".
std::optional<HourlyTarget> ParseTarget(std::string_view text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos) return std::nullopt;
  const auto hour = command_line::ParseInteger(text.substr(0, equals));
  const auto target = command_line::ParseInteger(text.substr(equals + 1));
  // Bounds the values so that the conversion to microseconds cannot overflow;
  // the reader of changes enforces narrower bounds.
  constexpr std::int64_t maximum_target_ms = 3'600'000;
  constexpr std::int64_t maximum_hour = 1000;
  if (!hour || !target || *target < 0 || *target > maximum_target_ms ||
      *hour < 0 || *hour > maximum_hour) {
    return std::nullopt;
  }
  return HourlyTarget{static_cast<int>(*hour),
                      std::chrono::milliseconds(*target)};
}

}  // namespace

std::nullopt_t CommandReader::Fail(CommandError error) {
  last_error_ = error;
  return std::nullopt;
}

std::optional<Command> CommandReader::Read(
    std::span<const std::string> operands,
    const std::optional<std::string>& until) {
  last_error_ = CommandError::kNone;
  problems_.clear();
  if (operands.empty()) return Fail(CommandError::kUnknownCommand);
  const std::string& name = operands.front();
  const bool is_query = name == "status" || name == "configuration" ||
                        name == "audit" || name == "explain";
  if (until && name != "audit") return Fail(CommandError::kWrongOperands);
  if (is_query) return ReadQuery(operands, until);
  std::optional<Change> change = ReadChange(operands);
  if (!change) return std::nullopt;
  // Runs the host's checks locally, which saves a round trip.
  configuration::ChangeReader reader;
  if (!reader.Read(WriteChange(*change))) {
    for (const configuration::Problem& problem : reader.problems()) {
      problems_.push_back(configuration::DescribeProblem(name, problem));
    }
    return Fail(CommandError::kInvalid);
  }
  return SubmitChange{*std::move(change)};
}

std::optional<Command> CommandReader::ReadQuery(
    std::span<const std::string> operands,
    const std::optional<std::string>& until) {
  const std::string& name = operands.front();
  std::string path = std::string(kPathPrefix) + name;
  if (name == "explain") {
    if (operands.size() != 2) return Fail(CommandError::kWrongOperands);
    return Query{path + "?request=" + EscapeForQuery(operands[1])};
  }
  if (operands.size() != 1) return Fail(CommandError::kWrongOperands);
  if (until) path += "?until=" + EscapeForQuery(*until);
  return Query{path};
}

std::optional<Change> CommandReader::ReadChange(
    std::span<const std::string> operands) {
  const std::string& name = operands.front();
  if (name == "set-target") return ReadTargets(operands);
  if (name == "replace") {
    if (operands.size() != 2) return Fail(CommandError::kWrongOperands);
    return ReadConfiguration(operands[1]);
  }
  if (name != "zone" && name != "server") {
    return Fail(CommandError::kUnknownCommand);
  }
  const bool is_complete =
      operands.size() == 3 && (operands[1] == "in" || operands[1] == "out");
  if (!is_complete) return Fail(CommandError::kWrongOperands);
  const bool is_out = operands[1] == "out";
  if (name == "zone") {
    return configuration::SetZoneState{ZoneId(operands[2]),
                                       is_out ? configuration::ZoneState::kOut
                                              : configuration::ZoneState::kIn};
  }
  return configuration::SetServerState{
      ServerId(operands[2]), is_out ? configuration::ServerAvailability::kOut
                                    : configuration::ServerAvailability::kIn};
}

std::optional<Change> CommandReader::ReadTargets(
    std::span<const std::string> operands) {
  if (operands.size() < 3) return Fail(CommandError::kWrongOperands);
  configuration::SetTargets change{ClassId(operands[1]), {}};
  for (const std::string& text : operands.subspan(2)) {
    const std::optional<HourlyTarget> target = ParseTarget(text);
    if (!target) return Fail(CommandError::kWrongOperands);
    change.targets.push_back(*target);
  }
  return change;
}

std::optional<Change> CommandReader::ReadConfiguration(
    const std::string& file) {
  const std::optional<std::string> text = command_line::ReadFile(file);
  if (!text) return Fail(CommandError::kUnreadableFile);
  configuration::ConfigurationReader reader;
  std::optional<configuration::Configuration> document = reader.Read(*text);
  if (document) {
    return configuration::ReplaceConfiguration{*std::move(document)};
  }
  for (const configuration::Problem& problem : reader.problems()) {
    problems_.push_back(configuration::DescribeProblem(file, problem));
  }
  return Fail(CommandError::kInvalid);
}

}  // namespace lovagecleat::ctl
