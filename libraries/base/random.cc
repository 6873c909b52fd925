#include "base/random.h"

#include <xxhash.h>

#include <cassert>
#include <cmath>

namespace lovagecleat {

namespace {
constexpr double kUnitScale = 1.0 / 9007199254740992.0;  // 2^-53
constexpr int kUnitShift = 11;
}  // namespace

std::uint64_t Random::Below(std::uint64_t bound) {
  assert(bound > 0);
  // The modulo bias is below 2^-32 for all bounds in use.
  return engine_() % bound;
}

double Random::Unit() {
  return static_cast<double>(engine_() >> kUnitShift) * kUnitScale;
}

Duration Random::Exponential(Duration mean) {
  const double factor = -std::log(1.0 - Unit());
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(mean.count()) * factor));
}

Duration Random::Jitter(Duration base, double fraction) {
  const double factor = 1.0 + fraction * (2.0 * Unit() - 1.0);
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(base.count()) * factor));
}

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace lovagecleat
