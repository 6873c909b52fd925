#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/base.h"
#include "policy/credit_settings.h"
#include "policy/roster.h"

namespace lovagecleat::policy {

// Computes this host's share of the servers' limits from the roster epochs that
// it has adopted, and how long the share is valid.
class RosterLease {
 public:
  RosterLease(HostId self, const CreditSettings& settings, TimePoint start);

  // Adopts `roster` if its epoch is higher.
  void Adopt(const Roster& roster, TimePoint now);

  // Records that `epoch` was the table's current one at `confirmed_at`.
  void Confirm(std::uint64_t epoch, TimePoint confirmed_at);

  // Records a peer's report that it uses `epoch`. `settled` tells whether it
  // has its full share; `sent_not_before` is a lower bound of the time of
  // sending, if known.
  void ObservePeer(const HostId& host, std::uint64_t epoch, bool settled,
                   TimePoint now, std::optional<TimePoint> sent_not_before);

  // Switches to the full share once no earlier epoch can limit it.
  void TakeFullShareIfDue(TimePoint now);

  std::uint64_t epoch() const { return current_ ? current_->epoch : 0; }
  // The last confirmation from the table, read by this host or relayed.
  std::optional<TimePoint> confirmed_at() const { return confirmed_at_; }
  std::uint32_t Share(const ServerId& server, std::uint32_t limit,
                      TimePoint now) const;

  // Returns the share regardless of confirmation and earlier epochs.
  std::uint32_t NominalShare(const ServerId& server, std::uint32_t limit) const;

  // Returns until when the result of Share is valid if nothing else arrives.
  TimePoint ShareValidUntil(TimePoint now) const;
  bool IsConfirmed(TimePoint now) const;

  // Returns whether calls and loans of an earlier incarnation may still run.
  bool MayPredecessorHoldCredits(TimePoint now) const;
  std::optional<TimePoint> NextDue() const;

 private:
  enum class Fraction { kFull, kHalf };
  // An earlier epoch whose share limits this host's use until all other hosts
  // are known to have left it.
  struct PriorEpoch {
    Roster roster;
    Fraction fraction = Fraction::kFull;
  };
  struct PeerReport {
    std::uint64_t epoch = 0;
    TimePoint sent_not_before{};
  };

  void AddPriorEpoch(TimePoint now);
  void AddPendingHosts(const Roster& next);
  std::optional<TimePoint> LatestConfirmation(TimePoint now) const;
  std::optional<TimePoint> MutualConfirmation(TimePoint now) const;
  std::uint32_t ShareWithinPriorEpochs(const ServerId& server,
                                       std::uint32_t limit) const;

  const HostId self_;
  const CreditSettings settings_;
  const TimePoint start_;
  std::optional<Roster> current_;
  std::vector<PriorEpoch> prior_epochs_;
  // Hosts that may still use the share of an earlier epoch.
  std::set<HostId> pending_hosts_;
  bool is_limited_by_prior_epochs_ = true;
  bool has_no_prior_share_ = true;
  TimePoint full_share_at_{};
  bool is_previous_epoch_closed_ = false;
  std::optional<TimePoint> confirmed_at_;
  std::map<HostId, PeerReport> peer_reports_;  // of hosts of the current epoch
};

}  // namespace lovagecleat::policy
