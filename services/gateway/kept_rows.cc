#include "services/gateway/kept_rows.h"

#include <algorithm>

namespace lovagecleat::gateway {

namespace {

// Orders of one service that are remembered.
constexpr std::size_t kMaximumEarlierOrders = 64;

}  // namespace

bool KeptRows::Keep(const routing::Row& known, const routing::Row& row) {
  const Key key(row.table, row.key);
  const RowSubject::Kind kind = source_.SubjectOf(row).kind;
  bool is_older = false;
  switch (kind) {
    case RowSubject::Kind::kRouting:
      is_older = IsOlderTable(known, row);
      break;
    case RowSubject::Kind::kServer:
      is_older = !row.is_removed &&
                 IsOlderServerEntry(known, row, kept_.contains(key));
      break;
    case RowSubject::Kind::kRollout:
      is_older = IsEarlierOrder(known, row);
      break;
    case RowSubject::Kind::kEvacuation:
    case RowSubject::Kind::kHost:
    case RowSubject::Kind::kContentBlock:
    case RowSubject::Kind::kOther:
      break;
  }
  if (is_older) {
    kept_.insert_or_assign(key, kind);
  } else {
    kept_.erase(key);
  }
  return is_older;
}

// Operators write again what the store has lost. An order that was not there
// before is a new one, also if it is the first row of an era.
bool KeptRows::IsEarlierOrder(const routing::Row& known,
                              const routing::Row& row) {
  if (known.is_removed || row.is_removed || row.value == known.value)
    return false;
  std::map<std::string, std::uint64_t>& earlier =
      earlier_orders_[{row.table, row.key}];
  const auto found = earlier.find(row.value);
  if (row.version.era() != known.version.era() && found != earlier.end() &&
      row.version.number() <= found->second)
    return true;
  if (earlier.size() >= kMaximumEarlierOrders) earlier.clear();
  earlier[known.value] = known.version.number();
  return false;
}

bool KeptRows::IsOlderTable(const routing::Row& known,
                            const routing::Row& row) const {
  const auto before = codec_.ReadRouting(known.value);
  if (known.is_removed || !before) return false;
  const auto after = codec_.ReadRouting(row.value);
  return row.is_removed || !after || after->version < before->version;
}

// Within one era the store orders the entries. Of two entries from different
// eras, or of the entries after a kept one, the server's own order counts.
bool KeptRows::IsOlderServerEntry(const routing::Row& known,
                                  const routing::Row& row, bool is_kept) const {
  const bool is_other_era = row.version.era() != known.version.era();
  if (!is_other_era && !is_kept) return false;
  // A later version of the new era shows that the server is alive.
  if (known.is_removed) return is_other_era;
  const auto before = codec_.ReadServer(row.key, known.value);
  const auto after = codec_.ReadServer(row.key, row.value);
  if (!before || !after) return false;
  const bool ends_drain = before->is_draining && !after->is_draining;
  if (before->started_unix_ms == after->started_unix_ms) {
    if (before->sequence && after->sequence)
      return *after->sequence < *before->sequence ||
             (ends_drain && *after->sequence == *before->sequence);
    return is_other_era && ends_drain;
  }
  // Clocks of two machines may differ, so an entry of another incarnation that
  // was written in the new era counts in any case.
  if (!is_other_era) return false;
  return after->started_unix_ms == 0
             ? ends_drain
             : after->started_unix_ms < before->started_unix_ms;
}

bool KeptRows::IsKept(const routing::Row& row) const {
  return kept_.contains({row.table, row.key});
}

bool KeptRows::HasServersOf(const std::string& table) const {
  return std::any_of(kept_.begin(), kept_.end(), [&](const auto& entry) {
    return entry.first.first == table &&
           entry.second == RowSubject::Kind::kServer;
  });
}

}  // namespace lovagecleat::gateway
