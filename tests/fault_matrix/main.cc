#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "tests/fault_matrix/cell.h"

// Runs every fault at every step and sampled pairs, or one cell by its name:
//   fault_matrix [--cell NAME --seed N] [--known-red FILE]
// Failing cells whose command the file names count as failed, but do not make
// the run fail.
namespace lovagecleat::fault_matrix {
namespace {

constexpr std::size_t kPairs = 120;
// Pairs that may be drawn anew, since one fault kept the other from coming.
constexpr std::size_t kMaximumRedraws = 40;
constexpr std::uint64_t kPairSeed = 20261203;
constexpr std::size_t kShownViolations = 4;

std::string current_replay;  // NOLINT(readability-identifier-naming)

// An assertion that fails in a cell ends the whole run; say in which one.
void SayWhereItAborted(int /*signal*/) {
  std::cerr << "aborted: " << current_replay << std::endl;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void Report(const CellResult& result, std::string_view label) {
  if (result.Passed()) return;
  std::cout << label << ": " << current_replay << std::endl;
  for (const std::string& strike : result.not_struck)
    std::cout << "  did not happen: " << strike << "\n";
  std::size_t shown = 0;
  for (const std::string& violation : result.violations) {
    if (++shown > kShownViolations) break;
    std::cout << "  " << violation << "\n";
  }
  if (result.violations.size() > kShownViolations)
    std::cout << "  and " << result.violations.size() - kShownViolations
              << " more\n";
}

CellResult Run(const Cell& cell) {
  current_replay = "build/tests/fault_matrix/fault_matrix --cell " +
                   NameOf(cell) + " --seed " + std::to_string(cell.seed);
  return RunCell(cell);
}

struct Tally {
  std::string known_red;  // the text of the file
  std::size_t cells = 0;
  std::size_t passed = 0;
  std::size_t passed_over = 0;

  void Count(const CellResult& result) {
    ++cells;
    if (result.Passed()) {
      ++passed;
      return;
    }
    const bool is_known =
        known_red.find(current_replay + "\n") != std::string::npos;
    if (is_known) ++passed_over;
    Report(result, is_known ? "known red" : "failed");
  }
  int Conclude() const {
    std::cout << "fault matrix: " << cells << " cells, " << passed
              << " passed, " << cells - passed << " failed" << std::endl;
    return passed + passed_over == cells ? EXIT_SUCCESS : EXIT_FAILURE;
  }
};

void RunCells(const std::vector<Cell>& cells, Tally& tally) {
  for (const Cell& cell : cells) {
    tally.Count(Run(cell));
  }
}

// A pair counts only if both faults came; one that breaks an invariant counts
// in any case.
void RunPairs(Tally& tally) {
  Random random(kPairSeed);
  std::size_t redraws = 0;
  for (std::size_t i = 0; i < kPairs;) {
    const Cell cell = SamplePair(random);
    const CellResult result = Run(cell);
    const bool is_void = result.violations.empty() && !result.Passed();
    if (is_void && ++redraws <= kMaximumRedraws) continue;
    tally.Count(result);
    ++i;
  }
  std::cout << redraws << " pairs were drawn anew" << std::endl;
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
    const auto cell = CellOfName(name, seed);
    if (cell) RunCells({*cell}, tally);
    if (cell) return tally.Conclude();
    std::cerr << "no such cell: " << name << "\n";
    return EXIT_FAILURE;
  }
  RunCells(SingleFaultCells(), tally);
  RunPairs(tally);
  return tally.Conclude();
}

}  // namespace
}  // namespace lovagecleat::fault_matrix

int main(int argc, char** argv) {
  std::signal(SIGABRT, lovagecleat::fault_matrix::SayWhereItAborted);
  return lovagecleat::fault_matrix::Main({argv + 1, argv + argc});
}
