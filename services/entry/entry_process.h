#pragma once

#include <memory>
#include <optional>
#include <string>

#include "configuration/configuration.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "platform/platform.h"
#include "policy/policy.h"
#include "services/entry/backend_calls.h"
#include "services/entry/caller_api.h"
#include "services/entry/operator_api.h"
#include "transport/transport.h"

namespace lovagecleat::entry {

enum class StartError { kNone, kCallersAddress, kPeersAddress };

// The process of an entry host: passes events to policy::Core and executes the
// commands that it returns.
class EntryProcess {
 public:
  EntryProcess(transport::Loop& loop,
               const configuration::EntrySettings& settings);

  // Binds the addresses and starts polling. Returns false and sets last_error()
  // if an address cannot be bound.
  bool Start();
  StartError last_error() const { return last_error_; }

  // Refuses new requests, finishes those in flight, then quits the loop.
  void Stop();

 private:
  void HandleEvent(const policy::Event& event);
  void RunEvent(const policy::Event& event);
  void ScheduleWakeUp();

  void Execute(const policy::StartBackendCall& command);
  void Execute(const policy::CancelBackendCall& command);
  void Execute(const policy::PollLoad& command);
  void Execute(const policy::SendPeerMessage& command);
  void Execute(const policy::ConnectPeers& command);
  void Execute(const policy::ReadTable& command);
  void Execute(const policy::ScanTable& command);
  void Execute(const policy::WriteTable& command);
  void Execute(const policy::DeliverToken& command);
  void Execute(const policy::DeliverAnswer& command);
  void Execute(const policy::DeliverRefusal& command);
  void Execute(const policy::RespondToOperator& command);
  void Execute(const policy::SetReadiness& command);
  void Execute(const policy::RecordDecision& command);
  void Execute(const policy::FinishStop& command);

  void RouteHealthAndMetrics();
  void QuitWhenCallsFinished();

  transport::Loop& loop_;
  configuration::EntrySettings settings_;
  StartError last_error_ = StartError::kNone;
  logging::Logger log_;
  logging::Logger decision_log_;
  metrics::Registry metrics_;
  transport::HttpServer server_;
  transport::HttpClient client_;
  transport::PeerLink peers_;
  policy::Core core_;
  platform::TableClient table_;
  platform::InventoryClient inventory_;
  BackendCalls backends_;
  CallerApi callers_;
  OperatorApi operators_;

  policy::Readiness readiness_ = policy::Readiness::kNotReady;
  std::string readiness_reason_ = "starting";
  std::optional<TimerId> wake_up_timer_;
  bool is_handling_events_ = false;
  std::vector<policy::Event> pending_events_;
};

}  // namespace lovagecleat::entry
