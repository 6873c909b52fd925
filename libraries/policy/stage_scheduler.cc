#include "policy/stage_scheduler.h"

#include <algorithm>
#include <cassert>

namespace lovagecleat::policy {

namespace {

constexpr std::uint32_t kMaximumAttempts = 3;
constexpr std::size_t kSampledServers = 8;
// Credits also come back by loans and warm-up, which are looked for this often.
constexpr Duration kFullRecheck = std::chrono::milliseconds(5);
constexpr Duration kCapacityValidity = std::chrono::milliseconds(50);
constexpr Duration kLoanInterval = std::chrono::milliseconds(20);
constexpr Duration kPumpInterval = std::chrono::milliseconds(10);
// A job leaves for another zone only after this wait for an own server.
constexpr Duration kHandOverAfter = std::chrono::milliseconds(15);
constexpr Duration kMinimumFirstByteBound = std::chrono::milliseconds(500);
constexpr int kFirstByteFactor = 4;
// A server notices a closed connection, or that a call's time is over, within
// this time.
constexpr Duration kCancelTime = std::chrono::milliseconds(250);
constexpr Duration kProgressBound = std::chrono::milliseconds(1500);
// Baselines queue in the order of arrival; this keeps their keys ordered.
constexpr Duration kNeverOverdue = std::chrono::hours(1);
constexpr std::uint32_t kPriorities = 10;

bool IsLocal(const StageJob& job) {
  return std::holds_alternative<LocalOrigin>(job.origin);
}

// Slack mapped to the engines' priorities: 0 where there is none left.
std::uint32_t PriorityOf(Duration slack, Duration usual) {
  if (slack <= Duration::zero()) return 0;
  const auto whole = std::max<Duration::rep>(1, usual.count());
  const auto level = slack.count() * 2 / whole;
  return static_cast<std::uint32_t>(
      std::min<Duration::rep>(kPriorities - 1, level));
}

}  // namespace

StageScheduler::StageScheduler(const CoreSettings& settings,
                               const SchedulerParts& parts,
                               std::vector<Command>& commands)
    : settings_(settings),
      parts_(parts),
      commands_(commands),
      placement_(MakePlacement(settings.placement)),
      random_(settings.seed) {}

JobId StageScheduler::Submit(JobOrigin origin, StageWork work, TimePoint now) {
  const JobId id(++last_job_);
  StageJob& job = jobs_[id];
  job.id = id;
  job.origin = std::move(origin);
  job.work = std::move(work);
  job.next_offset = job.work.first_offset;
  retries_.CountFirstTry(job.work.service);
  Enqueue(job, now);
  return id;
}

void StageScheduler::Enqueue(StageJob& job, TimePoint now) {
  job.state = JobQueued{now};
  QueueEntry entry;
  entry.job = job.id;
  entry.request_class = job.work.request_class;
  entry.team = job.work.team;
  entry.latest_start = LatestStart(job.work, now);
  entry.cost = parts_.times.Expected(job.work.Shape());
  QueueOf(job.work.service).Push(entry);
}

TimePoint StageScheduler::LatestStart(const StageWork& work,
                                      TimePoint now) const {
  if (settings_.placement != PlacementKind::kExpectedFinish) {
    return now + kNeverOverdue;
  }
  return work.stage_deadline - parts_.times.Expected(work.Shape());
}

void StageScheduler::Cancel(JobId id, TimePoint now) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  StageJob& job = found->second;
  if (const auto* running = std::get_if<JobOnServer>(&job.state)) {
    commands_.emplace_back(CancelBackendCall{running->attempt});
    ReleaseCredit(job, *running, AttemptOutcome::kCancelled, now);
    attempts_.erase(running->attempt);
  } else if (const auto* remote = std::get_if<JobOnPeer>(&job.state)) {
    SendPeerMessage cancel{remote->host, {}};
    cancel.message.mutable_stage_cancel()->set_attempt(remote->attempt.value());
    commands_.emplace_back(std::move(cancel));
    attempts_.erase(remote->attempt);
  } else {
    QueueOf(job.work.service).Remove(id);
  }
  jobs_.erase(found);
}

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

void StageScheduler::HandleToken(const BackendToken& token, TimePoint now) {
  (void)now;
  StageJob* job = FindByAttempt(token.attempt);
  if (job == nullptr) return;
  AcceptToken(*job, token.offset, token.text);
}

