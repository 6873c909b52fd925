#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "services/gateway/context.h"
#include "services/gateway/kept_rows.h"
#include "services/gateway/message_codec.h"

namespace lovagecleat::gateway {

// Source of a row. Decides whether a removal takes effect at once.
enum class RowOrigin {
  kStore,             // read while the store is available
  kStoreAfterOutage,  // read shortly after an outage of the store
  kPeer,              // from another host
};

// Changes of one table between two versions of the store, as a reading host
// sends them to the other hosts of its zone.
struct TableChanges {
  std::string table;
  routing::RowVersion after;
  routing::RowVersion version;
  std::vector<routing::Row> rows;
  bool must_read = false;  // too large for the feed; read them from the store
  Duration recovering{};   // removed entries may return for this long
};

// Keeps a replica of the store's tables: reads each table once, then follows
// its changes at a limited rate, reads it again if the store no longer has the
// history, and detects an outage of the store within a bounded time.
//
// Calls to the store cost money, so only the first host of a zone keeps reading
// and sends the others a feed of the changes. The next hosts in order take over
// when its feed stops, and a host that gets no feed reads by itself.
//
// After a restore of the store from an older copy each table is read again in
// full; rows that the copy lacks stay in force for a time.
class RowFollower {
 public:
  using ApplyCallback = std::function<void(const routing::Row&, RowOrigin)>;
  using FeedCallback = std::function<void(std::span<const TableChanges>)>;

  RowFollower(Context& context, RowSource& source, ApplyCallback apply);
  ~RowFollower();
  RowFollower(const RowFollower&) = delete;
  RowFollower& operator=(const RowFollower&) = delete;

  void Start();

  // Sets the callback that sends changes read from the store to other hosts.
  void SetFeedCallback(FeedCallback feed) { feed_ = std::move(feed); }

  // Sets this host's rank among the readers of its zone (see StoreReaderRank).
  void SetRank(std::size_t rank);

  // Applies changes that another host has read. Each table named counts as fed
  // until the feed timeout, even if it has no changes.
  void ApplyFeed(std::span<const TableChanges> changes);

  // Merges rows from another host; ignores rows older than the known ones, and
  // unknown ones that this host knows to be removed or would not keep itself.
  void MergeFromPeer(std::span<const routing::Row> rows);

  // Returns whether reads of some table have failed for some hundred
  // milliseconds.
  bool is_store_unavailable() const;

  // Until when the removals that are being applied are held back, if their
  // origin is kStoreAfterOutage.
  std::optional<TimePoint> removals_held_until() const {
    return removals_held_until_;
  }

  // Returns the store's version up to which every table is known.
  routing::RowVersion known_version() const;

  // Returns the era in which the hosts table was read; nothing before.
  std::optional<std::uint64_t> hosts_era() const;

  bool has_read_hosts() const { return tables_.back().has_read; }

  const routing::RowReplica& replica() const { return replica_; }

 private:
  struct Table {
    std::string name;
    bool has_read = false;
    // The store's version up to which the table is known.
    routing::RowVersion position;
    routing::RowVersion announced_version;  // the newest one named by a feed
    TimePoint read_began_at{};              // the newest read
    // When this host last learned of all changes, from the store or a feed.
    TimePoint known_at{};
    std::optional<TimePoint> failing_since;
    int consecutive_failures = 0;
    std::uint64_t read_id = 0;  // the newest read; others are ignored
    bool is_reading = false;    // a read is in progress or scheduled
    bool must_read_all = false;
    int kept_row_checks = 0;  // in this era
    TimerId timer;
    TimePoint fed_until{};  // a feed is expected to name the table before this
    TimerId feed_timer;

    // Returns whether there are changes that were neither read nor fed.
    bool IsBehind() const { return !has_read || position < announced_version; }
  };

  // Where this host learned of a new era.
  enum class EraOrigin { kStore, kFeed, kPeer };

  void Read(Table& table);
  void OnReadComplete(Table& table, std::uint64_t read_id, bool was_full_read,
                      RowsResponse response);
  void OnReadFailed(Table& table);
  void OnReadSucceeded(Table& table);
  void ScheduleRead(Table& table, Duration delay);
  bool MustReadAll(const Table& table) const;
  // Begins a newer era: all tables but `current`, which is being read in it,
  // are read again.
  void BeginEra(std::uint64_t era, EraOrigin origin, const Table* current);
  void StartSettling(Table& table, bool is_new_era);
  void ScheduleSettling(Table& table, RowSubject::Kind kind);
  void EndSettling(Table& table, RowSubject::Kind kind);
  void Merge(const routing::Row& row, RowOrigin origin);
  // Decides when removals that are learned now take effect, and returns their
  // origin.
  RowOrigin DecideRemovals(const Table& table);
  bool IsAcceptableFromPeer(const routing::Row& row) const;
  bool IsHostsTable(const Table& table) const;
  Duration LongPollTime(const Table& table) const;
  Duration MaxLongPollTime() const;
  Duration ReadInterval(const Table& table) const;
  Duration FractionOfChangeDelay(double fraction) const;

  bool IsFed(const Table& table) const;
  // Returns whether this host reads the table for the others of its zone.
  bool IsReader(const Table& table) const;
  bool HasChanged(const routing::Row& row) const;
  void PublishChanges(const Table& table, routing::RowVersion after,
                      std::vector<routing::Row> changed_rows);
  bool OmitsKnownChange(const TableChanges& changes) const;
  void ApplyChanges(Table& table, const TableChanges& changes);

  Context& context_;
  RowSource& source_;
  ApplyCallback apply_;
  routing::RowReplica replica_;
  KeptRows kept_rows_;
  // Table and key of rows that were last learned from another host.
  std::set<std::pair<std::string, std::string>> peer_rows_;
  std::vector<Table> tables_;
  std::uint64_t store_era_ = 0;  // the newest known one
  // End of the time for which rows of older eras stay in force that are missing
  // in the restored store, by table and kind.
  std::map<std::pair<std::string, RowSubject::Kind>, TimerId> settle_timers_;
  routing::StoreOutage outage_;
  std::optional<TimePoint> removals_held_until_;
  TimePoint started_at_;
  FeedCallback feed_;
  std::size_t rank_ = 0;
};

}  // namespace lovagecleat::gateway
