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

// Changes of one table between two versions of the store, as one host passes
// them on to the others of its zone.
struct TableChanges {
  std::string table;
  std::uint64_t after = 0;
  std::uint64_t version = 0;
  std::vector<routing::Row> rows;
  bool must_read = false;  // too large to be passed on
  Duration recovering{};   // removals are not final for this long
};

// Keeps a replica of the store's tables: reads each once, then follows its
// changes at a bounded pace, reads it again where the history is gone, and
// notices within a bounded time that the store is away.
//
// Calls to the store are paid for, so that only the first host of a zone goes
// on reading and feeds the others. The next ones in order stand in for it when
// nothing is heard of it, and every host reads by itself when nobody feeds it.
class RowFollower {
 public:
  using ApplyCallback = std::function<void(const routing::Row&, RowOrigin)>;
  using FeedCallback = std::function<void(std::span<const TableChanges>)>;

  RowFollower(Context& context, RowSource& source, ApplyCallback apply);
  ~RowFollower();
  RowFollower(const RowFollower&) = delete;
  RowFollower& operator=(const RowFollower&) = delete;

  void Start();

  // From then on what is read is passed on, too.
  void SetFeed(FeedCallback feed) { feed_ = std::move(feed); }

  // Place of this host among those of its zone that read (see ReadingRank).
  void SetRank(std::size_t rank);

  // What another host has read. A table that is named counts as fed for a
  // while, also where nothing in it has changed.
  void TakeFeed(std::span<const TableChanges> changes);

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

  bool has_read_hosts() const { return tables_.back().has_read; }

  const routing::RowReplica& replica() const { return replica_; }

 private:
  struct Table {
    std::string name;
    bool has_read = false;
    std::uint64_t position = 0;  // the store's version up to which it is known
    std::uint64_t heard_of = 0;  // the newest version that a feed named
    std::optional<TimePoint> failing_since;
    int failures_in_row = 0;
    std::uint64_t call = 0;  // the newest call; answers to others are void
    bool is_asking = false;  // a call or the pause before it
    TimerId timer;
    TimePoint fed_until{};  // whatever changes until then is passed on
    TimerId feed_timer;

    // There are changes that were neither read nor fed.
    bool IsBehind() const { return !has_read || position < heard_of; }
  };

  void Ask(Table& table);
  void OnAnswer(Table& table, std::uint64_t call, bool was_full_read,
                RowsAnswer answer);
  void OnUnavailable(Table& table);
  void OnServed(Table& table);
  void AskLater(Table& table, Duration delay);
  bool IsSlowTable(const Table& table) const;
  Duration WaitOf(const Table& table) const;
  Duration LongestWait() const;
  Duration GapOf(const Table& table) const;
  Duration PartOfChangeTime(double part) const;

  bool IsFed(const Table& table) const;
  // Whether this host reads the table for the others of its zone.
  bool IsReader(const Table& table) const;
  bool IsNews(const routing::Row& row) const;
  void PassOn(const Table& table, std::uint64_t after,
              std::vector<routing::Row> news);
  void TakeChanges(Table& table, const TableChanges& changes);

  Context& context_;
  RowSource& source_;
  ApplyCallback apply_;
  routing::RowReplica replica_;
  std::vector<Table> tables_;
  std::optional<TimePoint> recovering_until_;
  TimePoint started_at_;
  FeedCallback feed_;
  std::size_t rank_ = 0;
};

}  // namespace lovagecleat::gateway
