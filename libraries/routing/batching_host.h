#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace lovagecleat::routing {

// A host that may batch the items of all hosts for one service in one zone.
struct BatchingHost {
  std::string_view address;
  bool is_in_zone = false;       // in the zone of the servers
  double processor_cores = 1.0;  // cores that it may use
};

// Returns the address of the host that batches, chosen by rendezvous hashing
// with `seed`; empty if `hosts` is empty. All hosts with the same view of
// `hosts` choose the same one. Hosts in the servers' zone are preferred; of
// these, hosts with a small share of a processor are left out, since batching
// would delay their own callers. Handles the load pattern "uneven hosts".
std::string_view ChooseBatchingHost(std::uint64_t seed,
                                    std::span<const BatchingHost> hosts);

// Returns the rank of `self` among the hosts of a zone that may read the store
// on behalf of the zone: rank 0 reads, the following ranks take over in order.
// Hosts with more processor cores rank first. All hosts with the same view
// agree.
std::size_t StoreReaderRank(const BatchingHost& self,
                            std::span<const BatchingHost> others);

// Returns the address of the host with rank 0 among those of the zone; empty if
// there is none.
std::string_view StoreReader(std::span<const BatchingHost> hosts);

}  // namespace lovagecleat::routing
