#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>

#include "base/base.h"
#include "routing/rollout_evidence.h"

namespace lovagecleat::routing {

// Decides from the answers of all hosts whether a version is worse than those
// before it. A sequential test: it may be asked at any time, and with equal
// versions its evidence exceeds kRollBackEvidence less than once in so many bad
// answers (docs/design/rollouts.md).
class RolloutTest {
 public:
  // Natural logarithms of likelihood ratios.
  static constexpr double kRollBackEvidence = 9.21;  // 10,000
  static constexpr double kDoubtfulEvidence = 3.0;   // 20

  // Sets the number of servers of the version on trial. If there are several,
  // evidence that comes from one alone does not count.
  void SetServers(std::size_t count) { servers_ = count; }

  // Adds answers. They count from the next EndPeriod on.
  void Add(const RouteEvidenceMap& added);

  // Compares the answers since the last call, which came at the same time.
  void EndPeriod();

  double Evidence() const;
  const AnswerCounts& on_trial() const { return on_trial_; }
  const AnswerCounts& before() const { return before_; }

 private:
  // Assumed ratios of the rates of bad answers.
  static constexpr std::array kRatios = {2.0, 4.0, 8.0, 16.0, 32.0};
  using Ratios = std::array<double, kRatios.size()>;

  // Logarithms of the likelihood ratios, without the bad answers of one server.
  struct Sums {
    Ratios all{};
    std::map<std::string, Ratios> routes;
  };
  // What a bad answer of either version and a good one on trial add.
  struct Steps {
    Ratios bad_on_trial{};
    Ratios bad_before{};
    Ratios good_on_trial{};
  };

  struct RouteTotals {
    AnswerCounts before;
    AnswerCounts on_trial;
    // Newest answers, older ones with less weight.
    double recent_before = 0;
    double recent_on_trial = 0;
  };

  static Steps StepsOf(const RouteTotals& totals);
  static void Apply(Sums& sums, const std::string& route, const Steps& steps,
                    const RouteEvidence& added, std::uint64_t left_out);
  static double EvidenceOf(const Sums& sums);

  std::size_t servers_ = 0;
  RouteEvidenceMap pending_;
  std::map<std::string, RouteTotals> totals_;
  AnswerCounts before_;
  AnswerCounts on_trial_;
  Sums sums_;
  std::map<ServerId, Sums> without_server_;
};

}  // namespace lovagecleat::routing
