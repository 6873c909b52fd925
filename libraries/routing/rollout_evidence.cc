#include "routing/rollout_evidence.h"

#include <algorithm>
#include <cmath>

namespace lovagecleat::routing {

namespace {

constexpr double kSlowMedians = 2.5;
constexpr double kSlowHighQuantiles = 1.2;
constexpr double kHighQuantile = 0.9;
// Of few times, the quantile is that of an interval's upper end: times of two
// kinds, one of which is rare so far, would all count as slow later.
constexpr double kQuantileDeviations = 1.5;
// Shorter delays come from connections and hosts.
constexpr Duration kMinimumDelay = std::chrono::milliseconds(10);
// Times are compared with a limit that is at most this many times old.
constexpr std::size_t kLimitUpdatePeriod = 4;
// Servers beyond it share an entry.
constexpr std::size_t kMaximumServers = 64;
constexpr std::size_t kMaximumRoutes = 256;
constexpr const char* kOtherServers = "other";
constexpr const char* kOtherRoutes = "other";

Duration Scaled(Duration time, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

std::optional<AnswerCounts> Difference(const AnswerCounts& earlier,
                                       const AnswerCounts& later) {
  if (later.answers < earlier.answers || later.bad < earlier.bad)
    return std::nullopt;
  return AnswerCounts{later.answers - earlier.answers, later.bad - earlier.bad};
}

}  // namespace

void RecentTimes::Add(Duration time) {
  times_[next_] = time;
  next_ = (next_ + 1) % kCapacity;
  count_ = std::min(count_ + 1, kCapacity);
  if (count_ >= kMinimumCount && next_ % kLimitUpdatePeriod == 0) UpdateLimit();
}

void RecentTimes::UpdateLimit() {
  std::vector<Duration> sorted(
      times_.begin(), times_.begin() + static_cast<std::ptrdiff_t>(count_));
  std::sort(sorted.begin(), sorted.end());
  const Duration median = sorted[count_ / 2];
  const auto count = static_cast<double>(count_);
  const double high_rank =
      kHighQuantile * (count - 1) +
      kQuantileDeviations *
          std::sqrt(kHighQuantile * (1 - kHighQuantile) * count);
  const Duration high =
      sorted[static_cast<std::size_t>(std::min(high_rank, count - 1))];
  limit_ = std::max({Scaled(median, kSlowMedians),
                     Scaled(high, kSlowHighQuantiles), median + kMinimumDelay});
}

bool RecentTimes::IsSlow(Duration time) const {
  return limit_ && time > *limit_;
}

bool RolloutEvidence::Count(const VersionAnswer& answer) {
  const bool is_known = routes_.contains(answer.route);
  const std::string& route =
      is_known || routes_.size() < kMaximumRoutes ? answer.route : kOtherRoutes;
  RouteEvidence& evidence = routes_[route];
  RouteTimes& times = times_[route];
  const bool is_bad = answer.has_failed ||
                      (answer.time && times.answer.IsSlow(*answer.time)) ||
                      (answer.gap && times.gap.IsSlow(*answer.gap));
  const bool is_before = answer.side == VersionSide::kBefore;
  if (is_before && answer.time) times.answer.Add(*answer.time);
  if (is_before && answer.gap) times.gap.Add(*answer.gap);
  AnswerCounts& counts = is_before ? evidence.before : evidence.on_trial;
  if (!answer.was_counted) ++counts.answers;
  if (!is_bad) return false;
  ++counts.bad;
  if (is_before) return true;
  const bool has_room = evidence.bad_by_server.contains(answer.server) ||
                        evidence.bad_by_server.size() < kMaximumServers;
  ++evidence.bad_by_server[has_room ? answer.server : ServerId(kOtherServers)];
  return true;
}

std::optional<RouteEvidenceMap> AddedEvidence(const RouteEvidenceMap& earlier,
                                              const RouteEvidenceMap& later) {
  RouteEvidenceMap added;
  for (const auto& [route, evidence] : earlier)
    if (!later.contains(route)) return std::nullopt;
  for (const auto& [route, evidence] : later) {
    const auto known = earlier.find(route);
    const RouteEvidence before =
        known != earlier.end() ? known->second : RouteEvidence();
    const auto old_answers = Difference(before.before, evidence.before);
    const auto new_answers = Difference(before.on_trial, evidence.on_trial);
    if (!old_answers || !new_answers) return std::nullopt;
    RouteEvidence& difference = added[route];
    difference.before = *old_answers;
    difference.on_trial = *new_answers;
    for (const auto& [server, bad] : evidence.bad_by_server) {
      const auto server_before = before.bad_by_server.find(server);
      const std::uint64_t known_bad =
          server_before != before.bad_by_server.end() ? server_before->second
                                                      : 0;
      if (bad < known_bad) return std::nullopt;
      if (bad > known_bad) difference.bad_by_server[server] = bad - known_bad;
    }
  }
  return added;
}

}  // namespace lovagecleat::routing
