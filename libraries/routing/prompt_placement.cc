#include "routing/prompt_placement.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>
#include <string_view>

namespace lovagecleat::routing {

namespace {

// The first part of a prompt is cached on a group of at least kMinimumGroupSize
// servers, or of all servers divided by kGroupDivisor. A smaller group needs
// less prefill; the group must still carry a part that most requests share,
// since no host knows the load that the others send.
constexpr std::size_t kMinimumGroupSize = 6;
constexpr std::size_t kGroupDivisor = 2;
// A cache miss costs the deployment about three times its prefill delay: it
// also delays other requests at that server, and prefill is paid for.
constexpr double kCacheMissWeight = 3.0;
// Delay that one more running request adds to the others. It is small, since
// inference engines batch requests.
constexpr double kDelayPerRunningRequestMs = 0.5;
// Weight of the wait for other hosts' prompts as long as the response begins in
// time. Reading shared parts elsewhere would delay other requests in exchange
// for time that this one has.
constexpr double kWaitInTimeWeight = 0.25;
// From the end of reading until the first event arrives.
constexpr double kFirstEventMs = 100;

// A server's part of the homes falls with this power of its slowness. With 1
// all servers would be equally busy; with more, slow servers keep free time, so
// that pauses of streams stay short there.
constexpr double kHomeSharePower = 2.0;

// Orders the servers by weighted rendezvous hashing. Without weights (all 1)
// that is the order of the hashes.
void OrderByRank(std::vector<ServerRecord*>& servers, std::string_view part,
                 const SpeedView& speeds) {
  struct Ranked {
    ServerRecord* server;
    std::uint64_t hash;
    double key;
  };
  const std::uint64_t part_hash = StableHash(part);
  std::vector<Ranked> ranked;
  ranked.reserve(servers.size());
  bool is_even = true;
  for (ServerRecord* server : servers) {
    const double slowness =
        speeds.SteadySlownessOf(server->entry, WorkKind::kPrefill);
    const std::uint64_t hash = StableHash(server->entry.id.value(), part_hash);
    is_even = is_even && slowness == 1.0;
    const double unit = (static_cast<double>(hash) + 1.0) * 0x1p-64;
    ranked.push_back(
        {server, hash, -std::log(unit) * std::pow(slowness, kHomeSharePower)});
  }
  std::sort(ranked.begin(), ranked.end(),
            [is_even](const Ranked& a, const Ranked& b) {
              return is_even ? a.hash > b.hash : a.key < b.key;
            });
  std::transform(ranked.begin(), ranked.end(), servers.begin(),
                 [](const Ranked& entry) { return entry.server; });
}

double ReadingMs(double tokens) {
  return tokens / PromptPlacement::kPrefillTokensPerMillisecond;
}

// Returns the expected delay in milliseconds, from this host's own requests.
// Running requests of the other hosts are assumed to be half as many per host.
double ExpectedDelayMs(const ServerRecord& server, std::size_t host_count) {
  const double scale = 1.0 + 0.5 * static_cast<double>(host_count - 1);
  const double prefill_ms =
      ReadingMs(static_cast<double>(server.pending_tokens));
  return prefill_ms + kDelayPerRunningRequestMs * scale * server.in_flight;
}

// Returns the time in milliseconds for which the server reads prompts that this
// host has not sent.
double OtherPromptsMs(const ServerRecord& server,
                      const PromptQueueView& queues) {
  const std::uint64_t tokens = queues.TokensAt(server.entry);
  if (tokens <= server.pending_tokens) return 0;
  return ReadingMs(static_cast<double>(tokens - server.pending_tokens));
}

}  // namespace

std::uint32_t Prompt::SharedTokens() const {
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) tokens += parts[i].tokens;
  return tokens;
}

std::uint32_t Prompt::OwnTokens() const {
  return prompt_tokens - std::min(prompt_tokens, SharedTokens());
}

