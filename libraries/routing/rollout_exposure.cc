#include "routing/rollout_exposure.h"

#include <algorithm>

namespace lovagecleat::routing {

namespace {

// Used part of the bounds. The rest allows for hosts that count each other
// late, and for requests that reach a server after the deadline only.
constexpr double kUsedFraction = 0.9;

}  // namespace

void RolloutExposure::SetHosts(const HostId& self,
                               std::span<const HostId> hosts,
                               std::uint64_t seed) {
  const auto total =
      static_cast<std::uint64_t>(bounds_.exposure_slack * kUsedFraction);
  const std::uint64_t count = std::max<std::size_t>(hosts.size(), 1);
  const std::uint64_t own_hash = StableHash(self.value(), seed);
  std::uint64_t rank = 0;
  for (const HostId& host : hosts) {
    const std::uint64_t hash = StableHash(host.value(), seed);
    if (host != self && (hash > own_hash || (hash == own_hash && host < self)))
      ++rank;
  }
  const std::uint64_t part = total / count + (rank < total % count ? 1 : 0);
  own_slack_ = std::min(own_slack_.value_or(part), part);
}

std::uint64_t RolloutExposure::Remaining() const {
  double allowed =
      kUsedFraction * bounds_.exposure_share * static_cast<double>(requests_);
  if (slack_use_ == SlackUse::kOwnPart)
    allowed += static_cast<double>(own_slack_.value_or(0));
  const auto whole = static_cast<std::uint64_t>(allowed);
  return whole - std::min(whole, sent_new_);
}

}  // namespace lovagecleat::routing
