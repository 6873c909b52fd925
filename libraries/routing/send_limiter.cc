#include "routing/send_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovagecleat::routing {

namespace {

// Servers count by their own clock; a little more than a second here keeps two
// bursts apart there.
constexpr Duration kWindow = std::chrono::milliseconds(1100);
// Where there are more hosts than the bound can be split over, each chosen one
// gets this many, since one alone could not even send a retry.
constexpr std::size_t kLeastShare = 2;
// What a host may send to a warm server, against its share of a cold one.
constexpr std::size_t kWarmFactor = 3;
// Kept for hosts that have started but are not listed yet.
constexpr double kReserve = 0.1;

}  // namespace

void SendLimiter::SetHosts(std::vector<HostId> hosts) {
  hosts_ = std::move(hosts);
}

std::size_t SendLimiter::Share(const ServerId& server, const ColdBound& bound,
                               Warmth warmth) const {
  const double most = (bound.requests_per_second * bound.factor + bound.slack) *
                      (1.0 - kReserve);
  const auto total = static_cast<std::size_t>(std::floor(most));
  const std::size_t hosts = std::max<std::size_t>(hosts_.size(), 1);
  const bool is_warm = warmth == Warmth::kWarm;
  if (!is_warm && !is_counted_) return 0;
  const std::size_t even = total / hosts;
  if (even >= 1) return is_warm ? even * kWarmFactor : even;
  // A prompt's home must be open to every host.
  if (is_warm) return kLeastShare;
  // By rendezvous hashing the same few hosts are chosen everywhere.
  const auto rank = [&server](const HostId& host) {
    return StableHash(host.value(), StableHash(server.value()));
  };
  const std::uint64_t own = rank(self_);
  const auto before = static_cast<std::size_t>(std::count_if(
      hosts_.begin(), hosts_.end(),
      [&](const HostId& host) { return host != self_ && rank(host) > own; }));
  return before < total / kLeastShare ? kLeastShare : 0;
}

void SendLimiter::DropOld(std::deque<TimePoint>& sends, TimePoint now) const {
  while (!sends.empty() && now - sends.front() >= kWindow) sends.pop_front();
}

bool SendLimiter::MaySend(const ServerId& server, const ColdBound& bound,
                          Warmth warmth, TimePoint now) {
  if (bound.requests_per_second <= 0) return true;
  const auto found = sends_.find(server);
  if (found == sends_.end()) return Share(server, bound, warmth) > 0;
  DropOld(found->second, now);
  return found->second.size() < Share(server, bound, warmth);
}

void SendLimiter::CountSend(const ServerId& server, TimePoint now) {
  std::deque<TimePoint>& sends = sends_[server];
  DropOld(sends, now);
  sends.push_back(now);
}

std::optional<TimePoint> SendLimiter::FreeAt(const ServerId& server,
                                             const ColdBound& bound,
                                             Warmth warmth, TimePoint now) {
  if (MaySend(server, bound, warmth, now)) return now;
  const std::size_t share = Share(server, bound, warmth);
  if (share == 0) return std::nullopt;
  const std::deque<TimePoint>& sends = sends_[server];
  return sends[sends.size() - share] + kWindow;
}

}  // namespace lovagecleat::routing
