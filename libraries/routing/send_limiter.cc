#include "routing/send_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovagecleat::routing {

namespace {

// Servers measure a second by their own clock. A slightly longer window here
// keeps two bursts from falling into the same second there.
constexpr Duration kWindow = std::chrono::milliseconds(1100);
// Share of each chosen host if there are more hosts than the limit can be split
// over. With a share of one, a host could not send a retry.
constexpr std::size_t kMinimumShare = 2;
// Share of a warm server relative to the share of a cold one.
constexpr std::size_t kWarmFactor = 3;
// Fraction of the limit reserved for hosts that have started but are not listed
// yet.
constexpr double kReservedFraction = 0.1;

}  // namespace

void SendLimiter::SetHosts(std::vector<HostId> hosts) {
  hosts_ = std::move(hosts);
}

std::size_t SendLimiter::Share(const ServerId& server,
                               const ColdRateLimit& limit,
                               Warmth warmth) const {
  const double total_limit =
      (limit.requests_per_second * limit.factor + limit.slack) *
      (1.0 - kReservedFraction);
  const auto total = static_cast<std::size_t>(std::floor(total_limit));
  const std::size_t hosts = std::max<std::size_t>(hosts_.size(), 1);
  const bool is_warm = warmth == Warmth::kWarm;
  if (!is_warm && !is_counted_) return 0;
  const std::size_t even_share = total / hosts;
  if (even_share >= 1) return is_warm ? even_share * kWarmFactor : even_share;
  // Every host must be able to send to the home server of a prompt.
  if (is_warm) return kMinimumShare;
  // Rendezvous hashing makes every host choose the same few hosts.
  const auto rank = [&server](const HostId& host) {
    return StableHash(host.value(), StableHash(server.value()));
  };
  const std::uint64_t own_rank = rank(self_);
  const auto ranked_higher = static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(), [&](const HostId& host) {
        return host != self_ && rank(host) > own_rank;
      }));
  return ranked_higher < total / kMinimumShare ? kMinimumShare : 0;
}

void SendLimiter::DropExpired(std::deque<TimePoint>& sends,
                              TimePoint now) const {
  while (!sends.empty() && now - sends.front() >= kWindow) sends.pop_front();
}

bool SendLimiter::MaySend(const ServerId& server, const ColdRateLimit& limit,
                          Warmth warmth, TimePoint now) {
  if (limit.requests_per_second <= 0) return true;
  const auto found = sends_.find(server);
  if (found == sends_.end()) return Share(server, limit, warmth) > 0;
  DropExpired(found->second, now);
  return found->second.size() < Share(server, limit, warmth);
}

void SendLimiter::CountSend(const ServerId& server, TimePoint now) {
  std::deque<TimePoint>& sends = sends_[server];
  DropExpired(sends, now);
  sends.push_back(now);
}

std::optional<TimePoint> SendLimiter::NextSendAt(const ServerId& server,
                                                 const ColdRateLimit& limit,
                                                 Warmth warmth, TimePoint now) {
  if (MaySend(server, limit, warmth, now)) return now;
  const std::size_t share = Share(server, limit, warmth);
  if (share == 0) return std::nullopt;
  const std::deque<TimePoint>& sends = sends_[server];
  return sends[sends.size() - share] + kWindow;
}

}  // namespace lovagecleat::routing
