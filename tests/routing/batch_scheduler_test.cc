#include <catch2/catch.hpp>
#include <deque>
#include <map>

#include "routing/routing.h"

namespace lovagecleat::routing {
namespace {

using std::chrono::milliseconds;

TimePoint AtMs(int time_ms) { return TimePoint(milliseconds(time_ms)); }

BatchLimits MakeLimits(std::size_t items = 8,
                       std::uint64_t memory_bytes = 1'000'000'000) {
  BatchLimits limits;
  limits.items = items;
  limits.call_time = milliseconds(150);
  limits.item_time = milliseconds(16);
  limits.result_bytes = memory_bytes;
  return limits;
}

class Servers {
 public:
  explicit Servers(int count) {
    for (int i = 0; i < count; ++i) {
      ServerRecord record;
      record.entry.id = ServerId("s" + std::to_string(i));
      records_.push_back(record);
    }
  }
  std::vector<ServerRecord*> all() {
    std::vector<ServerRecord*> pointers;
    for (ServerRecord& record : records_) pointers.push_back(&record);
    return pointers;
  }

 private:
  std::deque<ServerRecord> records_;
};

QueuedItem MakeItem(std::uint64_t id, const std::string& request,
                    std::size_t index = 0, int priority = 0,
                    int soft_deadline = 2000, std::uint64_t bytes = 1000) {
  QueuedItem item;
  item.id = ItemId(id);
  item.request = request;
  item.position = {0, index};
  item.priority = priority;
  item.soft_deadline = AtMs(soft_deadline);
  item.deadline = AtMs(soft_deadline + 3000);
  item.result_bytes = bytes;
  return item;
}

TEST_CASE("An item is sent at once to a free server") {
  BatchScheduler scheduler(MakeLimits());
  Servers servers(2);
  scheduler.Add(MakeItem(1, "r"));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(0)).size() == 1);
  scheduler.Add(MakeItem(2, "q"));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(0)).size() == 1);
  scheduler.Add(MakeItem(3, "p"));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(0)).empty());
}

TEST_CASE("Items of several requests fill one call while servers are busy") {
  BatchScheduler scheduler(MakeLimits(8));
  Servers servers(1);
  for (std::uint64_t i = 0; i < 12; ++i)
    scheduler.Add(MakeItem(i + 1, "r" + std::to_string(i)));
  const auto calls = scheduler.TakeCalls(servers.all(), AtMs(0));
  REQUIRE(calls.size() == 1);
  REQUIRE(calls[0].items.size() == 8);
  REQUIRE(scheduler.queue_size() == 4);
}

// Load pattern: burst of one class. The urgent class must not wait behind it.
TEST_CASE("Urgent items go before a burst of less urgent ones") {
  BatchScheduler scheduler(MakeLimits(4));
  Servers servers(1);
  for (std::uint64_t i = 0; i < 20; ++i)
    scheduler.Add(MakeItem(i + 1, "burst" + std::to_string(i), 0, 1));
  scheduler.Add(MakeItem(100, "urgent", 0, 0));
  const auto calls = scheduler.TakeCalls(servers.all(), AtMs(0));
  REQUIRE(calls[0].items[0].request == "urgent");
  REQUIRE(scheduler.ItemsAhead(0) == 0);
  REQUIRE(scheduler.ItemsAhead(1) == 17);
}

TEST_CASE("Items that can meet their soft deadline go before late ones") {
  BatchScheduler scheduler(MakeLimits(1));
  Servers servers(1);
  scheduler.Add(MakeItem(1, "late", 0, 0, 100));
  scheduler.Add(MakeItem(2, "in time", 0, 1, 5000));
  const auto calls = scheduler.TakeCalls(servers.all(), AtMs(0));
  REQUIRE(calls[0].items[0].request == "in time");
}

TEST_CASE("Items that no call can finish before their deadline are dropped") {
  BatchScheduler scheduler(MakeLimits());
  scheduler.Add(MakeItem(1, "infeasible", 0, 0, -2900));
  scheduler.Add(MakeItem(2, "fine"));
  const auto infeasible = scheduler.TakeInfeasible(1.0, AtMs(0));
  REQUIRE(infeasible.size() == 1);
  REQUIRE(infeasible[0].request == "infeasible");
}

