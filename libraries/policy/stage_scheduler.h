#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "policy/commands.h"
#include "policy/core.h"
#include "policy/credits.h"
#include "policy/membership.h"
#include "policy/placement.h"
#include "policy/retry_budget.h"
#include "policy/server_table.h"
#include "policy/stage_job.h"
#include "policy/stage_queue.h"
#include "policy/stage_times.h"

namespace lovagecleat::policy {

// A token of a job. The tokens of a job come in order and without gaps.
struct JobToken {
  JobId job;
  JobOrigin origin;
  std::uint64_t offset = 0;
  std::string text;
};

// The final outcome of a job, after all its attempts.
struct JobEnded {
  JobId job;
  JobOrigin origin;
  AttemptOutcome outcome = AttemptOutcome::kOk;
  // Whether any server may have run the job in any attempt.
  enum class Execution { kNone, kPossible } execution = Execution::kNone;
  std::string output;
  StageTrace trace;
};

using JobEvent = std::variant<JobToken, JobEnded>;

// The state that the scheduler shares with the core, which owns it.
struct SchedulerDependencies {
  ServerTable& servers;
  CreditLedger& credits;
  Membership& membership;
  StageTimes& times;
};

// Queues stage jobs, places them on servers of the local zone within the
// admission credits, forwards them to hosts of other zones, and retries them.
class StageScheduler {
 public:
  StageScheduler(const CoreSettings& settings,
                 const SchedulerDependencies& dependencies,
                 std::vector<Command>& commands);

  JobId Submit(JobOrigin origin, StageWork work, TimePoint now);
  void Cancel(JobId job, TimePoint now);

  void HandleToken(const BackendToken& token);
  void HandleFinished(const BackendFinished& finished, TimePoint now);
  void HandlePeerToken(const HostId& from, const messages::StageToken& token);
  void HandlePeerResult(const HostId& from, const messages::StageResult& result,
                        TimePoint now);

  // Clears the record of services without free credits. To be called when
  // credits or servers may have become available.
  void ClearSaturation() { saturated_until_.clear(); }

  // Fails remote jobs whose host is dead or whose deadline has passed, and
  // starts queued jobs as far as there is capacity.
  void Dispatch(TimePoint now);

  void ApplyConfiguration(const configuration::Configuration& configuration);

  std::vector<JobEvent> TakeEvents();
  std::optional<TimePoint> NextDue(TimePoint now) const;

  std::optional<ServerId> ServerOfAttempt(AttemptId attempt) const;

  // Returns the expected queueing time of a new job of `service`.
  Duration PredictedWait(const ServiceId& service, TimePoint now) const;
  std::size_t QueuedJobs(const ServiceId& service) const;
  std::size_t job_count() const { return jobs_.size(); }
  std::uint64_t dropped_results() const { return dropped_results_; }

 private:
  enum class Placed { kYes, kNo };
  struct CachedCapacity {
    std::uint32_t calls = 0;
    TimePoint valid_until{};
  };

  // A credit to release later, since the server may still run the call.
  struct DeferredRelease {
    CreditId credit;
    ServerId server;
    ServiceId service;
  };

  StageQueue& QueueOf(const ServiceId& service) { return queues_[service]; }
  void Enqueue(StageJob& job, TimePoint now);
  TimePoint LatestStart(const StageWork& work, TimePoint now) const;

  void DispatchQueue(const ServiceId& service, StageQueue& queue,
                     TimePoint now);
  void ReturnPeerJobs(StageQueue& queue, TimePoint now);
  void RejectExpiredJobs(StageQueue& queue, TimePoint now);
  void FailLostRemoteJobs(TimePoint now);
  Placed PlaceLocally(StageJob& job, TimePoint now);
  Placed ForwardToPeer(StageJob& job, TimePoint now);
  void RequestLoans(const ServiceId& service, const StageQueue& queue,
                    TimePoint now);
  void StartOnServer(StageJob& job, const ServerEntry& server,
                     const Admission& admission, TimePoint now);
  std::optional<HostInfo> ChoosePeer(const StageJob& job, TimePoint now);

  StageJob* FindByAttempt(AttemptId attempt);
  void EndAttempt(StageJob& job, const BackendFinished& finished,
                  TimePoint now);
  bool MayRetry(const StageJob& job, AttemptOutcome outcome, TimePoint now);
  void FinishOrRetry(StageJob& job, AttemptOutcome outcome, std::string output,
                     TimePoint now);
  void Finish(StageJob& job, AttemptOutcome outcome, std::string output,
              TimePoint now);
  void AcceptToken(StageJob& job, std::uint64_t offset, std::string_view text);
  void ReleaseCredit(const StageJob& job, const JobOnServer& running,
                     AttemptOutcome outcome, TimePoint now);
  void RunDeferredReleases(TimePoint now);
  void Record(const StageJob& job, std::string text);
  void ObserveOutcome(const StageJob& job, const JobOnServer& running,
                      AttemptOutcome outcome, TimePoint now);
  std::uint32_t ZoneCapacity(const ServiceId& service, TimePoint now) const;
  std::vector<Candidate> FindCandidates(const StageJob& job, TimePoint now);

  CoreSettings settings_;
  SchedulerDependencies dependencies_;
  std::vector<Command>& commands_;
  Placement placement_;
  RetryBudget retries_;
  Random random_;
  std::set<ZoneId> zones_out_;

  std::uint64_t last_job_ = 0;
  std::uint64_t last_attempt_ = 0;
  std::uint64_t dropped_results_ = 0;
  std::map<JobId, StageJob> jobs_;
  std::map<AttemptId, JobId> attempts_;
  std::set<AttemptId> remote_attempts_;  // of jobs that were forwarded to peers
  std::map<ServiceId, StageQueue> queues_;
  std::map<ServiceId, TimePoint> next_loan_request_;
  // The time until which a service is taken to have no server with a free
  // credit. An entry is erased when a credit of the service is released.
  std::map<ServiceId, TimePoint> saturated_until_;
  mutable std::map<ServiceId, CachedCapacity> capacities_;
  // Credits of abandoned calls that the server may still run, keyed by the time
  // at which it no longer can.
  std::multimap<TimePoint, DeferredRelease> deferred_releases_;
  std::vector<JobEvent> events_;
};

}  // namespace lovagecleat::policy
