#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "policy/policy.h"

// Model of the platform's table with injected faults.
namespace lovagecleat::stand_ins {

enum class TableHealth {
  kAvailable,
  kOutage,  // rejects all operations and executes none
  kSilent,  // executes no operation and never responds
};

enum class TableReplyKind {
  // `rows` holds the rows read, or the written rows with their new versions.
  kSuccess,
  kConflict,     // nothing was written; `rows` holds the current rows
  kUnavailable,  // nothing was executed
  kNoResponse,   // no response; a write may have taken effect
};

struct TableReply {
  TableReplyKind kind = TableReplyKind::kSuccess;
  std::vector<policy::TableRow> rows;
  Duration delay{};  // from the arrival until the response is sent
};

class TableModel {
 public:
  TableReply Read(std::span<const std::string> keys);
  TableReply Scan(std::string_view prefix, std::string_view from,
                  std::size_t limit);
  TableReply Write(std::span<const policy::TableWrite> writes);

  void SetHealth(TableHealth health) { health_ = health; }
  void SetDelay(Duration delay) { delay_ = delay; }
  // Drops the responses to the next `count` writes that take effect.
  void DropResponses(std::uint32_t count) { responses_to_drop_ = count; }

  std::uint64_t reads() const { return reads_; }
  std::uint64_t writes() const { return writes_; }

 private:
  policy::TableRow RowOf(const std::string& key) const;
  bool VersionMatches(const policy::TableWrite& write) const;
  TableReply FailureReply() const;

  std::map<std::string, policy::TableRow, std::less<>> rows_;
  TableHealth health_ = TableHealth::kAvailable;
  Duration delay_{};
  std::uint32_t responses_to_drop_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace lovagecleat::stand_ins