namespace {

// Servers by preference for a prompt. The first is expected to cache all shared
// parts, the rest of the group only the first part.
struct HomeOrder {
  std::vector<ServerRecord*> servers;
  std::size_t group = 0;
};

HomeOrder OrderHomes(std::span<ServerRecord* const> usable,
                     const Prompt& prompt, const SpeedView& speeds) {
  HomeOrder order;
  order.servers.assign(usable.begin(), usable.end());
  if (prompt.parts.size() < 2 || usable.empty()) return order;
  OrderByRank(order.servers, prompt.parts.front().id, speeds);
  order.group = std::min(
      std::max(kMinimumGroupSize, order.servers.size() / kGroupDivisor),
      order.servers.size());
  const std::string& last_shared_part =
      prompt.parts[prompt.parts.size() - 2].id;
  std::vector<ServerRecord*> group_servers(
      order.servers.begin(),
      order.servers.begin() + static_cast<std::ptrdiff_t>(order.group));
  OrderByRank(group_servers, last_shared_part, speeds);
  std::copy(group_servers.begin(), group_servers.end(), order.servers.begin());
  return order;
}

// Returns the shared tokens that the server at `home_rank` is not expected to
// cache.
double UncachedTokensAt(const HomeOrder& order, std::size_t home_rank,
                        const Prompt& prompt) {
  const double shared = prompt.SharedTokens();
  if (home_rank >= order.group) return shared;
  if (home_rank == 0) return 0;
  return std::max(0.0, shared - prompt.parts.front().tokens);
}

}  // namespace

PromptServerChoice PromptPlacement::Choose(
    std::span<ServerRecord* const> usable, const Prompt& prompt,
    std::size_t host_count, const SpeedView& speeds,
    const PromptQueueView& queues) const {
  const HomeOrder order = OrderHomes(usable, prompt, speeds);
  const std::uint32_t own_tokens = prompt.OwnTokens();
  const double own_prefill_ms = ReadingMs(own_tokens);
  const double left_ms =
      std::chrono::duration<double, std::milli>(queues.time_left()).count();
  // A response that is late in any case is in no hurry.
  const bool has_time = left_ms > own_prefill_ms + kFirstEventMs;
  PromptServerChoice best;
  double best_cost = 0;
  double best_uncached = 0;
  for (std::size_t i = 0; i < order.servers.size(); ++i) {
    const double uncached = UncachedTokensAt(order, i, prompt);
    const double own_delay_ms = ExpectedDelayMs(*order.servers[i], host_count);
    const ServerEntry& entry = order.servers[i]->entry;
    const double slowness = speeds.SlownessOf(entry, WorkKind::kPrefill);
    const double others_ms = OtherPromptsMs(*order.servers[i], queues);
    const double begin_ms = slowness * (own_delay_ms + others_ms +
                                        ReadingMs(uncached) + own_prefill_ms) +
                            kFirstEventMs;
    const bool is_late = others_ms > 0 && has_time && begin_ms > left_ms;
    const double delay_ms = own_delay_ms +
                            (is_late ? 1.0 : kWaitInTimeWeight) * others_ms +
                            kCacheMissWeight * ReadingMs(uncached);
    // The homes are spread by the steady part already; with it here, all hosts
    // would meet at the servers with the lowest estimates.
    const double moment =
        slowness / speeds.SteadySlownessOf(entry, WorkKind::kPrefill);
    // The own prefill without a moment is about the same for all and left out.
    const double cost = delay_ms + (moment - 1) * (delay_ms + own_prefill_ms);
    if (best.server != nullptr && cost >= best_cost) continue;
    best.server = order.servers[i];
    best.home_rank = i;
    best.slowness = slowness;
    best_cost = cost;
    best_uncached = uncached;
  }
  best.prefill_tokens = own_tokens + static_cast<std::uint64_t>(best_uncached);
  return best;
}

// A moment of slow work may have passed when the prompt is read.
Duration PromptPlacement::LeastPrefillTime(
    std::span<ServerRecord* const> servers, const Prompt& prompt,
    const SpeedView& speeds) {
  std::optional<double> least;
  for (const ServerRecord* server : servers) {
    const double slowness =
        speeds.SteadySlownessOf(server->entry, WorkKind::kPrefill);
    least = std::min(least.value_or(slowness), slowness);
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(least.value_or(0) *
                                                prompt.OwnTokens() /
                                                kPrefillTokensPerMillisecond));
}

}  // namespace lovagecleat::routing
