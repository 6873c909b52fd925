#include "routing/rollout_test.h"

#include <algorithm>
#include <cmath>
#include <span>
#include <vector>

#include "routing/rollout_order.h"

namespace lovagecleat::routing {

namespace {

// From this many bad answers on, evidence from one server counts too, so that
// the version is stopped before kBadAnswersBound.
constexpr std::uint64_t kBadAnswersOfOneServer = kBadAnswersBound * 4 / 5;
// Evidence is kept without each of at most this many servers.
constexpr std::size_t kMaximumServers = 64;
// The rate of bad answers before, if it must be estimated, is the upper end of
// an interval of this many standard deviations, with some answers added.
constexpr double kRateDeviations = 2.0;
constexpr double kAddedAnswers = 10.0;
// Answers before this period from which the part on trial is estimated too.
constexpr double kRecentAnswers = 60.0;

double LogMeanExp(std::span<const double> values) {
  const double highest = *std::max_element(values.begin(), values.end());
  double sum = 0;
  for (const double value : values) sum += std::exp(value - highest);
  return highest + std::log(sum / static_cast<double>(values.size()));
}

AnswerCounts& operator+=(AnswerCounts& sum, const AnswerCounts& added) {
  sum.answers += added.answers;
  sum.bad += added.bad;
  return sum;
}

}  // namespace

void RolloutTest::Add(const RouteEvidenceMap& added) {
  for (const auto& [route, evidence] : added) {
    RouteEvidence& pending = pending_[route];
    pending.before += evidence.before;
    pending.on_trial += evidence.on_trial;
    before_ += evidence.before;
    on_trial_ += evidence.on_trial;
    for (const auto& [server, bad] : evidence.bad_by_server)
      pending.bad_by_server[server] += bad;
  }
}

// The hosts choose the version of each request at random, so the part of the
// newest answers that are on trial is also that of the bad ones, if versions
// are equal.
RolloutTest::Steps RolloutTest::StepsOf(const RouteTotals& totals) {
  Steps steps;
  const bool is_concurrent = totals.recent_before >= totals.recent_on_trial;
  const double part =
      totals.recent_on_trial /
      std::max(totals.recent_before + totals.recent_on_trial, 1.0);
  const double bad = static_cast<double>(totals.before.bad) + 1;
  const double rate =
      std::min((bad + kRateDeviations * std::sqrt(bad)) /
                   (static_cast<double>(totals.before.answers) + kAddedAnswers),
               0.5);
  for (std::size_t i = 0; i < kRatios.size(); ++i) {
    const double ratio = kRatios[i];
    if (is_concurrent) {
      const double norm = std::log(part * ratio + 1 - part);
      steps.bad_on_trial[i] = std::log(ratio) - norm;
      steps.bad_before[i] = -norm;
      continue;
    }
    // Few answers of the versions before came at the same time: their rate is
    // that of the whole time.
    const double higher_rate = std::min(ratio * rate, (1 + rate) / 2);
    steps.bad_on_trial[i] = std::log(higher_rate / rate);
    steps.good_on_trial[i] = std::log((1 - higher_rate) / (1 - rate));
  }
  return steps;
}

// Sums begin again when the likelihood ratio falls below 1, so that a good past
// does not cover a late fault.
void RolloutTest::Apply(Sums& sums, const std::string& route,
                        const Steps& steps, const RouteEvidence& added,
                        std::uint64_t left_out) {
  const auto good =
      static_cast<double>(added.on_trial.answers -
                          std::min(added.on_trial.answers, added.on_trial.bad));
  const auto bad = static_cast<double>(added.on_trial.bad -
                                       std::min(added.on_trial.bad, left_out));
  const auto bad_before = static_cast<double>(added.before.bad);
  for (Ratios* ratios : {&sums.all, &sums.routes[route]}) {
    for (std::size_t i = 0; i < kRatios.size(); ++i)
      (*ratios)[i] += bad * steps.bad_on_trial[i] +
                      bad_before * steps.bad_before[i] +
                      good * steps.good_on_trial[i];
    if (LogMeanExp(*ratios) < 0) ratios->fill(0);
  }
}

void RolloutTest::EndPeriod() {
  for (const auto& [route, added] : pending_) {
    RouteTotals& totals = totals_[route];
    totals.before += added.before;
    totals.on_trial += added.on_trial;
    const double recent = totals.recent_before + totals.recent_on_trial;
    const double weight = std::min(1.0, kRecentAnswers / std::max(recent, 1.0));
    totals.recent_before = weight * totals.recent_before +
                           static_cast<double>(added.before.answers);
    totals.recent_on_trial = weight * totals.recent_on_trial +
                             static_cast<double>(added.on_trial.answers);
    const Steps steps = StepsOf(totals);
    for (const auto& [server, bad] : added.bad_by_server)
      if (without_server_.size() < kMaximumServers)
        without_server_.try_emplace(server, sums_);
    Apply(sums_, route, steps, added, 0);
    for (auto& [server, sums] : without_server_) {
      const auto own = added.bad_by_server.find(server);
      Apply(sums, route, steps, added,
            own != added.bad_by_server.end() ? own->second : 0);
    }
  }
  pending_.clear();
}

double RolloutTest::EvidenceOf(const Sums& sums) {
  if (sums.routes.empty()) return 0;
  std::vector<double> routes;
  for (const auto& [route, ratios] : sums.routes)
    routes.push_back(LogMeanExp(ratios));
  const std::array parts = {LogMeanExp(sums.all), LogMeanExp(routes)};
  return LogMeanExp(parts);
}

double RolloutTest::Evidence() const {
  double evidence = EvidenceOf(sums_);
  if (servers_ <= 1 || on_trial_.bad >= kBadAnswersOfOneServer) return evidence;
  for (const auto& [server, sums] : without_server_)
    evidence = std::min(evidence, EvidenceOf(sums));
  return evidence;
}

}  // namespace lovagecleat::routing
