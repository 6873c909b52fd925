#include "services/gateway/gateway.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "memory/memory.h"

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// Period of work not driven by events: flushing the log, dropping expired
// servers, fetching rows from peers.
constexpr Duration kTickPeriod = milliseconds(250);
// During an outage of the store, rows are fetched from this many other hosts
// once a period.
constexpr Duration kRowsFetchPeriod = milliseconds(450);
constexpr std::size_t kRowsFetchPeers = 2;
// Maximum connections to other hosts. In a larger deployment, the hosts of one
// zone batch together.
constexpr std::size_t kMaxPeers = 128;
constexpr std::uint64_t kIncarnationRange = std::uint64_t{1} << 62;
// Keeps the rows sent to another host within the size limit of a peer message.
constexpr std::size_t kMaxPushBytes = 900'000;
// A server that other hosts report as removed while this host cannot read the
// store is used for at most this long.
constexpr Duration kPeerRemovalDelay = milliseconds(500);
constexpr Duration kAnnounceRetryDelay = milliseconds(700);
// All hosts write their rows again after a restore of the store; spread over
// this time they stay within its write rate.
constexpr Duration kMaxReannounceDelay = milliseconds(1000);
// A starting host checks with this period whether it has read the hosts table,
// and waits for at most the second time if the store is unavailable.
constexpr Duration kJoinPollPeriod = milliseconds(10);
constexpr Duration kMaxJoinWait = milliseconds(3000);
// Other hosts know a new host's row within this time: the interval between two
// reads of the hosts table plus network delays.
constexpr Duration kJoinDelay = milliseconds(1500);
// Time allowed from the first configuration to the first list of servers.
constexpr Duration kInitialServersDelay = milliseconds(20);
// Fraction of the retry budget that hosts use. The rest allows for hosts and
// servers counting in different windows.
constexpr double kRetryBudgetFraction = 0.8;

// The load balancer sends new connections for two more seconds after a stop
// begins. Idle connections are closed after this time.
constexpr Duration kStopGracePeriod = milliseconds(2500);
// Descriptors of a machine that are not for sockets.
constexpr std::size_t kFileDescriptors = 200;
// Parts of the sockets for connections of callers, and for those to each of the
// other ports. The rest is for servers, other hosts and the store.
constexpr std::size_t kCallerSocketsNumerator = 3;
constexpr std::size_t kCallerSocketsDenominator = 4;
constexpr std::size_t kStatusSocketsPart = 16;
constexpr std::size_t kMinStatusConnections = 16;
constexpr std::size_t kMaxStatusConnections = 256;
// Requests for the state or metrics of the process have no body.
constexpr std::uint64_t kMaxStatusBodyBytes = 4096;
// Refusals for lack of memory are logged at most this often.
constexpr Duration kMemoryLogPeriod = milliseconds(1000);
// Value of Retry-After in seconds; short, since other hosts can serve at once.
constexpr const char* kStopRetryAfter = "0.05";
// The process exits this long before the stop time, after which it is killed.
// Requests without a response are answered before, so that clients read it.
constexpr Duration kStopMargin = milliseconds(500);
constexpr Duration kFinalAnswerTime = milliseconds(100);

void WriteRow(const routing::Row& row, messages::ReplicatedRow& copy) {
  copy.set_table(row.table);
  copy.set_key(row.key);
  copy.set_value(row.value);
  copy.set_version(row.version.number());
  copy.set_store_era(row.version.era());
  copy.set_removed(row.is_removed);
}

template <typename Rows>
std::vector<routing::Row> ReadRows(const Rows& copies) {
  std::vector<routing::Row> rows;
  for (const messages::ReplicatedRow& copy : copies)
    rows.push_back({copy.table(), copy.key(), copy.value(),
                    routing::RowVersion(copy.store_era(), copy.version()),
                    copy.removed()});
  return rows;
}

}  // namespace

// Responds with the status and body that a callback returns.
class Gateway::StatusHandler final : public http::ExchangeHandler {
 public:
  struct Response {
    int status = 200;
    std::string body;
  };
  explicit StatusHandler(std::function<Response()> response)
      : response_(std::move(response)) {}

  void OnExchange(http::Exchange& exchange) override {
    const Response response = response_();
    exchange.Respond(response.status, {{"Content-Type", "text/plain"}},
                     response.body);
  }

 private:
  std::function<Response()> response_;
};

