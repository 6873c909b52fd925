#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "tests/fault_matrix/cell.h"

// Runs every fault at every step and a sample of pairs, or one cell by its
// name:
//   fault_matrix [--cell NAME --seed N] [--known-red FILE]
// Failing cells that FILE lists, as "test: fault_matrix: NAME --seed N", count
// as failed, but do not change the exit code.
namespace lovagecleat::fault_matrix {
namespace {

constexpr std::size_t kPairCount = 120;
// Limits the pairs that are replaced because one fault prevented the other.
constexpr std::size_t kMaximumResamples = 40;
constexpr std::uint64_t kPairSeed = 20261203;
constexpr std::size_t kMaximumShownViolations = 4;

std::string current_command;  // NOLINT(readability-identifier-naming)

// A failed assertion aborts the whole run; prints the cell that it occurred in.
void ReportAbortedCell(int /*signal*/) {
  std::cerr << "aborted while running: " << current_command << std::endl;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void Report(const CellResult& result, std::string_view label) {
  if (result.Passed()) return;
  std::cout << label << ": " << current_command << std::endl;
  for (const std::string& fault : result.ineffective_faults)
    std::cout << "  fault without effect: " << fault << "\n";
  std::size_t shown = 0;
  for (const std::string& violation : result.violations) {
    if (++shown > kMaximumShownViolations) break;
    std::cout << "  " << violation << "\n";
  }
  if (result.violations.size() > kMaximumShownViolations)
    std::cout << "  and " << result.violations.size() - kMaximumShownViolations
              << " more\n";
}

std::string ArgumentsOf(const Cell& cell) {
  return NameOf(cell) + " --seed " + std::to_string(cell.seed);
}

CellResult Run(const Cell& cell) {
  current_command =
      "build/tests/fault_matrix/fault_matrix --cell " + ArgumentsOf(cell);
  return RunCell(cell);
}

struct Tally {
  std::string known_red;  // content of the file
  std::size_t cells = 0;
  std::size_t passed = 0;
  std::size_t known_failures = 0;

  void Count(const Cell& cell, const CellResult& result) {
    ++cells;
    if (result.Passed()) {
      ++passed;
      return;
    }
    const bool is_known =
        known_red.find("test: fault_matrix: " + ArgumentsOf(cell) + "\n") !=
        std::string::npos;
    if (is_known) ++known_failures;
    Report(result, is_known ? "known red" : "failed");
  }
  int PrintSummary() const {
    std::cout << "fault matrix: " << cells << " cells, " << passed
              << " passed, " << cells - passed << " failed" << std::endl;
    return passed + known_failures == cells ? EXIT_SUCCESS : EXIT_FAILURE;
  }
};

void RunCells(const std::vector<Cell>& cells, Tally& tally) {
  for (const Cell& cell : cells) {
    tally.Count(cell, Run(cell));
  }
}

// A pair counts only if both faults had an effect, or if it violates an
// invariant.
void RunPairs(Tally& tally) {
  Random random(kPairSeed);
  std::size_t resamples = 0;
  for (std::size_t i = 0; i < kPairCount;) {
    const Cell cell = SamplePair(random);
    const CellResult result = Run(cell);
    const bool is_inconclusive = result.violations.empty() && !result.Passed();
    if (is_inconclusive && ++resamples <= kMaximumResamples) continue;
    tally.Count(cell, result);
    ++i;
  }
  std::cout << resamples << " pairs were resampled" << std::endl;
}

int Main(const std::vector<std::string>& arguments) {
  std::string name;
  std::uint64_t seed = 1;
  Tally tally;
  for (std::size_t i = 0; i + 1 < arguments.size(); i += 2) {
    if (arguments[i] == "--cell") name = arguments[i + 1];
    if (arguments[i] == "--seed") seed = std::stoull(arguments[i + 1]);
    if (arguments[i] == "--known-red")
      tally.known_red = ReadFile(arguments[i + 1]);
  }
  if (!name.empty()) {
    const auto cell = ParseCell(name, seed);
    if (cell) RunCells({*cell}, tally);
    if (cell) return tally.PrintSummary();
    std::cerr << "unknown cell " << name
              << "; expected STEP/FAULT[,STEP/FAULT...]\n";
    return EXIT_FAILURE;
  }
  RunCells(SingleFaultCells(), tally);
  RunPairs(tally);
  return tally.PrintSummary();
}

}  // namespace
}  // namespace lovagecleat::fault_matrix

int main(int argc, char** argv) {
  std::signal(SIGABRT, lovagecleat::fault_matrix::ReportAbortedCell);
  return lovagecleat::fault_matrix::Main({argv + 1, argv + argc});
}
