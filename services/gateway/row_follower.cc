#include "services/gateway/row_follower.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// Least time between two reads of one table, as a fraction of the time within
// which changes must take effect. Leaves time for two reads and for applying
// the changes; more frequent reads would cost more.
constexpr double kReadIntervalFraction = 0.225;
// A host reads by itself after this fraction of that time without a feed, plus
// the step for each rank: the first hosts take over before all others call the
// store.
constexpr double kFeedTimeoutFraction = 0.35;
constexpr double kFeedTimeoutRankStep = 0.1;
constexpr std::size_t kMaxReaders = 3;
// Larger changes are read by each host: sending them to all others of a large
// zone would keep a host busy for seconds.
constexpr std::size_t kMaxFeedBytes = 16384;
// Long polls of the store are shorter than `store_contact_timeout` by this
// margin, so that a lost read is detected within it.
constexpr Duration kContactTimeoutMargin = milliseconds(1000);
constexpr Duration kMinLongPollTime = milliseconds(500);
// The hosts table changes rarely. A new host waits at least this long until the
// others know it.
constexpr Duration kHostsReadInterval = milliseconds(1000);
constexpr Duration kHostsLongPollTime = milliseconds(20000);
// A response that is later than this counts as lost.
constexpr Duration kReadTimeout = milliseconds(700);
constexpr Duration kRetryDelay = milliseconds(250);
constexpr Duration kMaxRetryDelay = milliseconds(1000);
constexpr double kRetryJitter = 0.3;
// After failing reads for this long the store counts as unavailable, and rows
// are fetched from other hosts.
constexpr Duration kUnavailableAfter = milliseconds(300);
// Servers write entries that a restore of the store has lost again within this
// time.
constexpr Duration kServerSettleTime = milliseconds(2000);
// Operators write what a restore of the store has lost again within seconds. An
// evacuation that stays in force for longer costs capacity only.
constexpr Duration kOperatorSettleTime = milliseconds(10000);
// A host that the store rejects for some time still has to be counted.
constexpr Duration kHostSettleTime = milliseconds(60000);
// A host that is fed does not see every write of a server, so it reads the
// table this often after a restore to find out which servers have written.
constexpr int kMaxKeptRowChecks = 3;

// Returns for how long a row that a restored store lacks stays in force;
// nothing if it always does.
std::optional<Duration> SettleTime(RowSubject::Kind kind) {
  switch (kind) {
    case RowSubject::Kind::kRouting:
      return std::nullopt;
    case RowSubject::Kind::kServer:
      return kServerSettleTime;
    case RowSubject::Kind::kHost:
      return kHostSettleTime;
    case RowSubject::Kind::kEvacuation:
    case RowSubject::Kind::kContentBlock:
    case RowSubject::Kind::kRollout:
    case RowSubject::Kind::kOther:
      return kOperatorSettleTime;
  }
  return std::nullopt;
}

}  // namespace

RowFollower::RowFollower(Context& context, RowSource& source,
                         ApplyCallback apply)
    : context_(context),
      source_(source),
      apply_(std::move(apply)),
      kept_rows_(context.codec, source),
      started_at_(context.Now()) {
  for (const std::string& name : source.tables()) {
    Table table;
    table.name = name;
    tables_.push_back(std::move(table));
  }
}

RowFollower::~RowFollower() {
  for (const Table& table : tables_) {
    context_.loop.Cancel(table.timer);
    context_.loop.Cancel(table.feed_timer);
  }
  for (const auto& [key, timer] : settle_timers_) context_.loop.Cancel(timer);
}

void RowFollower::Start() {
  started_at_ = context_.Now();
  for (Table& table : tables_) Read(table);
}

