#include "services/gateway/stream_origin_exchange.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::gateway {

namespace {

// Hosts of a zone that are told of a stream, and hosts that are asked for it.
// More are asked, since hosts may see different hosts as reachable.
constexpr std::size_t kHoldersPerZone = 1;
constexpr std::size_t kAskedHostsPerZone = 2;
// Hosts answer within a few milliseconds unless they are overloaded or lost.
constexpr Duration kQueryTimeout = std::chrono::milliseconds(300);
constexpr Duration kSendRetryDelay = std::chrono::milliseconds(20);
// Longest time for which an origin from another host is kept.
constexpr Duration kMaximumLifetime = std::chrono::minutes(10);

void WriteOrigin(const std::string& stream, const routing::StreamOrigin& origin,
                 Duration remaining, messages::StreamOrigin& copy) {
  copy.set_stream(stream);
  copy.set_service(origin.service.value());
  copy.set_software_version(origin.software_version);
  copy.set_remaining_us(remaining.count());
}

}  // namespace

StreamOriginExchange::StreamOriginExchange(Context& context,
                                           ReachableCallback is_reachable,
                                           SendCallback send)
    : context_(context),
      is_reachable_(std::move(is_reachable)),
      send_(std::move(send)) {}

StreamOriginExchange::~StreamOriginExchange() {
  context_.loop.Cancel(flush_timer_);
  for (auto& [stream, query] : queries_)
    context_.loop.Cancel(query.timeout_timer);
}

void StreamOriginExchange::SetHosts(std::span<const PeerHost> others) {
  hosts_.assign(others.begin(), others.end());
}

std::vector<std::string> StreamOriginExchange::HoldersOf(
    const std::string& stream, std::size_t hosts_per_zone) const {
  std::vector<routing::OriginHost> reachable;
  for (const PeerHost& host : hosts_)
    if (is_reachable_(host.address))
      reachable.push_back({host.address, host.zone.value()});
  const std::vector<std::string_view> holders = routing::OriginHolders(
      stream, context_.settings.zone.value(), reachable, hosts_per_zone);
  return {holders.begin(), holders.end()};
}

void StreamOriginExchange::Add(const std::string& stream,
                               const routing::StreamOrigin& origin,
                               Duration lifetime) {
  origins_.Add(stream, origin, context_.Now() + lifetime);
  for (const std::string& holder : HoldersOf(stream, kHoldersPerZone)) {
    WriteOrigin(stream, origin, lifetime, *outgoing_[holder].add_origins());
  }
  ScheduleFlush();
}

void StreamOriginExchange::Find(const std::string& stream, const void* owner,
                                Callback callback) {
  const auto [found, is_new] = queries_.try_emplace(stream);
  Query& query = found->second;
  query.callbacks[owner] = std::move(callback);
  if (!is_new) return;
  std::optional<routing::StreamOrigin> known;
  if (const auto* found_here = origins_.Find(stream, context_.Now()))
    known = found_here->origin;
  std::vector<std::string> holders;
  if (!known) holders = HoldersOf(stream, kAskedHostsPerZone);
  for (const std::string& holder : holders) {
    outgoing_[holder].add_queries(stream);
    query.unanswered.insert(holder);
  }
  query.timeout_timer = context_.loop.After(
      holders.empty() ? Duration::zero() : kQueryTimeout,
      [this, stream, known] { FinishQuery(stream, known); });
  ScheduleFlush();
}

void StreamOriginExchange::Cancel(const void* owner) {
  for (auto& [stream, query] : queries_) query.callbacks.erase(owner);
}

void StreamOriginExchange::FinishQuery(
    const std::string& stream,
    const std::optional<routing::StreamOrigin>& origin) {
  const auto found = queries_.find(stream);
  if (found == queries_.end()) return;
  const Query query = std::move(found->second);
  queries_.erase(found);
  context_.loop.Cancel(query.timeout_timer);
  for (const auto& [owner, callback] : query.callbacks) callback(origin);
}

void StreamOriginExchange::OnTraffic(
    const std::string& from, const messages::StreamOriginTraffic& traffic) {
  const TimePoint now = context_.Now();
  for (const messages::StreamOrigin& added : traffic.origins()) {
    const routing::StreamOrigin origin{ServiceId(added.service()),
                                       added.software_version()};
    const Duration lifetime =
        std::min(Duration(added.remaining_us()), kMaximumLifetime);
    origins_.Add(added.stream(), origin, now + lifetime);
    FinishQuery(added.stream(), origin);
  }
  for (const std::string& stream : traffic.queries()) {
    messages::StreamOriginTraffic& answer = outgoing_[from];
    const routing::KnownOrigin* known = origins_.Find(stream, now);
    if (known == nullptr) {
      answer.add_unknown(stream);
    } else {
      WriteOrigin(stream, known->origin, known->expires_at - now,
                  *answer.add_origins());
    }
  }
  for (const std::string& stream : traffic.unknown()) {
    const auto query = queries_.find(stream);
    if (query == queries_.end()) continue;
    query->second.unanswered.erase(from);
    if (query->second.unanswered.empty()) FinishQuery(stream, std::nullopt);
  }
  ScheduleFlush();
}

void StreamOriginExchange::RemoveExpired() {
  origins_.RemoveExpired(context_.Now());
}

void StreamOriginExchange::ScheduleFlush(Duration delay) {
  if (outgoing_.empty() || flush_timer_.value() != 0) return;
  flush_timer_ = context_.loop.After(delay, [this] {
    flush_timer_ = TimerId{};
    Flush();
  });
}

// Messages to a host that is still being connected are sent again. Those to a
// lost host are dropped: a query without an answer times out.
void StreamOriginExchange::Flush() {
  std::erase_if(outgoing_, [this](const auto& message) {
    const auto& [peer, traffic] = message;
    return send_(peer, traffic) || !is_reachable_(peer);
  });
  ScheduleFlush(kSendRetryDelay);
}

}  // namespace lovagecleat::gateway
