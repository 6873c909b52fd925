#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace lovagecleat::routing {

// One row of the platform's store. Versions come from one counter for the whole
// store, so they are comparable whether a row came from the store or a host.
struct Row {
  std::string table;
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool is_removed = false;
};

// Keeps the newest known version of each row, from the store or from another
// host. A row never goes back to an older version.
class RowReplica {
 public:
  // Returns true if the row is newer than the known one.
  bool Merge(const Row& row);

  // Returns null for an unknown row. A removed row is returned as a tombstone.
  const Row* Find(const std::string& table, const std::string& key) const;

  // Marks the rows of `table` that are not in `present` as removed. `version`
  // is the store's version at which `present` was read. Returns the rows that
  // changed.
  std::vector<Row> MarkMissingRemoved(const std::string& table,
                                      std::span<const Row> present,
                                      std::uint64_t version);

  // Returns all rows newer than `version`, including tombstones.
  std::vector<Row> NewerThan(std::uint64_t version) const;

  std::uint64_t newest_version() const { return newest_version_; }

 private:
  using Key = std::pair<std::string, std::string>;

  void EvictOldestTombstone();

  std::map<Key, Row> rows_;
  std::uint64_t newest_version_ = 0;
};

}  // namespace lovagecleat::routing
