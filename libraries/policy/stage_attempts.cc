#include <algorithm>

#include "policy/stage_scheduler.h"

// Handles the tokens and results of attempts, retries and credit releases.
namespace lovagecleat::policy {

namespace {

// The time within which a server detects a closed connection or an expired
// call.
constexpr Duration kCancellationDetectionTime = std::chrono::milliseconds(250);

}  // namespace

StageJob* StageScheduler::FindByAttempt(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    // A late or duplicate result: the attempt was abandoned or has ended.
    ++dropped_results_;
    return nullptr;
  }
  return &jobs_.at(found->second);
}

std::optional<ServerId> StageScheduler::ServerOfAttempt(
    AttemptId attempt) const {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return std::nullopt;
  const auto* running =
      std::get_if<JobOnServer>(&jobs_.at(found->second).state);
  if (running == nullptr) return std::nullopt;
  return running->server;
}

void StageScheduler::HandleToken(const BackendToken& token) {
  StageJob* job = FindByAttempt(token.attempt);
  if (job == nullptr) return;
  AcceptToken(*job, token.offset, token.text);
}

void StageScheduler::HandlePeerToken(const HostId& from,
                                     const messages::StageToken& token) {
  StageJob* job = FindByAttempt(AttemptId(token.attempt()));
  if (job == nullptr) return;
  const auto* remote = std::get_if<JobOnPeer>(&job->state);
  if (remote == nullptr || remote->host != from) return;
  AcceptToken(*job, token.offset(), token.text());
}

void StageScheduler::AcceptToken(StageJob& job, std::uint64_t offset,
                                 std::string_view text) {
  // A lower offset is a duplicate. A higher one means that tokens were lost in
  // transit; the final output is complete all the same.
  if (offset != job.next_offset) {
    ++dropped_results_;
    return;
  }
  ++job.next_offset;
  events_.emplace_back(JobToken{job.id, job.origin, offset, std::string(text)});
}

void StageScheduler::HandleFinished(const BackendFinished& finished,
                                    TimePoint now) {
  StageJob* job = FindByAttempt(finished.attempt);
  if (job == nullptr) return;
  EndAttempt(*job, finished, now);
}

void StageScheduler::EndAttempt(StageJob& job, const BackendFinished& finished,
                                TimePoint now) {
  const auto running = std::get<JobOnServer>(job.state);
  attempts_.erase(finished.attempt);
  ReleaseCredit(job, running, finished.outcome, now);
  ObserveOutcome(job, running, finished.outcome, now);
  if (finished.outcome != AttemptOutcome::kOk)
    job.failed_servers.insert(running.server);
  FinishOrRetry(job, finished.outcome, finished.output, now);
}

// The server may still run an abandoned call. Its credit is released only once
// the server, which knows the remaining time, has stopped the call as well.
void StageScheduler::ReleaseCredit(const StageJob& job,
                                   const JobOnServer& running,
                                   AttemptOutcome outcome, TimePoint now) {
  saturated_until_.erase(job.work.service);
  switch (outcome) {
    case AttemptOutcome::kOk:
      dependencies_.servers.CountCallEnd(running.server);
      dependencies_.credits.Release(running.credit, now,
                                    CallResult::kSucceeded);
      return;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kRefused:
    case AttemptOutcome::kServerError:
      dependencies_.servers.CountCallEnd(running.server);
      dependencies_.credits.Release(running.credit, now, CallResult::kFailed);
      return;
    case AttemptOutcome::kCancelled:
    case AttemptOutcome::kConnectionLost:
    case AttemptOutcome::kNoProgress:
    case AttemptOutcome::kDeadlineReached:
      break;
  }
  // An engine ends a stream when its connection closes; any server ends a call
  // when its time is over. A new call may reach the server before it detects
  // either, so the credit is held for the detection time as well.
  const bool is_cancelled_stream =
      outcome == AttemptOutcome::kCancelled && job.work.max_tokens > 0;
  const TimePoint abandoned_at = is_cancelled_stream
                                     ? std::min(running.end_before, now)
                                     : running.end_before;
  const TimePoint release_at = abandoned_at + kCancellationDetectionTime;
  deferred_releases_.emplace(
      release_at,
      DeferredRelease{running.credit, running.server, job.work.service});
}