void StageScheduler::HandlePeerToken(const HostId& from,
                                     const messages::StageToken& token,
                                     TimePoint now) {
  (void)now;
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
  const auto* remote = std::get_if<JobOnPeer>(&job->state);
  if (remote == nullptr || remote->host != from) return;
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
    ended.trace.server = ServerId("via " + remote->host.value());
    ended.trace.served = now - remote->started;
  }
  jobs_.erase(job.id);
  notices_.emplace_back(std::move(ended));
}

void StageScheduler::Pump(TimePoint now) {
  ReleaseLingering(now);
  FailLostPeers(now);
  for (auto& [service, queue] : queues_) {
    if (queue.empty()) continue;
    PumpService(service, queue, now);
  }
}

void StageScheduler::FailLostPeers(TimePoint now) {
  std::vector<JobId> lost;
  for (const AttemptId& attempt : remote_attempts_) {
    const JobId id = attempts_.at(attempt);
    const StageJob& job = jobs_.at(id);
    const HostId& host = std::get<JobOnPeer>(job.state).host;
    const bool is_gone = parts_.membership.Health(host) == PeerHealth::kDead;
    if (is_gone || now >= job.work.deadline) lost.push_back(id);
  }
  for (const JobId& id : lost) {
    StageJob& job = jobs_.at(id);
    const auto remote = std::get<JobOnPeer>(job.state);
    remote_attempts_.erase(remote.attempt);
    attempts_.erase(remote.attempt);
    job.failed_hosts.insert(remote.host);
    FinishOrRetry(job, AttemptOutcome::kConnectionLost, {}, now);
  }
}

void StageScheduler::PumpService(const ServiceId& service, StageQueue& queue,
                                 TimePoint now) {
  DropOverdue(queue, now);
  if (!parts_.servers.HasUsable(service)) ReturnOthersWork(queue, now);
  while (!queue.empty()) {
    StageJob& job = jobs_.at(*queue.Next());
    if (PlaceHere(job, now) == Placed::kYes) continue;
    if (HandOver(job, now) == Placed::kYes) continue;
    break;
  }
  if (!queue.empty()) AskForLoans(service, queue, now);
}

// What other hosts handed over is of no use here without servers; they may
// still find some elsewhere.
void StageScheduler::ReturnOthersWork(StageQueue& queue, TimePoint now) {
  for (const JobId& id : queue.Jobs()) {
    StageJob& job = jobs_.at(id);
    if (IsLocal(job)) continue;
    queue.Remove(id);
    Finish(job, AttemptOutcome::kRefused, {}, now);
  }
}

// Refuses what can no longer end in time, before it costs a server's time. A
// job that is alone in its queue is still tried, so that estimates that have
// become too long are measured again.
void StageScheduler::DropOverdue(StageQueue& queue, TimePoint now) {
  for (const JobId& id : queue.Overdue(now)) {
    StageJob& job = jobs_.at(id);
    const bool is_over = now >= job.work.deadline;
    if (!is_over && queue.size() == 1) return;
    queue.Remove(id);
    job.queued += now - std::get<JobQueued>(job.state).since;
    Record(job, "Refused, since it can no longer end in time.");
    Finish(job, AttemptOutcome::kDeadlineReached, {}, now);
  }
}

// The best of a few servers from a random position on is nearly as good as the
// best of all, at a cost that does not grow with their number. Baselines look
// at all servers, as their order of turns asks for it.
std::vector<Candidate> StageScheduler::FindCandidates(const StageJob& job,
                                                      TimePoint now) {
  const auto pool = parts_.servers.OfService(job.work.service);
  std::vector<Candidate> candidates;
  std::vector<Candidate> failed_before;
  if (pool.empty()) return candidates;
  const bool is_own_policy =
      settings_.placement == PlacementKind::kExpectedFinish;
  const std::size_t wanted = is_own_policy ? kSampledServers : pool.size();
  const std::size_t first = is_own_policy ? random_.Below(pool.size()) : 0;
  for (std::size_t i = 0; i < pool.size(); ++i) {
    const ServerEntry& server = *pool[(first + i) % pool.size()];
    if (!parts_.servers.IsEligible(server, now)) continue;
    const ServerId& id = server.info.id;
    if (parts_.credits.Available(id, now) == 0) continue;
    const Candidate one{&server, parts_.credits.Limit(id, now)};
    const bool has_failed = job.failed_servers.contains(id);
    (has_failed ? failed_before : candidates).push_back(one);
    if (candidates.size() >= wanted) break;
  }
  // A server that failed this job is tried again only if no other is left.
  return candidates.empty() ? failed_before : candidates;
}

