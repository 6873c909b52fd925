#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "configuration/configuration.h"

// Reads each NAME.json under cases/ and compares its problems with
// NAME.expected in the same folder; that file is empty if the document is
// valid.
namespace lovagecleat::configuration {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path, std::ios::binary);
  REQUIRE(stream.is_open());
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

template <typename Reader>
std::string DescribeProblems(const std::filesystem::path& path) {
  Reader reader;
  const bool valid = reader.Read(ReadFile(path)).has_value();
  CHECK(valid == reader.problems().empty());
  std::string text;
  for (const Problem& problem : reader.problems()) {
    text += DescribeProblem(path.filename().string(), problem) + "\n";
  }
  return text;
}

template <typename Reader>
void CheckCases(const std::string& folder, std::size_t expected_cases) {
  const std::filesystem::path root =
      std::filesystem::path(TEST_DATA_DIRECTORY) / "cases" / folder;
  std::size_t cases = 0;
  for (const auto& entry : std::filesystem::directory_iterator(root)) {
    if (entry.path().extension() != ".json") continue;
    ++cases;
    std::filesystem::path expected = entry.path();
    expected.replace_extension(".expected");
    INFO(entry.path().filename().string());
    CHECK(DescribeProblems<Reader>(entry.path()) == ReadFile(expected));
  }
  CHECK(cases == expected_cases);
}

TEST_CASE("Configuration documents produce the expected problems") {
  CheckCases<ConfigurationReader>("configuration", 8);
}

TEST_CASE("Settings produce the expected problems") {
  CheckCases<SettingsReader>("settings", 4);
}

TEST_CASE("Changes produce the expected problems") {
  CheckCases<ChangeReader>("change", 5);
}

}  // namespace
}  // namespace lovagecleat::configuration
