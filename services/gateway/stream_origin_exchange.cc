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
// The store answers within a few milliseconds unless it is slow or away.
constexpr Duration kStoreTimeout = std::chrono::milliseconds(300);
constexpr Duration kSendRetryDelay = std::chrono::milliseconds(20);
// A host that cannot be connected to within the first time, or does not
// acknowledge within the second, is not used for the third.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
constexpr Duration kAcknowledgementTimeout = std::chrono::milliseconds(200);
constexpr Duration kAvoidanceTime = std::chrono::seconds(3);
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

StreamOriginExchange::StreamOriginExchange(Context& context, RowSource& rows,
                                           ReachableCallback is_reachable,
                                           SendCallback send)
    : context_(context),
      is_reachable_(std::move(is_reachable)),
      send_(std::move(send)),
      rows_(context, rows, origins_),
      writer_(context.settings.peers) {}

StreamOriginExchange::~StreamOriginExchange() {
  context_.loop.Cancel(flush_timer_);
  for (auto& [stream, query] : queries_)
    context_.loop.Cancel(query.timeout_timer);
  for (auto& [batch, sent] : unacknowledged_)
    context_.loop.Cancel(sent.timeout_timer);
}

void StreamOriginExchange::SetHosts(std::span<const PeerHost> others) {
  hosts_.assign(others.begin(), others.end());
}

std::vector<std::string> StreamOriginExchange::HoldersOf(
    const std::string& stream, std::size_t hosts_per_zone,
    Avoided avoided) const {
  std::vector<routing::OriginHost> reachable;
  for (const PeerHost& host : hosts_) {
    const auto until = avoided_until_.find(host.address);
    const bool is_avoided =
        until != avoided_until_.end() && until->second > context_.Now();
    if (is_avoided && avoided == Avoided::kExclude) continue;
    if (is_reachable_(host.address))
      reachable.push_back({host.address, host.zone.value()});
  }
  const std::vector<std::string_view> holders = routing::OriginHolders(
      stream, context_.settings.zone.value(), reachable, hosts_per_zone);
  return {holders.begin(), holders.end()};
}

// A host that is avoided may only be slow and be the one that knows the stream.
std::set<std::string> StreamOriginExchange::HostsToAsk(
    const std::string& stream) const {
  std::set<std::string> hosts;
  for (const Avoided avoided : {Avoided::kExclude, Avoided::kInclude})
    for (const std::string& host :
         HoldersOf(stream, kAskedHostsPerZone, avoided))
      hosts.insert(host);
  if (writer_ != context_.settings.peers) hosts.insert(writer_);
  return hosts;
}

void StreamOriginExchange::Add(const std::string& stream,
                               const routing::StreamOrigin& origin,
                               Duration lifetime) {
  origins_.Add(stream, origin, context_.Now() + lifetime);
  const std::vector<std::string> holders =
      HoldersOf(stream, kHoldersPerZone, Avoided::kExclude);
  std::set<std::string> receivers(holders.begin(), holders.end());
  if (writer_ != context_.settings.peers && rows_.NeedsOrigins(origin.service))
    receivers.insert(writer_);
  for (const std::string& receiver : receivers)
    WriteOrigin(stream, origin, lifetime,
                *outgoing_[receiver].traffic.add_origins());
  rows_.OnOriginAdded(origin.service);
  ScheduleFlush();
}

void StreamOriginExchange::Find(const ResumedStream& stream, const void* owner,
                                Callback callback) {
  const auto [found, is_new] = queries_.try_emplace(stream.id);
  Query& query = found->second;
  query.callbacks[owner] = std::move(callback);
  if (!is_new) return;
  query.stream = stream;
  if (const auto* known = origins_.Find(stream.id, context_.Now())) {
    query.timeout_timer = context_.loop.After(
        Duration::zero(), [this, id = stream.id, origin = known->origin] {
          FinishQuery(id, origin);
        });
    return;
  }
  for (const std::string& holder : HostsToAsk(stream.id)) {
    messages::StreamOriginQuery& asked =
        *outgoing_[holder].traffic.add_queries();
    asked.set_stream(stream.id);
    asked.set_service(stream.service.value());
    asked.set_age_us(stream.maximum_age.count());
    query.unanswered.insert(holder);
  }
  query.timeout_timer = context_.loop.After(
      query.unanswered.empty() ? Duration::zero() : kQueryTimeout,
      [this, id = stream.id] { OnUnknownToHosts(id); });
  ScheduleFlush();
}

