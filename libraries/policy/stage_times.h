#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "base/base.h"

namespace lovagecleat::policy {

// Estimates quantiles of durations from samples whose weight decays as new
// samples come in.
class DecayingHistogram {
 public:
  void Add(Duration sample);

  // Returns the smallest bucket bound at or below which `quantile` (0 to 1) of
  // the weight lies, or `fallback` without samples.
  Duration Quantile(double quantile, Duration fallback) const;

  bool empty() const { return total_ <= 0.0; }

 private:
  static constexpr std::size_t kBuckets = 88;

  static std::size_t BucketOf(Duration sample);
  static Duration UpperBound(std::size_t bucket);
  void Decay();

  std::array<float, kBuckets> weights_{};
  double total_ = 0.0;
  std::uint32_t samples_since_decay_ = 0;
};

// The properties that determine the expected time of a stage.
struct StageShape {
  ServiceId service;
  std::uint32_t max_tokens = 0;

  // NOTE: clang-tidy 14 takes the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StageShape&, const StageShape&) = default;
};

// Estimates the server times of stages by shape.
class StageTimes {
 public:
  // The number of shapes with a histogram of their own; all others share one.
  static constexpr std::size_t kMaximumShapes = 256;

  void AddServed(const StageShape& shape, Duration served);

  // Returns the median server time.
  Duration Expected(const StageShape& shape) const;

  // Returns the 95th percentile of the server time.
  Duration Conservative(const StageShape& shape) const;

  // Returns whether there are no samples for `shape`.
  bool HasNoSamples(const StageShape& shape) const;

 private:
  const DecayingHistogram* Find(const StageShape& shape) const;

  std::map<StageShape, DecayingHistogram> served_;
  DecayingHistogram overflow_;
};

}  // namespace lovagecleat::policy
