#include "routing/prompt_queues.h"

#include <algorithm>

#include "routing/prompt_placement.h"

namespace lovagecleat::routing {

namespace {

// Returns what is left of `tokens` if the server has read since `since`.
std::uint64_t Remaining(std::uint64_t tokens, TimePoint since, TimePoint now) {
  const double milliseconds =
      std::chrono::duration<double, std::milli>(now - since).count();
  const double read =
      milliseconds * PromptPlacement::kPrefillTokensPerMillisecond;
  if (read <= 0) return tokens;
  return read >= static_cast<double>(tokens)
             ? 0
             : tokens - static_cast<std::uint64_t>(read);
}

}  // namespace

void PromptQueueSums::Report(const std::string& host, const ServerStart& server,
                             std::uint64_t tokens, TimePoint now) {
  if (tokens == 0 && !servers_.contains(server)) return;
  if (!servers_.contains(server) && servers_.size() >= kMaximumServers)
    RemoveIdle(now);
  if (!servers_.contains(server) && servers_.size() >= kMaximumServers) return;
  Server& kept = servers_[server];
  RemoveExpired(kept, now);
  const auto found = kept.hosts.find(host);
  if (found != kept.hosts.end()) {
    kept.sum -= found->second.tokens;
    kept.hosts.erase(found);
  }
  if (tokens == 0 || kept.hosts.size() >= kMaximumHosts) return;
  const std::uint64_t counted = std::min(tokens, kMaximumTokens);
  kept.hosts.emplace(host, Reported{counted, now});
  kept.sum += counted;
}

void PromptQueueSums::RemoveExpired(Server& server, TimePoint now) {
  std::erase_if(server.hosts, [&](const auto& entry) {
    if (now - entry.second.at < kReportLifetime) return false;
    server.sum -= entry.second.tokens;
    return true;
  });
}

std::vector<PromptQueue> PromptQueueSums::TakeDue(TimePoint now) {
  std::vector<PromptQueue> due;
  RemoveIdle(now);
  for (auto& [id, server] : servers_) {
    if (server.told_at != TimePoint{} && now - server.told_at < kTellPeriod)
      continue;
    const std::uint64_t expected = Remaining(server.told, server.told_at, now);
    const std::uint64_t difference =
        server.sum > expected ? server.sum - expected : expected - server.sum;
    if (difference < kToldTokens) continue;
    server.told = server.sum;
    server.told_at = now;
    due.push_back({id, server.sum});
  }
  return due;
}

// A server without prompts is kept while others expect some there.
void PromptQueueSums::RemoveIdle(TimePoint now) {
  for (auto& [id, server] : servers_) RemoveExpired(server, now);
  std::erase_if(servers_, [now](const auto& entry) {
    const Server& server = entry.second;
    return server.hosts.empty() &&
           Remaining(server.told, server.told_at, now) < kToldTokens;
  });
}

std::optional<TimePoint> PromptQueueSums::NextDue() const {
  std::optional<TimePoint> next;
  for (const auto& [id, server] : servers_) {
    if (server.sum < kToldTokens && server.told < kToldTokens) continue;
    const TimePoint due = server.told_at + kTellPeriod;
    next = std::min(next.value_or(due), due);
  }
  return next;
}

std::uint64_t PromptQueueSums::TokensAt(const ServerStart& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? 0 : found->second.sum;
}

void PromptQueues::OnOwnChange(const ServerId& server) {
  changed_.insert(server);
  if (on_change_) on_change_();
}

std::set<ServerId> PromptQueues::TakeChanged() {
  return std::exchange(changed_, {});
}

void PromptQueues::OnTold(const PromptQueue& queue, TimePoint now) {
  const std::size_t maximum = PromptQueueSums::kMaximumServers;
  if (told_.size() >= maximum && !told_.contains(queue.server.id)) return;
  told_[queue.server.id] = {
      queue.server.started_unix_ms,
      std::min(queue.tokens, PromptQueueSums::kMaximumTokens), now};
}

void PromptQueues::RemoveExpired(TimePoint now) {
  std::erase_if(told_, [now](const auto& entry) {
    return now - entry.second.at >= kToldLifetime;
  });
}

std::uint64_t PromptQueues::TokensAt(const ServerEntry& server,
                                     TimePoint now) const {
  const auto found = told_.find(server.id);
  if (found == told_.end()) return 0;
  const Told& told = found->second;
  if (told.started_unix_ms != server.started_unix_ms ||
      now - told.at >= kToldLifetime)
    return 0;
  return Remaining(told.tokens, told.at, now);
}

}  // namespace lovagecleat::routing
