#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"
#include "routing/model.h"
#include "routing/room.h"
#include "routing/room_allotment.h"
#include "routing/server_directory.h"
#include "routing/server_speed.h"
#include "routing/stage_plan.h"

namespace lovagecleat::routing {

using ItemId = NumberId<struct ItemIdTag>;

// One item that is queued for a batched call.
struct QueuedItem {
  ItemId id;
  std::string request;  // id chosen by the caller
  ItemPosition position;
  std::string key;                  // set for stages without inputs
  std::vector<std::string> inputs;  // set for all other stages
  std::uint64_t result_bytes = 0;
  int priority = 0;         // 0 is the most urgent
  TimePoint soft_deadline;  // later results miss the latency target
  TimePoint deadline;       // hard deadline: later results are useless
  TimePoint queued_at;
  TeamId team;
  std::optional<RoomRank> rank;  // missing: by the priority alone
  RoomVerdict verdict = RoomVerdict::kInObjective;  // of AllotRoom
};

// An item for which there is no room.
struct RefusedItem {
  QueuedItem item;
  Duration room_after{};  // time until there is
};

// One call to one server.
struct BatchCall {
  ServerId server;
  std::vector<QueuedItem> items;
};

// Batches items of several requests into calls. A call has a high fixed cost
// and a low cost per item, so items are queued while all servers are busy and
// sent at once when a server is free. A full batch is sent shortly before the
// running call ends, so that the server is not idle between calls. Items that
// can still meet their soft deadline go before late ones, then items go by
// priority, then by soft deadline. Handles the load patterns "burst of one
// class", "sustained overload" and "slow stage server".
class BatchScheduler {
 public:
  explicit BatchScheduler(const BatchLimits& limits) : limits_(limits) {}

  void SetLimits(const BatchLimits& limits) { limits_ = limits; }
  // Whether calls are chosen by what AllotRoom decided.
  void SetAllotsRoom(bool allots_room) { allots_room_ = allots_room; }
  // Queues a copy of an item that was queued before.
  void Add(QueuedItem item);
  // Queues a new item.
  void Add(QueuedItem item, TimePoint now);

  // Removes those of `items` that have not been sent.
  void Remove(std::span<const ItemId> items);

  // Removes and returns the items that cannot finish before their hard
  // deadline, estimated from the queue before them and the servers' capacity.
  // Their requests can then fail at once instead of at the deadline.
  // `least_slowness` is the steady one of the fastest server.
  std::vector<QueuedItem> TakeInfeasible(double capacity, TimePoint now,
                                         double least_slowness = 1);

  // Returns the steady slowness of the fastest server, at least 1; 1 without
  // servers.
  static double LeastSlowness(std::span<ServerRecord* const> servers,
                              const SpeedView& speeds);

  // Decides which of the queued stages get room, of which from then on those
  // that can meet their objectives go first, the others of them after these.
  // Removes and returns the items that get none. Needs a fresh estimate of
  // `supplies`, indexed by RoomKind.
  std::vector<RefusedItem> AllotRoom(
      std::span<const RoomSupply, kRoomKinds> supplies,
      const RoomWeights& weights, TimePoint now);

  // Returns what the servers can do, by RoomKind.
  // Results count as unlimited until some were held.
  std::array<RoomSupply, kRoomKinds> Supplies(
      std::span<ServerRecord* const> servers, TimePoint now,
      const SpeedView& speeds = {}) const;

  // Appends the queued work of that kind.
  void AppendQueued(const RoomResource& resource,
                    std::vector<RoomWork>& work) const;

  // Records for how long a result was held until its memory was free again.
  void ObserveHold(Duration held);

  // Returns whether TakeCalls could choose a call for one of the servers now.
  // Cheap enough to be called on every event.
  bool HasFreeServer(std::span<ServerRecord* const> servers,
                     TimePoint now) const;

  // Removes and returns all queued items.
  std::vector<QueuedItem> TakeAll() { return std::exchange(queue_, {}); }

  // Chooses calls for the servers to which this host may send one now.
  // `speeds` tells of servers that are slower than their calls here show, by
  // what other hosts saw or the servers themselves say.
  std::vector<BatchCall> TakeCalls(std::span<ServerRecord* const> servers,
                                   TimePoint now, const SpeedView& speeds = {});

