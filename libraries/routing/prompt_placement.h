#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "routing/model.h"
#include "routing/prompt_queues.h"
#include "routing/server_directory.h"
#include "routing/server_speed.h"

namespace lovagecleat::routing {

// The prompt of one request.
struct Prompt {
  std::vector<PromptPart> parts;  // in order; the last is not shared
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;  // maximum

  // Returns the number of tokens in the parts shared with other requests.
  std::uint32_t SharedTokens() const;
  // Returns the number of all other tokens.
  std::uint32_t OwnTokens() const;
};

struct PromptServerChoice {
  ServerRecord* server = nullptr;
  // Expected prefill tokens: the request's own part and the parts that the
  // server does not cache.
  std::uint64_t prefill_tokens = 0;
  std::size_t home_rank = 0;  // rank among the prompt's home servers, from 0
  double slowness = 1;        // expected at that server
};

// Chooses the server whose cache most likely holds the shared parts of a
// prompt (its home server), unless that one is so loaded that prefill on
// another server is faster. All hosts agree on the home servers of a part
// without messages, by rendezvous hashing. Handles the load pattern "hot key":
// requests beyond the capacity of the first home go to the next in order, also
// if each of many hosts sends only few of them.
// Handles "uneven servers": a server is the home of fewer parts the slower it
// is. Handles "moment of slow work": a slow server is left for one that begins
// the response earlier although it reads shared parts again.
class PromptPlacement {
 public:
  // Prefill speed of the median server, from the deployments' data sheets. Only
  // the relative weight of the loads depends on it.
  static constexpr double kPrefillTokensPerMillisecond = 30.9;

  // `host_count` is the number of hosts that place requests on these servers.
  // The result has no server if `usable` is empty. The choice among servers of
  // one slowness does not depend on `speeds`. `queues` are the prompts that all
  // hosts have sent there.
  PromptServerChoice Choose(std::span<ServerRecord* const> usable,
                            const Prompt& prompt, std::size_t host_count,
                            const SpeedView& speeds = {},
                            const PromptQueueView& queues = {}) const;

  // Returns the least time in which one of the servers would read the part of
  // the prompt that no server caches, by their steady slowness; zero without
  // servers.
  static Duration LeastPrefillTime(std::span<ServerRecord* const> servers,
                                   const Prompt& prompt,
                                   const SpeedView& speeds);
};

}  // namespace lovagecleat::routing
