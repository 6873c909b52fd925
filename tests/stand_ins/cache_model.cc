#include "tests/stand_ins/cache_model.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "tests/stand_ins/answers.h"

namespace lovagecleat::stand_ins {

namespace {
// 16 digits and the terminating null.
constexpr std::size_t kHexBufferBytes = 17;
}  // namespace

CacheResult CacheModel::Access(const std::string& prefix, Random& random,
                               TimePoint now) {
  const auto found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
  if (found != prefixes_.end()) {
    prefixes_.splice(prefixes_.begin(), prefixes_, found);
    return CacheResult::kHit;
  }
  prefixes_.push_front(prefix);
  Publish(prefix, CacheEventKind::kStored, random, now);
  if (prefixes_.size() > settings_.maximum_prefixes) {
    Publish(prefixes_.back(), CacheEventKind::kEvicted, random, now);
    prefixes_.pop_back();
  }
  return CacheResult::kMiss;
}

std::vector<CacheEvent> CacheModel::EventsAfter(std::uint64_t after,
                                                TimePoint now) const {
  std::vector<CacheEvent> result;
  for (const CacheEvent& event : events_) {
    if (event.sequence > after && event.published <= now) {
      result.push_back(event);
    }
  }
  return result;
}

void CacheModel::Publish(const std::string& prefix, CacheEventKind kind,
                         Random& random, TimePoint now) {
  ++last_sequence_;
  if (random.Unit() < settings_.event_gap_rate) return;
  events_.push_back(
      CacheEvent{last_sequence_, prefix, kind, now + settings_.event_delay});
  if (events_.size() > kMaximumEvents) events_.pop_front();
}

std::string PrefixOf(const std::string& input) {
  const std::string context = FindString(input, "context");
  const std::uint64_t hash = StableHash(context.empty() ? input : context);
  std::array<char, kHexBufferBytes> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(hash));
  return std::string(digits.data());
}

}  // namespace lovagecleat::stand_ins
