#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "policy/policy.h"
#include "tests/fault_matrix/trace.h"
#include "tests/stand_ins/backend_model.h"
#include "tests/stand_ins/table_model.h"

namespace lovagecleat::fault_matrix {

// Steps of a request, a configuration change or a credit loan at which a fault
// may be injected.
enum class StepKind {
  kAccept,
  kAdmit,
  kWriteIntent,
  kIntentAnswered,
  kSend,
  kFirstByte,
  kMidStream,
  kStageDone,
  kHandOver,
  kHandOverAnswered,
  kReply,
  kChangeSubmitted,
  kChangeWritten,
  kChangeAnswered,
  kConfigurationPushed,
  kLoanAsked,
  kLoanGranted,
  kLoanReturned,
};

// One occurrence of a step: on a host, with the server or peer concerned.
struct StepEvent {
  StepKind kind = StepKind::kAccept;
  HostId host;
  ServerId server;
  HostId peer;
};

enum class MessageFault { kNone, kDuplicate, kLate, kReorder };

// Simulates a few hosts in two zones with their policy code, a table, servers
// and callers, in virtual time and without processes, sockets or sleeps.
class Session {
 public:
  explicit Session(std::uint64_t seed);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Called at each step, before the step takes effect.
  using StepHook = std::function<void(const StepEvent&)>;
  void SetStepHook(StepHook hook) { hook_ = std::move(hook); }

  void RunUntil(TimePoint end);
  void After(Duration delay, std::function<void()> action);

  // --- Workload -------------------------------------------------------------
  void StartWorkload(TimePoint from, TimePoint until);
  void SubmitTargetChange(const HostId& host);
  void SubmitZoneOut(const HostId& host, const ZoneId& zone);

  // --- Faults ---------------------------------------------------------------
  void Kill(const HostId& host);
  void Restart(const HostId& host);
  void Freeze(const HostId& host);
  void Resume(const HostId& host);
  // Stops all data on the open calls to the server; returns their number.
  std::size_t SilenceConnections(const ServerId& server);
  void CutZones();
  void HealZones();
  void CutFromPlatform(const HostId& host);
  void HealPlatform(const HostId& host);
  void SetMessageFault(MessageFault fault) { message_fault_ = fault; }
  void Stop(const HostId& host);
  void ResetToCold(const ServerId& server);
  void SetServerState(const ServerId& server, policy::MemberState state);
  // Leaves `host` out of the inventory that hosts receive; an empty id ends
  // this.
  void HideFromInventory(const HostId& host) { hidden_host_ = host; }
  stand_ins::TableModel& table() { return table_; }
  stand_ins::BackendModel& server(const ServerId& id);

  // --- Results --------------------------------------------------------------
  const Trace& trace() const { return trace_; }
  const std::vector<ServerFacts>& servers() const { return facts_; }
  TimePoint now() const { return clock_.Now(); }
  bool IsAlive(const HostId& host) const;
  // Returns how often a fault had an effect, by the name of the effect.
  std::uint64_t Count(const std::string& what) const;
  std::size_t answered() const { return answered_; }

 private:
  struct BackendCall;
  struct Host;
  struct Server;

  Host& HostOf(const HostId& id);
  void StartHost(Host& host);
  void Deliver(Host& host, policy::Event event);
  void HandleEvent(Host& host, const policy::Event& event);
  void DispatchCommand(Host& host, const policy::Command& command);
  void ScheduleWakeUp(Host& host);
  void ReportStep(StepKind kind, const Host& host, const ServerId& server = {},
                  const HostId& peer = {});

  void Execute(Host& host, const policy::StartBackendCall& command);
  void Execute(Host& host, const policy::CancelBackendCall& command);
  void Execute(Host& host, const policy::PollLoad& command);
  void Execute(Host& host, const policy::SendPeerMessage& command);
  void Execute(Host& host, const policy::ReadTable& command);
  void Execute(Host& host, const policy::ScanTable& command);
  void Execute(Host& host, const policy::WriteTable& command);
  void Execute(Host& host, const policy::DeliverToken& command);
  void Execute(Host& host, const policy::DeliverAnswer& command);
  void Execute(Host& host, const policy::DeliverRefusal& command);
  void Execute(Host& host, const policy::RespondToOperator& command);
  void Execute(Host& host, const policy::FinishStop& command);
  template <typename Other>
  void Execute(Host& /*host*/, const Other& /*command*/) {}

  void ReportMessageStep(const Host& host,
                         const policy::SendPeerMessage& command);
  Duration MessageDelay();
  void SendOverNetwork(const HostId& from, const HostId& to,
                       const messages::PeerMessage& message);
  void RunTableOperation(Host& host, OperationId operation,
                         std::function<stand_ins::TableReply()> execute);

  void WatchProgress(std::uint64_t execution);
  void AdvanceServer(Server& server);
  void ScheduleServer(Server& server);
  void EndCall(std::uint64_t execution, policy::AttemptOutcome outcome,
               std::string output, std::optional<policy::ServerReport> report);
  void CancelAtServer(std::uint64_t execution);
  void RecordExecutionEnd(Server& server, std::uint64_t execution);
  void RecordWarmth(Server& server);

  void SendInventory();
  policy::Inventory MakeInventory() const;
  void SendRequest(const HostId& host, const std::string& request_class,
                   const std::string& marker, const std::string& key);
  std::optional<HostId> SelectAliveHost(std::uint64_t preference) const;
  void RetryIfUnanswered(CallId call);
  void RecordEvent(TraceBody body);
  void WriteConfiguration();

  Random random_;
  ManualClock clock_;
  TimerQueue timers_;
  Trace trace_;
  StepHook hook_;
  std::vector<ServerFacts> facts_;
  std::map<HostId, std::unique_ptr<Host>> hosts_;
  std::map<ServerId, std::unique_ptr<Server>> servers_;
  std::map<std::uint64_t, BackendCall> calls_;
  stand_ins::TableModel table_;
  std::map<std::string, std::uint64_t> counts_;
  bool zones_are_cut_ = false;
  MessageFault message_fault_ = MessageFault::kNone;
  HostId hidden_host_;
  std::uint64_t inventory_sequence_ = 0;
  std::uint64_t last_call_ = 0;
  std::uint64_t last_execution_ = 0;
  std::uint64_t last_change_ = 0;
  std::size_t answered_ = 0;
  struct SentRequest {
    HostId host;
    std::string request_class;
    std::string marker;
    std::string key;
    bool is_ended = false;
    bool is_retry = false;
  };
  std::map<CallId, SentRequest> requests_;
  std::map<CallId, ZoneId> zone_changes_;
};

}  // namespace lovagecleat::fault_matrix
