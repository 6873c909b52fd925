#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace lovagecleat::routing {

struct AnswerCounts {
  std::uint64_t answers = 0;
  std::uint64_t bad = 0;

  friend bool operator==(const AnswerCounts&, const AnswerCounts&) = default;
};

// Answers of one route, since the order.
struct RouteEvidence {
  AnswerCounts before;    // of the other versions
  AnswerCounts on_trial;  // of the version that is ordered
  // Bad answers of the version on trial.
  std::map<ServerId, std::uint64_t> bad_by_server;

  friend bool operator==(const RouteEvidence&, const RouteEvidence&) = default;
};

using RouteEvidenceMap = std::map<std::string, RouteEvidence>;

enum class VersionSide { kBefore, kOnTrial };

// Newest times of one kind.
class RecentTimes {
 public:
  void Add(Duration time);
  // Returns whether the time is several times longer than usual: over 2.5 times
  // the median and 1.2 times the 0.9 quantile.
  bool IsSlow(Duration time) const;

 private:
  static constexpr std::size_t kCapacity = 64;
  static constexpr std::size_t kMinimumCount = 8;

  void UpdateLimit();

  std::array<Duration, kCapacity> times_{};
  std::size_t count_ = 0;
  std::size_t next_ = 0;
  std::optional<Duration> limit_;
};

// What one answer shows of the version of its server.
struct VersionAnswer {
  std::string route;
  VersionSide side = VersionSide::kBefore;
  ServerId server;
  bool has_failed = false;
  // Time to the answer or to a stream's first event, and the mean time between
  // a stream's events, if they are known and say something of the server.
  std::optional<Duration> time;
  std::optional<Duration> gap;
  // The answer was counted when it began; only its end is counted now.
  bool was_counted = false;
};

// Counts the answers of a service at one host.
class RolloutEvidence {
 public:
  // Returns whether the answer is bad.
  bool Count(const VersionAnswer& answer);

  const RouteEvidenceMap& routes() const { return routes_; }

 private:
  struct RouteTimes {
    RecentTimes answer;
    RecentTimes gap;
  };

  RouteEvidenceMap routes_;
  std::map<std::string, RouteTimes> times_;  // of the other versions
};

// Returns what `later` counts beyond `earlier`. Nothing if some count is lower.
std::optional<RouteEvidenceMap> AddedEvidence(const RouteEvidenceMap& earlier,
                                              const RouteEvidenceMap& later);

}  // namespace lovagecleat::routing
