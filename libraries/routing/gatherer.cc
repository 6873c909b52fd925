#include "routing/gatherer.h"

#include <algorithm>
#include <utility>

#include "base/base.h"

namespace lovagecleat::routing {

namespace {

// Hosts with less than this fraction of the largest processor share are not
// chosen.
constexpr double kMinimumProcessorFraction = 0.5;

}  // namespace

std::string_view ChooseGatherer(std::uint64_t seed,
                                std::span<const GatheringHost> hosts) {
  const bool has_near =
      std::any_of(hosts.begin(), hosts.end(),
                  [](const GatheringHost& host) { return host.is_near; });
  double largest_processor = 0;
  for (const GatheringHost& host : hosts)
    if (host.is_near == has_near)
      largest_processor = std::max(largest_processor, host.processor);
  std::string_view best;
  std::uint64_t best_rank = 0;
  for (const GatheringHost& host : hosts) {
    if (host.is_near != has_near ||
        host.processor < kMinimumProcessorFraction * largest_processor)
      continue;
    const std::uint64_t rank = StableHash(host.address, seed);
    if (!best.empty() && rank <= best_rank) continue;
    best = host.address;
    best_rank = rank;
  }
  return best;
}

std::size_t ReadingRank(const GatheringHost& self,
                        std::span<const GatheringHost> others) {
  const auto key = [](const GatheringHost& host) {
    return std::pair(host.processor, StableHash(host.address));
  };
  return static_cast<std::size_t>(std::count_if(
      others.begin(), others.end(), [&](const GatheringHost& host) {
        return host.is_near && key(host) > key(self);
      }));
}

}  // namespace lovagecleat::routing