// Load pattern: burst of one class. Items too far back in the queue must fail
// at once, not at their deadline.
TEST_CASE("Items too far back in the queue for their deadline are dropped") {
  BatchScheduler scheduler(MakeLimits(8));
  // A full call takes 278 ms; one server, 20 calls: 5.6 s.
  for (std::uint64_t i = 0; i < 160; ++i)
    scheduler.Add(MakeItem(i + 1, "r" + std::to_string(i), 0, 0, 0));
  const auto infeasible = scheduler.TakeInfeasible(1.0, AtMs(0));
  // The deadlines are at 3 s. Ten full calls and one call of a single item end
  // before that.
  REQUIRE(infeasible.size() == 160 - 11 * 8);
  REQUIRE(scheduler.TakeInfeasible(1.0, AtMs(0)).empty());
  REQUIRE(scheduler.TakeInfeasible(0.5, AtMs(0)).size() == 88 - 11 * 4);
}

// Load pattern: results fill the servers' result memory. Partial results of
// many requests must not hold it while the rest of each request waits.
TEST_CASE("A stage starts only where memory for all of its results is free") {
  BatchScheduler scheduler(MakeLimits(4, 1000));
  Servers servers(1);
  std::uint64_t id = 0;
  for (const char* request : {"a", "b"})
    for (std::size_t i = 0; i < 3; ++i)
      scheduler.Add(MakeItem(++id, request, i, 0, 2000, 200));
  const auto first = scheduler.TakeCalls(servers.all(), AtMs(0));
  REQUIRE(first[0].items.size() == 3);
  for (const QueuedItem& item : first[0].items) REQUIRE(item.request == "a");
  scheduler.EndCall(first[0].server, 3, milliseconds(200), AtMs(200));
  scheduler.AddResultBytes(first[0].server, 600);
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(200)).empty());
  scheduler.AddResultBytes(first[0].server, -600);
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(200))[0].items.size() == 3);
}

TEST_CASE("A result larger than the result memory is sent to an empty server") {
  BatchScheduler scheduler(MakeLimits(4, 100));
  Servers servers(1);
  scheduler.Add(MakeItem(1, "large", 0, 0, 2000, 5000));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(0)).size() == 1);
}

// Load pattern: slow stage server.
TEST_CASE("A much slower server gets no calls while others are fast") {
  BatchScheduler scheduler(MakeLimits(1));
  Servers servers(2);
  for (std::uint64_t i = 1; i <= 2; ++i) scheduler.Add(MakeItem(i, "r"));
  const auto calls = scheduler.TakeCalls(servers.all(), AtMs(0));
  REQUIRE(calls.size() == 2);
  scheduler.EndCall(calls[0].server, 1, milliseconds(1500), AtMs(1500));
  scheduler.EndCall(calls[1].server, 1, milliseconds(166), AtMs(1500));
  scheduler.Add(MakeItem(3, "q", 0, 0, 9000));
  scheduler.Add(MakeItem(4, "p", 0, 0, 9000));
  const auto next = scheduler.TakeCalls(servers.all(), AtMs(1500));
  REQUIRE(next.size() == 1);
  REQUIRE(next[0].server == calls[1].server);
  // It is tried again later.
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(7500)).size() == 1);
}

// Estimates by which the first of several servers has the given slowness.
class Speeds {
 public:
  explicit Speeds(double slowness) {
    for (int i = 0; i < 20; ++i) {
      now_ += milliseconds(500);
      for (int server = 0; server < 4; ++server)
        speeds_.Observe(kService, IncarnationOf(server), WorkKind::kStageCall,
                        std::chrono::duration_cast<Duration>(
                            milliseconds(100) * (server == 0 ? slowness : 1.0)),
                        milliseconds(100), now_);
    }
    now_ += std::chrono::seconds(2);
  }

  // Lets the first server say that work takes that much longer now.
  void SetReported(double slowdown) {
    speeds_.SetReported(kService, IncarnationOf(0), slowdown, now_);
  }

  SpeedView view() const { return {speeds_, now_}; }

 private:
  static inline const ServiceId kService{};
  static ServerIncarnation IncarnationOf(int server) {
    return {ServerId("s" + std::to_string(server)), "", "", 0};
  }
  ServerSpeeds speeds_;
  TimePoint now_{std::chrono::seconds(100)};
};