void RowFollower::Read(Table& table) {
  const std::uint64_t read_id = ++table.read_id;
  table.is_reading = true;
  table.read_began_at = context_.Now();
  const bool is_full_read = MustReadAll(table);
  // The first read after a failure does not wait for a change, which would tell
  // that the store is available as much later.
  const bool is_long_poll = !is_full_read && !table.failing_since;
  const Duration wait = is_long_poll ? LongPollTime(table) : Duration::zero();
  const Duration timeout = kReadTimeout + wait;
  context_.loop.Cancel(table.timer);
  table.timer = context_.loop.After(timeout, [this, &table] {
    ++table.read_id;
    OnReadFailed(table);
  });
  auto on_complete = [this, &table, read_id,
                      is_full_read](RowsResponse response) {
    OnReadComplete(table, read_id, is_full_read, std::move(response));
  };
  if (is_full_read) {
    source_.ReadAll(table.name, std::move(on_complete));
  } else {
    source_.Follow(table.name, table.position, wait, std::move(on_complete));
  }
}

void RowFollower::ScheduleRead(Table& table, Duration delay) {
  context_.loop.Cancel(table.timer);
  table.is_reading = true;
  table.timer = context_.loop.After(delay, [this, &table] { Read(table); });
}

void RowFollower::OnReadComplete(Table& table, std::uint64_t read_id,
                                 bool was_full_read, RowsResponse response) {
  if (read_id != table.read_id) return;
  switch (response.status) {
    case RowsResponse::Status::kUnavailable:
      return OnReadFailed(table);
    case RowsResponse::Status::kHistoryGone:
      // A full read needs no history, so this response is invalid.
      if (was_full_read) return OnReadFailed(table);
      context_.log.Write("history_gone", "", {{"table", table.name}});
      table.has_read = false;
      return Read(table);
    case RowsResponse::Status::kRead:
      break;
  }
  const std::uint64_t era = response.version.era();
  // The response was sent before the store was restored.
  if (era < store_era_) return OnReadFailed(table);
  if (era > store_era_) BeginEra(era, EraOrigin::kStore, &table);
  // The changes between two eras are not known.
  if (!was_full_read && era != table.position.era()) return Read(table);
  OnReadSucceeded(table);
  const RowOrigin origin = DecideRemovals(table);
  // A feed has brought a newer version meanwhile. It omits rows that have
  // changed back since, whose earlier changes must not be applied after it.
  if (!was_full_read && response.version < table.position)
    response.rows.clear();
  std::vector<routing::Row> changed_rows;
  for (const routing::Row& row : response.rows) {
    if (HasChanged(row)) changed_rows.push_back(row);
    const routing::Row* known = replica_.Find(row.table, row.key);
    if (known != nullptr && known->version < row.version)
      peer_rows_.erase({row.table, row.key});
    Merge(row, origin);
  }
  if (was_full_read) {
    for (const routing::Row& row : replica_.MarkMissingRemoved(
             table.name, response.rows, response.version))
      apply_(row, origin);
    // Removals learnt from a peer may be unknown to the hosts that are fed.
    for (routing::Row& row : replica_.NewerThan(table.position))
      if (row.table == table.name && row.is_removed)
        changed_rows.push_back(std::move(row));
  }
  const routing::RowVersion before = table.position;
  // A feed may have brought a newer version in the meantime.
  table.position = std::max(before, response.version);
  table.known_at = context_.Now();
  const bool is_first =
      !std::exchange(table.has_read, true) && before == routing::RowVersion();
  if (was_full_read) {
    table.must_read_all = false;
    StartSettling(table, era != before.era());
  }
  if (!is_first) PublishChanges(table, before, std::move(changed_rows));
  context_.loop.Cancel(table.timer);
  table.is_reading = false;
  if (!IsFed(table) || table.IsBehind())
    ScheduleRead(table, ReadInterval(table));
}

// Rows of an older version, and those that state older content after a restore,
// have no effect.
void RowFollower::Merge(const routing::Row& row, RowOrigin origin) {
  const routing::Row* known = replica_.Find(row.table, row.key);
  if (known != nullptr) {
    if (known->version >= row.version) return;
    if (kept_rows_.Keep(*known, row)) {
      routing::Row kept = *known;
      kept.version = row.version;
      replica_.Merge(kept);
      return;
    }
  }
  replica_.Merge(row);
  apply_(row, origin);
}

void RowFollower::OnReadSucceeded(Table& table) {
  if (!table.failing_since) return;
  const TimePoint now = context_.Now();
  const auto failing_since = std::exchange(table.failing_since, std::nullopt);
  table.consecutive_failures = 0;
  context_.log.Write(
      "store_regained", "",
      {{"table", table.name}, {"away_ms", Milliseconds(now - *failing_since)}});
  outage_.OnReadSucceeded(*failing_since, now);
}