Gateway::Gateway(transport::Loop& loop, const MessageCodec& codec,
                 RowSource& rows,
                 const configuration::GatewaySettings& settings,
                 http::Poller& poller, http::ConnectionPool& pool,
                 logging::EventLog& log)
    : context_{loop,
               codec,
               settings,
               log,
               metrics_,
               poller,
               pool,
               Random(StableHash(
                   settings.host.value(),
                   static_cast<std::uint64_t>(
                       loop.clock().WallNow().time_since_epoch().count()))),
               {},
               routing::SendLimiter(settings.host),
               routing::ServerLimits(settings.host),
               {},
               policy::RetryBudget(),
               nullptr,
               1},
      rows_(rows),
      notices_(
          context_,
          [this](const std::string& peer) { return stages_.IsReachable(peer); },
          [this](const std::string& peer,
                 const messages::ServerNotices& notices) {
            messages::PeerMessage message;
            *message.mutable_server_notices() = notices;
            return SendPeerMessage(peer, std::move(message));
          }),
      content_blocks_(
          context_, rows,
          [this](const std::string& peer) { return stages_.IsReachable(peer); },
          [this](const std::string& peer,
                 const messages::ContentReports& reports) {
            messages::PeerMessage message;
            *message.mutable_content_reports() = reports;
            return SendPeerMessage(peer, std::move(message));
          },
          [this] {
            for (RequestFlow* flow : OpenRequests()) flow->OnContentBlocked();
          }),
      speed_exchange_(
          context_,
          [this](const std::string& peer) { return stages_.IsReachable(peer); },
          [this](const std::string& peer,
                 const messages::ServerSpeeds& speeds) {
            messages::PeerMessage message;
            *message.mutable_server_speeds() = speeds;
            return SendPeerMessage(peer, std::move(message));
          }),
      prompt_queue_exchange_(
          context_,
          [this](const std::string& peer) { return stages_.IsReachable(peer); },
          [this](const std::string& peer,
                 const messages::PromptQueues& queues) {
            messages::PeerMessage message;
            *message.mutable_prompt_queues() = queues;
            return SendPeerMessage(peer, std::move(message));
          }),
      runner_(context_, notices_),
      stages_(context_, runner_,
              [this](const std::string& peer,
                     const messages::StageTraffic& traffic) {
                return SendStageTraffic(peer, traffic);
              }),
      origins_(
          context_, rows,
          [this](const std::string& peer) { return stages_.IsReachable(peer); },
          [this](const std::string& peer,
                 const messages::StreamOriginTraffic& traffic) {
            messages::PeerMessage message;
            *message.mutable_stream_origins() = traffic;
            return SendPeerMessage(peer, std::move(message));
          }),
      path_(context_, [this] { OnPathChange(); }),
      checks_(context_, rows,
              [this](std::span<const routing::Row> changed) {
                follower_.MergeFromPeer(changed);
              }),
      relays_(context_,
              [this](const std::string& peer) {
                return stages_.IsReachable(peer) && stages_.HasPath(peer);
              }),
      rollouts_(
          context_, rows,
          [this](const std::string& peer) { return stages_.IsReachable(peer); },
          [this](const std::string& peer,
                 const messages::RolloutTraffic& traffic) {
            messages::PeerMessage message;
            *message.mutable_rollouts() = traffic;
            return SendPeerMessage(peer, std::move(message));
          }),
      follower_(context_, rows,
                [this](const routing::Row& row, RowOrigin origin) {
                  ApplyRow(row, origin);
                }),
      peers_(loop, HostId(settings.peers)),
      incarnation_(1 + context_.random.Below(kIncarnationRange)),
      callers_(poller, *this),
      readiness_handler_(std::make_unique<StatusHandler>([this] {
        return StatusHandler::Response{is_ready() ? 200 : 503, {}};
      })),
      metrics_handler_(std::make_unique<StatusHandler>([this] {
        SetMemoryMetrics();
        return StatusHandler::Response{200, metrics_.PrometheusText()};
      })),
      readiness_(poller, *readiness_handler_),
      metrics_server_(poller, *metrics_handler_) {
  peers_.OnMessage(
      [this](const messages::PeerMessage& message) { OnPeerMessage(message); });
  rollouts_.Start(incarnation_);
  ApplyMemorySettings();
  UpdateHosts();
}

Gateway::~Gateway() {
  for (const TimerId timer :
       {tick_timer_, stop_timer_, announce_timer_, waiting_timer_, join_timer_})
    context_.loop.Cancel(timer);
  flows_.clear();
  context_.loop.DestroyPending();
}

