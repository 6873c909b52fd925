#include "routing/store_outage.h"

#include <algorithm>

namespace lovagecleat::routing {

namespace {

// Entries that expired during an outage of the store are written again within
// this time.
constexpr Duration kRecoveryTime = std::chrono::milliseconds(2000);
// No entry expires in an outage shorter than this.
constexpr Duration kMinOutage = std::chrono::milliseconds(1000);
// Leaves time to notice that a removal takes effect, and for requests that were
// sent just before to arrive.
constexpr Duration kRemovalMargin = std::chrono::milliseconds(500);

}  // namespace

void StoreOutage::OnReadFailed(TimePoint began_at) {
  failed_read_began_at_ =
      std::max(failed_read_began_at_.value_or(began_at), began_at);
}

void StoreOutage::OnReadSucceeded(TimePoint failing_since, TimePoint now) {
  if (now - failing_since >= kMinOutage) recovered_at_ = now + kRecoveryTime;
}

void StoreOutage::OnRecoveryReported(Duration recovery_time, TimePoint now) {
  const TimePoint until = now + recovery_time;
  recovered_at_ = std::max(recovered_at_.value_or(until), until);
}

Duration StoreOutage::RecoveryTime(TimePoint now) const {
  if (!recovered_at_) return Duration::zero();
  return std::max(*recovered_at_ - now, Duration::zero());
}

std::optional<TimePoint> StoreOutage::HoldRemovalUntil(
    TimePoint known_at, TimePoint now, const Bounds& bounds) const {
  if (!recovered_at_) return std::nullopt;
  // The server was removed later than `known_at`, and the outage ended later
  // than the start of the last failed read.
  TimePoint latest = known_at + bounds.change_delay;
  if (failed_read_began_at_)
    latest = std::max(latest, *failed_read_began_at_ + bounds.contact_timeout);
  const TimePoint until = std::min(*recovered_at_, latest - kRemovalMargin);
  return until > now ? std::optional(until) : std::nullopt;
}

}  // namespace lovagecleat::routing
