#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace lovagecleat::routing {

// One row of the platform's store. Versions come from one counter of the whole
// store, so the higher one is the newer, wherever the row was learnt.
struct Row {
  std::string table;
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool is_removed = false;
};

// The newest known version of each row, whether it came from the store or from
// another host. Never goes back to an older version.
class RowReplica {
 public:
  // True if the row was news.
  bool Merge(const Row& row);

  // Null if the row was never known; a removed one is told as removed.
  const Row* Find(const std::string& table, const std::string& key) const;

  // Marks the rows of `table` that are not among `present` as removed, as of
  // the store's version of that reading. Returns those that were news.
  std::vector<Row> RemoveMissing(const std::string& table,
                                 std::span<const Row> present,
                                 std::uint64_t version);

  // All rows, removed ones too, newer than `version`.
  std::vector<Row> NewerThan(std::uint64_t version) const;

  std::uint64_t newest() const { return newest_; }

 private:
  using Key = std::pair<std::string, std::string>;

  void DropOldRemovals();

  std::map<Key, Row> rows_;
  std::uint64_t newest_ = 0;
};

}  // namespace lovagecleat::routing
