#include "policy/stage_scheduler.h"

#include <algorithm>
#include <cassert>

namespace lovagecleat::policy {

namespace {

constexpr Duration kCapacityCacheLifetime = std::chrono::milliseconds(50);
constexpr Duration kDispatchInterval = std::chrono::milliseconds(10);
// The baseline placement policies serve jobs in the order of arrival: adding
// a constant to the time of arrival keeps that order in the queue.
constexpr Duration kBaselineStartWindow = std::chrono::hours(1);

}  // namespace

StageScheduler::StageScheduler(const CoreSettings& settings,
                               const SchedulerDependencies& dependencies,
                               std::vector<Command>& commands)
    : settings_(settings),
      dependencies_(dependencies),
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
  entry.expires = std::min(entry.latest_start, job.work.deadline);
  entry.cost = dependencies_.times.Expected(job.work.Shape());
  QueueOf(job.work.service).Push(entry);
}

TimePoint StageScheduler::LatestStart(const StageWork& work,
                                      TimePoint now) const {
  if (settings_.placement != PlacementKind::kExpectedFinish) {
    return now + kBaselineStartWindow;
  }
  return work.stage_deadline - dependencies_.times.Expected(work.Shape());
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
    remote_attempts_.erase(remote->attempt);
    attempts_.erase(remote->attempt);
  } else {
    QueueOf(job.work.service).Remove(id);
  }
  jobs_.erase(found);
}

void StageScheduler::Dispatch(TimePoint now) {
  RunDeferredReleases(now);
  FailLostRemoteJobs(now);
  for (auto& [service, queue] : queues_) {
    if (queue.empty()) continue;
    DispatchQueue(service, queue, now);
  }
}

void StageScheduler::FailLostRemoteJobs(TimePoint now) {
  std::vector<JobId> lost;
  for (const AttemptId& attempt : remote_attempts_) {
    const JobId id = attempts_.at(attempt);
    const StageJob& job = jobs_.at(id);
    const HostId& host = std::get<JobOnPeer>(job.state).host;
    const bool is_dead =
        dependencies_.membership.Health(host) == PeerHealth::kDead;
    if (is_dead || now >= job.work.deadline) lost.push_back(id);
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

void StageScheduler::DispatchQueue(const ServiceId& service, StageQueue& queue,
                                   TimePoint now) {
  RejectExpiredJobs(queue, now);
  if (!dependencies_.servers.HasUsable(service)) ReturnPeerJobs(queue, now);
  while (!queue.empty()) {
    StageJob& job = jobs_.at(*queue.Next());
    if (PlaceLocally(job, now) == Placed::kYes) continue;
    if (ForwardToPeer(job, now) == Placed::kYes) continue;
    break;
  }
  if (!queue.empty()) RequestLoans(service, queue, now);
}

// Without usable servers this host cannot run the jobs that peers forwarded to
// it; their hosts may still place them elsewhere.
void StageScheduler::ReturnPeerJobs(StageQueue& queue, TimePoint now) {
  for (const JobId& id : queue.Jobs()) {
    StageJob& job = jobs_.at(id);
    if (IsLocal(job)) continue;
    queue.Remove(id);
    Finish(job, AttemptOutcome::kRefused, {}, now);
  }
}

// Rejects jobs that can no longer end in time before they use server time. A
// job that is alone in its queue and still within its deadline is tried, so
// that new samples can correct estimates that are too high.
void StageScheduler::RejectExpiredJobs(StageQueue& queue, TimePoint now) {
  for (const JobId& id : queue.ExpiredJobs(now)) {
    StageJob& job = jobs_.at(id);
    const bool is_past_deadline = now >= job.work.deadline;
    if (!is_past_deadline && queue.size() == 1) return;
    queue.Remove(id);
    job.queued += now - std::get<JobQueued>(job.state).since;
    Record(job, "Refused, since it can no longer end in time.");
    Finish(job, AttemptOutcome::kDeadlineReached, {}, now);
  }
}

std::vector<JobEvent> StageScheduler::TakeEvents() {
  return std::exchange(events_, {});
}

std::optional<TimePoint> StageScheduler::NextDue(TimePoint now) const {
  const bool has_queued =
      std::any_of(queues_.begin(), queues_.end(),
                  [](const auto& entry) { return !entry.second.empty(); });
  const bool has_remote = !remote_attempts_.empty();
  std::optional<TimePoint> due;
  if (!deferred_releases_.empty()) due = deferred_releases_.begin()->first;
  if (!has_queued && !has_remote) return due;
  return std::min(now + kDispatchInterval, due.value_or(TimePoint::max()));
}

// Estimates how many calls this host may run at once at the zone's servers
// while a new request waits. The limits of cold servers rise in that time, so
// the estimate is the mean of the current share and the share when warm. For
// warm servers the two are equal.
std::uint32_t StageScheduler::ZoneCapacity(const ServiceId& service,
                                           TimePoint now) const {
  CachedCapacity& capacity = capacities_[service];
  if (now < capacity.valid_until) return capacity.calls;
  capacity.valid_until = now + kCapacityCacheLifetime;
  std::uint32_t current_share = 0;
  std::uint32_t warm_total = 0;
  for (const ServerEntry* server :
       dependencies_.servers.Eligible(service, now)) {
    current_share += dependencies_.credits.Available(server->info.id, now);
    current_share += server->own_in_flight;
    warm_total += server->info.warm_limit;
  }
  const std::size_t hosts =
      1 + dependencies_.membership.AliveInZone(settings_.zone).size();
  const auto warm_share = static_cast<std::uint32_t>(warm_total / hosts);
  capacity.calls = (current_share + std::max(current_share, warm_share)) / 2;
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