RowOrigin RowFollower::DecideRemovals(const Table& table) {
  const configuration::GatewayLimits& limits = context_.settings.limits;
  removals_held_until_ = outage_.HoldRemovalUntil(
      table.known_at, context_.Now(),
      {limits.store_contact_timeout, limits.maximum_change_delay});
  return removals_held_until_ ? RowOrigin::kStoreAfterOutage
                              : RowOrigin::kStore;
}

void RowFollower::OnReadFailed(Table& table) {
  outage_.OnReadFailed(table.read_began_at);
  if (IsFed(table) && !table.IsBehind()) {
    // Another host reads the table for this one.
    context_.loop.Cancel(table.timer);
    table.is_reading = false;
    table.failing_since.reset();
    return;
  }
  if (!table.failing_since) {
    table.failing_since = context_.Now();
    context_.log.Write("store_lost", "",
                       {{"table", table.name},
                        {"version", table.position.number()},
                        {"store_era", table.position.era()}});
  }
  context_.metrics.Count("lovagecleat_store_failures_total",
                         {{"table", table.name}});
  // Exponential backoff, since refused calls are charged as well.
  Duration delay = kRetryDelay;
  for (int i = 0; i < table.consecutive_failures && delay < kMaxRetryDelay; ++i)
    delay *= 2;
  ++table.consecutive_failures;
  ScheduleRead(table, context_.random.Jitter(std::min(delay, kMaxRetryDelay),
                                             kRetryJitter));
}

// --- Eras of the store ------------------------------------------------------

bool RowFollower::MustReadAll(const Table& table) const {
  return !table.has_read || table.must_read_all ||
         table.position.era() < store_era_;
}

void RowFollower::BeginEra(std::uint64_t era, EraOrigin origin,
                           const Table* current) {
  const std::uint64_t before = std::exchange(store_era_, era);
  context_.metrics.SetGauge("lovagecleat_store_era", {},
                            static_cast<double>(era));
  for (Table& table : tables_)
    table.announced_version =
        std::max(table.announced_version, routing::RowVersion(era, 0));
  const bool knows_older_era =
      replica_.newest_version() != routing::RowVersion() ||
      std::any_of(tables_.begin(), tables_.end(),
                  [](const Table& table) { return table.has_read; });
  if (!knows_older_era) return;
  context_.log.Write("store_era", "",
                     {{"store_era", era},
                      {"before", before},
                      {"origin", static_cast<int>(origin)}});
  context_.metrics.Count("lovagecleat_store_era_changes_total");
  for (Table& table : tables_) {
    table.kept_row_checks = 0;
    const bool is_started = table.read_id > 0;
    if (is_started && &table != current) Read(table);
  }
}

void RowFollower::StartSettling(Table& table, bool is_new_era) {
  std::set<RowSubject::Kind> kinds;
  for (const routing::Row& row :
       replica_.RowsBeforeEra(table.name, table.position.era()))
    kinds.insert(source_.SubjectOf(row).kind);
  if (kept_rows_.HasServersOf(table.name))
    kinds.insert(RowSubject::Kind::kServer);
  for (const RowSubject::Kind kind : kinds)
    if (is_new_era || !settle_timers_.contains({table.name, kind}))
      ScheduleSettling(table, kind);
}

void RowFollower::ScheduleSettling(Table& table, RowSubject::Kind kind) {
  const std::optional<Duration> time = SettleTime(kind);
  if (!time) return;
  TimerId& timer = settle_timers_[{table.name, kind}];
  context_.loop.Cancel(timer);
  timer = context_.loop.After(
      *time, [this, &table, kind] { EndSettling(table, kind); });
}