Gateway::StartError Gateway::Start() {
  if (!Listen()) return StartError::kCannotListen;
  const auto peers = configuration::ParseEndpoint(context_.settings.peers);
  if (!peers || !peers_.Bind(peers->address, peers->port))
    return StartError::kCannotListen;
  for (const std::string& seed : context_.settings.seed_peers)
    ConnectPeer(seed);
  follower_.SetFeedCallback(
      [this](std::span<const TableChanges> changes) { SendFeed(changes); });
  started_at_ = context_.Now();
  context_.limiter.SetCountedByPeers(false);
  follower_.Start();
  path_.Start();
  Join();
  Tick();
  context_.log.Write("start", "",
                     {{"zone", context_.settings.zone.value()},
                      {"store", context_.settings.store},
                      {"version", LOVAGECLEAT_VERSION}});
  context_.log.Flush();
  return StartError::kNone;
}

bool Gateway::Listen() {
  if (!callers_.Listen(context_.settings.callers)) return false;
  if (!readiness_.Listen(context_.settings.readiness)) return false;
  // A process without metrics still serves.
  if (!context_.settings.metrics.empty() &&
      !metrics_server_.Listen(context_.settings.metrics))
    context_.log.Write("metrics_unavailable", "",
                       {{"address", context_.settings.metrics}});
  return true;
}

void Gateway::ApplyMemorySettings() {
  const auto& memory = context_.settings.memory;
  memory::ByteAccount& account = context_.poller.account();
  http::ServerLimits status_limits;
  if (!memory) {
    account.SetLimits({});
    caller_connections_ = http::ServerLimits().connections;
  } else {
    memory::ReturnFreedBlocks();
    account.SetLimits(memory::LimitsFor(memory->bytes, memory->address_share));
    status_limits.message.body_bytes = kMaxStatusBodyBytes;
    const std::size_t sockets =
        std::max<std::size_t>(memory->descriptors, kFileDescriptors) -
        kFileDescriptors;
    caller_connections_ = memory::ConnectionsFor(
        account.limits(),
        sockets / kCallerSocketsDenominator * kCallerSocketsNumerator);
    status_limits.connections =
        std::clamp(sockets / kStatusSocketsPart, kMinStatusConnections,
                   kMaxStatusConnections);
  }
  readiness_.SetLimits(status_limits);
  metrics_server_.SetLimits(status_limits);
  http::ServerLimits limits = callers_.limits();
  limits.connections = caller_connections_;
  callers_.SetLimits(limits);
}

void Gateway::SetMemoryMetrics() {
  const memory::ByteAccount& account = context_.poller.account();
  for (std::size_t i = 0; i < memory::kKindCount; ++i) {
    const auto kind = static_cast<memory::Kind>(i);
    metrics_.SetGauge("lovagecleat_held_bytes",
                      {{"kind", std::string(ToString(kind))}},
                      static_cast<double>(account.held(kind)));
  }
  for (std::size_t i = 0; i < memory::kEvictionCount; ++i) {
    const auto eviction = static_cast<memory::Eviction>(i);
    metrics_.SetGauge("lovagecleat_memory_evictions",
                      {{"reason", std::string(ToString(eviction))}},
                      static_cast<double>(account.evictions(eviction)));
  }
  const std::pair<const char*, std::size_t> gauges[] = {
      {"lovagecleat_held_bytes_limit", account.limits().total},
      {"lovagecleat_waiting_for_memory", account.waiting()},
      {"lovagecleat_client_connections", callers_.connections()},
      {"lovagecleat_displaced_connections", callers_.displaced_connections()},
      {"lovagecleat_rejected_connections", callers_.rejected_connections()}};
  for (const auto& [name, value] : gauges)
    metrics_.SetGauge(name, {}, static_cast<double>(value));
}

void Gateway::LogMemoryRefusals() {
  const memory::ByteAccount& account = context_.poller.account();
  std::uint64_t refusals =
      callers_.displaced_connections() + callers_.rejected_connections();
  for (std::size_t i = 0; i < memory::kEvictionCount; ++i)
    refusals += account.evictions(static_cast<memory::Eviction>(i));
  if (refusals == logged_refusals_ ||
      context_.Now() - refusals_logged_at_ < kMemoryLogPeriod)
    return;
  logged_refusals_ = refusals;
  refusals_logged_at_ = context_.Now();
  const auto count = [&account](memory::Eviction eviction) {
    return account.evictions(eviction);
  };
  context_.log.Write("memory_refused", "",
                     {{"held", account.total()},
                      {"limit", account.limits().total},
                      {"waiting", account.waiting()},
                      {"stalled", count(memory::Eviction::kStalled)},
                      {"waited", count(memory::Eviction::kWaitedTooLong)},
                      {"no_room", count(memory::Eviction::kNoRoom)},
                      {"over_limit", count(memory::Eviction::kOverLimit)},
                      {"connections", callers_.connections()},
                      {"displaced", callers_.displaced_connections()},
                      {"not_accepted", callers_.rejected_connections()}});
}