// Guards against a server that is left out although it is only a little slower
// than usual: its steady slowness was counted as a moment of slow work.
TEST_CASE("A slow server in a small moment gets the items that wait") {
  BatchScheduler scheduler(MakeLimits(4));
  Servers servers(2);
  Speeds speeds(1.6);
  speeds.SetReported(1.7);
  for (std::uint64_t i = 0; i < 40; ++i)
    scheduler.Add(MakeItem(i + 1, "r" + std::to_string(i)));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(0), speeds.view()).size() ==
          2);
}

TEST_CASE("A slow server in a moment of slow work gets no calls") {
  BatchScheduler scheduler(MakeLimits(4));
  Servers servers(2);
  Speeds speeds(1.6);
  speeds.SetReported(3.0);
  for (std::uint64_t i = 0; i < 40; ++i)
    scheduler.Add(MakeItem(i + 1, "r" + std::to_string(i)));
  const auto calls = scheduler.TakeCalls(servers.all(), AtMs(0), speeds.view());
  REQUIRE(calls.size() == 1);
  REQUIRE(calls[0].server == ServerId("s1"));
}

// Guards against servers of a slow kind of machine that idle while items wait
// for the others.
TEST_CASE("A much slower server gets items that wait longer for the others") {
  Speeds speeds(4.0);
  const auto calls_for = [&speeds](std::uint64_t items) {
    BatchScheduler scheduler(MakeLimits(4));
    Servers servers(2);
    for (std::uint64_t i = 0; i < items; ++i)
      scheduler.Add(MakeItem(i + 1, "r" + std::to_string(i)));
    return scheduler.TakeCalls(servers.all(), AtMs(0), speeds.view()).size();
  };
  REQUIRE(calls_for(8) == 1);
  REQUIRE(calls_for(40) == 2);
}

TEST_CASE(
    "Servers that are all slow all the time are no reason to leave them") {
  BatchScheduler scheduler(MakeLimits());
  Servers servers(1);
  Speeds speeds(4.0);
  REQUIRE_FALSE(scheduler.AreAllSlow(servers.all(), AtMs(0), speeds.view()));
  speeds.SetReported(3.0);
  REQUIRE(scheduler.AreAllSlow(servers.all(), AtMs(0), speeds.view()));
}

// Guards against calls that are sent a second time as a rule, only since their
// server is of a slow kind of machine.
TEST_CASE("Limits of a call are those of its server, within bounds") {
  const BatchScheduler scheduler(MakeLimits());
  const Duration usual = scheduler.HedgeDelay(3);
  REQUIRE(scheduler.HedgeDelay(3, 2.0) == 2 * usual);
  REQUIRE(scheduler.CallTimeout(3, 2.0) == 2 * scheduler.CallTimeout(3));
  REQUIRE(scheduler.HedgeDelay(3, 0.3) == usual);
  REQUIRE(scheduler.HedgeDelay(3, 8.0) == 3 * usual);
  REQUIRE(scheduler.CallTimeout(3, 8.0) == 3 * scheduler.CallTimeout(3));
}

// Guards against items that wait although no server can finish them in time.
TEST_CASE("An item that even the fastest server finishes late is dropped") {
  Servers servers(2);
  Speeds speeds(1.6);
  std::vector<ServerRecord*> slow = servers.all();
  slow.resize(1);
  const double least_slow = BatchScheduler::LeastSlowness(slow, speeds.view());
  REQUIRE(least_slow == Approx(1.6).epsilon(0.1));
  REQUIRE(BatchScheduler::LeastSlowness(servers.all(), speeds.view()) == 1.0);
  REQUIRE(BatchScheduler::LeastSlowness({}, speeds.view()) == 1.0);
  const auto dropped = [](double slowness) {
    BatchScheduler scheduler(MakeLimits());
    QueuedItem item = MakeItem(1, "r");
    item.deadline = AtMs(200);  // a call of one item takes 166 ms as a rule
    scheduler.Add(std::move(item));
    return scheduler.TakeInfeasible(1.0, AtMs(0), slowness).size();
  };
  REQUIRE(dropped(1.0) == 0);
  REQUIRE(dropped(least_slow) == 1);
}

