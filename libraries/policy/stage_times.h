#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "base/base.h"

namespace lovagecleat::policy {

// Quantiles of durations in which old samples count less and less.
class DecayingHistogram {
 public:
  void Add(Duration sample);

  // The smallest bucket bound at or below which `quantile` (0 to 1) of the
  // weight lies; `fallback` where there are no samples.
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

// What a stage's time depends on.
struct StageShape {
  ServiceId service;
  std::uint32_t max_tokens = 0;

  // NOTE: clang-tidy 14 takes the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StageShape&, const StageShape&) = default;
};

// Measured times of stages, by shape: at a server, and waiting for one.
class StageTimes {
 public:
  // Shapes beyond this many share one histogram.
  static constexpr std::size_t kMaximumShapes = 256;

  void AddServed(const StageShape& shape, Duration served);

  // The usual time at a server.
  Duration Expected(const StageShape& shape) const;

  // The time that only one in twenty exceeds.
  Duration Cautious(const StageShape& shape) const;

  // No sample of it has been seen yet.
  bool IsUnknown(const StageShape& shape) const;

 private:
  const DecayingHistogram* Find(const StageShape& shape) const;

  std::map<StageShape, DecayingHistogram> served_;
  DecayingHistogram overflow_;
};

}  // namespace lovagecleat::policy