void Gateway::Reload(const configuration::GatewaySettings& settings) {
  const configuration::GatewaySettings before =
      std::exchange(context_.settings, settings);
  if (before.callers != settings.callers) callers_.Listen(settings.callers);
  if (before.readiness != settings.readiness)
    readiness_.Listen(settings.readiness);
  rollouts_.UpdateBounds();
  ApplyMemorySettings();
  UpdateHosts();
  context_.log.Write("reload", "", {{"store", settings.store}});
}

void Gateway::OnExchange(http::Exchange& exchange) {
  // A request accepted this late could not finish before the process ends.
  if (stop_at_ && context_.Now() - *stop_at_ >= kStopGracePeriod) {
    context_.metrics.Count("lovagecleat_requests_total",
                           {{"route", "none"}, {"cause", "stopping"}});
    return exchange.Respond(503, {{"Retry-After", kStopRetryAfter}}, {});
  }
  auto flow = std::make_unique<RequestFlow>(
      context_,
      RequestServices{stages_, origins_, notices_, content_blocks_, path_,
                      relays_, checks_},
      exchange, [this](RequestFlow* ended) {
        const auto found = flows_.find(ended);
        if (found == flows_.end()) return;
        context_.loop.DestroyLater(std::move(found->second));
        flows_.erase(found);
      });
  RequestFlow* raw = flow.get();
  flows_.emplace(raw, std::move(flow));
  raw->Start();
}

// --- Rows of the store ------------------------------------------------------

void Gateway::ApplyRow(const routing::Row& row, RowOrigin origin) {
  const RowSubject subject = rows_.SubjectOf(row);
  switch (subject.kind) {
    case RowSubject::Kind::kRouting:
      return ApplyRouting(row);
    case RowSubject::Kind::kEvacuation:
      context_.directory.SetEvacuated(ZoneId(subject.name), !row.is_removed,
                                      context_.Now());
      context_.log.Write("evacuation", "",
                         {{"zone", subject.name},
                          {"is_out", !row.is_removed},
                          {"row_version", row.version.number()},
                          {"store_era", row.version.era()}});
      return;
    case RowSubject::Kind::kServer:
      checks_.SetTable(row.table);
      return ApplyServer(subject.name, row, origin);
    case RowSubject::Kind::kHost:
      return ApplyHost(subject.name, row);
    case RowSubject::Kind::kContentBlock:
      return content_blocks_.ApplyRow(subject.name, row);
    case RowSubject::Kind::kRollout:
      return rollouts_.ApplyOrder(subject.name, row);
    case RowSubject::Kind::kOther:
      return;
  }
}

void Gateway::ApplyRouting(const routing::Row& row) {
  if (row.is_removed) return;
  std::optional<routing::RoutingTable> table =
      context_.codec.ReadRouting(row.value);
  if (!table) {
    context_.log.Write("routing_unreadable", "",
                       {{"row_version", row.version.number()},
                        {"store_era", row.version.era()}});
    return;
  }
  // A configuration that a restore of the store has lost may be written again
  // with other content under the same version.
  const std::uint64_t era = row.version.era();
  if (context_.table && std::pair(table->version, era) <=
                            std::pair(context_.table->version, table_era_))
    return;
  table_era_ = era;
  context_.log.Write("routing", "",
                     {{"table_version", table->version},
                      {"row_version", row.version.number()},
                      {"store_era", row.version.era()},
                      {"routes", table->routes.size()}});
  http::ServerLimits limits;
  limits.message.header_bytes = table->limits.header_bytes;
  limits.message.body_bytes = table->limits.body_bytes;
  limits.head_timeout = table->limits.header_time;
  limits.idle_timeout = table->limits.idle_time;
  limits.connections = caller_connections_;
  callers_.SetLimits(limits);
  const bool is_first = context_.table == nullptr;
  context_.table =
      std::make_shared<const routing::RoutingTable>(std::move(*table));
  if (is_first) ResumeWaitingRequests();
}

void Gateway::ResumeWaitingRequests() {
  // Servers are read concurrently with the configuration and may arrive a
  // little later.
  waiting_timer_ = context_.loop.After(kInitialServersDelay, [this] {
    for (RequestFlow* flow : OpenRequests()) flow->OnConfiguration();
  });
}

