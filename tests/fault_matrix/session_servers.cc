#include <algorithm>
#include <chrono>
#include <utility>

#include "tests/fault_matrix/session.h"
#include "tests/fault_matrix/session_state.h"

namespace lovagecleat::fault_matrix {

using policy::AttemptOutcome;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kMidStreamOffset = 5;

std::string MarkerOf(const std::string& input) {
  const std::size_t start = input.find("marker-");
  if (start == std::string::npos) return {};
  return input.substr(start, input.find('"', start) - start);
}

}  // namespace

void Session::Execute(Host& host, const policy::StartBackendCall& command) {
  ReportStep(StepKind::kAdmit, host, command.server);
  if (host.core == nullptr) return;
  if (host.is_frozen) {
    host.pending_commands.emplace_back(command);
    return;
  }
  const auto report_not_sent = [&] {
    const HostId id = host.id;
    After(Duration::zero(), [this, id, attempt = command.attempt] {
      Deliver(HostOf(id), policy::BackendFinished{
                              attempt, AttemptOutcome::kNotSent, {}, {}});
    });
  };
  // The process checks the time immediately before it sends.
  if (now() >= command.send_before) return report_not_sent();
  const HostId id = host.id;
  const std::uint64_t execution = ++last_execution_;
  BackendCall& call = calls_[execution];
  call.host = id;
  call.incarnation = host.incarnation;
  call.command = command;
  call.last_progress = now();
  After(kNetworkDelay, [this, execution] {
    const auto found = calls_.find(execution);
    if (found == calls_.end()) return;
    Server& server = *servers_.at(found->second.command.server);
    const policy::StartBackendCall sent = found->second.command;
    Host& sender = HostOf(found->second.host);
    ReportStep(StepKind::kSend, sender, sent.server);
    if (!calls_.contains(execution)) return;
    AdvanceServer(server);
    stand_ins::BackendCall model_call;
    model_call.id = stand_ins::ModelCallId(execution);
    model_call.request = sent.request.value();
    model_call.stage = sent.stage;
    model_call.idempotency_key = sent.idempotency_key;
    model_call.input = sent.input;
    model_call.max_tokens = sent.max_tokens;
    model_call.offset = sent.offset;
    model_call.priority = sent.priority;
    RecordWarmth(server);
    if (server.model.Start(model_call, now()) ==
        stand_ins::StartResult::kRefused) {
      EndCall(execution, AttemptOutcome::kRefused, {}, server.model.Report());
      return;
    }
    calls_.at(execution).is_running = true;
    const bool is_idempotent =
        sent.idempotency == configuration::Idempotency::kIdempotent;
    RecordEvent(ExecutionStarted{sent.server, sender.id, execution,
                                 MarkerOf(sent.input), sent.idempotency_key,
                                 is_idempotent
                                     ? Repeatability::kIdempotent
                                     : Repeatability::kNonIdempotent});
    ScheduleServer(server);
  });
  WatchProgress(execution);
}

// The process's own time-outs: deadline, first byte, and between two bytes.
void Session::WatchProgress(std::uint64_t execution) {
  const auto found = calls_.find(execution);
  if (found == calls_.end() || !found->second.is_awaited) return;
  const BackendCall& call = found->second;
  const Duration timeout = call.has_byte ? call.command.progress_timeout
                                         : call.command.first_byte_timeout;
  const TimePoint due =
      timeout > Duration::zero()
          ? std::min(call.command.deadline, call.last_progress + timeout)
          : call.command.deadline;
  Host& host = HostOf(call.host);
  const bool can_look = !host.is_frozen;
  if (now() < due || !can_look) {
    const TimePoint next = std::max(due, now() + milliseconds(5));
    timers_.Schedule(next, [this, execution] { WatchProgress(execution); });
    return;
  }
  const bool is_deadline = now() >= call.command.deadline;
  CancelAtServer(execution);
  EndCall(execution,
          is_deadline ? AttemptOutcome::kDeadlineReached
                      : AttemptOutcome::kNoProgress,
          {}, std::nullopt);
}

// The server learns that the connection is closed, unless an intermediary has
// dropped its state of the connection.
void Session::CancelAtServer(std::uint64_t execution) {
  const auto found = calls_.find(execution);
  if (found == calls_.end() || found->second.is_silent) return;
  After(kNetworkDelay, [this, execution] {
    const auto call = calls_.find(execution);
    if (call == calls_.end() || !call->second.is_running) return;
    Server& server = *servers_.at(call->second.command.server);
    AdvanceServer(server);
    if (!calls_.contains(execution) || !calls_.at(execution).is_running) return;
    server.model.Cancel(stand_ins::ModelCallId(execution), now());
    RecordExecutionEnd(server, execution);
    ScheduleServer(server);
  });
}