// Guards against a failure seen in incident inc-efac of the second site: calls
// to a slow server were abandoned while it still ran them, and the calls
// sent after them were queued at the server and abandoned in turn.
TEST_CASE("A long-running call marks its server as slow before it ends") {
  BatchScheduler scheduler(MakeLimits(1));
  Servers servers(2);
  for (std::uint64_t i = 1; i <= 2; ++i) scheduler.Add(MakeItem(i, "r"));
  const auto calls = scheduler.TakeCalls(servers.all(), AtMs(0));
  scheduler.EndCall(calls[1].server, 1, milliseconds(166), AtMs(166));
  REQUIRE(scheduler.Capacity(servers.all(), AtMs(166)) == 2.0);
  REQUIRE(scheduler.Capacity(servers.all(), AtMs(1660)) < 1.2);
  REQUIRE_FALSE(scheduler.AreAllSlow(servers.all(), AtMs(1660)));
  REQUIRE(scheduler.HedgeDelay(1) < scheduler.CallTimeout(1));
  // The slow server gets no second call meanwhile.
  scheduler.Add(MakeItem(3, "q", 0, 0, 9000));
  scheduler.Add(MakeItem(4, "p", 0, 0, 9000));
  const auto next = scheduler.TakeCalls(servers.all(), AtMs(1660));
  REQUIRE(next.size() == 1);
  REQUIRE(next[0].server == calls[1].server);
}

// Load pattern: sustained overload. A server that is idle until its next call
// has passed the network and a busy host loses part of its capacity.
TEST_CASE("A full batch is sent before the running call ends") {
  BatchScheduler scheduler(MakeLimits(8));
  Servers servers(1);
  for (std::uint64_t i = 0; i < 24; ++i)
    scheduler.Add(MakeItem(i + 1, "r" + std::to_string(i), 0, 0, 9000));
  const auto first = scheduler.TakeCalls(servers.all(), AtMs(0));
  REQUIRE(first.size() == 1);
  // A full call takes 278 ms.
  REQUIRE_FALSE(scheduler.HasFreeServer(servers.all(), AtMs(200)));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(200)).empty());
  const auto next_dispatch_at = scheduler.NextDispatchAt(AtMs(200));
  REQUIRE(next_dispatch_at.has_value());
  REQUIRE(*next_dispatch_at < AtMs(278));
  REQUIRE(scheduler.HasFreeServer(servers.all(), *next_dispatch_at));
  REQUIRE(scheduler.TakeCalls(servers.all(), *next_dispatch_at).size() == 1);
  // There is no third call, and queueing does not make the server count as
  // slow.
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(277)).empty());
  scheduler.EndCall(first[0].server, 8, milliseconds(278), AtMs(278));
  scheduler.EndCall(first[0].server, 8, milliseconds(318), AtMs(556));
  REQUIRE(scheduler.Capacity(servers.all(), AtMs(556)) == Approx(1.0));
}

TEST_CASE("A partial batch waits until the running call has ended") {
  BatchScheduler scheduler(MakeLimits(8));
  Servers servers(1);
  scheduler.Add(MakeItem(1, "r", 0, 0, 9000));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(0)).size() == 1);
  for (std::uint64_t i = 2; i < 9; ++i)
    scheduler.Add(MakeItem(i, "q" + std::to_string(i), 0, 0, 9000));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(165)).empty());
  scheduler.EndCall(ServerId("s0"), 1, milliseconds(166), AtMs(166));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(166)).size() == 1);
}

TEST_CASE("A call that was not sent leaves its server free") {
  BatchScheduler scheduler(MakeLimits(8));
  Servers servers(1);
  scheduler.Add(MakeItem(1, "r"));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(0)).size() == 1);
  scheduler.CancelCall(ServerId("s0"));
  scheduler.Add(MakeItem(2, "r"));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(0)).size() == 1);
}

TEST_CASE("Results of running calls count as used memory") {
  BatchScheduler scheduler(MakeLimits(2, 1000));
  Servers servers(1);
  for (std::uint64_t i = 0; i < 4; ++i)
    scheduler.Add(MakeItem(i + 1, "r" + std::to_string(i), 0, 0, 9000, 400));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(0)).size() == 1);
  // The next call is due, but there is no memory for its result.
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(181)).empty());
}

