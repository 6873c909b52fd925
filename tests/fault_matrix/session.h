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

// Where in the life of a request, a change or a credit a fault may strike.
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

// One occurrence of a step: at which host, and towards which server or host.
struct StepSeen {
  StepKind kind = StepKind::kAccept;
  HostId host;
  ServerId server;
  HostId peer;
};

enum class MessageFault { kNone, kDuplicate, kLate, kReorder };

// A few hosts in two zones with their decision code, a table, servers and
// callers, in virtual time. Processes, sockets and sleeps are left out.
class Session {
 public:
  explicit Session(std::uint64_t seed);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Called at each step, before what the step does takes effect.
  using StepHook = std::function<void(const StepSeen&)>;
  void SetStepHook(StepHook hook) { hook_ = std::move(hook); }

  void RunUntil(TimePoint end);
  void After(Duration delay, std::function<void()> action);

  // --- Work -----------------------------------------------------------------
  void StartWorkload(TimePoint from, TimePoint until);
  void SubmitTargetChange(const HostId& host);
  void SubmitZoneOut(const HostId& host, const ZoneId& zone);

  // --- Faults ---------------------------------------------------------------
  void Kill(const HostId& host);
  void Restart(const HostId& host);
  void Freeze(const HostId& host);
  void Wake(const HostId& host);
  // Open calls to the server go silent; returns how many.
  std::size_t SilenceConnections(const ServerId& server);
  void CutZones();
  void HealZones();
  void CutFromPlatform(const HostId& host);
  void HealPlatform(const HostId& host);
  void SetMessageFault(MessageFault fault) { message_fault_ = fault; }
  void Stop(const HostId& host);
  void TurnCold(const ServerId& server);
  void SetServerState(const ServerId& server, policy::MemberState state);
  // The list that hosts get stays without `host` until it is empty again.
  void HideFromList(const HostId& host) { hidden_ = host; }
  stand_ins::TableModel& table() { return table_; }
  stand_ins::BackendModel& server(const ServerId& id);

  // --- What happened --------------------------------------------------------
  const Trace& trace() const { return trace_; }
  const std::vector<ServerFacts>& servers() const { return facts_; }
  TimePoint now() const { return clock_.Now(); }
  bool IsAlive(const HostId& host) const;
  // How often something was touched by a fault, by the fault's name.
  std::uint64_t Count(const std::string& what) const;
  std::size_t answered() const { return answered_; }

 private:
  struct BackendCall;
  struct Host;
  struct Server;

  Host& HostOf(const HostId& id);
  void StartHost(Host& host);
  void Deliver(Host& host, policy::Event event);
  void Feed(Host& host, const policy::Event& event);
  void Perform(Host& host, const policy::Command& command);
  void ScheduleWakeUp(Host& host);
  void See(StepKind kind, const Host& host, const ServerId& server = {},
           const HostId& peer = {});

  void Do(Host& host, const policy::StartBackendCall& command);
  void Do(Host& host, const policy::CancelBackendCall& command);
  void Do(Host& host, const policy::PollLoad& command);
  void Do(Host& host, const policy::SendPeerMessage& command);
  void Do(Host& host, const policy::ReadTable& command);
  void Do(Host& host, const policy::ScanTable& command);
  void Do(Host& host, const policy::WriteTable& command);
  void Do(Host& host, const policy::DeliverToken& command);
  void Do(Host& host, const policy::DeliverAnswer& command);
  void Do(Host& host, const policy::DeliverRefusal& command);
  void Do(Host& host, const policy::RespondToOperator& command);
  void Do(Host& host, const policy::FinishStop& command);
  template <typename Other>
  void Do(Host& /*host*/, const Other& /*command*/) {}

  void SeeMessage(const Host& host, const policy::SendPeerMessage& command);
  Duration MessageDelay();
  void SendOverNetwork(const HostId& from, const HostId& to,
                       const messages::PeerMessage& message);
  void AnswerTable(Host& host, OperationId operation,
                   std::function<stand_ins::TableReply()> carry_out);

  void WatchProgress(std::uint64_t number);
  void ServeDue(Server& server);
  void ScheduleServer(Server& server);
  void EndCall(std::uint64_t number, policy::AttemptOutcome outcome,
               std::string output, std::optional<policy::ServerReport> report);
  void CancelAtServer(std::uint64_t number);
  void NoteExecutionEnd(Server& server, std::uint64_t number);
  void NoteWarmth(Server& server);

  void SendInventory();
  policy::Inventory MakeInventory() const;
  void SendRequest(const HostId& host, const std::string& request_class,
                   const std::string& marker, const std::string& key);
  std::optional<HostId> LivingHost(std::uint64_t preference) const;
  void RetryIfLost(CallId call);
  void Note(TraceBody body);
  void Configure();

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
  HostId hidden_;
  std::uint64_t inventory_sequence_ = 0;
  std::uint64_t last_call_ = 0;
  std::uint64_t last_execution_ = 0;
  std::uint64_t last_change_ = 0;
  std::size_t answered_ = 0;
  struct Sent {
    HostId host;
    std::string request_class;
    std::string marker;
    std::string key;
    bool is_ended = false;
    bool is_retry = false;
  };
  std::map<CallId, Sent> requests_;
  std::map<CallId, ZoneId> zone_changes_;
};

}  // namespace lovagecleat::fault_matrix