void Session::RecordExecutionEnd(Server& server, std::uint64_t execution) {
  const auto found = calls_.find(execution);
  if (found == calls_.end() || !found->second.is_running) return;
  found->second.is_running = false;
  RecordEvent(ExecutionEnded{server.model.settings().id, execution});
  if (!found->second.is_awaited) calls_.erase(found);
}

void Session::EndCall(std::uint64_t execution, AttemptOutcome outcome,
                      std::string output,
                      std::optional<policy::ServerReport> report) {
  const auto found = calls_.find(execution);
  if (found == calls_.end() || !found->second.is_awaited) return;
  found->second.is_awaited = false;
  const BackendCall call = found->second;
  if (!call.is_running) calls_.erase(found);
  After(kNetworkDelay,
        [this, call, outcome, output = std::move(output), report] {
          Host& host = HostOf(call.host);
          if (host.incarnation != call.incarnation) return;
          if (outcome == AttemptOutcome::kOk)
            ReportStep(StepKind::kStageDone, host, call.command.server);
          Deliver(host, policy::BackendFinished{call.command.attempt, outcome,
                                                output, report});
        });
}

void Session::AdvanceServer(Server& server) {
  for (const stand_ins::BackendEvent& event : server.model.Advance(now())) {
    RecordWarmth(server);
    if (const auto* token = std::get_if<stand_ins::TokenProduced>(&event)) {
      const auto found = calls_.find(token->call.value());
      if (found == calls_.end()) continue;
      BackendCall& call = found->second;
      if (call.is_silent || !call.is_awaited) continue;
      const bool is_first = !call.has_byte;
      call.has_byte = true;
      call.last_progress = now();
      if (is_first) {
        server.model.RecordGenerationReport(now());
        RecordEvent(GenerationReported{server.model.settings().id});
      }
      // The headers of a response arrive with its first byte.
      const policy::ServerReport report = server.model.Report();
      const BackendCall copy = call;
      const stand_ins::TokenProduced produced = *token;
      After(kNetworkDelay, [this, copy, produced, is_first, report] {
        Host& host = HostOf(copy.host);
        if (host.incarnation != copy.incarnation) return;
        if (is_first) {
          ReportStep(StepKind::kFirstByte, host, copy.command.server);
          Deliver(host, policy::LoadReported{copy.command.server, report});
        }
        if (produced.offset == kMidStreamOffset)
          ReportStep(StepKind::kMidStream, host, copy.command.server);
        Deliver(host, policy::BackendToken{copy.command.attempt,
                                           produced.offset, produced.text});
      });
      continue;
    }
    const auto& finished = std::get<stand_ins::CallFinished>(event);
    const std::uint64_t execution = finished.call.value();
    const auto found = calls_.find(execution);
    const bool is_response_received =
        found != calls_.end() && !found->second.is_silent;
    RecordExecutionEnd(server, execution);
    if (!is_response_received) continue;
    server.model.RecordGenerationReport(now());
    RecordEvent(GenerationReported{server.model.settings().id});
    const bool is_ok = finished.outcome == stand_ins::CallOutcome::kCompleted;
    EndCall(execution,
            is_ok ? AttemptOutcome::kOk : AttemptOutcome::kServerError,
            finished.output, server.model.Report());
  }
  RecordWarmth(server);
}

void Session::ScheduleServer(Server& server) {
  if (server.due) timers_.Cancel(*server.due);
  server.due.reset();
  const auto due = server.model.NextDue();
  if (!due) return;
  server.due = timers_.Schedule(std::max(*due, now()), [this, &server] {
    server.due.reset();
    AdvanceServer(server);
    ScheduleServer(server);
  });
}

void Session::RecordWarmth(Server& server) {
  const policy::Warmth warmth = server.model.Report().warmth;
  if (warmth == server.recorded_warmth) return;
  server.recorded_warmth = warmth;
  if (warmth == policy::Warmth::kWarm)
    RecordEvent(ServerTurnedWarm{server.model.settings().id});
}

void Session::Execute(Host& host, const policy::CancelBackendCall& command) {
  for (auto& [execution, call] : calls_) {
    const bool is_cancelled_call = call.host == host.id &&
                                   call.incarnation == host.incarnation &&
                                   call.command.attempt == command.attempt;
    if (!is_cancelled_call) continue;
    call.is_awaited = false;
    CancelAtServer(execution);
    return;
  }
}

void Session::Execute(Host& host, const policy::PollLoad& command) {
  const HostId id = host.id;
  After(kNetworkDelay, [this, id, command] {
    Server& server = *servers_.at(command.server);
    AdvanceServer(server);
    const stand_ins::LoadReport load = server.model.Load(now());
    if (load.generation == server.model.Report().generation) {
      server.model.RecordGenerationReport(now());
      RecordEvent(GenerationReported{command.server});
    }
    After(kNetworkDelay, [this, id, command, load] {
      Deliver(HostOf(id), policy::LoadReported{command.server,
                                               {load.generation, load.warmth,
                                                load.in_flight, load.age}});
    });
  });
}

}  // namespace lovagecleat::fault_matrix
