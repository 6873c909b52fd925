#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "policy/configuration_follower.h"
#include "policy/core.h"
#include "policy/credits.h"
#include "policy/decision_log.h"
#include "policy/load_poller.h"
#include "policy/membership.h"
#include "policy/operation_counter.h"
#include "policy/operator_changes.h"
#include "policy/request_flow.h"
#include "policy/roster_keeper.h"
#include "policy/server_table.h"
#include "policy/stage_scheduler.h"
#include "policy/stage_times.h"

namespace lovagecleat::policy {

// Owns the components that make an entry host's decisions and passes events to
// them.
class Core::State {
 public:
  State(const CoreSettings& settings, TimePoint now, WallTime wall_now);

  std::vector<Command> Handle(const Event& event, TimePoint now,
                              WallTime wall_now);
  TimePoint NextWakeUp() const { return next_wake_up_; }
  std::uint64_t configuration_revision() const;

 private:
  void On(const CallerRequestArrived& event);
  void On(const CallerDisconnected& event);
  void On(const BackendToken& event);
  void On(const BackendFinished& event);
  void On(const LoadReported& event);
  void On(const PeerMessageArrived& event);
  void On(const InventoryArrived& event);
  void On(const TableAnswered& event);
  void On(const OperatorChangeSubmitted& event);
  void On(const OperatorQueryArrived& event);
  void On(const WakeUp& event);
  void On(const StopRequested& event);

  void HandlePeer(const HostId& from, const messages::PeerMessage& message);
  void HandleHeartbeat(const HostId& from,
                       const messages::Heartbeat& heartbeat);
  void HandleStageRequest(const HostId& from, std::uint64_t incarnation,
                          const messages::StageRequest& request);
  void HandleStageCancel(const HostId& from,
                         const messages::StageCancel& cancel);
  void ObserveWarmth(const ServerId& server, std::uint64_t generation,
                     Warmth warmth);

  // Runs due timers and applies the consequences of an event. Called after each
  // event, except after tokens while no timer is due.
  void RunAfterEvent();
  void AdoptConfiguration();
  void AdoptRoster();
  void ObserveProvisionalDrains();
  void RunTimers();
  void SendHeartbeats();
  messages::Heartbeat MakeHeartbeat() const;
  void AddServiceSummaries(messages::Heartbeat& heartbeat) const;
  // Returns whether there were any events.
  bool RouteJobEvents();
  void Route(const JobToken& token);
  void Route(const JobEnded& ended);
  void SendStageResult(const PeerOrigin& peer, const JobEnded& ended);
  void Append(std::vector<Command> commands);
  std::string StatusReport() const;
  void ForwardOutgoing();
  void UpdateReadiness();
  void FinishStopIfIdle();
  void FillPeerHeaders();
  void LogDecisions();
  TimePoint ComputeWakeUp() const;
  AdmissionState CurrentAdmissionState() const;

  CoreSettings settings_;
  TimePoint now_;
  WallTime wall_now_;
  std::vector<Command> commands_;
  OperationCounter operations_;
  Membership membership_;
  CreditLedger credits_;
  RosterKeeper roster_keeper_;
  ServerTable servers_;
  LoadPoller load_poller_;
  StageTimes times_;
  StageScheduler scheduler_;
  RequestFlow requests_;
  ConfigurationFollower follower_;
  OperatorChanges operator_changes_;
  DecisionLog decisions_;

  std::shared_ptr<const configuration::IndexedConfiguration> configuration_;
  bool has_inventory_ = false;
  bool has_provisional_drains_ = false;  // at the last event
  bool is_stopping_ = false;
  bool is_stop_finished_ = false;
  std::optional<Readiness> announced_readiness_;
  std::string announced_reason_;
  std::uint64_t last_sequence_ = 0;
  // Jobs forwarded by other hosts, by host and by its attempt number.
  std::map<std::pair<HostId, std::uint64_t>, JobId> peer_jobs_;
  TimePoint next_wake_up_{};
};

}  // namespace lovagecleat::policy
