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

// Carries out operators' changes against the table and answers their questions
// about the configuration and the audit trail.
//
// While the table is down, a change that takes a zone or a server out of
// service is held provisionally, spread to the other hosts, and brought into
// the table when it answers again. Other changes are not run.
class OperatorChanges {
 public:
  // `counter` outlives this.
  OperatorChanges(HostId self, OperationCounter& counter);

  std::vector<Command> Submit(const OperatorChangeSubmitted& submitted,
                              TimePoint now, WallTime wall_now);
  // kConfiguration and kAudit.
  std::vector<Command> Query(const OperatorQueryArrived& query, TimePoint now);
  std::vector<Command> HandleTable(const TableAnswered& answer, TimePoint now);
  std::vector<Command> HandleDrains(const messages::ProvisionalDrains& message,
                                    TimePoint now);
  std::vector<Command> HandleTimer(TimePoint now);

  // To be told of each configuration that comes into force here.
  std::vector<Command> ObserveConfiguration(
      const configuration::Configuration& configuration);
  // The hosts that drains are spread to.
  void SetPeers(std::vector<HostId> peers) { peers_ = std::move(peers); }

  bool Owns(OperationId operation) const;
  std::optional<TimePoint> NextDue() const;
  bool IsZoneHeldOut(const ZoneId& zone) const {
    return drains_.IsZoneOut(zone);
  }
  bool IsServerHeldOut(const ServerId& server) const {
    return drains_.IsServerOut(server);
  }
  const std::vector<ChangeRequest>& pending_drains() const {
    return drains_.drains();
  }

  std::vector<OutgoingMessage> TakeOutgoing();
  // A configuration that a change of this host brought into the table.
  std::optional<configuration::Configuration> TakeAccepted();

 private:
  // One change on its way, with the operator who waits for it, if any.
  struct Activity {
    ChangeRun run;
    std::optional<CallId> call;
    bool was_held = false;  // as a drain that other hosts may know
  };
  struct AuditQuery {
    CallId call;
    TimePoint bound{};
  };

  void Begin(const ChangeRequest& request, std::optional<CallId> call,
             TimePoint now, std::vector<Command>& commands);
  void Take(std::uint64_t id, ChangeStep step, TimePoint now,
            std::vector<Command>& commands);
  void Finish(const Activity& activity, const ChangeConclusion& conclusion,
              TimePoint now, std::vector<Command>& commands);
  void HoldIfDrain(const ChangeRequest& request, TimePoint now,
                   std::vector<Command>& commands);
  void RetryDrains(TimePoint now, std::vector<Command>& commands);
  void Spread(TimePoint now);
  void SendDrains(std::size_t copies);
  bool IsActive(const std::string& change_id) const;
  Duration RetryDelay(const ChangeRequest& drain) const;

  HostId self_;
  OperationCounter& counter_;
  ProvisionalDrains drains_;
  std::vector<HostId> peers_;
  std::size_t next_peer_ = 0;
  std::uint64_t last_activity_ = 0;
  std::map<std::uint64_t, Activity> activities_;
  std::map<OperationId, AuditQuery> audit_queries_;
  std::map<std::string, TimePoint> drain_retries_;  // by change id
  std::optional<TimePoint> spread_due_;
  std::vector<OutgoingMessage> outgoing_;
  std::optional<configuration::Configuration> accepted_;
};

}  // namespace lovagecleat::policy
