#include "services/gateway/kept_rows.h"

#include <algorithm>

namespace lovagecleat::gateway {

bool KeptRows::Keep(const routing::Row& known, const routing::Row& row) {
  switch (source_.SubjectOf(row).kind) {
    case RowSubject::Kind::kRouting: {
      const auto known_table = codec_.ReadRouting(known.value);
      if (known.is_removed || !known_table) return false;
      const auto table = codec_.ReadRouting(row.value);
      return row.is_removed || !table || table->version < known_table->version;
    }
    case RowSubject::Kind::kServer: {
      const std::pair<std::string, std::string> key(row.table, row.key);
      const bool is_older =
          !row.is_removed &&
          IsOlderServerEntry(known, row, servers_.contains(key));
      if (is_older) {
        servers_.insert(key);
      } else {
        servers_.erase(key);
      }
      return is_older;
    }
    case RowSubject::Kind::kEvacuation:
    case RowSubject::Kind::kHost:
    case RowSubject::Kind::kOther:
      return false;
  }
  return false;
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

bool KeptRows::HasRowsOf(const std::string& table) const {
  return std::any_of(servers_.begin(), servers_.end(),
                     [&](const auto& key) { return key.first == table; });
}

}  // namespace lovagecleat::gateway
