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

// Keeps the roster of the own zone in the table: reads it, joins this host,
// removes hosts that are long dead, each by a conditional write.
class RosterKeeper {
 public:
  RosterKeeper(HostId self, ZoneId zone, OperationCounter& counter,
               const CreditSettings& settings, std::uint64_t seed,
               TimePoint start);

  // --- Commands -------------------------------------------------------------
  void ApplyInventory(std::span<const HostInfo> hosts, TimePoint now);
  // Each heartbeat of a host of the own zone.
  void ObservePeer(const HostId& host, std::uint64_t roster_epoch,
                   TimePoint now);
  void HandlePush(const messages::RosterPush& push, TimePoint now);
  std::vector<Command> HandleTable(const TableAnswered& answer, TimePoint now);
  std::vector<Command> Tick(TimePoint now);
  // From now on this host neither joins nor changes the roster.
  void Stop() { is_stopping_ = true; }

  // A newly adopted roster, once.
  std::optional<Roster> TakeAdopted();
  // Rosters for hosts that are behind.
  std::vector<Outgoing> TakeOutgoing();

  // --- Queries --------------------------------------------------------------
  bool Owns(OperationId operation) const { return operation_ == operation; }
  std::uint64_t epoch() const { return adopted_ ? adopted_->epoch : 0; }
  // When this host last knew from the table that epoch() is current.
  std::optional<TimePoint> confirmed_at() const { return confirmed_at_; }
  TimePoint NextDue() const;

 private:
  struct Peer {
    std::uint64_t epoch = 0;
    std::optional<TimePoint> heard_at;
    std::optional<TimePoint> pushed_at;
  };

  void HandleRow(const TableRow& row, TimePoint asked_at, TimePoint now);
  void Adopt(const Roster& roster, TimePoint now);
  std::optional<Roster> WantedRoster(TimePoint now) const;
  std::optional<Roster> FirstRoster(TimePoint now) const;
  bool IsPreviousEpochLeft(TimePoint now) const;
  bool IsLongDead(const HostId& host, TimePoint now) const;
  bool IsReservationOver(const HostId& host, TimePoint now) const;
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
  bool is_untaken_ = false;
  TimePoint adopted_at_{};
  std::optional<TimePoint> confirmed_at_;
  std::optional<std::uint64_t> row_version_;
  bool saw_no_row_ = false;

  std::optional<OperationId> operation_;
  std::optional<Roster> written_;  // what the operation under way writes
  TimePoint asked_at_{};
  TimePoint next_read_;

  std::set<HostId> listed_;
  bool has_inventory_ = false;
  std::map<HostId, Peer> peers_;
  std::map<HostId, TimePoint> member_since_;    // as seen by this host
  std::map<HostId, TimePoint> reserved_since_;  // as seen by this host
  std::vector<Outgoing> outgoing_;
};

}  // namespace lovagecleat::policy
