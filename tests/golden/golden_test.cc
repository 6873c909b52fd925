#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "session_simulation.h"

namespace lovagecleat::tests {
namespace {

namespace fs = std::filesystem;

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::vector<fs::path> Sessions() {
  std::vector<fs::path> sessions;
  const fs::path folder = fs::path(TEST_DATA_DIRECTORY) / "sessions";
  for (const auto& entry : fs::directory_iterator(folder)) {
    if (entry.path().extension() == ".session") {
      sessions.push_back(entry.path());
    }
  }
  std::sort(sessions.begin(), sessions.end());
  return sessions;
}

// meta/regenerate_golden.sh sets the variable to overwrite the transcripts.
bool IsRegenerating() {
  return std::getenv("LOVAGECLEAT_REGENERATE_GOLDEN") != nullptr;
}

TEST_CASE("Sessions produce exactly the recorded transcripts") {
  const std::vector<fs::path> sessions = Sessions();
  REQUIRE_FALSE(sessions.empty());
  for (const fs::path& session : sessions) {
    DYNAMIC_SECTION(session.stem().string()) {
      SessionSimulation simulation;
      const std::string transcript = simulation.Run(ReadFile(session));
      for (const auto& [key, count] : simulation.executions()) {
        INFO("executions of key " << key);
        REQUIRE(count <= 1);
      }
      fs::path golden = session;
      golden.replace_extension(".golden");
      if (IsRegenerating()) {
        std::ofstream(golden) << transcript;
      }
      REQUIRE(transcript == ReadFile(golden));
    }
  }
}

}  // namespace
}  // namespace lovagecleat::tests
