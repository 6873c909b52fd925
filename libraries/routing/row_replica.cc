#include "routing/row_replica.h"

#include <algorithm>
#include <set>

namespace lovagecleat::routing {

namespace {

// Tombstones are kept so that an older version from a slow host cannot restore
// a removed row. Above this number of rows, the oldest tombstone is evicted.
constexpr std::size_t kMaximumRows = 20000;

}  // namespace

bool RowReplica::Merge(const Row& row) {
  const auto [found, is_new] = rows_.try_emplace({row.table, row.key}, row);
  if (!is_new && found->second.version >= row.version) return false;
  found->second = row;
  newest_version_ = std::max(newest_version_, row.version);
  EvictOldestTombstone();
  return true;
}

const Row* RowReplica::Find(const std::string& table,
                            const std::string& key) const {
  const auto found = rows_.find({table, key});
  return found == rows_.end() ? nullptr : &found->second;
}

std::vector<Row> RowReplica::MarkMissingRemoved(const std::string& table,
                                                std::span<const Row> present,
                                                RowVersion version) {
  std::set<std::string_view> keys;
  for (const Row& row : present) keys.insert(row.key);
  std::vector<Row> removed;
  for (auto& [key, row] : rows_) {
    if (row.table != table || row.is_removed || row.version > version) continue;
    if (row.version.era() < version.era()) continue;
    if (keys.contains(row.key)) continue;
    row.is_removed = true;
    row.value.clear();
    row.version = version;
    removed.push_back(row);
  }
  newest_version_ = std::max(newest_version_, version);
  return removed;
}

std::vector<Row> RowReplica::RowsBeforeEra(const std::string& table,
                                           std::uint64_t era) const {
  std::vector<Row> rows;
  for (const auto& [key, row] : rows_)
    if (row.table == table && !row.is_removed && row.version.era() < era)
      rows.push_back(row);
  return rows;
}

std::vector<Row> RowReplica::NewerThan(RowVersion version) const {
  std::vector<Row> rows;
  for (const auto& [key, row] : rows_)
    if (row.version > version) rows.push_back(row);
  return rows;
}

void RowReplica::EvictOldestTombstone() {
  if (rows_.size() <= kMaximumRows) return;
  auto oldest = rows_.end();
  for (auto it = rows_.begin(); it != rows_.end(); ++it) {
    if (!it->second.is_removed) continue;
    if (oldest == rows_.end() || it->second.version < oldest->second.version)
      oldest = it;
  }
  if (oldest != rows_.end()) rows_.erase(oldest);
}

}  // namespace lovagecleat::routing