void RowFollower::EndSettling(Table& table, RowSubject::Kind kind) {
  // The owners of the rows could not write them while the store was away, and
  // an era that was not read may contain them.
  if (table.failing_since || table.position.era() < store_era_)
    return ScheduleSettling(table, kind);
  settle_timers_.erase({table.name, kind});
  for (routing::Row& row :
       replica_.RowsBeforeEra(table.name, table.position.era())) {
    if (source_.SubjectOf(row).kind != kind) continue;
    row.is_removed = true;
    row.value.clear();
    row.version = table.position;
    Merge(row, RowOrigin::kStore);
  }
  if (kind != RowSubject::Kind::kServer || !IsFed(table) ||
      !kept_rows_.HasServersOf(table.name) ||
      table.kept_row_checks >= kMaxKeptRowChecks)
    return;
  ++table.kept_row_checks;
  table.must_read_all = true;
  Read(table);
}

std::optional<std::uint64_t> RowFollower::hosts_era() const {
  const Table& hosts = tables_.back();
  if (!hosts.has_read) return std::nullopt;
  return hosts.position.era();
}

// RowSource::tables lists the hosts table last.
bool RowFollower::IsHostsTable(const Table& table) const {
  return &table == &tables_.back();
}

Duration RowFollower::LongPollTime(const Table& table) const {
  if (IsHostsTable(table)) return kHostsLongPollTime;
  // Hosts that are fed detect an outage of the store by the missing feed.
  if (&table == &tables_.front()) return MaxLongPollTime();
  return FractionOfChangeDelay(kReadIntervalFraction);
}

Duration RowFollower::MaxLongPollTime() const {
  return std::max(
      context_.settings.limits.store_contact_timeout - kContactTimeoutMargin,
      kMinLongPollTime);
}

Duration RowFollower::ReadInterval(const Table& table) const {
  return IsHostsTable(table) ? kHostsReadInterval
                             : FractionOfChangeDelay(kReadIntervalFraction);
}

Duration RowFollower::FractionOfChangeDelay(double fraction) const {
  return Duration(static_cast<std::int64_t>(
      fraction * static_cast<double>(
                     context_.settings.limits.maximum_change_delay.count())));
}

// --- Feeds between the hosts of a zone --------------------------------------

void RowFollower::SetRank(std::size_t rank) {
  if (rank == rank_) return;
  context_.log.Write("reading_rank", "", {{"rank", rank}, {"before", rank_}});
  rank_ = rank;
  if (rank_ > 0) return;
  for (Table& table : tables_)
    if (!table.is_reading) Read(table);
}

// The first host reads even if others send it feeds.
bool RowFollower::IsFed(const Table& table) const {
  return rank_ > 0 && table.fed_until > context_.Now();
}

bool RowFollower::IsReader(const Table& table) const {
  return rank_ < kMaxReaders && table.has_read && !table.failing_since &&
         table.position.era() == store_era_ && !IsFed(table);
}

// Returns whether the row differs from the known one in a way that matters to
// other hosts. A server's entry is written with every heartbeat, mostly without
// another change.
bool RowFollower::HasChanged(const routing::Row& row) const {
  const routing::Row* before = replica_.Find(row.table, row.key);
  if (before == nullptr || before->is_removed != row.is_removed) return true;
  // Known from another host, which may have kept it from an older era; the
  // hosts that are fed may not have it.
  if (before->version >= row.version ||
      peer_rows_.contains({row.table, row.key}))
    return true;
  // The hosts that are fed may know other content than this host has kept, or
  // wait for a row that was missing in a restored store.
  if (kept_rows_.IsKept(row) || before->version.era() != row.version.era())
    return true;
  if (row.is_removed) return false;
  if (source_.SubjectOf(row).kind != RowSubject::Kind::kServer)
    return before->value != row.value;
  const auto known = context_.codec.ReadServer(row.key, before->value);
  auto entry = context_.codec.ReadServer(row.key, row.value);
  if (known && entry) entry->sequence = known->sequence;
  return known != entry;
}

void RowFollower::PublishChanges(const Table& table, routing::RowVersion after,
                                 std::vector<routing::Row> changed_rows) {
  if (!feed_ || !IsReader(table)) return;
  std::vector<TableChanges> changes = {
      {table.name, after, table.position, std::move(changed_rows)}};
  TableChanges& first = changes.front();
  std::size_t bytes = 0;
  for (const routing::Row& row : first.rows)
    bytes += row.key.size() + row.value.size();
  if (bytes > kMaxFeedBytes || after.era() != table.position.era()) {
    first.rows.clear();
    first.must_read = true;
  }
  first.recovering = outage_.RecoveryTime(context_.Now());
  // Tables with a long poll in progress have not changed.
  for (const Table& other : tables_)
    if (&other != &table && IsReader(other))
      changes.push_back({other.name, other.position, other.position, {}});
  feed_(changes);
}

