#include "utilities/ctl/commands.h"

#include <utility>

#include "command_line/command_line.h"

namespace lovagecleat::ctl {

namespace {

using configuration::Change;
using configuration::HourlyTarget;

constexpr std::string_view kPrefix = "/v1/operator/";

// Escapes all but the letters that RFC 3986 leaves unreserved.
std::string EscapeForQuery(std::string_view text) {
  constexpr std::string_view hexadecimal = "0123456789ABCDEF";
  constexpr unsigned half_byte_bits = 4;
  constexpr unsigned half_byte_mask = 15;
  std::string escaped;
  for (const char letter : text) {
    const auto byte = static_cast<unsigned char>(letter);
    const bool unreserved = (byte >= '0' && byte <= '9') ||
                            (byte >= 'a' && byte <= 'z') ||
                            (byte >= 'A' && byte <= 'Z') || byte == '-' ||
                            byte == '.' || byte == '_' || byte == '~';
    if (unreserved) {
      escaped += letter;
      continue;
    }
    escaped += '%';
    escaped += hexadecimal[byte >> half_byte_bits];
    escaped += hexadecimal[byte & half_byte_mask];
  }
  return escaped;
}

// "11=3000"
std::optional<HourlyTarget> ParseTarget(std::string_view text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos) return std::nullopt;
  const auto hour = command_line::ParseInteger(text.substr(0, equals));
  const auto target = command_line::ParseInteger(text.substr(equals + 1));
  // Times beyond an hour would not fit microseconds; the reader refuses all
  // beyond its own, narrower bounds.
  constexpr std::int64_t most_milliseconds = 3'600'000;
  constexpr std::int64_t most_hours = 1000;
  if (!hour || !target || *target < 0 || *target > most_milliseconds ||
      *hour < 0 || *hour > most_hours) {
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
  const std::string& verb = operands.front();
  const bool is_query = verb == "status" || verb == "configuration" ||
                        verb == "audit" || verb == "explain";
  if (until && verb != "audit") return Fail(CommandError::kWrongOperands);
  if (is_query) return ReadQuery(operands, until);
  std::optional<Change> change = ReadChange(operands);
  if (!change) return std::nullopt;
  // The same checks as at the host, without a round trip.
  configuration::ChangeReader reader;
  if (!reader.Read(WriteChange(*change))) {
    for (const configuration::Problem& problem : reader.problems()) {
      problems_.push_back(configuration::DescribeProblem(verb, problem));
    }
    return Fail(CommandError::kInvalid);
  }
  return Submit{*std::move(change)};
}

std::optional<Command> CommandReader::ReadQuery(
    std::span<const std::string> operands,
    const std::optional<std::string>& until) {
  const std::string& verb = operands.front();
  std::string path = std::string(kPrefix) + verb;
  if (verb == "explain") {
    if (operands.size() != 2) return Fail(CommandError::kWrongOperands);
    return Query{path + "?request=" + EscapeForQuery(operands[1])};
  }
  if (operands.size() != 1) return Fail(CommandError::kWrongOperands);
  if (until) path += "?until=" + EscapeForQuery(*until);
  return Query{path};
}

std::optional<Change> CommandReader::ReadChange(
    std::span<const std::string> operands) {
  const std::string& verb = operands.front();
  if (verb == "set-target") return ReadTargets(operands);
  if (verb == "replace") {
    if (operands.size() != 2) return Fail(CommandError::kWrongOperands);
    return ReadReplacement(operands[1]);
  }
  if (verb != "zone" && verb != "server") {
    return Fail(CommandError::kUnknownCommand);
  }
  const bool complete =
      operands.size() == 3 && (operands[1] == "in" || operands[1] == "out");
  if (!complete) return Fail(CommandError::kWrongOperands);
  const bool out = operands[1] == "out";
  if (verb == "zone") {
    return configuration::SetZoneState{
        ZoneId(operands[2]),
        out ? configuration::ZoneState::kOut : configuration::ZoneState::kIn};
  }
  return configuration::SetServerState{ServerId(operands[2]),
                                       out ? configuration::ServerService::kOut
                                           : configuration::ServerService::kIn};
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

std::optional<Change> CommandReader::ReadReplacement(const std::string& file) {
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
