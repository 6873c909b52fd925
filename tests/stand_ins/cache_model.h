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
  double event_gap_rate = 0.1;  // share of events that are never published
};

enum class CacheEventKind { kStored, kEvicted };

struct CacheEvent {
  std::uint64_t sequence = 0;
  std::string prefix;  // 16 hex digits
  CacheEventKind kind = CacheEventKind::kStored;
  TimePoint published{};
};

enum class CacheUse { kHit, kMiss };

// The prefix cache of an engine: least recently used out first, with events
// that come late and with gaps.
class CacheModel {
 public:
  explicit CacheModel(const CacheSettings& settings) : settings_(settings) {}

  CacheUse Use(const std::string& prefix, Random& random, TimePoint now);
  void Clear() { prefixes_.clear(); }

  std::vector<CacheEvent> EventsAfter(std::uint64_t after, TimePoint now) const;

 private:
  static constexpr std::size_t kMaximumEvents = 1024;

  void Publish(const std::string& prefix, CacheEventKind kind, Random& random,
               TimePoint now);

  CacheSettings settings_;
  std::list<std::string> prefixes_;  // the most recently used first
  std::deque<CacheEvent> events_;
  std::uint64_t last_sequence_ = 0;
};

// The prefix of an input: its "context" where it has one, else all of it.
std::string PrefixOf(const std::string& input);

}  // namespace lovagecleat::stand_ins