void RowFollower::ApplyFeed(std::span<const TableChanges> changes) {
  for (const TableChanges& change : changes)
    for (Table& table : tables_)
      if (table.name == change.table) ApplyChanges(table, change);
}

// A sender feeds what differs between two of its own reads. A row that changed
// twice in between may be omitted, while this host knows the first change.
bool RowFollower::OmitsKnownChange(const TableChanges& changes) const {
  const std::vector<routing::Row> known = replica_.NewerThan(changes.after);
  return std::any_of(known.begin(), known.end(), [&](const auto& row) {
    return row.table == changes.table &&
           std::none_of(changes.rows.begin(), changes.rows.end(),
                        [&](const auto& fed) { return fed.key == row.key; });
  });
}

void RowFollower::ApplyChanges(Table& table, const TableChanges& changes) {
  const std::uint64_t era = changes.version.era();
  // The sender has not seen that the store was restored.
  if (era < store_era_) return;
  if (era > store_era_) BeginEra(era, EraOrigin::kFeed, nullptr);
  if (rank_ > 0) {
    table.fed_until =
        context_.Now() + FractionOfChangeDelay(kFeedTimeoutFraction +
                                               kFeedTimeoutRankStep *
                                                   static_cast<double>(std::min(
                                                       rank_, kMaxReaders)));
    context_.loop.Cancel(table.feed_timer);
    table.feed_timer = context_.loop.At(table.fed_until, [this, &table] {
      if (!table.is_reading) Read(table);
    });
  }
  if (!table.has_read || changes.version <= table.position) return;
  if (changes.recovering > Duration::zero())
    outage_.OnRecoveryReported(changes.recovering, context_.Now());
  const RowOrigin origin = DecideRemovals(table);
  for (const routing::Row& row : changes.rows) Merge(row, origin);
  table.announced_version = std::max(table.announced_version, changes.version);
  if (!changes.must_read && era == table.position.era() &&
      changes.after <= table.position && !OmitsKnownChange(changes)) {
    table.position = changes.version;
    table.known_at = context_.Now();
  }
  // Missing changes are read from the store, unless a read is in progress.
  if (table.IsBehind() && !table.is_reading) Read(table);
}

bool RowFollower::is_store_unavailable() const {
  const TimePoint now = context_.Now();
  for (const Table& table : tables_) {
    if (table.failing_since && now - *table.failing_since >= kUnavailableAfter)
      return true;
    if (!table.has_read && now - started_at_ >= kUnavailableAfter) return true;
  }
  return false;
}

routing::RowVersion RowFollower::known_version() const {
  std::optional<routing::RowVersion> version;
  for (const Table& table : tables_) {
    if (!table.has_read) return {};
    version = std::min(version.value_or(table.position), table.position);
  }
  return version.value_or(routing::RowVersion());
}

void RowFollower::MergeFromPeer(std::span<const routing::Row> rows) {
  std::uint64_t era = store_era_;
  for (const routing::Row& row : rows) era = std::max(era, row.version.era());
  if (era > store_era_) BeginEra(era, EraOrigin::kPeer, nullptr);
  for (const routing::Row& row : rows) {
    if (!IsAcceptableFromPeer(row)) continue;
    peer_rows_.insert({row.table, row.key});
    Merge(row, RowOrigin::kPeer);
  }
}

// Once a table was read, everything up to its position is known here: a row up
// to there that is unknown was removed. A row of an older era that the restored
// store lacks is in force only until it would lapse here as well.
bool RowFollower::IsAcceptableFromPeer(const routing::Row& row) const {
  for (const Table& table : tables_)
    if (table.name == row.table &&
        (MustReadAll(table) || row.version > table.position))
      return true;
  return row.version.era() < store_era_ &&
         settle_timers_.contains({row.table, source_.SubjectOf(row).kind});
}

}  // namespace lovagecleat::gateway
