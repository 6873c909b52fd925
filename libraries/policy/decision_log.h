#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "policy/commands.h"

namespace lovagecleat::policy {

// Keeps the most recent decisions of this host for `explain`. Drops the oldest
// when full.
class DecisionLog {
 public:
  static constexpr std::size_t kMaximumEntries = 8192;
  static constexpr std::size_t kMaximumTextBytes = 512;

  struct Entry {
    WallTime at;
    RecordDecision decision;
  };

  explicit DecisionLog(std::size_t maximum_entries = kMaximumEntries)
      : maximum_entries_(maximum_entries) {}

  void Add(const RecordDecision& decision, WallTime at);

  // Returns the decisions about one request, oldest first.
  std::vector<Entry> Find(const RequestId& request) const;

  // Returns the response to an operator's `explain`, with status 404 if the log
  // has no decision about the request.
  RespondToOperator Explain(CallId call, const RequestId& request) const;

  std::size_t size() const { return entries_.size(); }

 private:
  std::size_t maximum_entries_;
  std::deque<Entry> entries_;
};

}  // namespace lovagecleat::policy