void StageScheduler::RunDeferredReleases(TimePoint now) {
  while (!deferred_releases_.empty() &&
         deferred_releases_.begin()->first <= now) {
    const DeferredRelease release = deferred_releases_.begin()->second;
    deferred_releases_.erase(deferred_releases_.begin());
    saturated_until_.erase(release.service);
    dependencies_.servers.CountCallEnd(release.server);
    dependencies_.credits.Release(release.credit, now, CallResult::kFailed);
  }
}

void StageScheduler::ObserveOutcome(const StageJob& job,
                                    const JobOnServer& running,
                                    AttemptOutcome outcome, TimePoint now) {
  if (outcome == AttemptOutcome::kRefused) return;
  if (outcome != AttemptOutcome::kOk) {
    dependencies_.servers.ObserveFailure(running.server, now);
    return;
  }
  const StageShape shape = job.work.Shape();
  const Duration served = now - running.started;
  const Duration expected = dependencies_.times.Expected(shape);
  const double ratio =
      static_cast<double>(served.count()) /
      static_cast<double>(std::max<Duration::rep>(1, expected.count()));
  const bool is_first = dependencies_.times.HasNoSamples(shape);
  dependencies_.servers.ObserveSuccess(running.server, is_first ? 1.0 : ratio);
  dependencies_.times.AddServed(shape, served);
}

void StageScheduler::HandlePeerResult(const HostId& from,
                                      const messages::StageResult& result,
                                      TimePoint now) {
  StageJob* job = FindByAttempt(AttemptId(result.attempt()));
  if (job == nullptr) return;
  auto* remote = std::get_if<JobOnPeer>(&job->state);
  if (remote == nullptr || remote->host != from) return;
  remote->server = ServerId(result.server());
  remote_attempts_.erase(remote->attempt);
  attempts_.erase(remote->attempt);
  const auto outcome = static_cast<AttemptOutcome>(result.outcome());
  if (outcome != AttemptOutcome::kOk) job->failed_hosts.insert(from);
  FinishOrRetry(*job, outcome, result.output(), now);
}

bool StageScheduler::MayRetry(const StageJob& job, AttemptOutcome outcome,
                              TimePoint now) {
  if (outcome == AttemptOutcome::kOk) return false;
  if (outcome == AttemptOutcome::kCancelled) return false;
  if (job.attempts >= kMaximumAttempts) return false;
  if (now + dependencies_.times.Expected(job.work.Shape()) >
      job.work.deadline) {
    return false;
  }
  const bool is_idempotent =
      job.work.idempotency == configuration::Idempotency::kIdempotent;
  if (!is_idempotent && !IsKnownNotRun(outcome)) return false;
  return retries_.TakeRetry(job.work.service);
}

void StageScheduler::FinishOrRetry(StageJob& job, AttemptOutcome outcome,
                                   std::string output, TimePoint now) {
  if (!IsKnownNotRun(outcome)) job.may_have_run = true;
  if (!MayRetry(job, outcome, now)) {
    Finish(job, outcome, std::move(output), now);
    return;
  }
  Record(job, "Retries after " + std::string(ToString(outcome)) + ".");
  Enqueue(job, now);
}

void StageScheduler::Finish(StageJob& job, AttemptOutcome outcome,
                            std::string output, TimePoint now) {
  JobEnded ended;
  ended.job = job.id;
  ended.origin = job.origin;
  ended.outcome = outcome;
  ended.execution = job.may_have_run ? JobEnded::Execution::kPossible
                                     : JobEnded::Execution::kNone;
  ended.output = std::move(output);
  ended.trace.stage = job.work.stage;
  ended.trace.attempts = job.attempts;
  ended.trace.queued = job.queued;
  if (const auto* running = std::get_if<JobOnServer>(&job.state)) {
    ended.trace.server = running->server;
    ended.trace.zone = settings_.zone;
    ended.trace.served = now - running->started;
  } else if (const auto* remote = std::get_if<JobOnPeer>(&job.state)) {
    ended.trace.server = remote->server;
    ended.trace.zone = remote->zone;
    ended.trace.served = now - remote->started;
  }
  jobs_.erase(job.id);
  events_.emplace_back(std::move(ended));
}

}  // namespace lovagecleat::policy
