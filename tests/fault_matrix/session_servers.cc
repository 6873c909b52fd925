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

void Session::Do(Host& host, const policy::StartBackendCall& command) {
  See(StepKind::kAdmit, host, command.server);
  if (host.core == nullptr) return;
  if (host.is_frozen) {
    host.pending.emplace_back(command);
    return;
  }
  const auto refuse = [&] {
    const HostId id = host.id;
    After(Duration::zero(), [this, id, attempt = command.attempt] {
      Deliver(HostOf(id), policy::BackendFinished{
                              attempt, AttemptOutcome::kNotSent, {}, {}});
    });
  };
  // The process looks at the clock at the point of sending.
  if (now() >= command.send_before) return refuse();
  const HostId id = host.id;
  const std::uint64_t number = ++last_execution_;
  BackendCall& call = calls_[number];
  call.host = id;
  call.incarnation = host.incarnation;
  call.command = command;
  call.last_progress = now();
  After(kHop, [this, number] {
    const auto found = calls_.find(number);
    if (found == calls_.end()) return;
    Server& server = *servers_.at(found->second.command.server);
    const policy::StartBackendCall sent = found->second.command;
    Host& sender = HostOf(found->second.host);
    See(StepKind::kSend, sender, sent.server);
    if (!calls_.contains(number)) return;
    ServeDue(server);
    stand_ins::BackendCall begun;
    begun.number = stand_ins::CallNumber(number);
    begun.request = sent.request.value();
    begun.stage = sent.stage;
    begun.idempotency_key = sent.idempotency_key;
    begun.input = sent.input;
    begun.max_tokens = sent.max_tokens;
    begun.offset = sent.offset;
    begun.priority = sent.priority;
    NoteWarmth(server);
    if (server.model.Start(begun, now()) == stand_ins::StartResult::kRefused) {
      EndCall(number, AttemptOutcome::kRefused, {}, server.model.Report());
      return;
    }
    calls_.at(number).is_running = true;
    const bool repeats =
        sent.idempotency == configuration::Idempotency::kIdempotent;
    Note(ExecutionStarted{
        sent.server, sender.id, number, MarkerOf(sent.input),
        sent.idempotency_key,
        repeats ? Repeatability::kIdempotent : Repeatability::kNonIdempotent});
    ScheduleServer(server);
  });
  WatchProgress(number);
}

// The process's own time-outs: deadline, first byte, and between two bytes.
void Session::WatchProgress(std::uint64_t number) {
  const auto found = calls_.find(number);
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
    timers_.Schedule(next, [this, number] { WatchProgress(number); });
    return;
  }
  const bool is_deadline = now() >= call.command.deadline;
  CancelAtServer(number);
  EndCall(number,
          is_deadline ? AttemptOutcome::kDeadlineReached
                      : AttemptOutcome::kNoProgress,
          {}, std::nullopt);
}

// The closed connection reaches the server, unless something in between has
// lost track of it.
void Session::CancelAtServer(std::uint64_t number) {
  const auto found = calls_.find(number);
  if (found == calls_.end() || found->second.is_silent) return;
  After(kHop, [this, number] {
    const auto call = calls_.find(number);
    if (call == calls_.end() || !call->second.is_running) return;
    Server& server = *servers_.at(call->second.command.server);
    ServeDue(server);
    if (!calls_.contains(number) || !calls_.at(number).is_running) return;
    server.model.Cancel(stand_ins::CallNumber(number), now());
    NoteExecutionEnd(server, number);
    ScheduleServer(server);
  });
}

void Session::NoteExecutionEnd(Server& server, std::uint64_t number) {
  const auto found = calls_.find(number);
  if (found == calls_.end() || !found->second.is_running) return;
  found->second.is_running = false;
  Note(ExecutionEnded{server.model.settings().id, number});
  if (!found->second.is_awaited) calls_.erase(found);
}