void Gateway::ApplyServer(const std::string& name, const routing::Row& row,
                          RowOrigin origin) {
  const ServerId id(name);
  const TimePoint now = context_.Now();
  const routing::ServerRecord* known = context_.directory.Find(id);
  const routing::ServerEntry before =
      known != nullptr ? known->entry : routing::ServerEntry();
  if (row.is_removed) {
    TimePoint expires_at = now;
    switch (origin) {
      case RowOrigin::kStore:
        context_.directory.Remove(id, now);
        context_.server_limits.Remove(id);
        context_.processes.Remove(before.incarnation().Key());
        context_.pool.CloseIdleConnections(before.incarnation().Key());
        break;
      case RowOrigin::kStoreAfterOutage:
        expires_at = *follower_.removals_held_until();
        context_.directory.ExpireAt(id, expires_at);
        break;
      case RowOrigin::kPeer:
        expires_at = now + kPeerRemovalDelay;
        context_.directory.ExpireAt(id, expires_at);
        break;
    }
    context_.log.Write("server_removed", "",
                       {{"server", name},
                        {"row_version", row.version.number()},
                        {"store_era", row.version.era()},
                        {"origin", static_cast<int>(origin)},
                        {"held_ms", Milliseconds(expires_at - now)}});
    return;
  }
  const auto entry = context_.codec.ReadServer(name, row.value);
  if (!entry) {
    context_.directory.Remove(id, now);
    context_.log.Write("server_unreadable", "",
                       {{"server", name},
                        {"row_version", row.version.number()},
                        {"store_era", row.version.era()}});
    return;
  }
  const bool is_new_instance = context_.directory.Put(*entry, now);
  rollouts_.OnServer(*entry);
  if (!is_new_instance && before.sequence && entry->sequence &&
      *entry->sequence > *before.sequence)
    content_blocks_.OnHeartbeat(entry->incarnation());
  origins_.OnServersChanged();
  if (is_new_instance) {
    context_.processes.Remove(before.incarnation().Key());
    context_.pool.CloseIdleConnections(before.incarnation().Key());
    if (!before.id.empty()) context_.server_limits.Remove(id);
  }
  if (!is_new_instance && before.is_draining == entry->is_draining) return;
  context_.log.Write("server", "",
                     {{"server", name},
                      {"service", entry->service.value()},
                      {"zone", entry->zone.value()},
                      {"software_version", entry->software_version},
                      {"is_draining", entry->is_draining},
                      {"is_leaving", context_.directory.Find(id)->is_leaving},
                      {"row_version", row.version.number()},
                      {"store_era", row.version.era()}});
}

