#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "services/gateway/context.h"

namespace lovagecleat::gateway {

// Returns up to `count` of the peers that are reachable, chosen at random.
inline std::vector<std::string> ChooseReachable(
    std::vector<std::string> peers,
    const std::function<bool(const std::string& peer)>& is_reachable,
    std::size_t count, Random& random) {
  std::erase_if(peers, [&](const auto& peer) { return !is_reachable(peer); });
  while (peers.size() > count)
    peers.erase(peers.begin() +
                static_cast<std::ptrdiff_t>(random.Below(peers.size())));
  return peers;
}

// Collects what is to be sent to other hosts, so that reports within a short
// time share a message. What cannot be sent to a host for some time, or exceeds
// the bound on what waits for it, is dropped; the host is behind then and gets
// all that is known once it can be reached.
template <typename Message>
class PeerOutbox {
 public:
  // Returns false if the message cannot be sent now.
  using SendCallback =
      std::function<bool(const std::string& peer, const Message& message)>;
  using ReachableCallback = std::function<bool(const std::string& peer)>;
  // Adds all that is known. Returns false if there is nothing.
  using WriteAllCallback = std::function<bool(Message&)>;

  // Entries that wait for one host; a message with them can be sent.
  static constexpr std::size_t kMaximumEntries = 1000;

  PeerOutbox(transport::Loop& loop, ReachableCallback is_reachable,
             SendCallback send, WriteAllCallback write_all)
      : loop_(loop),
        is_reachable_(std::move(is_reachable)),
        send_(std::move(send)),
        write_all_(std::move(write_all)) {}
  ~PeerOutbox() {
    loop_.Cancel(timer_);
    loop_.Cancel(behind_timer_);
  }
  PeerOutbox(const PeerOutbox&) = delete;
  PeerOutbox& operator=(const PeerOutbox&) = delete;

  // Returns the message to the host with that address, to add one entry to.
  Message& To(const std::string& peer) {
    Pending& pending =
        pending_.try_emplace(peer, Pending{{}, loop_.clock().Now(), 0})
            .first->second;
    if (++pending.entries <= kMaximumEntries) return pending.message;
    // All that is known replaces it.
    pending.message.Clear();
    MarkBehind(peer);
    left_out_.Clear();
    return left_out_;
  }

  // Adds an entry for each of these hosts, also for those that cannot be
  // reached now: they get all that is known later.
  template <typename Add>
  void ToAll(const std::vector<std::string>& peers, const Add& add) {
    for (const std::string& peer : peers) {
      if (is_reachable_(peer)) {
        add(To(peer));
      } else {
        MarkBehind(peer);
      }
    }
    FlushSoon();
  }

  // Forgets hosts that are not listed.
  void SetPeers(const std::vector<std::string>& peers) {
    std::erase_if(behind_, [&peers](const auto& item) {
      return std::find(peers.begin(), peers.end(), item.first) == peers.end();
    });
  }

  // Sends what has been added, together with what is added before.
  void FlushSoon() { ScheduleFlush(kBatchDelay); }
  void FlushNow() { ScheduleFlush(Duration::zero()); }

  std::size_t hosts_behind() const { return behind_.size(); }

 private:
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(10);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
  static constexpr Duration kSendTimeout = std::chrono::milliseconds(2000);
  // Hosts that are behind are tried again after this time, doubled each time.
  static constexpr Duration kBehindDelay = std::chrono::milliseconds(500);
  static constexpr Duration kMaximumBehindDelay =
      std::chrono::milliseconds(4000);

  struct Pending {
    Message message;
    TimePoint added_at;
    std::size_t entries = 0;
  };
  struct Behind {
    Duration delay = kBehindDelay;
    TimePoint due{};
  };

  void ScheduleFlush(Duration delay) {
    if (pending_.empty() || timer_.value() != 0) return;
    timer_ = loop_.After(delay, [this] {
      timer_ = TimerId{};
      Flush();
    });
  }

  void Flush() {
    const TimePoint now = loop_.clock().Now();
    std::vector<std::string> dropped;
    std::erase_if(pending_, [&](const auto& item) {
      const auto& [peer, pending] = item;
      if (send_(peer, pending.message)) return true;
      if (now - pending.added_at < kSendTimeout) return false;
      dropped.push_back(peer);
      return true;
    });
    for (const std::string& peer : dropped) MarkBehind(peer);
    ScheduleFlush(kRetryDelay);
  }

  void MarkBehind(const std::string& peer) {
    behind_.try_emplace(
        peer, Behind{kBehindDelay, loop_.clock().Now() + kBehindDelay});
    ScheduleBehind();
  }

  void ScheduleBehind() {
    if (behind_.empty() || behind_timer_.value() != 0) return;
    behind_timer_ = loop_.After(kBehindDelay, [this] {
      behind_timer_ = TimerId{};
      SendToBehind();
    });
  }

  void SendToBehind() {
    const TimePoint now = loop_.clock().Now();
    std::optional<Message> all;
    for (auto it = behind_.begin(); it != behind_.end();) {
      auto& [peer, behind] = *it;
      if (now < behind.due || !is_reachable_(peer)) {
        ++it;
        continue;
      }
      if (!all) {
        all.emplace();
        if (!write_all_(*all)) {
          behind_.clear();
          return;
        }
      }
      if (send_(peer, *all)) {
        it = behind_.erase(it);
        continue;
      }
      behind.delay = std::min(2 * behind.delay, kMaximumBehindDelay);
      behind.due = now + behind.delay;
      ++it;
    }
    ScheduleBehind();
  }

  transport::Loop& loop_;
  ReachableCallback is_reachable_;
  SendCallback send_;
  WriteAllCallback write_all_;
  std::map<std::string, Pending> pending_;  // by address
  std::map<std::string, Behind> behind_;    // by address
  Message left_out_;
  TimerId timer_;
  TimerId behind_timer_;
};

}  // namespace lovagecleat::gateway
