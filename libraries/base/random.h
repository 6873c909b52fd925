#pragma once

#include <cstdint>
#include <random>
#include <string_view>

#include "base/clock.h"

namespace lovagecleat {

// A seeded generator; equal seeds give equal sequences.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Uniform in [0, bound); `bound` is at least 1.
  std::uint64_t Below(std::uint64_t bound);

  // Uniform in [0, 1).
  double Unit();

  // Exponential with the given mean.
  Duration Exponential(Duration mean);

  // `base` changed by up to `fraction` of itself either way.
  Duration Jitter(Duration base, double fraction);

 private:
  std::mt19937_64 engine_;
};

// A hash that is the same on every host and in every release.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

}  // namespace lovagecleat