// Without the store, servers of another version may serve unnoticed.
std::optional<std::string> StreamOriginExchange::SoleVersion(
    const ServiceId& service, Duration age) const {
  if (!context_.is_store_available) return std::nullopt;
  return context_.directory.versions().SoleVersion(service,
                                                   context_.Now() - age);
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

// A host that has started lately does not know which versions there were
// before, so it goes by what the others have seen.
std::optional<routing::StreamOrigin> StreamOriginExchange::OnlyPossibleOrigin(
    const Query& query) const {
  std::set<std::string> versions = query.sole_versions;
  const ResumedStream& resumed = query.stream;
  const auto seen_here = SoleVersion(resumed.service, resumed.maximum_age);
  if (seen_here) versions.insert(*seen_here);
  if (versions.size() != 1) return std::nullopt;
  return routing::StreamOrigin{resumed.service, *versions.begin()};
}

void StreamOriginExchange::OnUnknownToHosts(const std::string& stream) {
  const auto found = queries_.find(stream);
  if (found == queries_.end() || found->second.has_read_store) return;
  Query& query = found->second;
  context_.loop.Cancel(query.timeout_timer);
  if (const auto origin = OnlyPossibleOrigin(query))
    return FinishQuery(stream, origin);
  ReadFromStore(stream, query);
}

// The rows are read for each stream that no host knows, once for all that come
// meanwhile: those of hosts that were lost later would be missing otherwise.
void StreamOriginExchange::ReadFromStore(const std::string& stream,
                                         Query& query) {
  query.has_read_store = true;
  query.timeout_timer =
      context_.loop.After(kStoreTimeout, [this, stream] { Finish(stream); });
  rows_.Read([this, stream](bool /*is_read*/) { Finish(stream); });
}

void StreamOriginExchange::Finish(const std::string& stream) {
  const auto query = queries_.find(stream);
  if (query == queries_.end()) return;
  const auto* known = origins_.Find(stream, context_.Now());
  FinishQuery(stream, known != nullptr ? std::optional(known->origin)
                                       : OnlyPossibleOrigin(query->second));
}

void StreamOriginExchange::OnTraffic(
    const std::string& from, const messages::StreamOriginTraffic& traffic) {
  const TimePoint now = context_.Now();
  for (const std::uint64_t batch : traffic.acknowledged()) {
    const auto sent = unacknowledged_.find(batch);
    if (sent == unacknowledged_.end()) continue;
    context_.loop.Cancel(sent->second.timeout_timer);
    unacknowledged_.erase(sent);
  }
  if (traffic.batch() != 0)
    outgoing_[from].traffic.add_acknowledged(traffic.batch());
  for (const messages::StreamOrigin& added : traffic.origins()) {
    const routing::StreamOrigin origin{ServiceId(added.service()),
                                       added.software_version()};
    const Duration lifetime =
        std::min(Duration(added.remaining_us()), kMaximumLifetime);
    origins_.Add(added.stream(), origin, now + lifetime);
    rows_.OnOriginAdded(origin.service);
    FinishQuery(added.stream(), origin);
  }
  for (const messages::StreamOriginQuery& asked : traffic.queries()) {
    messages::StreamOriginTraffic& answer = outgoing_[from].traffic;
    if (const auto* known = origins_.Find(asked.stream(), now)) {
      WriteOrigin(asked.stream(), known->origin, known->expires_at - now,
                  *answer.add_origins());
      continue;
    }
    messages::UnknownStreamOrigin& unknown = *answer.add_unknown();
    unknown.set_stream(asked.stream());
    const auto sole_version =
        SoleVersion(ServiceId(asked.service()), Duration(asked.age_us()));
    if (sole_version) unknown.set_sole_version(*sole_version);
  }
  for (const messages::UnknownStreamOrigin& unknown : traffic.unknown()) {
    const auto query = queries_.find(unknown.stream());
    if (query == queries_.end()) continue;
    if (unknown.has_sole_version())
      query->second.sole_versions.insert(unknown.sole_version());
    query->second.unanswered.erase(from);
    if (query->second.unanswered.empty()) OnUnknownToHosts(unknown.stream());
  }
  ScheduleFlush();
}

void StreamOriginExchange::RemoveExpired() {
  origins_.RemoveExpired(context_.Now());
}

void StreamOriginExchange::UpdateWriter(std::optional<std::uint64_t> era) {
  std::vector<routing::BatchingHost> candidates = {
      {context_.settings.peers, true, context_.settings.processor_cores}};
  for (const PeerHost& host : hosts_)
    if (host.zone == context_.settings.zone && is_reachable_(host.address))
      candidates.push_back({host.address, true, host.processor_cores});
  std::string writer(routing::StoreReader(candidates));
  const std::uint64_t revision = context_.directory.versions().revision();
  const bool may_lack_origins =
      writer != writer_ || revision != writer_revision_;
  writer_ = std::move(writer);
  writer_revision_ = revision;
  rows_.SetWriter(writer_ == context_.settings.peers, era);
  if (may_lack_origins) SendAllToWriter();
}

void StreamOriginExchange::SendAllToWriter() {
  const TimePoint now = context_.Now();
  for (const auto& [stream, known] : origins_.entries()) {
    if (known.expires_at <= now || !rows_.NeedsOrigins(known.origin.service))
      continue;
    if (writer_ == context_.settings.peers)
      rows_.OnOriginAdded(known.origin.service);
    else
      WriteOrigin(stream, known.origin, known.expires_at - now,
                  *outgoing_[writer_].traffic.add_origins());
  }
  ScheduleFlush();
}

void StreamOriginExchange::ScheduleFlush(Duration delay) {
  if (outgoing_.empty() || flush_timer_.value() != 0) return;
  flush_timer_ = context_.loop.After(delay, [this] {
    flush_timer_ = TimerId{};
    Flush();
  });
}

// Messages to a host that is still being connected are sent again.
void StreamOriginExchange::Flush() {
  const TimePoint now = context_.Now();
  std::vector<std::pair<std::string, messages::StreamOriginTraffic>>
      undelivered;
  for (auto it = outgoing_.begin(); it != outgoing_.end();) {
    auto& [peer, outgoing] = *it;
    if (outgoing.traffic.origins_size() > 0)
      outgoing.traffic.set_batch(last_batch_ + 1);
    const bool is_sent = send_(peer, outgoing.traffic);
    if (!is_sent && !outgoing.failing_since) outgoing.failing_since = now;
    if (!is_sent && now - *outgoing.failing_since < kConnectTimeout) {
      ++it;
      continue;
    }
    if (!is_sent) {
      undelivered.emplace_back(peer, std::move(outgoing.traffic));
    } else if (outgoing.traffic.batch() != 0) {
      ExpectAcknowledgement(peer, outgoing.traffic);
    }
    it = outgoing_.erase(it);
  }
  for (const auto& [peer, traffic] : undelivered)
    Redirect(peer, kConnectTimeout, traffic);
  ScheduleFlush(kSendRetryDelay);
}

// A message that was sent is lost if the host has just stopped or is frozen.
void StreamOriginExchange::ExpectAcknowledgement(
    const std::string& peer, const messages::StreamOriginTraffic& traffic) {
  const std::uint64_t batch = ++last_batch_;
  SentBatch& sent = unacknowledged_[batch];
  sent.peer = peer;
  *sent.traffic.mutable_origins() = traffic.origins();
  sent.timeout_timer = context_.loop.After(
      kAcknowledgementTimeout, [this, batch] { OnNotAcknowledged(batch); });
}

void StreamOriginExchange::OnNotAcknowledged(std::uint64_t batch) {
  const auto found = unacknowledged_.find(batch);
  if (found == unacknowledged_.end()) return;
  const SentBatch sent = std::move(found->second);
  unacknowledged_.erase(found);
  Redirect(sent.peer, kAcknowledgementTimeout, sent.traffic);
  ScheduleFlush();
}

// Queries are not sent again; they time out.
void StreamOriginExchange::Redirect(
    const std::string& peer, Duration elapsed,
    const messages::StreamOriginTraffic& traffic) {
  avoided_until_[peer] = context_.Now() + kAvoidanceTime;
  for (const messages::StreamOrigin& origin : traffic.origins()) {
    const std::int64_t remaining_us = origin.remaining_us() - elapsed.count();
    if (remaining_us <= 0) continue;
    for (const std::string& holder :
         HoldersOf(origin.stream(), kHoldersPerZone, Avoided::kExclude)) {
      messages::StreamOrigin& copy = *outgoing_[holder].traffic.add_origins();
      copy = origin;
      copy.set_remaining_us(remaining_us);
    }
  }
}

}  // namespace lovagecleat::gateway
