#include "policy/roster_lease.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::policy {

namespace {

// More epochs than this in a row without a settled one: nothing is used until
// the newest is settled.
constexpr std::size_t kMaximumBounds = 8;

Duration TimeToLeaveEpoch(const CreditSettings& settings) {
  return settings.roster_confirmation + settings.maximum_call_time +
         settings.clock_margin;
}

bool IsIn(const std::vector<HostId>& hosts, const HostId& host) {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

}  // namespace

RosterLease::RosterLease(HostId self, const CreditSettings& settings,
                         TimePoint start)
    : self_(std::move(self)), settings_(settings), start_(start) {}

void RosterLease::Adopt(const Roster& roster, TimePoint now) {
  if (roster.epoch <= epoch()) return;
  Advance(now);
  AddBound(now);
  WaitForOthers(roster);
  current_ = roster;
  confirmed_at_.reset();
  reports_.clear();
  is_bounded_ = true;
  // A host that was in the previous epoch ends it by adopting this one: no host
  // can confirm the previous epoch with all of its hosts any more. A host that
  // was not has to hear of one that did, or to wait for the end of the longest
  // mutual confirmation.
  previous_epoch_closed_ =
      roster.previous_hosts.empty() || IsIn(roster.previous_hosts, self_);
  whole_share_at_ = now + TimeToLeaveEpoch(settings_);
  if (!previous_epoch_closed_) whole_share_at_ += settings_.direct_confirmation;
  Advance(now);
}

void RosterLease::AddBound(TimePoint now) {
  if (!current_) return;
  if (!is_bounded_) bounds_.clear();
  if (bounds_.size() == kMaximumBounds) has_nothing_from_before_ = true;
  if (has_nothing_from_before_) return;
  const Part part = IsConfirmed(now) ? Part::kWhole : Part::kReservedHalf;
  bounds_.push_back({*current_, part});
}

// Hosts that were already reserved in an epoch that this host has settled have
// long left theirs; all others of any earlier epoch must report or run out.
void RosterLease::WaitForOthers(const Roster& next) {
  std::set<HostId> others(next.previous_hosts.begin(),
                          next.previous_hosts.end());
  others.insert(next.reserved_hosts.begin(), next.reserved_hosts.end());
  if (current_) {
    others.insert(current_->hosts.begin(), current_->hosts.end());
    for (const HostId& host : current_->reserved_hosts) {
      if (next.Reserves(host)) {
        others.erase(host);
      } else {
        others.insert(host);
      }
    }
  }
  others.erase(self_);
  waiting_for_.merge(others);
}

void RosterLease::Confirm(std::uint64_t epoch, TimePoint confirmed_at) {
  if (!current_ || epoch != current_->epoch) return;
  if (!confirmed_at_ || *confirmed_at_ < confirmed_at)
    confirmed_at_ = confirmed_at;
}

void RosterLease::ObservePeer(const HostId& host, std::uint64_t epoch,
                              bool settled, TimePoint now,
                              std::optional<TimePoint> as_of) {
  if (!current_) return;
  const bool was_there = IsIn(current_->previous_hosts, host);
  if (!previous_epoch_closed_ && was_there && epoch >= current_->epoch) {
    previous_epoch_closed_ = true;
    whole_share_at_ =
        std::min(whole_share_at_, now + TimeToLeaveEpoch(settings_));
  }
  // A host of a higher epoch says nothing of its use under this one.
  if (epoch == current_->epoch && settled) waiting_for_.erase(host);
  if (as_of && current_->Contains(host)) {
    PeerReport& report = reports_[host];
    if (epoch > report.epoch || as_of > report.as_of) report = {epoch, *as_of};
  }
  Advance(now);
}

void RosterLease::Advance(TimePoint now) {
  if (!current_ || !is_bounded_ || !current_->Contains(self_)) return;
  if (!waiting_for_.empty() && now < whole_share_at_) return;
  is_bounded_ = false;
  has_nothing_from_before_ = false;
  bounds_.clear();
  waiting_for_.clear();
}

std::uint32_t RosterLease::NominalShare(const ServerId& server,
                                        std::uint32_t limit) const {
  if (!current_) return 0;
  return ShareOf(*current_, self_, server, limit);
}

std::uint32_t RosterLease::BoundedShare(const ServerId& server,
                                        std::uint32_t limit) const {
  std::uint32_t share = NominalShare(server, limit);
  if (!is_bounded_) return share;
  if (has_nothing_from_before_) return 0;
  for (const Bound& bound : bounds_) {
    std::uint32_t before = ShareOf(bound.roster, self_, server, limit);
    // The share of a reserved host is the half already.
    const bool halve =
        bound.part == Part::kReservedHalf && !bound.roster.Reserves(self_);
    if (halve) before /= 2;
    share = std::min(share, before);
  }
  return share;
}

std::uint32_t RosterLease::Share(const ServerId& server, std::uint32_t limit,
                                 TimePoint now) const {
  if (!current_ || IsFresh(now)) return 0;
  const std::uint32_t share = BoundedShare(server, limit);
  if (IsConfirmed(now)) return share;
  if (now >= confirmed_at_.value_or(start_) + settings_.reservation) return 0;
  return current_->Reserves(self_) ? share : share / 2;
}

// All other hosts of the epoch still used it after the earliest of their
// reports, so none of them can have let a newer epoch take effect before.
std::optional<TimePoint> RosterLease::DirectProof(TimePoint now) const {
  if (!confirmed_at_ || !current_->Contains(self_)) return std::nullopt;
  TimePoint proof =
      std::min(now, *confirmed_at_ + settings_.direct_confirmation);
  for (const HostId& host : current_->hosts) {
    if (host == self_) continue;
    const auto report = reports_.find(host);
    if (report == reports_.end() || report->second.epoch != current_->epoch)
      return std::nullopt;
    proof = std::min(proof, report->second.as_of);
  }
  return proof;
}

std::optional<TimePoint> RosterLease::LastProof(TimePoint now) const {
  if (!current_) return std::nullopt;
  return std::max(confirmed_at_, DirectProof(now));
}

bool RosterLease::IsConfirmed(TimePoint now) const {
  const auto proof = LastProof(now);
  return proof && now < *proof + settings_.roster_confirmation;
}

TimePoint RosterLease::ShareValidUntil(TimePoint now) const {
  const auto proof = LastProof(now);
  if (proof && now < *proof + settings_.roster_confirmation)
    return *proof + settings_.roster_confirmation;
  return confirmed_at_.value_or(start_) + settings_.reservation;
}

bool RosterLease::IsFresh(TimePoint now) const {
  if (current_ && current_->origin == RosterOrigin::kAfterStart) return false;
  // The lease is part of it: an earlier incarnation may have lent just before
  // its end.
  return now < start_ + settings_.loan_lease + settings_.maximum_call_time +
                   settings_.clock_margin;
}

std::optional<TimePoint> RosterLease::NextDue() const {
  if (!current_ || !is_bounded_ || !current_->Contains(self_))
    return std::nullopt;
  return whole_share_at_;
}

}  // namespace lovagecleat::policy
