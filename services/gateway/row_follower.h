#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "services/gateway/context.h"
#include "services/gateway/wire.h"

namespace lovagecleat::gateway {

// How a row was learnt, which decides how far a removal is believed.
enum class RowOrigin {
  kStore,             // read while the store serves
  kStoreAfterOutage,  // read shortly after the store was away
  kPeer,              // from another host
};

// Keeps a replica of the store's tables: reads each once, then follows its
// changes at a bounded pace, reads it again where the history is gone, and
// notices within a bounded time that the store is away.
class RowFollower {
 public:
  using ApplyCallback = std::function<void(const routing::Row&, RowOrigin)>;

  RowFollower(Context& context, RowSource& source, ApplyCallback apply);
  ~RowFollower();
  RowFollower(const RowFollower&) = delete;
  RowFollower& operator=(const RowFollower&) = delete;

  void Start();

  // Rows from another host; older ones than known are passed over.
  void MergeFromPeer(std::span<const routing::Row> rows);

  // Whether the store has not served this host for a moment.
  bool is_away() const;

  // Removals of servers are not final before this instant.
  std::optional<TimePoint> recovering_until() const {
    return recovering_until_;
  }

  // The store's version up to which every table is known from the store.
  std::uint64_t known_version() const;

  const routing::RowReplica& replica() const { return replica_; }

 private:
  struct Table {
    std::string name;
    bool has_read = false;
    std::uint64_t position = 0;  // the store's version up to which it is known
    std::optional<TimePoint> failing_since;
    int failures_in_row = 0;
    std::uint64_t call = 0;  // the newest call; answers to others are void
    TimerId timer;
  };

  void Ask(Table& table);
  void OnAnswer(Table& table, std::uint64_t call, bool was_full_read,
                RowsAnswer answer);
  void OnUnavailable(Table& table);
  void OnServed(Table& table);
  void AskLater(Table& table, Duration delay);
  bool IsSlowTable(const Table& table) const;
  Duration WaitOf(const Table& table) const;
  Duration GapOf(const Table& table) const;

  Context& context_;
  RowSource& source_;
  ApplyCallback apply_;
  routing::RowReplica replica_;
  std::vector<Table> tables_;
  std::optional<TimePoint> recovering_until_;
  TimePoint started_at_;
};

}  // namespace lovagecleat::gateway