  // Records that the newest call of TakeCalls for the server was not sent.
  void CancelCall(const ServerId& server);

  // Records the end of the oldest call to the server. `served` is its duration,
  // or nothing if that does not measure the server's speed. Returns the time
  // for which the server worked on it, if that is known.
  std::optional<Duration> EndCall(const ServerId& server, std::size_t items,
                                  std::optional<Duration> served,
                                  TimePoint now);

  // Sends no call to the server before `until`, since it had no free slot or no
  // memory for a result.
  void DeferCalls(const ServerId& server, TimePoint until);

  // Records the server's free result memory. Used memory that this host does
  // not account for belongs to results of other hosts, or of this host before a
  // restart; they are released or expire without this host.
  void UpdateFreeMemory(const ServerId& server, std::int64_t free_bytes,
                        TimePoint now);

  // Adds `bytes` (negative on release) to the result memory that this host
  // uses at the server.
  void AddResultBytes(const ServerId& server, std::int64_t bytes);

  // Returns when TakeCalls could next choose more calls than now, or nothing if
  // that needs another event.
  std::optional<TimePoint> NextDispatchAt(TimePoint now) const;

  // Returns the number of queued items that go before a new one of `priority`.
  std::size_t ItemsAhead(int priority) const;

  // Returns the expected duration of a call.
  Duration CallTime(std::size_t items) const;

  // Returns after which time the items of a running call should be sent to
  // another server as well. `slowness` is the steady one of its server.
  Duration HedgeDelay(std::size_t items, double slowness = 1) const;

  // Returns after which time a call counts as failed.
  Duration CallTimeout(std::size_t items, double slowness = 1) const;

  // Returns the servers' total speed, in units of one server of the expected
  // speed.
  double Capacity(std::span<ServerRecord* const> servers, TimePoint now,
                  const SpeedView& speeds = {}) const;

  // Returns whether every server is much slower than usual for it.
  bool AreAllSlow(std::span<ServerRecord* const> servers, TimePoint now,
                  const SpeedView& speeds = {}) const;

  std::size_t queue_size() const { return queue_.size(); }

 private:
  struct RunningCall {
    TimePoint sent_at;
    std::size_t items = 0;
    std::int64_t result_bytes = 0;
  };
  struct ServerState {
    std::deque<RunningCall> calls;  // oldest first; run one at a time
    TimePoint ended_at{};           // end of the last call
    TimePoint deferred_until{};
    double slowness = 1.0;  // observed time of a call divided by expected
    TimePoint slowness_at{};
    std::int64_t result_bytes = 0;
    std::int64_t external_bytes = 0;  // not of this host, as of external_at
    TimePoint external_at{};

    // Memory for this host's results, including those of running calls.
    std::int64_t ReservedBytes() const {
      std::int64_t bytes = result_bytes;
      for (const RunningCall& call : calls) bytes += call.result_bytes;
      return bytes;
    }

    // Start of the oldest call at the server.
    TimePoint started_at() const {
      return std::max(calls.front().sent_at, ended_at);
    }
  };

  void SortQueue(TimePoint now);
  void SortQueueByRoom();
  void CountArrival(const QueuedItem& item, TimePoint now);
  bool IsFree(const ServerState& state, TimePoint now) const;
  TimePoint PipelinedCallAt(const ServerState& state) const;
  double SlownessNow(const ServerState& state, TimePoint now) const;
  double SlownessNow(const ServerRecord& server, TimePoint now,
                     const SpeedView& speeds) const;
  bool IsUnusuallySlow(const ServerRecord& server, TimePoint now,
                       const SpeedView& speeds) const;
  std::vector<QueuedItem> TakeItems(const ServerState& state, TimePoint now);
  static std::int64_t ExternalBytes(const ServerState& state, TimePoint now);

  BatchLimits limits_;
  std::vector<QueuedItem> queue_;
  std::map<ServerId, ServerState> states_;
  bool allots_room_ = false;
  // Work of the last while that goes before each priority, as
  // RoomSupply::taken; decays.
  std::array<std::array<double, RoomRank::kPriorities + 1>, kRoomKinds>
      arrivals_{};
  TimePoint arrivals_at_{};
  double held_seconds_ = 0;  // mean
  std::size_t holds_ = 0;    // observed
};

}  // namespace lovagecleat::routing
