#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/base.h"
#include "policy/stage_job.h"

namespace lovagecleat::policy {

// The properties of a job that determine its place in the queue.
struct QueueEntry {
  JobId job;
  ClassId request_class;
  TeamId team;
  TimePoint latest_start{};  // sort key; a later start misses the deadline
  TimePoint expires{};       // the job is rejected after this time
  Duration cost{};           // expected server time
};

// Holds the jobs that wait for one service. Classes are served by least slack,
// the teams of a class by start-time fair queueing, and the jobs of a team by
// least slack. All operations are logarithmic in jobs and teams and
// linear in classes.
class StageQueue {
 public:
  void Push(const QueueEntry& entry);
  void Remove(JobId job);

  // Returns the job to serve next, which stays queued until TakeNext or Remove.
  std::optional<JobId> Next() const;

  // Removes the next job and charges its cost to its team.
  void TakeNext();

  // Returns the jobs that expired before `now`, the earliest first.
  std::vector<JobId> ExpiredJobs(TimePoint now) const;

  // Returns the total expected server time of all queued jobs.
  Duration Backlog() const { return backlog_; }

  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }
  // Returns the number of teams, per class, with queued jobs or a stored finish
  // time.
  std::size_t TeamCount() const;

  // Returns the queued jobs in no particular order.
  std::vector<JobId> Jobs() const;

 private:
  using TimedJob = std::pair<TimePoint, JobId>;

  struct Team {
    std::set<TimedJob> jobs;
    double virtual_start = 0.0;  // in microseconds of server time
  };
  struct Class {
    std::map<TeamId, Team> teams;
    std::set<std::pair<double, TeamId>> by_virtual_start;
    double virtual_time = 0.0;
    // Virtual finish times of teams without queued jobs, so that a team gains
    // no share by leaving the queue and returning. Bounded: the lowest finish
    // time is evicted.
    std::map<TeamId, double> idle_finish_times;
    std::set<std::pair<double, TeamId>> idle_finish_order;
  };

  void StoreIdleFinish(Class& request_class, const TeamId& team, double finish);
  double TakeIdleFinish(Class& request_class, const TeamId& team);
  void RemoveEntry(const QueueEntry& entry, Duration charge);
  const Class* MostUrgentClass() const;

  std::map<ClassId, Class> classes_;
  std::map<JobId, QueueEntry> entries_;
  std::set<TimedJob> by_expiry_;
  Duration backlog_{};
};

}  // namespace lovagecleat::policy