// A row may have another writer, so it can have any shape.
std::optional<Gateway::HostEntry> Gateway::ReadHost(const std::string& value) {
  try {
    const auto json = nlohmann::json::parse(value);
    HostEntry entry{json.at("peers").get<std::string>(),
                    json.value("callers", ""), json.value("zone", ""),
                    json.value("processor", 1.0)};
    if (!configuration::ParseEndpoint(entry.peers) ||
        entry.processor_cores <= 0)
      return std::nullopt;
    return entry;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

void Gateway::ApplyHost(const std::string& name, const routing::Row& row) {
  if (row.is_removed) {
    hosts_.erase(HostId(name));
  } else {
    const std::optional<HostEntry> entry = ReadHost(row.value);
    if (!entry)
      return context_.log.Write("host_unreadable", "",
                                {{"host", name},
                                 {"row_version", row.version.number()},
                                 {"store_era", row.version.era()}});
    hosts_[HostId(name)] = *entry;
  }
  UpdateHosts();
}

void Gateway::UpdateHosts() {
  std::vector<HostId> hosts{context_.settings.host};
  std::vector<PeerHost> others;
  std::vector<RelayHost> relay_hosts;
  std::vector<std::string> others_in_zone;
  std::vector<std::string> all_others;
  for (const auto& [host, entry] : hosts_) {
    if (host == context_.settings.host) continue;
    hosts.push_back(host);
    others.push_back({entry.peers, ZoneId(entry.zone), entry.processor_cores});
    relay_hosts.push_back({entry.peers, entry.callers, ZoneId(entry.zone),
                           entry.processor_cores});
    all_others.push_back(entry.peers);
    if (ZoneId(entry.zone) == context_.settings.zone)
      others_in_zone.push_back(entry.peers);
  }
  stages_.SetHosts(others);
  origins_.SetHosts(others);
  prompt_queue_exchange_.SetHosts(others);
  relays_.SetHosts(std::move(relay_hosts));
  speed_exchange_.SetHosts(others_in_zone);
  notices_.SetHosts(std::move(others_in_zone), all_others);
  rollouts_.SetHosts(hosts, all_others);
  content_blocks_.SetHosts(std::move(all_others));
  context_.host_count = hosts.size();
  context_.server_limits.SetHosts(hosts);
  context_.limiter.SetHosts(std::move(hosts));
  const configuration::GatewayLimits& limits = context_.settings.limits;
  context_.retry_budget.SetAllowance(
      {kRetryBudgetFraction * limits.retry_ratio,
       kRetryBudgetFraction * limits.retry_slack /
           static_cast<double>(context_.host_count)});
}

// A host whose row exists already is counted by the others even while it is
// down. A new host waits until the others have read its row; otherwise all
// hosts together would send more to cold servers than these can handle.
void Gateway::Join() {
  if (hosts_.contains(context_.settings.host)) {
    FinishJoin();
    return AnnounceHost();
  }
  const bool has_waited = context_.Now() - started_at_ >= kMaxJoinWait;
  if (follower_.has_read_hosts() || has_waited) {
    join_timer_ = context_.loop.After(kJoinDelay, [this] { FinishJoin(); });
    return AnnounceHost();
  }
  join_timer_ = context_.loop.After(kJoinPollPeriod, [this] { Join(); });
}

void Gateway::FinishJoin() {
  has_joined_ = true;
  context_.limiter.SetCountedByPeers(true);
  context_.log.Write("counted_in", "", {{"hosts", context_.host_count}});
}

std::string Gateway::OwnRowValue() const {
  const nlohmann::json value = {
      {"peers", context_.settings.peers},
      {"callers", context_.settings.callers},
      {"zone", context_.settings.zone.value()},
      {"processor", context_.settings.processor_cores}};
  return value.dump();
}

void Gateway::CheckOwnRow() {
  const std::optional<std::uint64_t> era = follower_.hosts_era();
  if (!has_announced_ || !era || era == announced_in_era_) return;
  announced_in_era_ = era;
  const routing::Row* row = follower_.replica().Find(
      rows_.tables().back(), context_.settings.host.value());
  if (row != nullptr && !row->is_removed && row->version.era() == *era &&
      row->value == OwnRowValue())
    return;
  context_.log.Write("own_row_lost", "", {{"store_era", *era}});
  context_.loop.Cancel(announce_timer_);
  const auto delay = context_.random.Below(
      static_cast<std::uint64_t>(kMaxReannounceDelay.count()));
  announce_timer_ = context_.loop.After(
      Duration(static_cast<std::int64_t>(delay)), [this] { AnnounceHost(); });
}

void Gateway::AnnounceHost() {
  has_announced_ = true;
  announced_in_era_ = follower_.hosts_era();
  rows_.WriteHost(context_.settings.host, OwnRowValue(),
                  [this](bool is_written) {
                    if (is_written) return;
                    announce_timer_ = context_.loop.After(
                        kAnnounceRetryDelay, [this] { AnnounceHost(); });
                  });
}

// --- Other hosts ------------------------------------------------------------

void Gateway::ConnectPeer(const std::string& address) {
  if (address == context_.settings.peers) return;
  if (connected_peers_.size() >= kMaxPeers) DisconnectUnlistedPeers();
  if (connected_peers_.size() >= kMaxPeers) return;
  if (!connected_peers_.insert(address).second) return;
  std::vector<transport::PeerAddress> all;
  for (const std::string& peer : connected_peers_)
    all.push_back({HostId(peer), peer});
  peers_.SetPeers(all);
}

// Hosts that were removed would use up the connections.
void Gateway::DisconnectUnlistedPeers() {
  std::set<std::string> listed(context_.settings.seed_peers.begin(),
                               context_.settings.seed_peers.end());
  for (const auto& [host, entry] : hosts_) listed.insert(entry.peers);
  std::erase_if(connected_peers_, [&listed](const std::string& peer) {
    return !listed.contains(peer);
  });
}

// Fetches rows from other hosts, which may have newer ones, while this host
// cannot read the store.
void Gateway::FetchRowsFromPeers() {
  const TimePoint now = context_.Now();
  if (!follower_.is_store_unavailable() ||
      now - rows_fetched_at_ < kRowsFetchPeriod)
    return;
  rows_fetched_at_ = now;
  std::vector<std::string> known(context_.settings.seed_peers);
  for (const auto& [host, entry] : hosts_)
    if (entry.peers != context_.settings.peers) known.push_back(entry.peers);
  messages::PeerMessage message;
  message.set_sender(context_.settings.peers);
  const routing::RowVersion known_version = follower_.known_version();
  message.mutable_rows_fetch()->set_newer_than(known_version.number());
  message.mutable_rows_fetch()->set_store_era(known_version.era());
  for (std::size_t i = 0; i < kRowsFetchPeers && !known.empty(); ++i) {
    const std::string& peer = known[context_.random.Below(known.size())];
    ConnectPeer(peer);
    peers_.Send(HostId(peer), message);
  }
}

void Gateway::OnPeerMessage(const messages::PeerMessage& message) {
  if (message.has_rows_fetch())
    return SendRows(message.sender(),
                    routing::RowVersion(message.rows_fetch().store_era(),
                                        message.rows_fetch().newer_than()));
  if (message.has_stage_traffic()) {
    ConnectPeer(message.sender());
    return stages_.OnTraffic(message.sender(), message.incarnation(),
                             message.stage_traffic());
  }
  if (message.has_stream_origins()) {
    ConnectPeer(message.sender());
    return origins_.OnTraffic(message.sender(), message.stream_origins());
  }
  if (message.has_server_notices()) {
    ConnectPeer(message.sender());
    return notices_.OnMessage(message.sender(), message.server_notices());
  }
  if (message.has_content_reports()) {
    ConnectPeer(message.sender());
    return content_blocks_.OnMessage(message.sender(),
                                     message.content_reports());
  }
  if (message.has_server_speeds())
    return speed_exchange_.OnMessage(message.server_speeds());
  if (message.has_prompt_queues())
    return prompt_queue_exchange_.OnMessage(message.sender(),
                                            message.prompt_queues());
  if (message.has_rollouts()) {
    ConnectPeer(message.sender());
    return rollouts_.OnTraffic(message.sender(), message.rollouts());
  }
  if (message.has_rows_feed()) return OnRowsFeed(message.rows_feed());
  if (message.has_rows_push())
    follower_.MergeFromPeer(ReadRows(message.rows_push().rows()));
}

// The host with rank 0 reads the store for its zone.
void Gateway::UpdateReaderRank() {
  std::vector<routing::BatchingHost> others;
  for (const auto& [host, entry] : hosts_) {
    if (host == context_.settings.host || !stages_.IsReachable(entry.peers))
      continue;
    others.push_back({entry.peers, ZoneId(entry.zone) == context_.settings.zone,
                      entry.processor_cores});
  }
  follower_.SetRank(routing::StoreReaderRank(
      {context_.settings.peers, true, context_.settings.processor_cores},
      others));
}

void Gateway::SendFeed(std::span<const TableChanges> changes) {
  messages::PeerMessage message;
  message.set_sender(context_.settings.peers);
  messages::RowsFeed& feed = *message.mutable_rows_feed();
  for (const TableChanges& change : changes) {
    messages::TableFeed& table = *feed.add_tables();
    table.set_table(change.table);
    table.set_after(change.after.number());
    table.set_after_era(change.after.era());
    table.set_version(change.version.number());
    table.set_store_era(change.version.era());
    table.set_must_read(change.must_read);
    table.set_recovering_us(change.recovering.count());
    for (const routing::Row& row : change.rows)
      WriteRow(row, *table.add_rows());
  }
  for (const auto& [host, entry] : hosts_) {
    if (host == context_.settings.host ||
        ZoneId(entry.zone) != context_.settings.zone ||
        !stages_.IsReachable(entry.peers))
      continue;
    ConnectPeer(entry.peers);
    peers_.Send(HostId(entry.peers), message);
  }
}

void Gateway::OnRowsFeed(const messages::RowsFeed& feed) {
  std::vector<TableChanges> changes;
  for (const messages::TableFeed& table : feed.tables())
    changes.push_back({table.table(),
                       routing::RowVersion(table.after_era(), table.after()),
                       routing::RowVersion(table.store_era(), table.version()),
                       ReadRows(table.rows()), table.must_read(),
                       Duration(table.recovering_us())});
  follower_.ApplyFeed(changes);
}

bool Gateway::SendPeerMessage(const std::string& peer,
                              messages::PeerMessage message) {
  ConnectPeer(peer);
  message.set_sender(context_.settings.peers);
  message.set_incarnation(incarnation_);
  return peers_.Send(HostId(peer), message);
}

bool Gateway::SendStageTraffic(const std::string& peer,
                               const messages::StageTraffic& traffic) {
  messages::PeerMessage message;
  *message.mutable_stage_traffic() = traffic;
  return SendPeerMessage(peer, std::move(message));
}

void Gateway::SendRows(const std::string& peer,
                       routing::RowVersion newer_than) {
  messages::PeerMessage message;
  message.set_sender(context_.settings.peers);
  std::size_t bytes = 0;
  for (const routing::Row& row : follower_.replica().NewerThan(newer_than)) {
    bytes += row.value.size() + row.key.size() + row.table.size();
    if (bytes > kMaxPushBytes) break;
    WriteRow(row, *message.mutable_rows_push()->add_rows());
  }
  if (bytes == 0) return;
  ConnectPeer(peer);
  peers_.Send(HostId(peer), message);
}

// The requests of this host go to others, which also take over its stage calls.
void Gateway::OnPathChange() {
  stages_.SetHasPath(!path_.is_lost());
  if (!path_.is_lost()) return;
  for (RequestFlow* flow : OpenRequests()) flow->OnPathLost();
}

// --- Timers -----------------------------------------------------------------

void Gateway::Tick() {
  context_.directory.RemoveExpired(context_.Now());
  origins_.RemoveExpired();
  context_.is_store_available = !follower_.is_store_unavailable();
  checks_.SetKnownVersion(follower_.known_version());
  checks_.Update();
  origins_.UpdateWriter(follower_.hosts_era());
  UpdateReaderRank();
  CheckOwnRow();
  content_blocks_.Update(follower_.hosts_era());
  FetchRowsFromPeers();
  ReportPeerQueues();
  LogMemoryRefusals();
  context_.log.Flush();
  tick_timer_ = context_.loop.After(kTickPeriod, [this] { Tick(); });
}

void Gateway::ReportPeerQueues() {
  context_.metrics.SetGauge("lovagecleat_peer_queue_bytes", {},
                            static_cast<double>(peers_.queued_bytes()));
  const auto set_behind = [this](const char* queue, std::size_t hosts) {
    context_.metrics.SetGauge("lovagecleat_hosts_behind", {{"queue", queue}},
                              static_cast<double>(hosts));
  };
  set_behind("server_notices", notices_.hosts_behind());
  set_behind("content_reports", content_blocks_.hosts_behind());
  const std::uint64_t refused =
      peers_.refused_messages() - reported_refused_messages_;
  if (refused == 0) return;
  reported_refused_messages_ += refused;
  context_.metrics.Count("lovagecleat_peer_messages_refused_total", {},
                         refused);
  context_.log.Write(
      "peer_queue_full", "",
      {{"refused", refused}, {"queued_bytes", peers_.queued_bytes()}});
}

void Gateway::Stop() {
  if (stop_at_) return;
  stop_at_ = context_.Now();
  callers_.StartDraining();
  stages_.StartLeaving();
  context_.log.Write("stop", "", {{"requests", flows_.size()}});
  ContinueStop();
}

void Gateway::ContinueStop() {
  const Duration elapsed = context_.Now() - *stop_at_;
  const Duration until_end =
      context_.settings.limits.shutdown_timeout - kStopMargin - elapsed;
  if (until_end <= kFinalAnswerTime) AnswerOpenRequests();
  if (elapsed >= kStopGracePeriod) {
    callers_.StopListening();
    callers_.CloseIdleConnections();
  }
  // Slow clients may still read responses that are complete here.
  const bool is_done =
      flows_.empty() && relays_.size() == 0 && !callers_.HasUnsentBytes();
  if (until_end <= Duration::zero() ||
      (elapsed >= kStopGracePeriod && is_done)) {
    context_.log.Write("stopped", "",
                       {{"requests_left", flows_.size() + relays_.size()}});
    context_.log.Flush();
    return context_.loop.Quit();
  }
  Duration wait = std::min(kTickPeriod, until_end);
  if (until_end > kFinalAnswerTime)
    wait = std::min(wait, until_end - kFinalAnswerTime);
  stop_timer_ = context_.loop.After(wait, [this] { ContinueStop(); });
}

void Gateway::AnswerOpenRequests() {
  for (RequestFlow* flow : OpenRequests()) flow->OnProcessEnding();
  relays_.OnProcessEnding();
}

// Copied, since requests that end are removed from flows_.
std::vector<RequestFlow*> Gateway::OpenRequests() const {
  std::vector<RequestFlow*> open;
  for (const auto& [flow, owner] : flows_) open.push_back(flow);
  return open;
}

}  // namespace lovagecleat::gateway
