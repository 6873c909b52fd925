#include "services/gateway/stream_origin_exchange.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::gateway {

namespace {

// Hosts of a zone that are asked for a stream. More are asked than are told,
// since hosts may see different hosts as reachable.
constexpr std::size_t kAskedHostsPerZone = 2;
// Hosts answer within a few milliseconds unless they are overloaded or lost.
constexpr Duration kQueryTimeout = std::chrono::milliseconds(300);
// The store answers within a few milliseconds unless it is slow or away.
constexpr Duration kStoreTimeout = std::chrono::milliseconds(300);
constexpr Duration kSendRetryDelay = std::chrono::milliseconds(20);
// Messages to a host that cannot be sent for this time are dropped.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
// Which hosts are reachable is looked up again after this time.
constexpr Duration kReachableAge = std::chrono::milliseconds(50);
// Least time between two passes over all origins for the writer.
constexpr Duration kWriterPassPeriod = std::chrono::milliseconds(1000);
// Copies for the writer that a pass leaves room for: streams that begin
// meanwhile.
constexpr std::size_t kWriterPassReserve = 200;
// Questions, answers and acknowledgements that wait for one host.
constexpr std::size_t kMaximumEntries = 1000;
constexpr std::size_t kMaximumEntryBytes = 100'000;
// Of an entry beside its texts.
constexpr std::size_t kEntryOverheadBytes = 32;
// Origins that are kept for other hosts; those that began here always are.
constexpr std::size_t kMaximumOrigins = 50'000;
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
      writer_(context.settings.peers),
      copies_(context.settings.zone.value()) {}

StreamOriginExchange::~StreamOriginExchange() {
  context_.loop.Cancel(flush_timer_);
  for (auto& [stream, query] : queries_)
    context_.loop.Cancel(query.timeout_timer);
}

void StreamOriginExchange::SetHosts(std::span<const PeerHost> others) {
  hosts_.assign(others.begin(), others.end());
  reachable_updated_at_ = TimePoint{};
}

void StreamOriginExchange::UpdateReachable() {
  const TimePoint now = context_.Now();
  if (reachable_updated_at_ != TimePoint{} &&
      now - reachable_updated_at_ < kReachableAge)
    return;
  reachable_updated_at_ = now;
  std::vector<routing::CopyHost> hosts;
  hosts.reserve(hosts_.size());
  for (const PeerHost& host : hosts_)
    hosts.push_back(
        {host.address, host.zone.value(), is_reachable_(host.address)});
  copies_.SetHosts(hosts, now);
}

// A host that is avoided may only be slow and be the one that knows the stream.
std::set<std::string> StreamOriginExchange::HostsToAsk(
    const std::string& stream) const {
  std::vector<routing::OriginHost> reachable;
  std::vector<routing::OriginHost> usable;
  for (const PeerHost& host : hosts_) {
    if (!is_reachable_(host.address)) continue;
    reachable.push_back({host.address, host.zone.value()});
    if (copies_.IsUsable(host.address, context_.Now()))
      usable.push_back(reachable.back());
  }
  std::set<std::string> hosts;
  for (const auto& seen : {reachable, usable})
    for (const std::string_view host : routing::OriginHolders(
             stream, context_.settings.zone.value(), seen, kAskedHostsPerZone))
      hosts.emplace(host);
  if (writer_ != context_.settings.peers) hosts.insert(writer_);
  return hosts;
}

void StreamOriginExchange::Add(const std::string& stream,
                               const routing::StreamOrigin& origin,
                               Duration lifetime) {
  const TimePoint now = context_.Now();
  const TimePoint expires_at = now + lifetime;
  origins_.Add(stream, origin, expires_at);
  UpdateReachable();
  copies_.Add(stream, expires_at, now);
  // A pass that has not come to the stream yet brings it.
  const bool is_ahead = writer_pass_at_ && stream > *writer_pass_at_;
  if (writer_ != context_.settings.peers && !is_ahead &&
      rows_.NeedsOrigins(origin.service))
    copies_.AddFor(writer_, stream, expires_at, now);
  rows_.OnOriginAdded(origin.service);
  ScheduleFlush();
}

void StreamOriginExchange::Find(const ResumedStream& stream, const void* owner,
                                Callback callback) {
  const auto [found, is_new] = queries_.try_emplace(stream.id);
  Query& query = found->second;
  query.callbacks[owner] = std::move(callback);
  if (!is_new) return;
  UpdateReachable();
  query.stream = stream;
  if (const auto* known = origins_.Find(stream.id, context_.Now())) {
    query.timeout_timer = context_.loop.After(
        Duration::zero(), [this, id = stream.id, origin = known->origin] {
          FinishQuery(id, origin);
        });
    return;
  }
  for (const std::string& holder : HostsToAsk(stream.id)) {
    messages::StreamOriginTraffic* message =
        MessageTo(holder, stream.id.size() + stream.service.value().size());
    if (message == nullptr) continue;
    messages::StreamOriginQuery& asked = *message->add_queries();
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
  copies_.OnAnswer(from, now);
  for (const std::uint64_t batch : traffic.acknowledged())
    copies_.OnAcknowledged(from, batch, now);
  if (traffic.batch() != 0)
    if (auto* message = MessageTo(from, 0))
      message->add_acknowledged(traffic.batch());
  for (const messages::StreamOrigin& added : traffic.origins()) {
    const routing::StreamOrigin origin{ServiceId(added.service()),
                                       added.software_version()};
    const Duration lifetime =
        std::min(Duration(added.remaining_us()), kMaximumLifetime);
    const bool has_room = origins_.AddFromOther(
        added.stream(), origin, now + lifetime, kMaximumOrigins);
    if (!has_room) ++left_out_;
    rows_.OnOriginAdded(origin.service);
    FinishQuery(added.stream(), origin);
  }
  for (const messages::StreamOriginQuery& asked : traffic.queries()) {
    messages::StreamOriginTraffic* answer =
        MessageTo(from, asked.stream().size() + asked.service().size());
    if (answer == nullptr) break;
    if (const auto* known = origins_.Find(asked.stream(), now)) {
      WriteOrigin(asked.stream(), known->origin, known->expires_at - now,
                  *answer->add_origins());
      continue;
    }
    messages::UnknownStreamOrigin& unknown = *answer->add_unknown();
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
  UpdateReachable();
  ReportBounds();
  ScheduleFlush();
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
  if (writer != writer_) copies_.StopAll(writer_);
  writer_ = std::move(writer);
  writer_revision_ = revision;
  rows_.SetWriter(writer_ == context_.settings.peers, era);
  if (may_lack_origins) StartWriterPass();
}

void StreamOriginExchange::StartWriterPass() {
  writer_pass_started_at_ = context_.Now();
  writer_pass_at_.emplace();
  if (writer_ != context_.settings.peers) return ScheduleFlush();
  writer_pass_at_.reset();
  for (const auto& [stream, known] : origins_.entries())
    if (known.expires_at > context_.Now() &&
        rows_.NeedsOrigins(known.origin.service))
      return rows_.OnOriginAdded(known.origin.service);
}

void StreamOriginExchange::ContinueWriterPass() {
  const TimePoint now = context_.Now();
  if (!writer_pass_at_ && now - writer_pass_started_at_ >= kWriterPassPeriod &&
      copies_.TakeBehind(writer_, now))
    StartWriterPass();
  if (!writer_pass_at_) return;
  const auto& entries = origins_.entries();
  auto next = entries.upper_bound(*writer_pass_at_);
  for (; next != entries.end(); ++next) {
    const auto& [stream, known] = *next;
    if (known.expires_at <= now || !rows_.NeedsOrigins(known.origin.service))
      continue;
    const bool is_full = copies_.IsUsable(writer_, now) &&
                         !copies_.HasRoom(writer_, now, kWriterPassReserve);
    // The pass goes on here when the writer has acknowledged.
    if (is_full) return;
    // The pass begins again once an unusable writer answers.
    if (!copies_.AddFor(writer_, stream, known.expires_at, now)) break;
    *writer_pass_at_ = stream;
  }
  writer_pass_at_.reset();
}

messages::StreamOriginTraffic* StreamOriginExchange::MessageTo(
    const std::string& peer, std::size_t text_bytes) {
  Outgoing& outgoing = outgoing_[peer];
  const std::size_t bytes = kEntryOverheadBytes + text_bytes;
  if (outgoing.entries < kMaximumEntries &&
      outgoing.bytes + bytes <= kMaximumEntryBytes) {
    ++outgoing.entries;
    outgoing.bytes += bytes;
    return &outgoing.traffic;
  }
  ++left_out_;
  return nullptr;
}

void StreamOriginExchange::ScheduleFlush(Duration delay) {
  const TimePoint at = context_.Now() + delay;
  if (flush_timer_.value() != 0 && flush_at_ <= at) return;
  context_.loop.Cancel(flush_timer_);
  flush_at_ = at;
  flush_timer_ = context_.loop.After(delay, [this] {
    flush_timer_ = TimerId{};
    Flush();
  });
}

void StreamOriginExchange::Flush() {
  UpdateReachable();
  ContinueWriterPass();
  copies_.Flush(context_.Now(),
                [this](const auto& batch) { return SendBatch(batch); });
  SendOthers();
  const TimePoint now = context_.Now();
  if (const auto due = copies_.NextDue())
    ScheduleFlush(std::max(*due - now, Duration::zero()));
  if (!outgoing_.empty()) ScheduleFlush(kSendRetryDelay);
}

// What else there is for the host goes with the copies.
bool StreamOriginExchange::SendBatch(
    const routing::OriginCopies::Batch& batch) {
  const TimePoint now = context_.Now();
  messages::StreamOriginTraffic traffic;
  const auto others = outgoing_.find(batch.host);
  if (others != outgoing_.end()) traffic = others->second.traffic;
  traffic.set_batch(batch.number);
  for (const std::string& stream : batch.streams)
    if (const auto* known = origins_.Find(stream, now))
      WriteOrigin(stream, known->origin, known->expires_at - now,
                  *traffic.add_origins());
  if (!send_(batch.host, traffic)) return false;
  if (others != outgoing_.end()) outgoing_.erase(others);
  return true;
}

// Messages to a host that is still being connected are sent again.
void StreamOriginExchange::SendOthers() {
  const TimePoint now = context_.Now();
  for (auto it = outgoing_.begin(); it != outgoing_.end();) {
    auto& [peer, outgoing] = *it;
    if (!outgoing.failing_since) outgoing.failing_since = now;
    const bool has_ended = send_(peer, outgoing.traffic) ||
                           now - *outgoing.failing_since >= kConnectTimeout;
    it = has_ended ? outgoing_.erase(it) : std::next(it);
  }
}

void StreamOriginExchange::ReportBounds() {
  const routing::OriginCopies::Counts& counts = copies_.counts();
  const auto count = [this](const char* event, std::uint64_t amount) {
    if (amount > 0)
      context_.metrics.Count("lovagecleat_origin_copies_total",
                             {{"event", event}}, amount);
  };
  count("sent", counts.sent - reported_.sent);
  count("redirected", counts.redirected - reported_.redirected);
  count("waited", counts.waited - reported_.waited);
  count("left_out", counts.left_out - reported_.left_out);
  count("host_failed", counts.failures - reported_.failures);
  count("probe", counts.probes - reported_.probes);
  context_.metrics.SetGauge("lovagecleat_origin_copies", {},
                            static_cast<double>(copies_.size()));
  const std::uint64_t left_out =
      counts.left_out - reported_.left_out + left_out_ - reported_left_out_;
  if (left_out > 0 || counts.failures != reported_.failures)
    context_.log.Write(
        "origin_copies", "",
        {{"failures", counts.failures - reported_.failures},
         {"silent_hosts", copies_.silent_hosts()},
         {"redirected", counts.redirected - reported_.redirected},
         {"copies", copies_.size()},
         {"waiting", copies_.waiting()},
         {"left_out", left_out}});
  reported_ = counts;
  reported_left_out_ = left_out_;
}

}  // namespace lovagecleat::gateway
