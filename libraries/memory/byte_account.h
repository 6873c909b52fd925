#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include "base/base.h"

namespace lovagecleat::memory {

// What bytes are held for.
enum class Kind : std::size_t {
  kConnections,  // the objects of the connection itself
  kHeads,        // heads, and bytes that are not parsed yet
  kBodies,       // bodies of requests, with their copies on the way to servers
  kResponses,    // responses that are not sent yet
  kUnread,       // receive buffers of the kernel that are not read
};
constexpr std::size_t kKindCount = 5;
std::string_view ToString(Kind kind);

// Why a client lost what was held for it.
enum class Eviction : std::size_t {
  kStalled,        // it has sent or taken nothing while others waited
  kWaitedTooLong,  // no room was found for its request
  kNoRoom,         // there was no room to let it wait
  kOverLimit,      // the account exceeded its limit
  kSlow,           // its turn took too long while others waited
};
constexpr std::size_t kEvictionCount = 5;
std::string_view ToString(Eviction eviction);

struct AccountLimits {
  std::size_t total = 0;  // 0: no limit
  // Requests beyond their share of a connection wait above this.
  std::size_t pool = 0;
  // A connection may hold this much without asking.
  std::size_t connection_share = std::size_t{16} * 1024;
  // Those of one client address may hold this much.
  std::size_t address_share = 0;
  // A peer that does nothing for this long may lose what is held for it.
  Duration stall_time = std::chrono::seconds(1);
  Duration maximum_wait = std::chrono::seconds(2);
  // A request may exceed the pool for this long while others wait.
  Duration maximum_turn = std::chrono::milliseconds(1500);
};

// Returns the limits of a process on a machine with that much memory.
AccountLimits LimitsFor(std::uint64_t machine_bytes, double address_share);

// Returns how many connections a process may accept that has that many sockets
// for them.
std::size_t ConnectionsFor(const AccountLimits& limits, std::size_t sockets);

enum class Answer { kGranted, kWait, kRefused };

class ByteAccount;

// Receives the decisions on one holder, from ByteAccount::Run only.
class HolderObserver {
 public:
  virtual ~HolderObserver() = default;
  // There may be room now: ask again.
  virtual void OnRoom() = 0;
  // Must free what is held.
  virtual void OnEvicted(Eviction eviction) = 0;
  // Whether the peer has done something that was not handled yet, such as after
  // a pause of the process.
  virtual bool HasUnhandledProgress() const { return false; }
};

// What one connection holds.
class Holder {
 public:
  Holder(ByteAccount& account, HolderObserver& observer, std::uint32_t address,
         TimePoint now);
  ~Holder();
  Holder(const Holder&) = delete;
  Holder& operator=(const Holder&) = delete;

  // Sets how much is held of a kind.
  void Hold(Kind kind, std::size_t bytes);
  std::size_t held(Kind kind) const {
    return held_[static_cast<std::size_t>(kind)];
  }
  std::size_t total() const { return total_; }

  // Asks whether `bytes` more may be held; the request may come to need `most`
  // more, including these. After kWait, the observer is told when to ask again;
  // `unread` are held meanwhile.
  Answer Ask(std::size_t bytes, std::size_t most, std::size_t unread,
             TimePoint now);
  Answer Ask(std::size_t bytes, std::size_t unread, TimePoint now) {
    return Ask(bytes, bytes, unread, now);
  }

  // A request begins; requests that began earlier go first.
  void BeginRequest();
  // The request was read completely.
  void EndRequest();
  // Holds nothing any more and waits for nothing.
  void Release();

  // The peer has sent or taken bytes.
  void OnProgress(TimePoint now) { progress_at_ = now; }
  // Whether the peer has to do something next.
  void SetWaitsForPeer(bool waits, TimePoint now) {
    if (waits && !waits_for_peer_) progress_at_ = now;
    waits_for_peer_ = waits;
  }
  // A request that was passed on must not be evicted before its response has
  // begun, since it may have run.
  void SetEvictable(bool is_evictable) { is_evictable_ = is_evictable; }

 private:
  friend class ByteAccount;
  ByteAccount& account_;
  HolderObserver& observer_;
  std::uint32_t address_;
  std::array<std::size_t, kKindCount> held_{};
  std::size_t total_ = 0;
  TimePoint progress_at_;
  bool waits_for_peer_ = true;
  bool is_evictable_ = true;
  std::uint64_t request_ = 0;  // number of the request being read; 0: none
  std::optional<TimePoint> asked_at_;
  std::uint64_t waiting_number_ = 0;  // key among those that wait
  std::size_t asked_bytes_ = 0;
  std::size_t asked_most_ = 0;
};

// Bounds the memory that a process holds for its clients. Without limits it
// only counts.
class ByteAccount {
 public:
  // `on_work` is called when Run has something to do.
  explicit ByteAccount(std::function<void()> on_work = nullptr);
  ByteAccount(const ByteAccount&) = delete;
  ByteAccount& operator=(const ByteAccount&) = delete;

  void SetLimits(const AccountLimits& limits);
  const AccountLimits& limits() const { return limits_; }
  bool is_limited() const { return limits_.total > 0; }

  // Lets those go on for whom there is room, and evicts others. Call it after
  // `on_work`, and periodically.
  void Run(TimePoint now);

  std::size_t total() const { return total_; }
  std::size_t held(Kind kind) const {
    return held_[static_cast<std::size_t>(kind)];
  }
  std::size_t waiting() const { return waiting_.size(); }
  std::uint64_t evictions(Eviction eviction) const {
    return evictions_[static_cast<std::size_t>(eviction)];
  }
  // Counts a refusal that the asker itself carries out.
  void CountRefusal() {
    ++evictions_[static_cast<std::size_t>(Eviction::kNoRoom)];
  }

 private:
  friend class Holder;
  enum class Order { kStalled, kStalledSmall, kAtPeer, kAny };

  void Change(Holder& holder, Kind kind, std::size_t bytes);
  Answer Ask(Holder& holder, std::size_t bytes, std::size_t most,
             std::size_t unread, TimePoint now);
  bool FitsPool(std::size_t bytes) const;
  bool MayTakeTurn(std::size_t most) const;
  bool IsStalled(const Holder& holder, TimePoint now) const;
  Holder* Largest(Order order, TimePoint now) const;
  void Evict(Holder& holder, Eviction eviction);
  void StopWaiting(Holder& holder);
  void RelieveLimit(TimePoint now);
  void ServeWaiting(TimePoint now);
  Holder* FindInTheWay(TimePoint now) const;
  void LetAllGoOn();
  void EndLongWaits(TimePoint now);
  void NotifyWork();

  std::function<void()> on_work_;
  AccountLimits limits_;
  std::size_t total_ = 0;
  std::array<std::size_t, kKindCount> held_{};
  std::array<std::uint64_t, kEvictionCount> evictions_{};
  std::set<Holder*> holders_;
  std::map<std::uint64_t, Holder*> waiting_;  // by number of the request
  std::map<std::uint32_t, std::size_t> by_address_;
  // The holder that may exceed the pool.
  Holder* turn_ = nullptr;
  TimePoint turn_since_;
  std::uint64_t last_request_ = 0;
  bool is_notified_ = false;
};

}  // namespace lovagecleat::memory
