#include <algorithm>

#include "policy/stage_scheduler.h"

// What becomes of a try of a stage: tokens, ends, retries and credits.
namespace lovagecleat::policy {

namespace {

constexpr std::uint32_t kMaximumAttempts = 3;
// A server notices a closed connection, or that a call's time is over, within
// this time.
constexpr Duration kCancelTime = std::chrono::milliseconds(250);

}  // namespace

StageJob* StageScheduler::FindByAttempt(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    // Late or doubled: the attempt was given up or has ended already.
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
  // A token before the next one is a repetition. One after it shows a gap,
  // which a whole stream never has; the final text still is whole.
  if (offset != job.next_offset) {
    ++dropped_results_;
    return;
  }
  ++job.next_offset;
  notices_.emplace_back(
      JobToken{job.id, job.origin, offset, std::string(text)});
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
  ObserveEnd(job, running, finished.outcome, now);
  if (finished.outcome != AttemptOutcome::kOk)
    job.failed_servers.insert(running.server);
  FinishOrRetry(job, finished.outcome, finished.output, now);
}

// A call that was given up may still run on its server. Its credit is kept
// until the server, which knows the remaining time, has given up as well.
void StageScheduler::ReleaseCredit(const StageJob& job,
                                   const JobOnServer& running,
                                   AttemptOutcome outcome, TimePoint now) {
  full_until_.erase(job.work.service);
  switch (outcome) {
    case AttemptOutcome::kOk:
      parts_.servers.CountEnd(running.server);
      parts_.credits.Release(running.credit, now, CallHealth::kGood);
      return;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kRefused:
    case AttemptOutcome::kServerError:
      parts_.servers.CountEnd(running.server);
      parts_.credits.Release(running.credit, now, CallHealth::kFailed);
      return;
    case AttemptOutcome::kCancelled:
    case AttemptOutcome::kConnectionLost:
    case AttemptOutcome::kNoProgress:
    case AttemptOutcome::kDeadlineReached:
      break;
  }
  // An engine ends a stream when its connection closes; any server ends a call
  // when its time is over. Either may hear of a new call first, so the credit
  // stays for a while longer.
  const bool is_cancelled_stream =
      outcome == AttemptOutcome::kCancelled && job.work.max_tokens > 0;
  const TimePoint given_up = is_cancelled_stream
                                 ? std::min(running.end_before, now)
                                 : running.end_before;
  const TimePoint until = given_up + kCancelTime;
  lingering_.emplace(
      until, LingeringCredit{running.credit, running.server, job.work.service});
}

void StageScheduler::ReleaseLingering(TimePoint now) {
  while (!lingering_.empty() && lingering_.begin()->first <= now) {
    const LingeringCredit lingering = lingering_.begin()->second;
    lingering_.erase(lingering_.begin());
    full_until_.erase(lingering.service);
    parts_.servers.CountEnd(lingering.server);
    parts_.credits.Release(lingering.credit, now, CallHealth::kFailed);
  }
}

void StageScheduler::ObserveEnd(const StageJob& job, const JobOnServer& running,
                                AttemptOutcome outcome, TimePoint now) {
  if (outcome == AttemptOutcome::kRefused) return;
  if (outcome != AttemptOutcome::kOk) {
    parts_.servers.ObserveFailure(running.server, now);
    return;
  }
  const StageShape shape = job.work.Shape();
  const Duration served = now - running.started;
  const Duration usual = parts_.times.Expected(shape);
  const double ratio =
      static_cast<double>(served.count()) /
      static_cast<double>(std::max<Duration::rep>(1, usual.count()));
  const bool is_first = parts_.times.IsUnknown(shape);
  parts_.servers.ObserveGood(running.server, is_first ? 1.0 : ratio);
  parts_.times.AddServed(shape, served);
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
  if (now + parts_.times.Expected(job.work.Shape()) > job.work.deadline) {
    return false;
  }
  const bool is_idempotent =
      job.work.idempotency == configuration::Idempotency::kIdempotent;
  if (!is_idempotent && !IsSurelyNotRun(outcome)) return false;
  return retries_.TakeRetry(job.work.service);
}

void StageScheduler::FinishOrRetry(StageJob& job, AttemptOutcome outcome,
                                   std::string output, TimePoint now) {
  if (!IsSurelyNotRun(outcome)) job.may_have_run = true;
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
  notices_.emplace_back(std::move(ended));
}

}  // namespace lovagecleat::policy
