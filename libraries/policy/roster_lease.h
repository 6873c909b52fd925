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

// What this host may use of the limits under the epochs that it has seen, and
// until when.
class RosterLease {
 public:
  RosterLease(HostId self, const CreditSettings& settings, TimePoint start);

  // Adopts `roster` if its epoch is higher.
  void Adopt(const Roster& roster, TimePoint now);

  // The epoch was the table's current one at `confirmed_at`.
  void Confirm(std::uint64_t epoch, TimePoint confirmed_at);

  // A peer said that it uses `epoch`. It said so after `as_of`, if known.
  void ObservePeer(const HostId& host, std::uint64_t epoch, bool settled,
                   TimePoint now, std::optional<TimePoint> as_of);

  // Takes up the whole share where its time has come.
  void Advance(TimePoint now);

  std::uint64_t epoch() const { return current_ ? current_->epoch : 0; }
  // The last proof from the table, own or relayed.
  std::optional<TimePoint> confirmed_at() const { return confirmed_at_; }
  std::uint32_t Share(const ServerId& server, std::uint32_t limit,
                      TimePoint now) const;

  // The share without regard to confirmation and older epochs.
  std::uint32_t NominalShare(const ServerId& server, std::uint32_t limit) const;

  // Until when what Share says holds, without further news.
  TimePoint ShareValidUntil(TimePoint now) const;
  bool IsConfirmed(TimePoint now) const;

  // An earlier incarnation's calls and loans may still run.
  bool IsFresh(TimePoint now) const;
  std::optional<TimePoint> NextDue() const;

 private:
  enum class Part { kWhole, kReservedHalf };
  // An earlier epoch whose share bounds what may be used until all other hosts
  // have surely left it.
  struct Bound {
    Roster roster;
    Part part = Part::kWhole;
  };
  struct PeerReport {
    std::uint64_t epoch = 0;
    TimePoint as_of{};
  };

  void AddBound(TimePoint now);
  void WaitForOthers(const Roster& next);
  std::optional<TimePoint> LastProof(TimePoint now) const;
  std::optional<TimePoint> DirectProof(TimePoint now) const;
  std::uint32_t BoundedShare(const ServerId& server, std::uint32_t limit) const;

  const HostId self_;
  const CreditSettings settings_;
  const TimePoint start_;
  std::optional<Roster> current_;
  std::vector<Bound> bounds_;
  // Hosts that may still use the share of an earlier epoch.
  std::set<HostId> waiting_for_;
  bool is_bounded_ = true;
  bool has_nothing_from_before_ = true;
  TimePoint whole_share_at_{};
  bool previous_epoch_closed_ = false;
  std::optional<TimePoint> confirmed_at_;
  std::map<HostId, PeerReport> reports_;  // of hosts of the current epoch
};

}  // namespace lovagecleat::policy