StageScheduler::Placed StageScheduler::PlaceHere(StageJob& job, TimePoint now) {
  const ServiceId& service = job.work.service;
  TimePoint& full_until = full_until_[service];
  if (now < full_until) return Placed::kNo;
  const std::vector<Candidate> candidates = FindCandidates(job, now);
  const ServerEntry* chosen = Choose(placement_, service, candidates, now);
  if (chosen == nullptr) {
    full_until = now + kFullRecheck;
    return Placed::kNo;
  }
  const auto admission = parts_.credits.Admit(chosen->info.id, now);
  if (!admission.has_value()) return Placed::kNo;
  QueueOf(service).TakeNext();
  StartOnServer(job, *chosen, *admission, now);
  return Placed::kYes;
}

void StageScheduler::StartOnServer(StageJob& job, const ServerEntry& server,
                                   const Admission& admission, TimePoint now) {
  const StageWork& work = job.work;
  const Duration usual = parts_.times.Cautious(work.Shape());
  const bool is_idempotent =
      work.idempotency == configuration::Idempotency::kIdempotent;
  StartBackendCall call;
  call.attempt = AttemptId(++last_attempt_);
  call.server = server.info.id;
  call.address = server.info.address;
  call.request = work.request;
  call.stage = work.stage;
  call.team = work.team;
  call.input = work.input;
  call.max_tokens = work.max_tokens;
  call.offset = job.next_offset;
  call.priority = PriorityOf(work.stage_deadline - now - usual, usual);
  call.deadline = std::min(work.deadline, admission.end_before);
  call.send_before = std::min(call.deadline, admission.send_before);
  // A non-idempotent call is never tried again, so giving up early on it
  // would only turn a late answer into an unknown outcome.
  const Duration remaining = call.deadline - now;
  call.first_byte_bound =
      is_idempotent ? std::max(kMinimumFirstByteBound, usual * kFirstByteFactor)
                    : remaining;
  call.progress_bound = is_idempotent ? kProgressBound : remaining;
  call.idempotency = work.idempotency;
  call.idempotency_key = work.idempotency_key;

  job.queued += now - std::get<JobQueued>(job.state).since;
  job.state =
      JobOnServer{call.attempt, call.server, admission.id, now, call.deadline};
  ++job.attempts;
  attempts_.emplace(call.attempt, job.id);
  parts_.servers.CountStart(call.server);
  Record(job, "Placed on " + call.server.value() + ".");
  commands_.emplace_back(std::move(call));
}

StageScheduler::Placed StageScheduler::HandOver(StageJob& job, TimePoint now) {
  // What came from another host goes back rather than on to a third one.
  if (!IsLocal(job)) return Placed::kNo;
  const Duration waited = now - std::get<JobQueued>(job.state).since;
  const bool has_own = parts_.servers.HasUsable(job.work.service);
  if (has_own && waited < kHandOverAfter) return Placed::kNo;
  const std::optional<HostId> peer = ChoosePeer(job, now);
  if (!peer.has_value()) return Placed::kNo;

  const StageWork& work = job.work;
  const AttemptId attempt(++last_attempt_);
  SendPeerMessage send{*peer, {}};
  messages::StageRequest* request = send.message.mutable_stage_request();
  request->set_attempt(attempt.value());
  request->set_request(work.request.value());
  request->set_stage(work.stage);
  request->set_service(work.service.value());
  request->set_request_class(work.request_class.value());
  request->set_team(work.team.value());
  request->set_input(work.input);
  request->set_max_tokens(work.max_tokens);
  request->set_remaining_us(
      static_cast<std::uint64_t>((work.deadline - now).count()));
  request->set_stage_remaining_us(static_cast<std::uint64_t>(
      std::max(Duration(1), work.stage_deadline - now).count()));
  request->set_offset(job.next_offset);
  request->set_idempotency_key(work.idempotency_key);
  QueueOf(work.service).TakeNext();
  job.queued += waited;
  job.state = JobOnPeer{attempt, *peer, now};
  ++job.attempts;
  attempts_.emplace(attempt, job.id);
  remote_attempts_.insert(attempt);
  Record(job, "Handed to " + peer->value() + ".");
  commands_.emplace_back(std::move(send));
  return Placed::kYes;
}

