#include "policy/roster_lease.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::policy {

namespace {

// After more than this many unsettled epochs in a row, the share is 0 until the
// newest epoch is settled.
constexpr std::size_t kMaximumPriorEpochs = 8;

// How long calls under an epoch may still run after its last confirmation.
Duration EpochDrainTime(const CreditSettings& settings) {
  return settings.confirmation_validity + settings.maximum_call_time +
         settings.clock_margin;
}

bool ContainsHost(const std::vector<HostId>& hosts, const HostId& host) {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

}  // namespace

RosterLease::RosterLease(HostId self, const CreditSettings& settings,
                         TimePoint start)
    : self_(std::move(self)), settings_(settings), start_(start) {}

void RosterLease::Adopt(const Roster& roster, TimePoint now) {
  if (roster.epoch <= epoch()) return;
  TakeFullShareIfDue(now);
  AddPriorEpoch(now);
  AddPendingHosts(roster);
  current_ = roster;
  confirmed_at_.reset();
  peer_reports_.clear();
  is_limited_by_prior_epochs_ = true;
  // A member of the previous epoch closes it by adopting this one, since no
  // host can confirm the previous epoch with all of its members any more. A
  // host that was no member needs a report from a member that did, or waits for
  // the end of the longest mutual confirmation.
  is_previous_epoch_closed_ = roster.previous_hosts.empty() ||
                              ContainsHost(roster.previous_hosts, self_);
  full_share_at_ = now + EpochDrainTime(settings_);
  if (!is_previous_epoch_closed_)
    full_share_at_ += settings_.mutual_confirmation;
  TakeFullShareIfDue(now);
}

void RosterLease::AddPriorEpoch(TimePoint now) {
  if (!current_) return;
  if (!is_limited_by_prior_epochs_) prior_epochs_.clear();
  if (prior_epochs_.size() == kMaximumPriorEpochs) has_no_prior_share_ = true;
  if (has_no_prior_share_) return;
  const Fraction fraction =
      IsConfirmed(now) ? Fraction::kFull : Fraction::kHalf;
  prior_epochs_.push_back({*current_, fraction});
}

// A host that is reserved in `next` and was reserved in an epoch that this host
// has settled left its earlier epochs before. All other hosts of earlier epochs
// must report that they have settled `next`, or their use must expire.
void RosterLease::AddPendingHosts(const Roster& next) {
  std::set<HostId> others(next.previous_hosts.begin(),
                          next.previous_hosts.end());
  others.insert(next.reserved_hosts.begin(), next.reserved_hosts.end());
  if (current_) {
    others.insert(current_->hosts.begin(), current_->hosts.end());
    for (const HostId& host : current_->reserved_hosts) {
      if (next.IsReserved(host)) {
        others.erase(host);
      } else {
        others.insert(host);
      }
    }
  }
  others.erase(self_);
  pending_hosts_.merge(others);
}

void RosterLease::Confirm(std::uint64_t epoch, TimePoint confirmed_at) {
  if (!current_ || epoch != current_->epoch) return;
  if (!confirmed_at_ || *confirmed_at_ < confirmed_at)
    confirmed_at_ = confirmed_at;
}

void RosterLease::ObservePeer(const HostId& host, std::uint64_t epoch,
                              bool settled, TimePoint now,
                              std::optional<TimePoint> sent_not_before) {
  if (!current_) return;
  const bool was_in_previous_epoch =
      ContainsHost(current_->previous_hosts, host);
  if (!is_previous_epoch_closed_ && was_in_previous_epoch &&
      epoch >= current_->epoch) {
    is_previous_epoch_closed_ = true;
    full_share_at_ = std::min(full_share_at_, now + EpochDrainTime(settings_));
  }
  // A report of a higher epoch says nothing about the use of the current one.
  if (epoch == current_->epoch && settled) pending_hosts_.erase(host);
  if (sent_not_before && current_->Contains(host)) {
    PeerReport& report = peer_reports_[host];
    if (epoch > report.epoch || sent_not_before > report.sent_not_before)
      report = {epoch, *sent_not_before};
  }
  TakeFullShareIfDue(now);
}

void RosterLease::TakeFullShareIfDue(TimePoint now) {
  if (!current_ || !is_limited_by_prior_epochs_ || !current_->Contains(self_))
    return;
  if (!pending_hosts_.empty() && now < full_share_at_) return;
  is_limited_by_prior_epochs_ = false;
  has_no_prior_share_ = false;
  prior_epochs_.clear();
  pending_hosts_.clear();
}

std::uint32_t RosterLease::NominalShare(const ServerId& server,
                                        std::uint32_t limit) const {
  if (!current_) return 0;
  return ShareOf(*current_, self_, server, limit);
}

std::uint32_t RosterLease::ShareWithinPriorEpochs(const ServerId& server,
                                                  std::uint32_t limit) const {
  std::uint32_t share = NominalShare(server, limit);
  if (!is_limited_by_prior_epochs_) return share;
  if (has_no_prior_share_) return 0;
  for (const PriorEpoch& prior : prior_epochs_) {
    std::uint32_t prior_share = ShareOf(prior.roster, self_, server, limit);
    // The share of a reserved host is halved already.
    const bool halve =
        prior.fraction == Fraction::kHalf && !prior.roster.IsReserved(self_);
    if (halve) prior_share /= 2;
    share = std::min(share, prior_share);
  }
  return share;
}

std::uint32_t RosterLease::Share(const ServerId& server, std::uint32_t limit,
                                 TimePoint now) const {
  if (!current_ || MayPredecessorHoldCredits(now)) return 0;
  const std::uint32_t share = ShareWithinPriorEpochs(server, limit);
  if (IsConfirmed(now)) return share;
  if (now >= confirmed_at_.value_or(start_) + settings_.reservation_validity)
    return 0;
  return current_->IsReserved(self_) ? share : share / 2;
}

// All other hosts of the epoch still used it when the earliest of their reports
// was sent, so no newer epoch can have taken effect until then.
std::optional<TimePoint> RosterLease::MutualConfirmation(TimePoint now) const {
  if (!confirmed_at_ || !current_->Contains(self_)) return std::nullopt;
  TimePoint confirmation =
      std::min(now, *confirmed_at_ + settings_.mutual_confirmation);
  for (const HostId& host : current_->hosts) {
    if (host == self_) continue;
    const auto report = peer_reports_.find(host);
    if (report == peer_reports_.end() ||
        report->second.epoch != current_->epoch)
      return std::nullopt;
    confirmation = std::min(confirmation, report->second.sent_not_before);
  }
  return confirmation;
}

std::optional<TimePoint> RosterLease::LatestConfirmation(TimePoint now) const {
  if (!current_) return std::nullopt;
  return std::max(confirmed_at_, MutualConfirmation(now));
}

bool RosterLease::IsConfirmed(TimePoint now) const {
  const auto confirmation = LatestConfirmation(now);
  return confirmation && now < *confirmation + settings_.confirmation_validity;
}

TimePoint RosterLease::ShareValidUntil(TimePoint now) const {
  const auto confirmation = LatestConfirmation(now);
  if (confirmation && now < *confirmation + settings_.confirmation_validity)
    return *confirmation + settings_.confirmation_validity;
  return confirmed_at_.value_or(start_) + settings_.reservation_validity;
}

bool RosterLease::MayPredecessorHoldCredits(TimePoint now) const {
  if (current_ && current_->origin == RosterOrigin::kAfterStart) return false;
  // The loan lease is included because an earlier incarnation may have lent
  // credits just before it ended.
  return now < start_ + settings_.loan_lease + settings_.maximum_call_time +
                   settings_.clock_margin;
}

std::optional<TimePoint> RosterLease::NextDue() const {
  if (!current_ || !is_limited_by_prior_epochs_ || !current_->Contains(self_))
    return std::nullopt;
  return full_share_at_;
}

}  // namespace lovagecleat::policy
