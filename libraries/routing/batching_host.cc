#include "routing/batching_host.h"

#include <algorithm>
#include <utility>

#include "base/base.h"

namespace lovagecleat::routing {

namespace {

// Hosts with less than this fraction of the largest processor share are not
// chosen.
constexpr double kMinimumProcessorFraction = 0.5;

// Hosts with a greater key read the store first.
std::pair<double, std::uint64_t> ReaderKey(const BatchingHost& host) {
  return {host.processor_cores, StableHash(host.address)};
}

}  // namespace

std::string_view ChooseBatchingHost(std::uint64_t seed,
                                    std::span<const BatchingHost> hosts) {
  const bool has_host_in_zone =
      std::any_of(hosts.begin(), hosts.end(),
                  [](const BatchingHost& host) { return host.is_in_zone; });
  double most_cores = 0;
  for (const BatchingHost& host : hosts)
    if (host.is_in_zone == has_host_in_zone)
      most_cores = std::max(most_cores, host.processor_cores);
  std::string_view best;
  std::uint64_t best_rank = 0;
  for (const BatchingHost& host : hosts) {
    if (host.is_in_zone != has_host_in_zone ||
        host.processor_cores < kMinimumProcessorFraction * most_cores)
      continue;
    const std::uint64_t rank = StableHash(host.address, seed);
    if (!best.empty() && rank <= best_rank) continue;
    best = host.address;
    best_rank = rank;
  }
  return best;
}

std::size_t StoreReaderRank(const BatchingHost& self,
                            std::span<const BatchingHost> others) {
  return static_cast<std::size_t>(std::count_if(
      others.begin(), others.end(), [&](const BatchingHost& host) {
        return host.is_in_zone && ReaderKey(host) > ReaderKey(self);
      }));
}

std::string_view StoreReader(std::span<const BatchingHost> hosts) {
  const BatchingHost* first = nullptr;
  for (const BatchingHost& host : hosts)
    if (host.is_in_zone &&
        (first == nullptr || ReaderKey(host) > ReaderKey(*first)))
      first = &host;
  return first == nullptr ? std::string_view() : first->address;
}

}  // namespace lovagecleat::routing
