#include <algorithm>
#include <chrono>
#include <utility>

#include "tests/fault_matrix/session.h"
#include "tests/fault_matrix/session_state.h"

namespace lovagecleat::fault_matrix {

using policy::MemberState;
using std::chrono::milliseconds;

void Session::Kill(const HostId& id) {
  Host& host = HostOf(id);
  if (host.core == nullptr) return;
  ++counts_["killed"];
  RecordEvent(HostDied{id});
  RecordEvent(HostDisturbed{id});
  // The core is kept until the end of the event that it is handling.
  After(Duration::zero(),
        [core = std::shared_ptr<policy::Core>(std::move(host.core))] {});
  host.pending_commands.clear();
  host.inbox.clear();
  for (auto& [execution, call] : calls_) {
    if (call.host != id) continue;
    call.is_awaited = false;
    CancelAtServer(execution);
  }
  for (const auto& [call, sent] : requests_) {
    if (sent.host == id && !sent.is_ended)
      After(milliseconds(300),
            [this, unanswered = call] { RetryIfUnanswered(unanswered); });
  }
}

void Session::Restart(const HostId& id) {
  Host& host = HostOf(id);
  if (host.core != nullptr && !host.is_stopped) return;
  StartHost(host);
  RecordEvent(HostRestored{id});
}

void Session::Freeze(const HostId& id) {
  Host& host = HostOf(id);
  if (host.core == nullptr || host.is_frozen) return;
  ++counts_["frozen"];
  host.is_frozen = true;
  RecordEvent(HostDisturbed{id});
}

void Session::Resume(const HostId& id) {
  Host& host = HostOf(id);
  if (!host.is_frozen) return;
  host.is_frozen = false;
  RecordEvent(HostRestored{id});
  for (const policy::Command& command :
       std::exchange(host.pending_commands, {}))
    DispatchCommand(host, command);
  for (const policy::Event& event : std::exchange(host.inbox, {})) {
    if (host.core != nullptr) HandleEvent(host, event);
  }
  ScheduleWakeUp(host);
}

std::size_t Session::SilenceConnections(const ServerId& server) {
  std::size_t silenced = 0;
  for (auto& [execution, call] : calls_) {
    if (call.command.server != server || !call.is_awaited) continue;
    call.is_silent = true;
    ++silenced;
  }
  counts_["silenced"] += silenced;
  return silenced;
}

void Session::CutZones() {
  zones_are_cut_ = true;
  for (const auto& [id, host] : hosts_) RecordEvent(HostDisturbed{id});
}

void Session::HealZones() {
  zones_are_cut_ = false;
  for (const auto& [id, host] : hosts_) RecordEvent(HostRestored{id});
}

void Session::CutFromPlatform(const HostId& host) {
  HostOf(host).is_platform_reachable = false;
  RecordEvent(HostDisturbed{host});
}

void Session::HealPlatform(const HostId& host) {
  HostOf(host).is_platform_reachable = true;
  RecordEvent(HostRestored{host});
}

void Session::Stop(const HostId& id) {
  Host& host = HostOf(id);
  if (!IsAlive(id)) return;
  ++counts_["stop_requested"];
  RecordEvent(HostStopRequested{id});
  Deliver(host, policy::StopRequested{});
}

void Session::ResetToCold(const ServerId& id) {
  Server& server = *servers_.at(id);
  AdvanceServer(server);
  server.model.ResetToCold(now());
  server.recorded_warmth = policy::Warmth::kCold;
  ++counts_["turned_cold"];
  RecordEvent(ServerTurnedCold{id});
  ScheduleServer(server);
}

void Session::SetServerState(const ServerId& id, MemberState state) {
  servers_.at(id)->state = state;
  if (state == MemberState::kLeaving) {
    ++counts_["left"];
    RecordEvent(ServerLeaves{id});
  } else {
    RecordEvent(ServerReturns{id});
  }
}

}  // namespace lovagecleat::fault_matrix
