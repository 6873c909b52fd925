#include "policy/stage_queue.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace lovagecleat::policy {
namespace {

using std::chrono::milliseconds;

QueueEntry Entry(std::uint64_t job, const char* request_class, const char* team,
                 int latest_start_ms) {
  QueueEntry entry;
  entry.job = JobId(job);
  entry.request_class = ClassId(request_class);
  entry.team = TeamId(team);
  entry.latest_start = TimePoint{} + milliseconds(latest_start_ms);
  entry.expires = entry.latest_start;
  entry.cost = milliseconds(10);
  return entry;
}

std::vector<std::uint64_t> TakeAll(StageQueue& queue) {
  std::vector<std::uint64_t> order;
  while (const auto next = queue.Next()) {
    order.push_back(next->value());
    queue.TakeNext();
  }
  return order;
}

TEST_CASE("A team's own jobs are served by least slack") {
  StageQueue queue;
  queue.Push(Entry(1, "lookup", "a", 30));
  queue.Push(Entry(2, "lookup", "a", 10));
  queue.Push(Entry(3, "lookup", "a", 20));
  REQUIRE(TakeAll(queue) == std::vector<std::uint64_t>{2, 3, 1});
}

TEST_CASE("The class with the least slack is served first") {
  StageQueue queue;
  queue.Push(Entry(1, "report", "a", 500));
  queue.Push(Entry(2, "lookup", "a", 100));
  REQUIRE(queue.Next() == JobId(2));
}

TEST_CASE("A burst from one team does not delay the jobs of another team") {
  StageQueue queue;
  for (std::uint64_t job = 1; job <= 50; ++job) {
    queue.Push(Entry(job, "lookup", "large", 10));
  }
  queue.Push(Entry(100, "lookup", "small", 1000));
  queue.Push(Entry(101, "lookup", "small", 1000));
  const auto order = TakeAll(queue);
  const std::vector<std::uint64_t> first(order.begin(), order.begin() + 4);
  REQUIRE(std::count(first.begin(), first.end(), 100U) == 1);
  REQUIRE(std::count(first.begin(), first.end(), 101U) == 1);
}

TEST_CASE("A team gains no share by leaving the queue and returning") {
  StageQueue queue;
  queue.Push(Entry(1, "lookup", "a", 10));
  queue.Push(Entry(2, "lookup", "b", 20));
  queue.TakeNext();  // takes the only job of team a
  queue.Push(Entry(3, "lookup", "a", 5));
  REQUIRE(queue.Next() == JobId(2));
}

TEST_CASE("Expired jobs are listed, and removal reduces the backlog") {
  StageQueue queue;
  queue.Push(Entry(1, "lookup", "a", 10));
  queue.Push(Entry(2, "lookup", "b", 20));
  REQUIRE(queue.Backlog() == milliseconds(20));
  REQUIRE(queue.ExpiredJobs(TimePoint{} + milliseconds(15)) ==
          std::vector<JobId>{JobId(1)});
  queue.Remove(JobId(1));
  REQUIRE(queue.Backlog() == milliseconds(10));
  queue.Remove(JobId(2));
  REQUIRE(queue.empty());
  REQUIRE(queue.TeamCount() == 0);
}

TEST_CASE("The number of tracked idle teams is bounded") {
  StageQueue queue;
  for (std::uint64_t job = 1; job <= 5000; ++job) {
    const std::string team = "team-" + std::to_string(job);
    queue.Push(Entry(job, "lookup", team.c_str(), 10));
    queue.TakeNext();
  }
  REQUIRE(queue.TeamCount() <= 1024);
}

}  // namespace
}  // namespace lovagecleat::policy
