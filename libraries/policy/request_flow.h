#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "policy/commands.h"
#include "policy/core.h"
#include "policy/intent.h"
#include "policy/operation_counter.h"
#include "policy/stage_scheduler.h"

namespace lovagecleat::policy {

// The shortest time after which a retry of a refused request can succeed.
inline constexpr Duration kMinimumRetryAfter = std::chrono::seconds(1);

enum class AdmissionState { kAccepting, kStopping, kNotConfigured };

// Runs the requests that callers sent to this host. Each request runs the
// stages of its pipeline in order and gets exactly one final answer.
class RequestFlow {
 public:
  RequestFlow(const CoreSettings& settings, StageScheduler& scheduler,
              StageTimes& times, OperationCounter& operations,
              std::vector<Command>& commands);

  void SetConfiguration(
      std::shared_ptr<const configuration::IndexedConfiguration> configuration);

  void HandleArrival(const CallerRequestArrived& arrival,
                     AdmissionState admission_state, TimePoint now,
                     WallTime wall_now);
  void HandleDisconnect(CallId call, TimePoint now);
  void HandleJobToken(const RequestId& request, const JobToken& token);
  void HandleJobEnded(const RequestId& request, const JobEnded& ended,
                      TimePoint now);

  // Returns whether the table operation belongs to an intent of a request.
  bool HandleTableAnswer(const TableAnswered& answer, TimePoint now);

  void Tick(TimePoint now);
  std::optional<TimePoint> NextDue() const;

  // Returns the number of requests that have no final answer yet or have an
  // unsettled intent.
  std::size_t open_requests() const { return requests_.size(); }

 private:
  using Snapshot = std::shared_ptr<const configuration::IndexedConfiguration>;

  struct Request {
    RequestId id;
    std::optional<CallId> call;  // empty after the caller disconnected
    Snapshot configuration;
    const configuration::Pipeline* pipeline = nullptr;
    ClassId request_class;
    TeamId team;
    std::string key;
    std::string input;
    Delivery delivery = Delivery::kSingleResponse;
    TimePoint arrived{};
    TimePoint deadline{};
    std::size_t stage = 0;
    std::vector<std::string> outputs;  // JSON, one per finished stage
    std::vector<StageTrace> trace;
    std::optional<JobId> job;
    std::unique_ptr<IntentRun> intent;  // of the current stage
    // Concluded intents whose table rows may not be closed yet.
    std::vector<std::unique_ptr<IntentRun>> concluded_intents;
    bool has_non_idempotent_stage = false;
    bool has_run_non_idempotent_stage = false;
    bool may_have_run = false;  // whether any stage may have run
    bool is_answered = false;
  };

  struct ValidatedArrival {
    const configuration::RequestClass* request_class = nullptr;
    const configuration::Pipeline* pipeline = nullptr;
  };

  std::optional<ValidatedArrival> Validate(const CallerRequestArrived& arrival,
                                           AdmissionState admission_state);
  void RefuseArrival(const CallerRequestArrived& arrival, RefusalReason reason,
                     RequestOutcome outcome, std::string detail,
                     std::optional<Duration> retry_after);
  bool HasNonIdempotentStage(const configuration::Pipeline& pipeline) const;
  // Returns by how much the request is expected to miss its deadline; zero or
  // less if it is expected to meet it.
  Duration PredictedLateness(const configuration::Pipeline& pipeline,
                             TimePoint deadline, TimePoint now) const;

  const configuration::Stage& StageOf(const Request& request) const;
  const configuration::Service& ServiceOf(const Request& request) const;
  TimePoint StageDeadline(const Request& request) const;
  std::string StageInput(const Request& request) const;
  void StartStage(Request& request, TimePoint now);
  void SubmitJob(Request& request, TimePoint now);
  void ApplyIntentStep(Request& request, IntentStep step, TimePoint now);
  void ApplyConclusion(Request& request, const IntentConclusion& conclusion,
                       TimePoint now);
  void EndStage(Request& request, std::string output, TimePoint now);
  void FailStage(Request& request, AttemptOutcome outcome, TimePoint now);
  void Answer(Request& request, TimePoint now);
  void Refuse(Request& request, RefusalReason reason, RequestOutcome outcome,
              std::string detail, std::optional<Duration> retry_after);
  RequestOutcome OutcomeWithoutAnswer(const Request& request) const;
  static std::vector<IntentRun*> IntentsOf(const Request& request);
  void MoveIntentToConcluded(Request& request);
  void EraseIfSettled(const RequestId& id);
  Request* FindRequest(const RequestId& id);

  CoreSettings settings_;
  StageScheduler& scheduler_;
  StageTimes& times_;
  OperationCounter& operations_;
  std::vector<Command>& commands_;
  Snapshot configuration_;
  std::uint64_t last_request_ = 0;
  std::map<RequestId, Request> requests_;
  std::map<CallId, RequestId> by_call_;
  std::map<std::pair<TeamId, std::string>, RequestId> by_key_;
  std::map<OperationId, RequestId> by_operation_;
  std::set<RequestId> requests_with_intents_;
};

}  // namespace lovagecleat::policy
