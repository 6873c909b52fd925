#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "base/base.h"

namespace lovagecleat::routing {

// Limit on the requests that all hosts send to a cold server in any second:
// requests_per_second * factor + slack.
struct ColdRateLimit {
  double requests_per_second = 0;  // 0: unlimited
  double factor = 1.0;
  double slack = 0;
};

// Whether a server is known to be warm. A server that has just started, failed
// or returned to service is not.
enum class Warmth { kUnknown, kWarm };

// Keeps the requests that all hosts together send to a server within the limit
// of a cold server. The limit is split over the hosts without messages. A warm
// server can become cold without notice, so its requests are limited too, but
// less strictly, since hosts rarely all use their full share.
class SendLimiter {
 public:
  explicit SendLimiter(HostId self) : self_(std::move(self)) {}

  void SetHosts(std::vector<HostId> hosts);

  // Sets whether the other hosts count this one when they split a limit. Until
  // then this host has no share of a server that may be cold.
  void SetCountedByPeers(bool is_counted) { is_counted_ = is_counted; }

  // Returns the requests that this host may send in any second; 0 if only other
  // hosts send to the server.
  std::size_t Share(const ServerId& server, const ColdRateLimit& limit,
                    Warmth warmth) const;

  bool MaySend(const ServerId& server, const ColdRateLimit& limit,
               Warmth warmth, TimePoint now);
  void CountSend(const ServerId& server, TimePoint now);

  // Returns the earliest time at which MaySend is true, or nothing if this host
  // has no share.
  std::optional<TimePoint> NextSendAt(const ServerId& server,
                                      const ColdRateLimit& limit, Warmth warmth,
                                      TimePoint now);

 private:
  void DropExpired(std::deque<TimePoint>& sends, TimePoint now) const;

  HostId self_;
  bool is_counted_ = true;
  std::vector<HostId> hosts_;
  std::map<ServerId, std::deque<TimePoint>> sends_;
};

}  // namespace lovagecleat::routing
