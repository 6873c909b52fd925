#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "routing/model.h"
#include "routing/server_directory.h"

namespace lovagecleat::routing {

// The prompt of one request, in the order in which it is read.
struct PromptShape {
  std::vector<PromptPart> parts;  // the last one is the request's own
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;  // at most

  // Tokens of the parts that other requests share.
  std::uint32_t SharedTokens() const;
};

// Chooses the server whose cache most likely holds the shared parts of a
// prompt, unless it is so loaded that reading them again elsewhere is quicker.
// All hosts agree on the servers of a part without messages, by rendezvous
// hashing. Answers the pattern "hot key": the home of a part that gets more
// than its share of the traffic spills over to the next one in order.
class PromptPlacement {
 public:
  // Prompt tokens that a server reads in a millisecond, from the deployments'
  // sheets; only the relation of loads depends on it.
  static constexpr double kTokensPerMillisecond = 30.9;

  // Tokens of the prompt that `server` will probably have to read: those of
  // parts for which it is no home.
  std::uint64_t ExpectedReading(std::span<ServerRecord* const> usable,
                                const ServerRecord& server,
                                const PromptShape& prompt) const;

  // `hosts` is the number of hosts that place alike. Nothing if `usable` is
  // empty.
  ServerRecord* Choose(std::span<ServerRecord* const> usable,
                       const PromptShape& prompt, std::size_t hosts) const;
};

}  // namespace lovagecleat::routing
