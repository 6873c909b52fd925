#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "utilities/ctl/commands.h"

namespace lovagecleat::ctl {
namespace {

using Operands = std::vector<std::string>;

std::string PathOf(CommandReader& reader, const Operands& operands,
                   const std::optional<std::string>& until = std::nullopt) {
  const auto command = reader.Read(operands, until);
  if (!command || !std::holds_alternative<Query>(*command)) return "none";
  return std::get<Query>(*command).path;
}

std::string ChangeOf(CommandReader& reader, const Operands& operands) {
  const auto command = reader.Read(operands, std::nullopt);
  if (!command || !std::holds_alternative<SubmitChange>(*command))
    return "none";
  return configuration::WriteChange(std::get<SubmitChange>(*command).change);
}

TEST_CASE("A query is read into its path") {
  CommandReader reader;
  CHECK(PathOf(reader, {"status"}) == "/v1/operator/status");
  CHECK(PathOf(reader, {"audit"}, "17") == "/v1/operator/audit?until=17");
  CHECK(PathOf(reader, {"explain", "a-1&b=%"}) ==
        "/v1/operator/explain?request=a-1%26b%3D%25");
}

TEST_CASE("A change is read into its JSON form") {
  CommandReader reader;
  CHECK(ChangeOf(reader, {"set-target", "lookup", "0=5000", "11=3000"}) ==
        R"({"class":"lookup","kind":"set_targets","targets":[)"
        R"({"from_hour":0,"target_ms":5000},)"
        R"({"from_hour":11,"target_ms":3000}]})");
  CHECK(ChangeOf(reader, {"zone", "out", "fsd-main"}) ==
        R"({"kind":"zone","state":"out","zone":"fsd-main"})");
  CHECK(ChangeOf(reader, {"server", "in", "llm-3"}) ==
        R"({"kind":"server","server":"llm-3","state":"in"})");
}

TEST_CASE("An invalid command is refused with its error") {
  CommandReader reader;
  const auto error_of = [&](const Operands& operands) {
    CHECK_FALSE(reader.Read(operands, std::nullopt).has_value());
    return reader.last_error();
  };
  CHECK(error_of({}) == CommandError::kUnknownCommand);
  CHECK(error_of({"weight", "llm-3", "3"}) == CommandError::kUnknownCommand);
  CHECK(error_of({"status", "now"}) == CommandError::kWrongOperands);
  CHECK(error_of({"explain"}) == CommandError::kWrongOperands);
  CHECK(error_of({"zone", "gone", "z"}) == CommandError::kWrongOperands);
  CHECK(error_of({"set-target", "a"}) == CommandError::kWrongOperands);
  CHECK(error_of({"set-target", "a", "0=fast"}) ==
        CommandError::kWrongOperands);
  CHECK(error_of({"set-target", "a", "0=99999999999"}) ==
        CommandError::kWrongOperands);
  CHECK(error_of({"replace", "/nonexistent"}) == CommandError::kUnreadableFile);
  CHECK_FALSE(reader.Read(Operands{"status"}, "17").has_value());
  CHECK(reader.last_error() == CommandError::kWrongOperands);
}

TEST_CASE("An invalid change is refused before it is sent") {
  CommandReader reader;
  CHECK_FALSE(
      reader.Read(Operands{"set-target", "a", "24=49", "3=100"}, std::nullopt));
  CHECK(reader.last_error() == CommandError::kInvalid);
  CHECK(reader.problems().size() == 2);
  const std::string cases = TEST_DATA_DIRECTORY "/../configuration/cases/";
  CHECK_FALSE(reader.Read(
      Operands{"replace", cases + "configuration/broken_references.json"},
      std::nullopt));
  CHECK(reader.last_error() == CommandError::kInvalid);
  CHECK(reader.problems().size() == 9);
  CHECK(reader.Read(Operands{"replace", cases + "configuration/valid.json"},
                    std::nullopt));
}

}  // namespace
}  // namespace lovagecleat::ctl
