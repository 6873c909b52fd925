#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

#include "base/base.h"
#include "routing/batch_scheduler.h"

namespace lovagecleat::routing {

// Tells second copies of a batch's response, which servers may send on a
// connection that is in use again, from the response to the batch sent last:
// responses name no request, but each result's handle is given to one item.
class ReceivedResults {
 public:
  bool Contains(std::string_view handle) const;
  // Returns whether the handle was received for another item.
  bool IsOfOtherItem(std::string_view handle, const QueuedItem& item) const;

  void Add(std::string_view handle, const QueuedItem& item, TimePoint now);
  void RemoveExpired(TimePoint now);

  std::size_t size() const { return items_.size(); }

 private:
  struct Entry {
    std::uint64_t handle = 0;
    TimePoint received_at{};
  };
  std::unordered_map<std::uint64_t, std::uint64_t> items_;  // by handle; hashes
  std::deque<Entry> by_age_;                                // the oldest first
};

}  // namespace lovagecleat::routing
