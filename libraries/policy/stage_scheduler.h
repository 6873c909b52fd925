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

// A token of a job, in order and without gaps.
struct JobToken {
  JobId job;
  JobOrigin origin;
  std::uint64_t offset = 0;
  std::string text;
};

// How a job ended for good, after all its tries.
struct JobEnded {
  JobId job;
  JobOrigin origin;
  AttemptOutcome outcome = AttemptOutcome::kOk;
  // Whether any server may have run it, over all tries.
  enum class Execution { kNone, kPossible } execution = Execution::kNone;
  std::string output;
  StageTrace trace;
};

using JobNotice = std::variant<JobToken, JobEnded>;

// What the scheduler works on; owned by the core.
struct SchedulerParts {
  ServerTable& servers;
  CreditLedger& credits;
  Membership& membership;
  StageTimes& times;
};

// Queues stages, places them on servers of the own zone within the admission
// credits, hands them to other zones, and retries them.
class StageScheduler {
 public:
  StageScheduler(const CoreSettings& settings, const SchedulerParts& parts,
                 std::vector<Command>& commands);

  JobId Submit(JobOrigin origin, StageWork work, TimePoint now);
  void Cancel(JobId job, TimePoint now);

  void HandleToken(const BackendToken& token);
  void HandleFinished(const BackendFinished& finished, TimePoint now);
  void HandlePeerToken(const HostId& from, const messages::StageToken& token);
  void HandlePeerResult(const HostId& from, const messages::StageResult& result,
                        TimePoint now);

  // Credits or servers may have come that were not there before.
  void ForgetFullServices() { full_until_.clear(); }

  // Stops jobs whose host is gone, and starts what can be started.
  void Pump(TimePoint now);

  void ApplyConfiguration(const configuration::Configuration& configuration);

  std::vector<JobNotice> TakeNotices();
  std::optional<TimePoint> NextDue(TimePoint now) const;

  std::optional<ServerId> ServerOfAttempt(AttemptId attempt) const;

  // The wait that a new job of `service` has before it, as now expected.
  Duration PredictedWait(const ServiceId& service, TimePoint now) const;
  std::size_t QueuedJobs(const ServiceId& service) const;
  std::size_t job_count() const { return jobs_.size(); }
  std::uint64_t dropped_results() const { return dropped_results_; }

 private:
  enum class Placed { kYes, kNo };
  struct Capacity {
    std::uint32_t calls = 0;
    TimePoint valid_until{};
  };

  struct LingeringCredit {
    CreditId credit;
    ServerId server;
    ServiceId service;
  };

  StageQueue& QueueOf(const ServiceId& service) { return queues_[service]; }
  void Enqueue(StageJob& job, TimePoint now);
  TimePoint LatestStart(const StageWork& work, TimePoint now) const;

  void PumpService(const ServiceId& service, StageQueue& queue, TimePoint now);
  void ReturnOthersWork(StageQueue& queue, TimePoint now);
  void DropOverdue(StageQueue& queue, TimePoint now);
  void FailLostPeers(TimePoint now);
  Placed PlaceHere(StageJob& job, TimePoint now);
  Placed HandOver(StageJob& job, TimePoint now);
  void AskForLoans(const ServiceId& service, const StageQueue& queue,
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
  void ReleaseLingering(TimePoint now);
  void Record(const StageJob& job, std::string text);
  void ObserveEnd(const StageJob& job, const JobOnServer& running,
                  AttemptOutcome outcome, TimePoint now);
  std::uint32_t ZoneCapacity(const ServiceId& service, TimePoint now) const;
  std::vector<Candidate> FindCandidates(const StageJob& job, TimePoint now);

  CoreSettings settings_;
  SchedulerParts parts_;
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
  std::set<AttemptId> remote_attempts_;  // of jobs on other hosts
  std::map<ServiceId, StageQueue> queues_;
  std::map<ServiceId, TimePoint> next_loan_;
  // Until when a service is known to have no server with a free credit; ends
  // early when a credit of the service comes back.
  std::map<ServiceId, TimePoint> full_until_;
  mutable std::map<ServiceId, Capacity> capacities_;
  // Credits of calls that this host gave up on while the server may still be
  // running them, by the time at which it no longer can.
  std::multimap<TimePoint, LingeringCredit> lingering_;
  std::vector<JobNotice> notices_;
};

}  // namespace lovagecleat::policy