void Session::EndCall(std::uint64_t number, AttemptOutcome outcome,
                      std::string output,
                      std::optional<policy::ServerReport> report) {
  const auto found = calls_.find(number);
  if (found == calls_.end() || !found->second.is_awaited) return;
  found->second.is_awaited = false;
  const BackendCall call = found->second;
  if (!call.is_running) calls_.erase(found);
  After(kHop, [this, call, outcome, output = std::move(output), report] {
    Host& host = HostOf(call.host);
    if (host.incarnation != call.incarnation) return;
    if (outcome == AttemptOutcome::kOk)
      See(StepKind::kStageDone, host, call.command.server);
    Deliver(host, policy::BackendFinished{call.command.attempt, outcome, output,
                                          report});
  });
}

void Session::ServeDue(Server& server) {
  for (const stand_ins::BackendEvent& event : server.model.Advance(now())) {
    NoteWarmth(server);
    if (const auto* token = std::get_if<stand_ins::TokenProduced>(&event)) {
      const auto found = calls_.find(token->call.value());
      if (found == calls_.end()) continue;
      BackendCall& call = found->second;
      if (call.is_silent || !call.is_awaited) continue;
      const bool is_first = !call.has_byte;
      call.has_byte = true;
      call.last_progress = now();
      if (is_first) {
        server.model.NoteSignSent(now());
        Note(SignSent{server.model.settings().id});
      }
      // The headers of an answer come with its first byte.
      const policy::ServerReport report = server.model.Report();
      const BackendCall copy = call;
      const stand_ins::TokenProduced produced = *token;
      After(kHop, [this, copy, produced, is_first, report] {
        Host& host = HostOf(copy.host);
        if (host.incarnation != copy.incarnation) return;
        if (is_first) {
          See(StepKind::kFirstByte, host, copy.command.server);
          Deliver(host, policy::LoadReported{copy.command.server, report});
        }
        if (produced.offset == kMidStreamOffset)
          See(StepKind::kMidStream, host, copy.command.server);
        Deliver(host, policy::BackendToken{copy.command.attempt,
                                           produced.offset, produced.text});
      });
      continue;
    }
    const auto& finished = std::get<stand_ins::CallFinished>(event);
    const std::uint64_t number = finished.call.value();
    const auto found = calls_.find(number);
    const bool is_heard = found != calls_.end() && !found->second.is_silent;
    NoteExecutionEnd(server, number);
    if (!is_heard) continue;
    server.model.NoteSignSent(now());
    Note(SignSent{server.model.settings().id});
    const bool is_ok = finished.outcome == stand_ins::CallOutcome::kDone;
    EndCall(number, is_ok ? AttemptOutcome::kOk : AttemptOutcome::kServerError,
            finished.output, server.model.Report());
  }
  NoteWarmth(server);
}

void Session::ScheduleServer(Server& server) {
  if (server.due) timers_.Cancel(*server.due);
  server.due.reset();
  const auto due = server.model.NextDue();
  if (!due) return;
  server.due = timers_.Schedule(std::max(*due, now()), [this, &server] {
    server.due.reset();
    ServeDue(server);
    ScheduleServer(server);
  });
}

void Session::NoteWarmth(Server& server) {
  const policy::Warmth warmth = server.model.Report().warmth;
  if (warmth == server.noted) return;
  server.noted = warmth;
  if (warmth == policy::Warmth::kWarm)
    Note(ServerTurnedWarm{server.model.settings().id});
}

void Session::Do(Host& host, const policy::CancelBackendCall& command) {
  for (auto& [number, call] : calls_) {
    const bool is_it = call.host == host.id &&
                       call.incarnation == host.incarnation &&
                       call.command.attempt == command.attempt;
    if (!is_it) continue;
    call.is_awaited = false;
    CancelAtServer(number);
    return;
  }
}

void Session::Do(Host& host, const policy::PollLoad& command) {
  const HostId id = host.id;
  After(kHop, [this, id, command] {
    Server& server = *servers_.at(command.server);
    ServeDue(server);
    const stand_ins::LoadReport load = server.model.Load(now());
    if (load.generation == server.model.Report().generation) {
      server.model.NoteSignSent(now());
      Note(SignSent{command.server});
    }
    After(kHop, [this, id, command, load] {
      Deliver(HostOf(id), policy::LoadReported{command.server,
                                               {load.generation, load.warmth,
                                                load.in_flight, load.age}});
    });
  });
}

}  // namespace lovagecleat::fault_matrix
