#pragma once

#include <algorithm>
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
#include "routing/server_directory.h"
#include "routing/stage_plan.h"

namespace lovagecleat::routing {

using ItemId = NumberId<struct ItemIdTag>;

// One item that waits for a place in a batched call.
struct WaitingItem {
  ItemId id;
  std::string request;  // as the caller named it
  ItemPlace place;
  std::string key;                  // for stages without inputs
  std::vector<std::string> inputs;  // for the others
  std::uint64_t result_bytes = 0;
  int priority = 0;        // 0 goes first
  TimePoint useful_until;  // a result after this makes the answer late
  TimePoint deadline;      // a result after this is of no use
  TimePoint waiting_since;
};

// One call to one server.
struct BatchCall {
  ServerId server;
  std::vector<WaitingItem> items;
};

// Fills batched calls over requests: a call costs much by itself and little an
// item, so that items gather while their servers are busy, and go at once when
// one is free. Where a whole call waits, it is sent shortly before the running
// one ends, so that the server does not stand idle between them. Items that
// can still be in time go before late ones, urgent ones before others, and
// then those that are due first. Answers the patterns "burst of one class",
// "sustained overload" and "slow stage server".
class BatchScheduler {
 public:
  explicit BatchScheduler(const BatchLimits& limits) : limits_(limits) {}

  void SetLimits(const BatchLimits& limits) { limits_ = limits; }
  void Add(WaitingItem item);

  // Takes out the items of a request that were not sent.
  void Remove(std::span<const ItemId> items);

  // Takes out the items that no call will finish before their deadline, going
  // by what goes before them and by the servers' capacity: whoever waits for
  // them is told at once, not when the time is over.
  std::vector<WaitingItem> TakeHopeless(double capacity, TimePoint now);

  // Whether TakeCalls could choose a call for one of the servers now. Cheap, so
  // that it can be asked at every event.
  bool HasFreeServer(std::span<ServerRecord* const> servers,
                     TimePoint now) const;

  // Takes out everything.
  std::vector<WaitingItem> TakeAll() { return std::exchange(waiting_, {}); }

  // Chooses calls for the servers that are free for this host.
  std::vector<BatchCall> TakeCalls(std::span<ServerRecord* const> servers,
                                   TimePoint now);

  // The newest call of TakeCalls for that server was not sent.
  void CancelCall(const ServerId& server);

  // A call of TakeCalls has ended; `served` is its time, nothing if that says
  // nothing of the server's speed.
  void EndCall(const ServerId& server, std::size_t items,
               std::optional<Duration> served, TimePoint now);

  // The server had no place for a call, or no room for a result.
  void Defer(const ServerId& server, TimePoint until);

  // The server found less room than this host counted: results of others, or
  // of this host before it started anew, lie there. They end by themselves.
  void NoteRoom(const ServerId& server, std::int64_t free_bytes, TimePoint now);

  // Room taken at a server by results of this host.
  void CountResult(const ServerId& server, std::int64_t bytes);

  // When TakeCalls could do more than now; nothing: not before another event.
  std::optional<TimePoint> NextChance(TimePoint now) const;

  // Items that go before a new one of that priority.
  std::size_t WaitingBefore(int priority) const;
  Duration CallTime(std::size_t items) const;

  // After this time of a call its items are better made elsewhere, too.
  Duration CallPatience(std::size_t items) const;

  // How long a call may take before its server is taken as failed.
  Duration CallTimeout(std::size_t items) const;

  // The servers' speed together, in servers of the expected speed.
  double Capacity(std::span<ServerRecord* const> servers, TimePoint now) const;

  // Whether none of the servers is of much use now.
  bool AreAllSlow(std::span<ServerRecord* const> servers, TimePoint now) const;

  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct RunningCall {
    TimePoint sent_at;
    std::size_t items = 0;
    std::int64_t result_bytes = 0;
  };
  struct Lane {
    std::deque<RunningCall> calls;  // at the server, which does one at a time
    TimePoint ended_at{};           // the last call
    TimePoint deferred_until{};
    double slowness = 1.0;  // observed time of a call against the expected
    TimePoint slowness_at{};
    std::int64_t result_bytes = 0;
    std::int64_t foreign_bytes = 0;  // of others, as of foreign_at
    TimePoint foreign_at{};

    // Room taken by this host's results, those that are being made included.
    std::int64_t RoomTaken() const {
      std::int64_t bytes = result_bytes;
      for (const RunningCall& call : calls) bytes += call.result_bytes;
      return bytes;
    }

    // When the server began with its first call.
    TimePoint started_at() const {
      return std::max(calls.front().sent_at, ended_at);
    }
  };

  void SortWaiting(TimePoint now);
  bool IsFree(const Lane& lane, TimePoint now) const;
  TimePoint NextCallAt(const Lane& lane) const;
  double SlownessNow(const Lane& lane, TimePoint now) const;
  double SlownessNow(const ServerId& server, TimePoint now) const;
  std::vector<WaitingItem> TakeItems(const Lane& lane, TimePoint now);
  static std::int64_t ForeignBytes(const Lane& lane, TimePoint now);

  BatchLimits limits_;
  std::vector<WaitingItem> waiting_;
  std::map<ServerId, Lane> lanes_;
};

}  // namespace lovagecleat::routing
