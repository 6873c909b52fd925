#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <vector>

#include "base/base.h"

namespace lovagecleat::stand_ins {

struct CacheSettings {
  std::size_t maximum_prefixes = 32;
  Duration event_delay = std::chrono::milliseconds(300);
  double event_gap_rate = 0.1;  // share of events that are not published
};

enum class CacheEventKind { kStored, kEvicted };

struct CacheEvent {
  std::uint64_t sequence = 0;
  std::string prefix;  // 16 hex digits
  CacheEventKind kind = CacheEventKind::kStored;
  TimePoint published{};
};

enum class CacheResult { kHit, kMiss };

// Models the prefix cache of an engine with LRU eviction. Its events are
// published with a delay, and some are omitted.
class CacheModel {
 public:
  explicit CacheModel(const CacheSettings& settings) : settings_(settings) {}

  CacheResult Access(const std::string& prefix, Random& random, TimePoint now);
  void Clear() { prefixes_.clear(); }

  std::vector<CacheEvent> EventsAfter(std::uint64_t after, TimePoint now) const;

 private:
  static constexpr std::size_t kMaximumEvents = 1024;

  void Publish(const std::string& prefix, CacheEventKind kind, Random& random,
               TimePoint now);

  CacheSettings settings_;
  std::list<std::string> prefixes_;  // most recently used first
  std::deque<CacheEvent> events_;
  std::uint64_t last_sequence_ = 0;
};

// Returns the hash of the input's prefix as 16 hex digits: of its "context" if
// it has one, otherwise of the whole input.
std::string PrefixOf(const std::string& input);

}  // namespace lovagecleat::stand_ins
