#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace lovagecleat::routing {

// A host that could gather the items of a place.
struct GatheringHost {
  std::string_view address;
  bool is_near = false;    // in the zone of the servers
  double processor = 1.0;  // cores that it may use
};

// The address of the host that gathers: all hosts that know the same others
// choose the same one, by rendezvous hashing with `seed`. Hosts of the zone go
// before others; among those, the ones with a small share of a processor are
// left out, since gathering would keep them from their callers. Answers the
// pattern "uneven hosts". Empty if there is no host.
std::string_view ChooseGatherer(std::uint64_t seed,
                                std::span<const GatheringHost> hosts);

// Place of `self` among the hosts of a zone that could read the store for the
// others: 0 reads, the next ones stand in for it in order. Hosts with more of
// a processor go first; all hosts that know the same others agree.
std::size_t ReadingRank(const GatheringHost& self,
                        std::span<const GatheringHost> others);

}  // namespace lovagecleat::routing
