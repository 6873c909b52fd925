#include "routing/prompt_placement.h"

#include <algorithm>
#include <string_view>

namespace lovagecleat::routing {

namespace {

// Servers over which the first part of a prompt is spread: few enough that
// each reads it rarely, enough for a part that most requests share.
constexpr std::size_t kGroupSize = 6;
// A token read again costs the deployment about as much as twice the delay
// that it causes: other requests of that server wait, too.
constexpr double kReadAgainWeight = 2.0;
// Delay that one more running request adds for the others, in milliseconds.
constexpr double kPerRunning = 6.0;

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

ServerRecord* PromptPlacement::Choose(std::span<ServerRecord* const> usable,
                                      const PromptShape& prompt,
                                      std::size_t hosts) const {
  if (usable.empty()) return nullptr;
  std::vector<ServerRecord*> ordered(usable.begin(), usable.end());
  std::size_t group = 0;
  if (prompt.parts.size() >= 2) {
    OrderByRank(ordered, prompt.parts.front().id);
    group = std::min(kGroupSize, ordered.size());
    const std::string& deepest = prompt.parts[prompt.parts.size() - 2].id;
    std::vector<ServerRecord*> members(
        ordered.begin(), ordered.begin() + static_cast<std::ptrdiff_t>(group));
    OrderByRank(members, deepest);
    std::copy(members.begin(), members.end(), ordered.begin());
  }
  const double shared = prompt.SharedTokens();
  const double first = prompt.parts.empty() ? 0 : prompt.parts.front().tokens;
  ServerRecord* best = nullptr;
  double best_cost = 0;
  for (std::size_t i = 0; i < ordered.size(); ++i) {
    double unread = 0;
    if (i >= group) {
      unread = shared;
    } else if (i > 0) {
      unread = std::max(0.0, shared - first);
    }
    const double cost = LoadDelay(*ordered[i], hosts) +
                        kReadAgainWeight * unread / kTokensPerMillisecond;
    if (best != nullptr && cost >= best_cost) continue;
    best = ordered[i];
    best_cost = cost;
  }
  return best;
}

}  // namespace lovagecleat::routing
