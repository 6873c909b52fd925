#include <algorithm>
#include <cassert>
#include <utility>

#include "policy/request_flow.h"

// Validates arriving requests, and accepts or refuses them.
namespace lovagecleat::policy {

namespace {

constexpr Duration kMinimumDeadline = std::chrono::milliseconds(50);
constexpr Duration kMaximumDeadline = std::chrono::seconds(10);
constexpr Duration kNotReadyRetryAfter = std::chrono::seconds(1);
constexpr std::size_t kMaximumKeyBytes = 128;
constexpr std::size_t kMaximumTeamBytes = 128;

}  // namespace

void RequestFlow::RefuseArrival(const CallerRequestArrived& arrival,
                                RefusalReason reason, RequestOutcome outcome,
                                std::string detail,
                                std::optional<Duration> retry_after) {
  DeliverRefusal refusal;
  refusal.call = arrival.call;
  refusal.reason = reason;
  refusal.outcome = outcome;
  refusal.detail = std::move(detail);
  refusal.retry_after = retry_after;
  commands_.emplace_back(std::move(refusal));
}

std::optional<RequestFlow::ValidatedArrival> RequestFlow::Validate(
    const CallerRequestArrived& arrival, AdmissionState admission_state) {
  const auto refuse = [&](RefusalReason reason, std::string detail,
                          std::optional<Duration> retry_after = std::nullopt) {
    RefuseArrival(arrival, reason, RequestOutcome::kNotRun, std::move(detail),
                  retry_after);
    return std::nullopt;
  };
  if (admission_state == AdmissionState::kStopping) {
    return refuse(RefusalReason::kStopping, "This host is stopping.",
                  kNotReadyRetryAfter);
  }
  if (admission_state == AdmissionState::kNotConfigured ||
      configuration_ == nullptr) {
    return refuse(RefusalReason::kNotConfigured,
                  "This host has no configuration yet.", kNotReadyRetryAfter);
  }
  if (requests_.size() >= settings_.maximum_requests) {
    return refuse(RefusalReason::kTooManyCalls,
                  "This host has as many requests as it may.",
                  kNotReadyRetryAfter);
  }
  const auto* request_class = configuration_->FindClass(arrival.request_class);
  if (request_class == nullptr) {
    return refuse(RefusalReason::kUnknownClass,
                  "There is no class " + arrival.request_class.value() + ".");
  }
  if (arrival.team.empty() || arrival.team.value().size() > kMaximumTeamBytes) {
    return refuse(RefusalReason::kMalformed,
                  "The team must have 1 to 128 characters.");
  }
  const Duration deadline = arrival.deadline.value_or(kMaximumDeadline);
  if (deadline < kMinimumDeadline || deadline > kMaximumDeadline) {
    return refuse(RefusalReason::kDeadlineOutOfRange,
                  "The deadline must lie from 50 to 10000 ms.");
  }
  const auto* pipeline = configuration_->FindPipeline(request_class->pipeline);
  assert(pipeline != nullptr);  // ensured by the configuration checks
  if (arrival.idempotency_key.size() > kMaximumKeyBytes) {
    return refuse(RefusalReason::kMalformed,
                  "The idempotency key is longer than 128 characters.");
  }
  if (arrival.idempotency_key.empty() && HasNonIdempotentStage(*pipeline)) {
    return refuse(RefusalReason::kMissingIdempotencyKey,
                  "This class needs an Idempotency-Key.");
  }
  return ValidatedArrival{request_class, pipeline};
}

bool RequestFlow::HasNonIdempotentStage(
    const configuration::Pipeline& pipeline) const {
  return std::any_of(
      pipeline.stages.begin(), pipeline.stages.end(),
      [this](const configuration::Stage& stage) {
        return configuration_->FindService(stage.service)->idempotency ==
               configuration::Idempotency::kNonIdempotent;
      });
}

Duration RequestFlow::PredictedLateness(const configuration::Pipeline& pipeline,
                                        TimePoint deadline,
                                        TimePoint now) const {
  if (settings_.placement != PlacementKind::kExpectedFinish) {
    return Duration::zero();
  }
  Duration needed{};
  Duration waits{};
  for (const configuration::Stage& stage : pipeline.stages) {
    needed += times_.Expected({stage.service, stage.max_tokens});
    waits += scheduler_.PredictedWait(stage.service, now);
  }
  // With empty queues the request is accepted whatever the estimates are, so
  // that new samples can correct estimates that are too high.
  if (waits <= Duration::zero()) return Duration::zero();
  return now + needed + waits - deadline;
}

void RequestFlow::HandleArrival(const CallerRequestArrived& arrival,
                                AdmissionState admission_state, TimePoint now,
                                WallTime wall_now) {
  const std::optional<ValidatedArrival> valid =
      Validate(arrival, admission_state);
  if (!valid.has_value()) return;
  const std::pair<TeamId, std::string> key{arrival.team,
                                           arrival.idempotency_key};
  const bool has_key = !arrival.idempotency_key.empty();
  if (has_key && by_key_.contains(key)) {
    // The first call may still run the work, so the outcome is not kNotRun.
    RefuseArrival(arrival, RefusalReason::kDuplicateInFlight,
                  RequestOutcome::kUnknown,
                  "A call with this key is in progress; ask again for its "
                  "outcome. This call itself started nothing.",
                  kMinimumRetryAfter);
    return;
  }
  const Duration target = configuration::TargetAt(
      *valid->request_class, wall_now, configuration_->content().utc_offset);
  const TimePoint deadline =
      now + std::min(target, arrival.deadline.value_or(target));
  const Duration lateness = PredictedLateness(*valid->pipeline, deadline, now);
  if (lateness > Duration::zero()) {
    RefuseArrival(arrival, RefusalReason::kCannotMeetDeadline,
                  RequestOutcome::kNotRun,
                  "The answer would be late; nothing was started.",
                  std::max(lateness, kMinimumRetryAfter));
    return;
  }

  Request request;
  request.id = RequestId(settings_.host.value() + "-" +
                         std::to_string(settings_.incarnation) + "-" +
                         std::to_string(++last_request_));
  request.call = arrival.call;
  request.configuration = configuration_;
  request.pipeline = valid->pipeline;
  request.request_class = arrival.request_class;
  request.team = arrival.team;
  request.key = arrival.idempotency_key;
  request.input = arrival.input;
  request.delivery = arrival.delivery;
  request.has_non_idempotent_stage = HasNonIdempotentStage(*valid->pipeline);
  request.arrived = now;
  request.deadline = deadline;
  const RequestId id = request.id;
  by_call_.emplace(arrival.call, id);
  if (has_key) by_key_.emplace(key, id);
  Request& stored = requests_.emplace(id, std::move(request)).first->second;
  commands_.emplace_back(RecordDecision{
      id, "request",
      "Accepted for class " + arrival.request_class.value() + " with " +
          std::to_string((deadline - now).count() / 1000) + " ms."});
  StartStage(stored, now);
}

}  // namespace lovagecleat::policy
