#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/change_run.h"
#include "policy/commands.h"
#include "policy/configuration_follower.h"
#include "policy/events.h"
#include "policy/operation_counter.h"
#include "policy/provisional_drains.h"

namespace lovagecleat::policy {

// Writes operators' changes to the table and answers their queries of the
// configuration and the audit trail.
//
// While the table is down, a change that takes a zone or a server out of
// service is held provisionally, sent to the other hosts, and written to the
// table when it answers again. Other changes are not run.
class OperatorChanges {
 public:
  // `counter` must outlive this object.
  OperatorChanges(HostId self, OperationCounter& counter);

  std::vector<Command> Submit(const OperatorChangeSubmitted& submitted,
                              TimePoint now, WallTime wall_now);
  // Answers kConfiguration and kAudit queries.
  std::vector<Command> Query(const OperatorQueryArrived& query, TimePoint now);
  std::vector<Command> HandleTableAnswer(const TableAnswered& answer,
                                         TimePoint now);
  std::vector<Command> HandleProvisionalDrains(
      const messages::ProvisionalDrains& message, TimePoint now);
  std::vector<Command> HandleTimer(TimePoint now);

  // Must be called with each configuration that this host puts in force.
  std::vector<Command> ObserveConfiguration(
      const configuration::Configuration& configuration);
  // Sets the hosts that drains are sent to.
  void SetPeers(std::vector<HostId> peers) { peers_ = std::move(peers); }

  bool Owns(OperationId operation) const;
  std::optional<TimePoint> NextDue() const;
  bool IsZoneProvisionallyOut(const ZoneId& zone) const {
    return drains_.IsZoneOut(zone);
  }
  bool IsServerProvisionallyOut(const ServerId& server) const {
    return drains_.IsServerOut(server);
  }
  const std::vector<ChangeRequest>& pending_drains() const {
    return drains_.drains();
  }

  std::vector<OutgoingMessage> TakeOutgoing();
  // Returns and clears the last configuration that a change of this host wrote
  // to the table.
  std::optional<configuration::Configuration> TakeAcceptedConfiguration();

 private:
  // An unfinished change and the operator call that waits for it, if any.
  struct ActiveChange {
    ChangeRun run;
    std::optional<CallId> call;
    bool was_held = false;  // held as a drain that other hosts may have
  };
  struct AuditQuery {
    CallId call;
    TimePoint deadline{};
  };

  void StartChange(const ChangeRequest& request, std::optional<CallId> call,
                   TimePoint now, std::vector<Command>& commands);
  void HandleStep(std::uint64_t id, ChangeStep step, TimePoint now,
                  std::vector<Command>& commands);
  void Finish(const ActiveChange& active, const ChangeConclusion& conclusion,
              TimePoint now, std::vector<Command>& commands);
  void HoldIfDrain(const ChangeRequest& request, TimePoint now,
                   std::vector<Command>& commands);
  void RetryDrains(TimePoint now, std::vector<Command>& commands);
  void ResendDrains(TimePoint now);
  void SendDrains(std::size_t copies);
  bool IsActive(const std::string& change_id) const;
  Duration RetryDelay(const ChangeRequest& drain) const;

  HostId self_;
  OperationCounter& counter_;
  ProvisionalDrains drains_;
  std::vector<HostId> peers_;
  std::size_t next_peer_ = 0;
  std::uint64_t last_run_id_ = 0;
  std::map<std::uint64_t, ActiveChange> active_changes_;
  std::map<OperationId, AuditQuery> audit_queries_;
  std::map<std::string, TimePoint> drain_retries_;  // by change id
  std::optional<TimePoint> resend_at_;
  std::vector<OutgoingMessage> outgoing_;
  std::optional<configuration::Configuration> accepted_;
};

}  // namespace lovagecleat::policy
