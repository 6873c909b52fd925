#include "policy/stage_scheduler.h"

#include <algorithm>
#include <cassert>

namespace lovagecleat::policy {

namespace {

constexpr Duration kCapacityValidity = std::chrono::milliseconds(50);
constexpr Duration kPumpInterval = std::chrono::milliseconds(10);
// Baselines queue in the order of arrival; this keeps their keys ordered.
constexpr Duration kNeverOverdue = std::chrono::hours(1);

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
  entry.expires = std::min(entry.latest_start, job.work.deadline);
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
