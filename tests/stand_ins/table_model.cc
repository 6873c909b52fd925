#include "tests/stand_ins/table_model.h"

#include <algorithm>

namespace lovagecleat::stand_ins {

using policy::TableRow;
using policy::TableWrite;

TableReply TableModel::Read(std::span<const std::string> keys) {
  if (health_ != TableHealth::kAvailable) return FailureReply();
  ++reads_;
  TableReply reply{TableReplyKind::kSuccess, {}, delay_};
  for (const std::string& key : keys) reply.rows.push_back(RowOf(key));
  return reply;
}

TableReply TableModel::Scan(std::string_view prefix, std::string_view from,
                            std::size_t limit) {
  if (health_ != TableHealth::kAvailable) return FailureReply();
  ++reads_;
  TableReply reply{TableReplyKind::kSuccess, {}, delay_};
  auto row = rows_.lower_bound(std::max(prefix, from));
  for (; row != rows_.end(); ++row) {
    if (reply.rows.size() >= limit || !row->first.starts_with(prefix)) break;
    reply.rows.push_back(row->second);
  }
  return reply;
}

TableReply TableModel::Write(std::span<const TableWrite> writes) {
  if (health_ != TableHealth::kAvailable) return FailureReply();
  ++writes_;
  TableReply reply{TableReplyKind::kSuccess, {}, delay_};
  const bool all_match = std::all_of(
      writes.begin(), writes.end(),
      [this](const TableWrite& write) { return VersionMatches(write); });
  if (!all_match) reply.kind = TableReplyKind::kConflict;
  for (const TableWrite& write : writes) {
    TableRow row = RowOf(write.key);
    if (all_match) {
      ++row.version;
      row.value = write.value;
      rows_[write.key] = row;
    }
    reply.rows.push_back(std::move(row));
  }
  if (all_match && responses_to_drop_ > 0) {
    --responses_to_drop_;
    reply.kind = TableReplyKind::kNoResponse;
  }
  return reply;
}

TableRow TableModel::RowOf(const std::string& key) const {
  const auto found = rows_.find(key);
  if (found == rows_.end()) return TableRow{key, 0, {}};
  return found->second;
}

bool TableModel::VersionMatches(const TableWrite& write) const {
  return RowOf(write.key).version == write.expected_version;
}

TableReply TableModel::FailureReply() const {
  const TableReplyKind kind = health_ == TableHealth::kOutage
                                  ? TableReplyKind::kUnavailable
                                  : TableReplyKind::kNoResponse;
  return TableReply{kind, {}, delay_};
}

}  // namespace lovagecleat::stand_ins
