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

// The platform's table as the system's tests see it, with its faults.
namespace lovagecleat::stand_ins {

enum class TableHealth {
  kServes,
  kOutage,  // refuses everything, carries nothing out
  kSilent,  // carries nothing out and never answers
};

enum class TableReplyKind {
  kAnswer,       // `rows` hold what was read, or the rows' new versions
  kConflict,     // nothing was written; `rows` hold what stands there
  kUnavailable,  // nothing was carried out
  kNoAnswer,     // the caller never hears; the write may have taken effect
};

struct TableReply {
  TableReplyKind kind = TableReplyKind::kAnswer;
  std::vector<policy::TableRow> rows;
  Duration delay{};  // from the arrival until the answer leaves
};

class TableModel {
 public:
  TableReply Read(std::span<const std::string> keys);
  TableReply Scan(std::string_view prefix, std::string_view from,
                  std::size_t limit);
  TableReply Write(std::span<const policy::TableWrite> writes);

  void SetHealth(TableHealth health) { health_ = health; }
  void SetDelay(Duration delay) { delay_ = delay; }
  // The next `count` writes that take effect are never answered.
  void LoseAnswers(std::uint32_t count) { answers_to_lose_ = count; }

  std::uint64_t reads() const { return reads_; }
  std::uint64_t writes() const { return writes_; }

 private:
  policy::TableRow RowOf(const std::string& key) const;
  bool Holds(const policy::TableWrite& write) const;
  TableReply Unserved() const;

  std::map<std::string, policy::TableRow, std::less<>> rows_;
  TableHealth health_ = TableHealth::kServes;
  Duration delay_{};
  std::uint32_t answers_to_lose_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace lovagecleat::stand_ins
