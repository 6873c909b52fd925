#include "policy/request_flow.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace lovagecleat::policy {

namespace {

constexpr Duration kStoreUnavailableRetryAfter = std::chrono::seconds(2);

std::optional<OperationId> OperationOf(const Command& command) {
  if (const auto* read = std::get_if<ReadTable>(&command)) {
    return read->operation;
  }
  if (const auto* write = std::get_if<WriteTable>(&command)) {
    return write->operation;
  }
  return std::nullopt;
}

}  // namespace

RequestFlow::RequestFlow(const CoreSettings& settings,
                         StageScheduler& scheduler, StageTimes& times,
                         OperationCounter& operations,
                         std::vector<Command>& commands)
    : settings_(settings),
      scheduler_(scheduler),
      times_(times),
      operations_(operations),
      commands_(commands) {}

void RequestFlow::SetConfiguration(Snapshot configuration) {
  configuration_ = std::move(configuration);
}

void RequestFlow::HandleDisconnect(CallId call, TimePoint now) {
  const auto found = by_call_.find(call);
  if (found == by_call_.end()) return;
  const RequestId id = found->second;
  by_call_.erase(found);
  Request& request = requests_.at(id);
  request.call.reset();
  // A non-idempotent stage continues, so that its outcome is recorded.
  if (request.intent != nullptr) return;
  if (request.job.has_value()) scheduler_.Cancel(*request.job, now);
  request.job.reset();
  request.is_answered = true;
  EraseIfSettled(id);
}

// --- Stages -----------------------------------------------------------------

const configuration::Stage& RequestFlow::StageOf(const Request& request) const {
  return request.pipeline->stages[request.stage];
}

const configuration::Service& RequestFlow::ServiceOf(
    const Request& request) const {
  return *request.configuration->FindService(StageOf(request).service);
}

// Reserves the expected times of the later stages.
TimePoint RequestFlow::StageDeadline(const Request& request) const {
  Duration later{};
  const auto& stages = request.pipeline->stages;
  for (std::size_t i = request.stage + 1; i < stages.size(); ++i) {
    later += times_.Expected({stages[i].service, stages[i].max_tokens});
  }
  return request.deadline - later;
}

std::string RequestFlow::StageInput(const Request& request) const {
  std::string text = "{\"input\":" + request.input + ",\"previous\":{";
  for (std::size_t i = 0; i < request.outputs.size(); ++i) {
    if (i > 0) text += ",";
    // Configuration checks ensure that stage names need no escaping.
    text +=
        "\"" + request.pipeline->stages[i].name + "\":" + request.outputs[i];
  }
  return text + "}}";
}

void RequestFlow::StartStage(Request& request, TimePoint now) {
  const bool is_idempotent =
      ServiceOf(request).idempotency == configuration::Idempotency::kIdempotent;
  if (is_idempotent) {
    SubmitJob(request, now);
    return;
  }
  const std::string& stage = StageOf(request).name;
  requests_with_intents_.insert(request.id);
  request.intent = std::make_unique<IntentRun>(
      IntentKey{request.team, request.key, stage},
      StableHash(request.request_class.value() + "\n" + request.input),
      request.id.value() + "/" + stage, operations_, request.deadline);
  ApplyIntentStep(request, request.intent->Start(now), now);
}

void RequestFlow::SubmitJob(Request& request, TimePoint now) {
  const configuration::Stage& stage = StageOf(request);
  const configuration::Service& service = ServiceOf(request);
  StageWork work;
  work.request = request.id;
  work.stage = stage.name;
  work.service = stage.service;
  work.idempotency = service.idempotency;
  work.request_class = request.request_class;
  work.team = request.team;
  work.input = StageInput(request);
  work.max_tokens = stage.max_tokens;
  if (service.idempotency == configuration::Idempotency::kNonIdempotent) {
    work.idempotency_key = request.key;
  }
  work.deadline = request.deadline;
  work.stage_deadline = StageDeadline(request);
  request.job =
      scheduler_.Submit(LocalOrigin{request.id}, std::move(work), now);
}

