#include "utilities/load/workload.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "utilities/load/results.h"

namespace lovagecleat::load {
namespace {

using std::chrono::seconds;

constexpr std::size_t kUnbounded = 1000000;

Workload ReadOrFail() {
  WorkloadReader reader;
  const auto workload = reader.Read(R"({
    "classes": [{"class": "a", "rate": 100, "stream": true},
                {"class": "b", "rate": 20, "key": true}],
    "teams": [{"team": "large", "share": 3}, {"team": "small", "share": 1}],
    "phases": [{"name": "flat", "seconds": 20, "from": 1},
               {"name": "ramp", "seconds": 20, "from": 0, "to": 1}],
    "contexts": 4})");
  REQUIRE(workload.has_value());
  return *workload;
}

std::size_t CountBetween(const std::vector<Arrival>& arrivals, Duration from,
                         Duration to) {
  return static_cast<std::size_t>(std::count_if(
      arrivals.begin(), arrivals.end(), [&](const Arrival& arrival) {
        return arrival.at >= from && arrival.at < to;
      }));
}

TEST_CASE("Arrivals follow the rates, the ramp and the teams' shares") {
  const Workload workload = ReadOrFail();
  const auto arrivals = PlanArrivals(workload, 1.0, 7, kUnbounded);
  const std::size_t flat = CountBetween(arrivals, seconds(0), seconds(20));
  const std::size_t early = CountBetween(arrivals, seconds(20), seconds(30));
  const std::size_t late = CountBetween(arrivals, seconds(30), seconds(40));
  REQUIRE(flat > 2200);
  REQUIRE(flat < 2600);
  REQUIRE(early > 200);
  REQUIRE(early < 400);
  REQUIRE(late > 800);
  REQUIRE(late < 1000);
  const auto large = static_cast<double>(
      std::count_if(arrivals.begin(), arrivals.end(),
                    [](const Arrival& one) { return one.team_index == 0; }));
  REQUIRE(large / static_cast<double>(arrivals.size()) ==
          Approx(0.75).margin(0.03));
}

TEST_CASE("Equal seeds give equal arrivals, and their count is limited") {
  const Workload workload = ReadOrFail();
  const auto times = [&](std::uint64_t seed) {
    std::vector<Duration> result;
    for (const Arrival& one : PlanArrivals(workload, 1.0, seed, 50)) {
      result.push_back(one.at);
    }
    return result;
  };
  REQUIRE(times(1).size() == 50);
  REQUIRE(times(1) == times(1));
  REQUIRE(times(1) != times(2));
}

TEST_CASE("An invalid or incomplete workload is refused with its error") {
  WorkloadReader reader;
  REQUIRE_FALSE(reader.Read("{").has_value());
  REQUIRE(reader.last_error() == WorkloadError::kMalformedJson);
  REQUIRE_FALSE(reader.Read(R"({"classes": []})").has_value());
  REQUIRE(reader.last_error() == WorkloadError::kMissingOrInvalid);
  REQUIRE_FALSE(
      reader.Read(R"({"classes": [], "teams": [], "phases": []})").has_value());
  REQUIRE(reader.last_error() == WorkloadError::kEmpty);
}

TEST_CASE("Quantiles are values at exact ranks") {
  std::vector<double> values;
  for (int i = 100; i >= 1; --i) values.push_back(i);
  REQUIRE(Quantile(values, 0.95) == 95.0);
  REQUIRE(Quantile(values, 1.0) == 100.0);
  REQUIRE(Quantile({}, 0.5) == 0.0);
}

}  // namespace
}  // namespace lovagecleat::load
