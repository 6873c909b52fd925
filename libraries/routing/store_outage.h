#pragma once

#include <optional>

#include "base/base.h"

namespace lovagecleat::routing {

// Decides how long a server whose entry was removed is kept after an outage of
// the store.
//
// Servers cannot renew their entries while the store is away, so entries of
// running servers expire and are written again shortly after its return. A host
// cannot tell such an outage from one of its own path to the store, during
// which servers leave for good. So a removal is held back only as long as the
// host may act on stale state anyway.
class StoreOutage {
 public:
  struct Bounds {
    // A host that was cut off from the store may act on stale state for this
    // long after the cut.
    Duration contact_timeout;
    // Changes must take effect within this time at all other hosts.
    Duration change_delay;
  };

  // A read that began at `began_at` has failed.
  void OnReadFailed(TimePoint began_at);

  // A read has succeeded after all reads since `failing_since` had failed. Has
  // no effect if that was too short for entries to expire.
  void OnReadSucceeded(TimePoint failing_since, TimePoint now);

  // The host that reads the store for this one has seen an outage, after which
  // entries may still return for `recovery_time`.
  void OnRecoveryReported(Duration recovery_time, TimePoint now);

  // Returns for how long entries may still return; zero if there was no outage.
  Duration RecoveryTime(TimePoint now) const;

  // Returns until when a removal that was learned at `now` is held back;
  // nothing if it takes effect at once. `known_at`: the last time before at
  // which this host knew of all changes.
  std::optional<TimePoint> HoldRemovalUntil(TimePoint known_at, TimePoint now,
                                            const Bounds& bounds) const;

 private:
  // Start of the latest read that failed. The outage ended after it.
  std::optional<TimePoint> failed_read_began_at_;
  std::optional<TimePoint> recovered_at_;  // entries have returned by then
};

}  // namespace lovagecleat::routing
