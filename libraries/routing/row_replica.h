#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace lovagecleat::routing {

// A version of the platform's store. Numbers come from one counter for the
// whole store. A store that is restored from an older copy begins a new era and
// gives numbers out again, so numbers of different eras are not comparable.
class RowVersion {
 public:
  RowVersion() = default;
  RowVersion(std::uint64_t era, std::uint64_t number)
      : era_(era), number_(number) {}

  std::uint64_t era() const { return era_; }
  std::uint64_t number() const { return number_; }

  // NOTE: clang-tidy 14 reports a null pointer in the generated comparison.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const RowVersion&, const RowVersion&) = default;

 private:
  std::uint64_t era_ = 0;
  std::uint64_t number_ = 0;
};

// One row of the platform's store, read from it or received from a host.
struct Row {
  std::string table;
  std::string key;
  std::string value;
  RowVersion version;
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

  // Marks the rows of `table` that are not in `present` as removed, except
  // those of older eras. `version` is the store's version at which `present`
  // was read. Returns the rows that changed.
  std::vector<Row> MarkMissingRemoved(const std::string& table,
                                      std::span<const Row> present,
                                      RowVersion version);

  // Returns the rows of `table` of eras older than `era`, without tombstones.
  std::vector<Row> RowsBeforeEra(const std::string& table,
                                 std::uint64_t era) const;

  // Returns all rows newer than `version`, including tombstones.
  std::vector<Row> NewerThan(RowVersion version) const;

  RowVersion newest_version() const { return newest_version_; }

 private:
  using Key = std::pair<std::string, std::string>;

  void EvictOldestTombstone();

  std::map<Key, Row> rows_;
  RowVersion newest_version_;
};

}  // namespace lovagecleat::routing
