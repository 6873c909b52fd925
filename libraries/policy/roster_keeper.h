#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "base/base.h"
#include "policy/commands.h"
#include "policy/credit_settings.h"
#include "policy/credits.h"
#include "policy/events.h"
#include "policy/operation_counter.h"
#include "policy/roster.h"

namespace lovagecleat::policy {

// Maintains the roster of this host's zone in the platform's table: reads it,
// adds this host and removes unreachable hosts, each by a conditional write.
class RosterKeeper {
 public:
  RosterKeeper(HostId self, ZoneId zone, OperationCounter& counter,
               const CreditSettings& settings, std::uint64_t seed,
               TimePoint start);

  // --- Commands -------------------------------------------------------------
  void ApplyInventory(std::span<const HostInfo> hosts, TimePoint now);
  // Handles the roster epoch in a heartbeat from a host of this zone.
  void ObservePeer(const HostId& host, std::uint64_t roster_epoch,
                   TimePoint now);
  void HandlePush(const messages::RosterPush& push, TimePoint now);
  std::vector<Command> HandleTableAnswer(const TableAnswered& answer,
                                         TimePoint now);
  std::vector<Command> Tick(TimePoint now);
  // Stops this host from joining or changing the roster.
  void Stop() { is_stopping_ = true; }

  // Returns a newly adopted roster once, otherwise std::nullopt.
  std::optional<Roster> TakeAdopted();
  // Returns roster pushes for hosts that reported an older epoch.
  std::vector<OutgoingPeerMessage> TakeOutgoing();

  // --- Queries --------------------------------------------------------------
  bool Owns(OperationId operation) const { return operation_ == operation; }
  std::uint64_t epoch() const { return adopted_ ? adopted_->epoch : 0; }
  // The start of the last table operation that showed epoch() to be current.
  std::optional<TimePoint> confirmed_at() const { return confirmed_at_; }
  TimePoint NextDue() const;

 private:
  struct Peer {
    std::uint64_t epoch = 0;
    std::optional<TimePoint> last_received_at;
    std::optional<TimePoint> pushed_at;
  };

  void HandleRow(const TableRow& row, TimePoint requested_at, TimePoint now);
  void Adopt(const Roster& roster, TimePoint now);
  std::optional<Roster> NextRoster(TimePoint now) const;
  std::optional<Roster> InitialRoster(TimePoint now) const;
  bool IsPreviousEpochClosed(TimePoint now) const;
  bool ShouldRemove(const HostId& host, TimePoint now) const;
  bool IsReservationExpired(const HostId& host, TimePoint now) const;
  Command StartRead(TimePoint now);
  Command StartWrite(const Roster& roster, TimePoint now);
  void EndOperation(TimePoint now, Duration pause);

  const HostId self_;
  const ZoneId zone_;
  OperationCounter& counter_;
  const CreditSettings settings_;
  Random random_;
  const TimePoint start_;
  bool is_stopping_ = false;

  std::optional<Roster> adopted_;
  bool has_untaken_roster_ = false;
  TimePoint adopted_at_{};
  std::optional<TimePoint> confirmed_at_;
  std::optional<std::uint64_t> row_version_;
  bool saw_missing_row_ = false;

  std::optional<OperationId> operation_;
  std::optional<Roster> pending_write_;  // written by the pending operation
  TimePoint requested_at_{};
  TimePoint next_read_;

  std::set<HostId> listed_hosts_;
  bool has_inventory_ = false;
  std::map<HostId, Peer> peers_;
  std::map<HostId, TimePoint> member_since_;    // as seen by this host
  std::map<HostId, TimePoint> reserved_since_;  // as seen by this host
  std::vector<OutgoingPeerMessage> outgoing_;
};

}  // namespace lovagecleat::policy
