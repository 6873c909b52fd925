#pragma once

#include <cstddef>
#include <functional>
#include <map>
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
// time share a message. Messages to a host that cannot be connected to for some
// time are dropped.
template <typename Message>
class PeerOutbox {
 public:
  // Returns false if the message cannot be sent now.
  using SendCallback =
      std::function<bool(const std::string& peer, const Message& message)>;

  PeerOutbox(transport::Loop& loop, SendCallback send)
      : loop_(loop), send_(std::move(send)) {}
  ~PeerOutbox() { loop_.Cancel(timer_); }
  PeerOutbox(const PeerOutbox&) = delete;
  PeerOutbox& operator=(const PeerOutbox&) = delete;

  // Returns the message to the host with that address, to be added to.
  Message& To(const std::string& peer) {
    return pending_.try_emplace(peer, Pending{{}, loop_.clock().Now()})
        .first->second.message;
  }

  // Sends what has been added, together with what is added before.
  void FlushSoon() { ScheduleFlush(kBatchDelay); }
  void FlushNow() { ScheduleFlush(Duration::zero()); }

 private:
  static constexpr Duration kBatchDelay = std::chrono::milliseconds(10);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
  static constexpr Duration kSendTimeout = std::chrono::milliseconds(2000);

  struct Pending {
    Message message;
    TimePoint added_at;
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
    std::erase_if(pending_, [&](const auto& item) {
      const auto& [peer, pending] = item;
      return send_(peer, pending.message) ||
             now - pending.added_at >= kSendTimeout;
    });
    ScheduleFlush(kRetryDelay);
  }

  transport::Loop& loop_;
  SendCallback send_;
  std::map<std::string, Pending> pending_;  // by address
  TimerId timer_;
};

}  // namespace lovagecleat::gateway
