#pragma once

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <sstream>
#include <utility>
#include <vector>

// Property tests with fixed seeds, so that each run has the same result.
namespace lovagecleat::tests {

struct PropertyRuns {
  std::uint64_t seed = 1;
  int count = 1000;
  int maximum_size = 200;
};

// Requires that `testable` holds for all generated cases. Prints the shrunk
// counterexample if it does not.
template <typename Testable>
void RequireProperty(const PropertyRuns& runs, Testable&& testable) {
  rc::detail::TestParams parameters;
  parameters.seed = runs.seed;
  parameters.maxSuccess = runs.count;
  parameters.maxSize = runs.maximum_size;
  const auto result = rc::detail::checkTestable(
      std::forward<Testable>(testable), rc::detail::TestMetadata(), parameters);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  INFO(text.str());
  REQUIRE(result.template is<rc::detail::SuccessResult>());
}

// A generated sequence of numbers that selects the steps of a simulation.
class Choices {
 public:
  explicit Choices(std::vector<int> numbers) : numbers_(std::move(numbers)) {}

  bool IsExhausted() const { return next_ >= numbers_.size(); }

  // Returns a number in [0, bound), or 0 after the end of the sequence.
  int Below(int bound) {
    if (IsExhausted()) return 0;
    return numbers_[next_++] % bound;
  }

 private:
  std::vector<int> numbers_;
  std::size_t next_ = 0;
};

inline rc::Gen<std::vector<int>> AnyChoices() {
  return rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5040));
}

}  // namespace lovagecleat::tests
