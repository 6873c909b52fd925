#include "routing/received_results.h"

namespace lovagecleat::routing {

namespace {

// A copy comes with one of the next responses on its connection.
constexpr Duration kMemory = std::chrono::seconds(60);
// Bounds the memory to a few megabytes.
constexpr std::size_t kMaximumResults = 50'000;

std::uint64_t HashOf(const QueuedItem& item) {
  const std::uint64_t position =
      (std::uint64_t{item.position.stage} << 32) ^ item.position.index;
  return StableHash(item.request, position);
}

}  // namespace

bool ReceivedResults::Contains(std::string_view handle) const {
  return items_.contains(StableHash(handle));
}

bool ReceivedResults::IsOfOtherItem(std::string_view handle,
                                    const QueuedItem& item) const {
  const auto known = items_.find(StableHash(handle));
  return known != items_.end() && known->second != HashOf(item);
}

void ReceivedResults::Add(std::string_view handle, const QueuedItem& item,
                          TimePoint now) {
  const std::uint64_t hash = StableHash(handle);
  if (!items_.insert_or_assign(hash, HashOf(item)).second) return;
  by_age_.push_back({hash, now});
  if (by_age_.size() <= kMaximumResults) return;
  items_.erase(by_age_.front().handle);
  by_age_.pop_front();
}

void ReceivedResults::RemoveExpired(TimePoint now) {
  while (!by_age_.empty() && now - by_age_.front().received_at > kMemory) {
    items_.erase(by_age_.front().handle);
    by_age_.pop_front();
  }
}

}  // namespace lovagecleat::routing
