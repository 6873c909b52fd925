#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "policy/policy.h"

namespace lovagecleat::tests {

// The injected fault of one table operation.
enum class TableFault {
  kNone,
  kUnavailable,      // not applied; the response says so
  kLostResponse,     // applied, no response
  kLostRequest,      // not applied, no response
  kLostThenApplied,  // no response; applied by a later call of ApplyLate
};

// An in-memory stand-in of the platform's table with injected faults.
class FakeTable {
 public:
  policy::TableAnswered Write(const policy::WriteTable& write,
                              TableFault fault = TableFault::kNone) {
    policy::TableAnswered answer{write.operation, {}, {}};
    if (fault == TableFault::kUnavailable) {
      answer.outcome = policy::TableOutcome::kUnavailable;
      return answer;
    }
    if (fault == TableFault::kLostThenApplied) late_writes_.push_back(write);
    if (fault == TableFault::kNone || fault == TableFault::kLostResponse) {
      answer = Apply(write);
    }
    if (fault != TableFault::kNone) {
      answer.outcome = policy::TableOutcome::kUnknown;
      answer.rows.clear();
    }
    return answer;
  }

  policy::TableAnswered Read(const policy::ReadTable& read,
                             TableFault fault = TableFault::kNone) const {
    policy::TableAnswered answer{read.operation, {}, {}};
    if (fault != TableFault::kNone) {
      answer.outcome = fault == TableFault::kUnavailable
                           ? policy::TableOutcome::kUnavailable
                           : policy::TableOutcome::kUnknown;
      return answer;
    }
    for (const std::string& key : read.keys) answer.rows.push_back(Row(key));
    return answer;
  }

  policy::TableAnswered Scan(const policy::ScanTable& scan) const {
    policy::TableAnswered answer{scan.operation, {}, {}};
    for (auto row = rows_.lower_bound(std::max(scan.prefix, scan.from));
         row != rows_.end() && answer.rows.size() < scan.limit; ++row) {
      if (!row->first.starts_with(scan.prefix)) break;
      answer.rows.push_back(row->second);
    }
    return answer;
  }

  std::size_t late_writes() const { return late_writes_.size(); }

  // Applies a kLostThenApplied write, whose sender got no answer.
  void ApplyLate(std::size_t index) {
    const policy::WriteTable write = late_writes_[index];
    late_writes_.erase(late_writes_.begin() +
                       static_cast<std::ptrdiff_t>(index));
    Apply(write);
  }

  policy::TableRow Row(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? policy::TableRow{key, 0, ""} : found->second;
  }

  const std::map<std::string, policy::TableRow>& rows() const { return rows_; }

 private:
  policy::TableAnswered Apply(const policy::WriteTable& write) {
    policy::TableAnswered answer{write.operation, {}, {}};
    const bool matches =
        std::all_of(write.writes.begin(), write.writes.end(),
                    [this](const policy::TableWrite& each) {
                      return Row(each.key).version == each.expected_version;
                    });
    for (const policy::TableWrite& each : write.writes) {
      if (matches) {
        rows_[each.key] = {each.key, each.expected_version + 1, each.value};
      }
      answer.rows.push_back(Row(each.key));
    }
    answer.outcome =
        matches ? policy::TableOutcome::kOk : policy::TableOutcome::kConflict;
    return answer;
  }

  std::map<std::string, policy::TableRow> rows_;
  std::vector<policy::WriteTable> late_writes_;
};

}  // namespace lovagecleat::tests
