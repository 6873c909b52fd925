#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "base/base.h"

namespace lovagecleat::routing {

// What a cold server bears in any second, over all hosts.
struct ColdBound {
  double requests_per_second = 0;  // 0: no bound
  double factor = 1.0;
  double slack = 0;
};

// Whether a server is known to be warm. One that has just started, returned or
// failed is not.
enum class Warmth { kUnsure, kWarm };

// Keeps the requests that all hosts together send to one server within the
// bound of a cold one, without messages: the bound is split over the hosts
// that may send there. A warm server can turn cold without notice, so that its
// requests are bounded, too, if less narrowly: hosts rarely all send as much
// as they may.
class SendLimiter {
 public:
  explicit SendLimiter(HostId self) : self_(std::move(self)) {}

  void SetHosts(std::vector<HostId> hosts);

  // Whether the other hosts count this one. Before that it has no part of the
  // bound of a server that may be cold.
  void SetCounted(bool is_counted) { is_counted_ = is_counted; }

  // Sends of this host in any second; 0 if the server is left to other hosts.
  std::size_t Share(const ServerId& server, const ColdBound& bound,
                    Warmth warmth) const;

  bool MaySend(const ServerId& server, const ColdBound& bound, Warmth warmth,
               TimePoint now);
  void CountSend(const ServerId& server, TimePoint now);

  // The earliest instant at which MaySend would be true again; nothing if
  // never.
  std::optional<TimePoint> FreeAt(const ServerId& server,
                                  const ColdBound& bound, Warmth warmth,
                                  TimePoint now);

 private:
  void DropOld(std::deque<TimePoint>& sends, TimePoint now) const;

  HostId self_;
  bool is_counted_ = true;
  std::vector<HostId> hosts_;
  std::map<ServerId, std::deque<TimePoint>> sends_;
};

}  // namespace lovagecleat::routing
