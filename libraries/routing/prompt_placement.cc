#include "routing/prompt_placement.h"

#include <algorithm>
#include <string_view>

namespace lovagecleat::routing {

namespace {

// Servers over which the first part of a prompt is spread, and their part of
// all: few enough that each reads it rarely, enough for a part that most
// requests share, since no host sees what the others send.
constexpr std::size_t kLeastGroup = 6;
constexpr std::size_t kGroupDivisor = 2;
// A token read again costs the deployment about three times the delay that it
// causes: other requests of that server wait, too, and reading is paid for.
constexpr double kReadAgainWeight = 3.0;
// Delay that one more running request adds for the others, in milliseconds:
// engines batch, so that it is little.
constexpr double kPerRunning = 0.5;

std::uint64_t Rank(const ServerRecord& server, std::string_view part) {
  return StableHash(server.entry.id.value(), StableHash(part));
}

void OrderByRank(std::vector<ServerRecord*>& servers, std::string_view part) {
  std::sort(servers.begin(), servers.end(),
            [part](const ServerRecord* a, const ServerRecord* b) {
              return Rank(*a, part) > Rank(*b, part);
            });
}

// Expected delay from this host's own requests; the other hosts are taken to
// load the server likewise, if less surely.
double LoadDelay(const ServerRecord& server, std::size_t hosts) {
  const double scale = 1.0 + 0.5 * static_cast<double>(hosts - 1);
  const double reading = static_cast<double>(server.pending_tokens) /
                         PromptPlacement::kTokensPerMillisecond;
  return reading + kPerRunning * scale * server.in_flight;
}

}  // namespace

std::uint32_t PromptShape::SharedTokens() const {
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) tokens += parts[i].tokens;
  return tokens;
}

namespace {

// Servers in the order in which they are homes of a prompt's shared parts: the
// first of them holds all, the rest of the group the first part.
struct HomeOrder {
  std::vector<ServerRecord*> servers;
  std::size_t group = 0;
};

HomeOrder OrderHomes(std::span<ServerRecord* const> usable,
                     const PromptShape& prompt) {
  HomeOrder order;
  order.servers.assign(usable.begin(), usable.end());
  if (prompt.parts.size() < 2 || usable.empty()) return order;
  OrderByRank(order.servers, prompt.parts.front().id);
  order.group =
      std::min(std::max(kLeastGroup, order.servers.size() / kGroupDivisor),
               order.servers.size());
  const std::string& deepest = prompt.parts[prompt.parts.size() - 2].id;
  std::vector<ServerRecord*> members(
      order.servers.begin(),
      order.servers.begin() + static_cast<std::ptrdiff_t>(order.group));
  OrderByRank(members, deepest);
  std::copy(members.begin(), members.end(), order.servers.begin());
  return order;
}

// Shared tokens that the server at `place` of the order does not hold.
double UnreadAt(const HomeOrder& order, std::size_t place,
                const PromptShape& prompt) {
  const double shared = prompt.SharedTokens();
  if (place >= order.group) return shared;
  if (place == 0) return 0;
  return std::max(0.0, shared - prompt.parts.front().tokens);
}

}  // namespace

PromptChoice PromptPlacement::Choose(std::span<ServerRecord* const> usable,
                                     const PromptShape& prompt,
                                     std::size_t hosts) const {
  const HomeOrder order = OrderHomes(usable, prompt);
  PromptChoice best;
  double best_cost = 0;
  double best_unread = 0;
  for (std::size_t i = 0; i < order.servers.size(); ++i) {
    const double unread = UnreadAt(order, i, prompt);
    const double cost = LoadDelay(*order.servers[i], hosts) +
                        kReadAgainWeight * unread / kTokensPerMillisecond;
    if (best.server != nullptr && cost >= best_cost) continue;
    best.server = order.servers[i];
    best.place = i;
    best_cost = cost;
    best_unread = unread;
  }
  const std::uint32_t own =
      prompt.prompt_tokens -
      std::min(prompt.prompt_tokens, prompt.SharedTokens());
  best.reading = own + static_cast<std::uint64_t>(best_unread);
  return best;
}

}  // namespace lovagecleat::routing
