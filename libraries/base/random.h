#pragma once

#include <cstdint>
#include <random>
#include <string_view>

#include "base/clock.h"

namespace lovagecleat {

// A seeded random number generator. Equal seeds give equal sequences.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Returns a uniform value in [0, bound); `bound` must be at least 1.
  std::uint64_t Below(std::uint64_t bound);

  // Returns a uniform value in [0, 1).
  double Unit();

  // Returns an exponentially distributed value with the given mean.
  Duration Exponential(Duration mean);

  // Returns a uniform value in base * [1 - fraction, 1 + fraction).
  Duration Jitter(Duration base, double fraction);

 private:
  std::mt19937_64 engine_;
};

// Returns a hash that is the same on every host and in every release.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

}  // namespace lovagecleat
