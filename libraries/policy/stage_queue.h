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

// What a queue needs to know of a job.
struct QueueEntry {
  JobId job;
  ClassId request_class;
  TeamId team;
  TimePoint latest_start{};  // the order; later, it cannot end in time
  TimePoint expires{};       // from then on it is to be given up
  Duration cost{};           // expected time at a server
};

// The jobs that wait for one service. Classes are served by least slack; the
// teams of a class share by start-time fair queueing; a team's own jobs are
// served by least slack. All operations are logarithmic in jobs and teams and
// linear in classes.
class StageQueue {
 public:
  void Push(const QueueEntry& entry);
  void Remove(JobId job);

  // The job to serve next; it stays queued until it is taken or removed.
  std::optional<JobId> Next() const;

  // Removes the next job and charges its team.
  void TakeNext();

  // Jobs that expired before `now`.
  std::vector<JobId> Overdue(TimePoint now) const;

  // The total expected server time of all waiting jobs.
  Duration Backlog() const { return backlog_; }

  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }
  std::size_t TeamCount() const;

  // The queued jobs in no particular order.
  std::vector<JobId> Jobs() const;

 private:
  using SlackKey = std::pair<TimePoint, JobId>;

  struct Team {
    std::set<SlackKey> jobs;
    double virtual_start = 0.0;  // microseconds of server time
  };
  struct Class {
    std::map<TeamId, Team> teams;
    std::set<std::pair<double, TeamId>> order;  // by virtual start
    double virtual_time = 0.0;
    // Virtual finish times of teams with no waiting jobs, so that leaving and
    // coming back earns nothing. Bounded; the oldest finish is evicted.
    std::map<TeamId, double> finished;
    std::set<std::pair<double, TeamId>> finished_order;
  };

  void RememberFinish(Class& request_class, const TeamId& team, double finish);
  double RecallFinish(Class& request_class, const TeamId& team);
  void RemoveEntry(const QueueEntry& entry, Duration charge);
  const Class* MostUrgentClass() const;

  std::map<ClassId, Class> classes_;
  std::map<JobId, QueueEntry> entries_;
  std::set<SlackKey> by_expiry_;
  Duration backlog_{};
};

}  // namespace lovagecleat::policy