// Load pattern: cold return of the batching hosts.
TEST_CASE("Memory used by results of other hosts is assumed free over time") {
  BatchScheduler scheduler(MakeLimits(2, 1000));
  Servers servers(1);
  scheduler.AddResultBytes(ServerId("s0"), 100);
  scheduler.UpdateFreeMemory(ServerId("s0"), 100, AtMs(0));
  scheduler.Add(MakeItem(1, "r", 0, 0, 9000, 400));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(0)).empty());
  // The other hosts' 800 bytes have decayed to a quarter.
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(2000)).size() == 1);
}

TEST_CASE("A full server gets no calls until the given time") {
  BatchScheduler scheduler(MakeLimits());
  Servers servers(1);
  scheduler.DeferCalls(ServerId("s0"), AtMs(100));
  scheduler.Add(MakeItem(1, "r"));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(0)).empty());
  REQUIRE(scheduler.NextDispatchAt(AtMs(0)) == AtMs(100));
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(100)).size() == 1);
}

TEST_CASE("Removed items are not sent") {
  BatchScheduler scheduler(MakeLimits());
  Servers servers(1);
  scheduler.Add(MakeItem(1, "r"));
  const std::vector<ItemId> items = {ItemId(1)};
  scheduler.Remove(items);
  REQUIRE(scheduler.TakeCalls(servers.all(), AtMs(0)).empty());
}

// Load pattern: release-day wave. Simulates one service in virtual time
// under twice its usual load and returns the number of items that finish in
// time when `hosts` hosts batch their items separately.
int CountFinishedInTime(int hosts) {
  constexpr int server_count = 3;
  constexpr int request_count = 400;
  constexpr int arrival_gap_ms = 14;  // over all hosts
  constexpr int soft_deadline_ms = 1000;
  std::vector<BatchScheduler> schedulers(static_cast<std::size_t>(hosts),
                                         BatchScheduler(MakeLimits(8)));
  Servers servers(server_count);
  struct Running {
    std::size_t host;
    BatchCall call;
    int ends_at;
  };
  std::vector<Running> running;
  std::map<ServerId, int> busy_until;
  std::map<std::uint64_t, int> arrived_at;
  int in_time = 0;
  for (int now = 0; now < request_count * arrival_gap_ms + 3000; ++now) {
    if (now % arrival_gap_ms == 0 && now / arrival_gap_ms < request_count) {
      const auto id = static_cast<std::uint64_t>(now / arrival_gap_ms) + 1;
      const std::size_t host = id % static_cast<std::size_t>(hosts);
      arrived_at[id] = now;
      schedulers[host].Add(
          MakeItem(id, "r" + std::to_string(id), 0, 0, now + soft_deadline_ms));
    }
    std::vector<Running> unfinished;
    for (Running& run : running) {
      if (run.ends_at > now) {
        unfinished.push_back(std::move(run));
        continue;
      }
      schedulers[run.host].EndCall(run.call.server, run.call.items.size(),
                                   std::nullopt, AtMs(now));
      for (const QueuedItem& item : run.call.items)
        if (now - arrived_at[item.id.value()] <= soft_deadline_ms) ++in_time;
    }
    running = std::move(unfinished);
    for (std::size_t host = 0; host < schedulers.size(); ++host) {
      for (BatchCall& call :
           schedulers[host].TakeCalls(servers.all(), AtMs(now))) {
        // A server runs one call at a time.
        const int starts_at = std::max(now, busy_until[call.server]);
        const int ends_at =
            starts_at + 150 + 16 * static_cast<int>(call.items.size());
        busy_until[call.server] = ends_at;
        running.push_back({host, std::move(call), ends_at});
      }
    }
  }
  return in_time;
}

TEST_CASE("Batching at one host serves more of a wave than separate hosts do") {
  const int batched_at_one = CountFinishedInTime(1);
  const int separate = CountFinishedInTime(6);
  CAPTURE(batched_at_one, separate);
  REQUIRE(batched_at_one >= 392);  // 98 of 100
  REQUIRE(separate < batched_at_one);
}

}  // namespace
}  // namespace lovagecleat::routing