RequestFlow::Request* RequestFlow::FindRequest(const RequestId& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestFlow::HandleJobToken(const RequestId& id, const JobToken& token) {
  Request* request = FindRequest(id);
  if (request == nullptr || request->job != token.job) return;
  const bool is_last = request->stage + 1 == request->pipeline->stages.size();
  if (!is_last || request->delivery != Delivery::kStream) return;
  if (!request->call.has_value()) return;
  commands_.emplace_back(
      DeliverToken{*request->call, token.offset, token.text});
}

void RequestFlow::HandleJobEnded(const RequestId& id, const JobEnded& ended,
                                 TimePoint now) {
  Request* request = FindRequest(id);
  if (request == nullptr || request->job != ended.job) return;
  request->job.reset();
  request->trace.push_back(ended.trace);
  if (ended.execution == JobEnded::Execution::kPossible) {
    request->may_have_run = true;
  }
  // An intent that was concluded before its call ended also gets the outcome,
  // so that its row is closed.
  IntentRun* intent = request->intent.get();
  if (intent == nullptr && request->is_answered) {
    if (request->concluded_intents.empty()) return;
    intent = request->concluded_intents.back().get();
  }
  if (intent != nullptr) {
    // The intent treats a call that no server can have run as not sent,
    // whatever its outcome.
    const bool is_not_run = ended.outcome != AttemptOutcome::kOk &&
                            ended.execution == JobEnded::Execution::kNone;
    const AttemptOutcome outcome =
        is_not_run ? AttemptOutcome::kNotSent : ended.outcome;
    ApplyIntentStep(
        *request, intent->HandleBackendResult(outcome, ended.output, now), now);
    return;
  }
  if (ended.outcome == AttemptOutcome::kOk) {
    EndStage(*request, ended.output, now);
    return;
  }
  FailStage(*request, ended.outcome, now);
}

void RequestFlow::EndStage(Request& request, std::string output,
                           TimePoint now) {
  request.outputs.push_back(std::move(output));
  request.may_have_run = true;
  ++request.stage;
  if (request.stage < request.pipeline->stages.size()) {
    StartStage(request, now);
    return;
  }
  Answer(request, now);
}

RequestOutcome RequestFlow::OutcomeWithoutAnswer(const Request& request) const {
  // In a pipeline with non-idempotent stages, kNotRun refers to these only:
  // idempotent stages before them may have run.
  if (request.has_run_non_idempotent_stage) return RequestOutcome::kFailed;
  if (request.has_non_idempotent_stage) return RequestOutcome::kNotRun;
  return request.may_have_run ? RequestOutcome::kFailed
                              : RequestOutcome::kNotRun;
}

void RequestFlow::FailStage(Request& request, AttemptOutcome outcome,
                            TimePoint now) {
  const RequestOutcome result = OutcomeWithoutAnswer(request);
  if (outcome == AttemptOutcome::kDeadlineReached) {
    const auto reason = now >= request.deadline
                            ? RefusalReason::kDeadlinePassed
                            : RefusalReason::kCannotMeetDeadline;
    Refuse(request, reason, result,
           "Stage " + StageOf(request).name + " could not end in time.",
           kMinimumRetryAfter);
    return;
  }
  Refuse(request, RefusalReason::kStageFailed, result,
         "Stage " + StageOf(request).name +
             " failed: " + std::string(ToString(outcome)) + ".",
         kMinimumRetryAfter);
}

// --- Intents ----------------------------------------------------------------

bool RequestFlow::HandleTableAnswer(const TableAnswered& answer,
                                    TimePoint now) {
  const auto found = by_operation_.find(answer.operation);
  if (found == by_operation_.end()) return false;
  const RequestId id = found->second;
  by_operation_.erase(found);
  Request* request = FindRequest(id);
  if (request == nullptr) return true;
  IntentRun* intent = request->intent.get();
  for (const auto& concluded : request->concluded_intents) {
    if (concluded->Owns(answer.operation)) intent = concluded.get();
  }
  if (intent == nullptr) return true;
  ApplyIntentStep(*request, intent->HandleTableAnswer(answer, now), now);
  return true;
}

void RequestFlow::ApplyIntentStep(Request& request, IntentStep step,
                                  TimePoint now) {
  const RequestId id = request.id;
  for (Command& command : step.commands) {
    const auto operation = OperationOf(command);
    if (operation.has_value()) by_operation_.emplace(*operation, id);
    commands_.push_back(std::move(command));
  }
  if (step.send_call == SendCall::kYes) SubmitJob(request, now);
  if (step.conclusion.has_value()) {
    ApplyConclusion(request, *step.conclusion, now);
  }
  EraseIfSettled(id);
}

void RequestFlow::ApplyConclusion(Request& request,
                                  const IntentConclusion& conclusion,
                                  TimePoint now) {
  const std::string stage = StageOf(request).name;
  switch (conclusion.result) {
    case IntentResult::kDone:
      request.has_run_non_idempotent_stage = true;
      MoveIntentToConcluded(request);
      EndStage(request, conclusion.output, now);
      return;
    case IntentResult::kNotRun:
      MoveIntentToConcluded(request);
      Refuse(request, RefusalReason::kStageFailed,
             OutcomeWithoutAnswer(request), "Stage " + stage + " was not run.",
             kMinimumRetryAfter);
      return;
    case IntentResult::kStoreUnavailable:
      MoveIntentToConcluded(request);
      // The row cannot be read, so kNotRun would hold for this call only: an
      // earlier call with the same key may have run at a host that failed.
      Refuse(request, RefusalReason::kStoreUnavailable,
             request.has_run_non_idempotent_stage ? RequestOutcome::kFailed
                                                  : RequestOutcome::kUnknown,
             "The platform's table does not answer. This call did not run "
             "stage " +
                 stage +
                 "; whether an earlier call with this key did "
                 "cannot be read.",
             kStoreUnavailableRetryAfter);
      return;
    case IntentResult::kKeyReused:
      MoveIntentToConcluded(request);
      Refuse(request, RefusalReason::kKeyReusedForOtherRequest,
             OutcomeWithoutAnswer(request),
             "This key was used for another request.", std::nullopt);
      return;
    case IntentResult::kInFlightElsewhere:
      MoveIntentToConcluded(request);
      Refuse(request, RefusalReason::kDuplicateInFlight,
             RequestOutcome::kUnknown,
             "A call with this key is in progress at another host.",
             kMinimumRetryAfter);
      return;
    case IntentResult::kUnknown:
      MoveIntentToConcluded(request);
      Refuse(request, RefusalReason::kStageFailed, RequestOutcome::kUnknown,
             "Whether stage " + stage + " ran is not known.",
             kMinimumRetryAfter);
      return;
  }
}

void RequestFlow::MoveIntentToConcluded(Request& request) {
  request.concluded_intents.push_back(std::move(request.intent));
}

std::vector<IntentRun*> RequestFlow::IntentsOf(const Request& request) {
  std::vector<IntentRun*> intents;
  if (request.intent != nullptr) intents.push_back(request.intent.get());
  for (const auto& concluded : request.concluded_intents)
    intents.push_back(concluded.get());
  return intents;
}

void RequestFlow::Tick(TimePoint now) {
  const std::set<RequestId> ids = requests_with_intents_;
  for (const RequestId& id : ids) {
    Request* request = FindRequest(id);
    if (request == nullptr) continue;
    for (IntentRun* intent : IntentsOf(*request)) {
      const auto next = intent->NextDue();
      if (!next.has_value() || *next > now) continue;
      ApplyIntentStep(*request, intent->HandleTimer(now), now);
      // The step may have erased the request and its other intents.
      if (FindRequest(id) == nullptr) break;
    }
  }
}

std::optional<TimePoint> RequestFlow::NextDue() const {
  std::optional<TimePoint> earliest;
  for (const RequestId& id : requests_with_intents_) {
    for (const IntentRun* intent : IntentsOf(requests_.at(id))) {
      const auto next = intent->NextDue();
      if (!next.has_value()) continue;
      earliest = std::min(*next, earliest.value_or(TimePoint::max()));
    }
  }
  return earliest;
}

// --- Answers ----------------------------------------------------------------

void RequestFlow::Answer(Request& request, TimePoint now) {
  assert(!request.is_answered);
  request.is_answered = true;
  const RequestId id = request.id;
  commands_.emplace_back(RecordDecision{
      id, "request",
      "Answered after " +
          std::to_string((now - request.arrived).count() / 1000) + " ms."});
  if (request.call.has_value()) {
    DeliverAnswer answer;
    answer.call = *request.call;
    answer.request = id;
    answer.output = request.outputs.back();
    answer.trace = request.trace;
    answer.within_target = now <= request.deadline;
    by_call_.erase(*request.call);
    request.call.reset();
    commands_.emplace_back(std::move(answer));
  }
  EraseIfSettled(id);
}

void RequestFlow::Refuse(Request& request, RefusalReason reason,
                         RequestOutcome outcome, std::string detail,
                         std::optional<Duration> retry_after) {
  assert(!request.is_answered);
  request.is_answered = true;
  const RequestId id = request.id;
  commands_.emplace_back(RecordDecision{
      id, "request", "Refused, " + std::string(ToString(reason)) + "."});
  if (request.call.has_value()) {
    DeliverRefusal refusal;
    refusal.call = *request.call;
    refusal.request = id;
    refusal.reason = reason;
    refusal.outcome = outcome;
    refusal.detail = std::move(detail);
    refusal.retry_after = retry_after;
    refusal.trace = request.trace;
    by_call_.erase(*request.call);
    request.call.reset();
    commands_.emplace_back(std::move(refusal));
  }
  EraseIfSettled(id);
}

void RequestFlow::EraseIfSettled(const RequestId& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  Request& request = found->second;
  if (!request.is_answered) return;
  const auto intents = IntentsOf(request);
  const bool is_settled =
      std::all_of(intents.begin(), intents.end(),
                  [](const IntentRun* intent) { return intent->IsSettled(); });
  if (!is_settled) return;
  requests_with_intents_.erase(id);
  if (!request.key.empty()) by_key_.erase({request.team, request.key});
  requests_.erase(found);
}

}  // namespace lovagecleat::policy
