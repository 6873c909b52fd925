#include "policy/stage_queue.h"

#include <algorithm>
#include <cassert>

namespace lovagecleat::policy {

namespace {
constexpr std::size_t kMaximumIdleTeams = 1024;
}  // namespace

void StageQueue::Push(const QueueEntry& entry) {
  assert(!entries_.contains(entry.job));
  Class& request_class = classes_[entry.request_class];
  const auto [position, is_new] = request_class.teams.try_emplace(entry.team);
  Team& team = position->second;
  if (is_new) {
    // A team that was idle starts no earlier than the current virtual time, so
    // that it accumulates no share while idle.
    const double finish = TakeIdleFinish(request_class, entry.team);
    team.virtual_start = std::max(request_class.virtual_time, finish);
    request_class.by_virtual_start.emplace(team.virtual_start, entry.team);
  }
  team.jobs.emplace(entry.latest_start, entry.job);
  by_expiry_.emplace(entry.expires, entry.job);
  backlog_ += entry.cost;
  entries_.emplace(entry.job, entry);
}

void StageQueue::Remove(JobId job) {
  const auto found = entries_.find(job);
  if (found == entries_.end()) return;
  RemoveEntry(QueueEntry(found->second), Duration::zero());
}

std::optional<JobId> StageQueue::Next() const {
  const Class* request_class = MostUrgentClass();
  if (request_class == nullptr) return std::nullopt;
  const TeamId& team = request_class->by_virtual_start.begin()->second;
  return request_class->teams.at(team).jobs.begin()->second;
}

void StageQueue::TakeNext() {
  const std::optional<JobId> next = Next();
  assert(next.has_value());
  const QueueEntry entry = entries_.at(*next);
  RemoveEntry(entry, entry.cost);
}

void StageQueue::RemoveEntry(const QueueEntry& entry, Duration charge) {
  Class& request_class = classes_.at(entry.request_class);
  Team& team = request_class.teams.at(entry.team);
  request_class.by_virtual_start.erase({team.virtual_start, entry.team});
  if (charge > Duration::zero()) {
    request_class.virtual_time =
        std::max(request_class.virtual_time, team.virtual_start);
    team.virtual_start += static_cast<double>(charge.count());
  }
  team.jobs.erase({entry.latest_start, entry.job});
  if (team.jobs.empty()) {
    StoreIdleFinish(request_class, entry.team, team.virtual_start);
    request_class.teams.erase(entry.team);
  } else {
    request_class.by_virtual_start.emplace(team.virtual_start, entry.team);
  }
  by_expiry_.erase({entry.expires, entry.job});
  backlog_ -= entry.cost;
  entries_.erase(entry.job);
}

void StageQueue::StoreIdleFinish(Class& request_class, const TeamId& team,
                                 double finish) {
  if (finish <= request_class.virtual_time) return;
  request_class.idle_finish_times[team] = finish;
  request_class.idle_finish_order.emplace(finish, team);
  if (request_class.idle_finish_times.size() <= kMaximumIdleTeams) return;
  const auto oldest = request_class.idle_finish_order.begin();
  request_class.idle_finish_times.erase(oldest->second);
  request_class.idle_finish_order.erase(oldest);
}

double StageQueue::TakeIdleFinish(Class& request_class, const TeamId& team) {
  const auto found = request_class.idle_finish_times.find(team);
  if (found == request_class.idle_finish_times.end()) return 0.0;
  const double finish = found->second;
  request_class.idle_finish_order.erase({finish, team});
  request_class.idle_finish_times.erase(found);
  return finish;
}

const StageQueue::Class* StageQueue::MostUrgentClass() const {
  const Class* best = nullptr;
  std::optional<TimePoint> earliest_start;
  for (const auto& [id, request_class] : classes_) {
    if (request_class.by_virtual_start.empty()) continue;
    const TeamId& team = request_class.by_virtual_start.begin()->second;
    const TimePoint start = request_class.teams.at(team).jobs.begin()->first;
    if (earliest_start.has_value() && *earliest_start <= start) continue;
    best = &request_class;
    earliest_start = start;
  }
  return best;
}

std::vector<JobId> StageQueue::ExpiredJobs(TimePoint now) const {
  std::vector<JobId> expired;
  for (const auto& [expiry, job] : by_expiry_) {
    if (expiry >= now) break;
    expired.push_back(job);
  }
  return expired;
}

std::size_t StageQueue::TeamCount() const {
  std::size_t count = 0;
  for (const auto& [id, request_class] : classes_) {
    count +=
        request_class.teams.size() + request_class.idle_finish_times.size();
  }
  return count;
}

std::vector<JobId> StageQueue::Jobs() const {
  std::vector<JobId> jobs;
  jobs.reserve(entries_.size());
  for (const auto& [job, entry] : entries_) jobs.push_back(job);
  return jobs;
}

}  // namespace lovagecleat::policy