std::optional<HostId> StageScheduler::ChoosePeer(const StageJob& job,
                                                 TimePoint now) {
  std::vector<HostId> hosts;
  for (const HostInfo& host : parts_.membership.PeersToConnect()) {
    if (host.zone == settings_.zone) continue;
    if (zones_out_.contains(host.zone)) continue;
    if (job.failed_hosts.contains(host.id)) continue;
    if (!parts_.membership.TakesWork(host.id)) continue;
    const auto capacity =
        parts_.membership.FreeCredits(host.zone, job.work.service, now);
    if (!capacity.has_value() || capacity->free_credits == 0) continue;
    hosts.push_back(host.id);
  }
  if (hosts.empty()) return std::nullopt;
  return hosts[random_.Below(hosts.size())];
}

void StageScheduler::AskForLoans(const ServiceId& service,
                                 const StageQueue& queue, TimePoint now) {
  TimePoint& next = next_loan_[service];
  if (now < next) return;
  next = now + kLoanInterval;
  const std::vector<HostId> alive =
      parts_.membership.AliveInZone(settings_.zone);
  auto wanted = static_cast<std::uint32_t>(queue.size());
  for (const ServerEntry* server : parts_.servers.Eligible(service, now)) {
    if (wanted == 0) return;
    parts_.credits.AskLoan(server->info.id, 1, alive, now);
    --wanted;
  }
}

std::vector<JobNotice> StageScheduler::TakeNotices() {
  return std::exchange(notices_, {});
}

std::optional<TimePoint> StageScheduler::NextDue(TimePoint now) const {
  const bool has_queued =
      std::any_of(queues_.begin(), queues_.end(),
                  [](const auto& one) { return !one.second.empty(); });
  const bool has_remote = !remote_attempts_.empty();
  std::optional<TimePoint> due;
  if (!lingering_.empty()) due = lingering_.begin()->first;
  if (!has_queued && !has_remote) return due;
  return std::min(now + kPumpInterval, due.value_or(TimePoint::max()));
}

// What this host may have at once at the zone's servers while a new request
// waits. Cold servers' limits rise meanwhile, so the mean of the share in use
// and the warm share is taken; for warm servers the two are equal.
std::uint32_t StageScheduler::ZoneCapacity(const ServiceId& service,
                                           TimePoint now) const {
  Capacity& capacity = capacities_[service];
  if (now < capacity.valid_until) return capacity.calls;
  capacity.valid_until = now + kCapacityValidity;
  std::uint32_t present = 0;
  std::uint32_t warm = 0;
  for (const ServerEntry* server : parts_.servers.Eligible(service, now)) {
    present += parts_.credits.Available(server->info.id, now);
    present += server->own_in_flight;
    warm += server->info.warm_limit;
  }
  const std::size_t hosts =
      1 + parts_.membership.AliveInZone(settings_.zone).size();
  const auto warm_share = static_cast<std::uint32_t>(warm / hosts);
  capacity.calls = (present + std::max(present, warm_share)) / 2;
  return capacity.calls;
}

Duration StageScheduler::PredictedWait(const ServiceId& service,
                                       TimePoint now) const {
  const auto found = queues_.find(service);
  if (found == queues_.end() || found->second.empty()) {
    return Duration::zero();
  }
  const std::uint32_t capacity = std::max(1U, ZoneCapacity(service, now));
  return found->second.Backlog() / capacity;
}

std::size_t StageScheduler::QueuedJobs(const ServiceId& service) const {
  const auto found = queues_.find(service);
  return found == queues_.end() ? 0 : found->second.size();
}

void StageScheduler::ApplyConfiguration(
    const configuration::Configuration& configuration) {
  zones_out_.clear();
  for (const configuration::Zone& zone : configuration.zones) {
    if (zone.state == configuration::ZoneState::kOut) {
      zones_out_.insert(zone.id);
    }
  }
}

void StageScheduler::Record(const StageJob& job, std::string text) {
  commands_.emplace_back(RecordDecision{
      job.work.request, "stage " + job.work.stage, std::move(text)});
}

}  // namespace lovagecleat::policy
