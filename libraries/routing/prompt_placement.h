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

struct PromptChoice {
  ServerRecord* server = nullptr;
  // Tokens that it will probably have to read: the request's own and those of
  // parts for which it is no home.
  std::uint64_t reading = 0;
  std::size_t place = 0;  // among the homes of the prompt, the first is 0
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

  // `hosts` is the number of hosts that place alike. No server if `usable` is
  // empty.
  PromptChoice Choose(std::span<ServerRecord* const> usable,
                      const PromptShape& prompt, std::size_t hosts) const;
};

}  // namespace lovagecleat::routing
