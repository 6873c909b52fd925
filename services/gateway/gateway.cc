#include "services/gateway/gateway.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// Period of what is not driven by events: log lines, lapsed servers, peers.
constexpr Duration kTick = milliseconds(250);
// How often other hosts are asked while the store is away, and how many.
constexpr Duration kPeerPeriod = milliseconds(450);
constexpr std::size_t kPeersAsked = 2;
// Connections to other hosts; a larger deployment's hosts gather by zone.
constexpr std::size_t kMaximumPeers = 128;
constexpr std::uint64_t kIncarnations = std::uint64_t{1} << 62;
// Rows sent to another host at once stay under the size of a peer message.
constexpr std::size_t kMaximumPushBytes = 900'000;
// A server that other hosts report as removed while this host cannot ask the
// store is used for this time at most.
constexpr Duration kPeerRemovalDelay = milliseconds(500);
constexpr Duration kAnnounceRetry = milliseconds(700);
// How often a host that starts looks whether it has read the others' rows, and
// how long it waits for them while the store is away.
constexpr Duration kJoinPoll = milliseconds(10);
constexpr Duration kLongestJoin = milliseconds(3000);
// A new host's row is read by the others within this time: the pause between
// two readings of that table and the ways between hosts.
constexpr Duration kCountedAfter = milliseconds(1500);
// Between the first configuration and the first list of servers.
constexpr Duration kFirstServers = milliseconds(20);
// Parts of the budget that hosts plan with; the rest covers that hosts and the
// servers count in different windows.
constexpr double kRetryShare = 0.8;

// After a stop was asked for, the balancer sends new connections for two more
// seconds; idle ones are closed after that.
constexpr Duration kKeepAccepting = milliseconds(2500);
// Other hosts serve at once, so that callers need not wait; in seconds.
constexpr const char* kRetryAfterStop = "0.05";
// The process ends by itself this long before it would be killed.
constexpr Duration kStopMargin = milliseconds(600);

void WriteRow(const routing::Row& row, messages::ReplicatedRow& copy) {
  copy.set_table(row.table);
  copy.set_key(row.key);
  copy.set_value(row.value);
  copy.set_version(row.version);
  copy.set_removed(row.is_removed);
}

template <typename Rows>
std::vector<routing::Row> ReadRows(const Rows& copies) {
  std::vector<routing::Row> rows;
  for (const messages::ReplicatedRow& copy : copies)
    rows.push_back({copy.table(), copy.key(), copy.value(), copy.version(),
                    copy.removed()});
  return rows;
}

}  // namespace

// Answers with what a callback says.
class Gateway::StatusHandler final : public http::ExchangeHandler {
 public:
  struct Answer {
    int status = 200;
    std::string body;
  };
  explicit StatusHandler(std::function<Answer()> answer)
      : answer_(std::move(answer)) {}

  void OnExchange(http::Exchange& exchange) override {
    const Answer answer = answer_();
    exchange.Respond(answer.status, {{"Content-Type", "text/plain"}},
                     answer.body);
  }

 private:
  std::function<Answer()> answer_;
};

Gateway::Gateway(transport::Loop& loop, const Wire& wire, RowSource& rows,
                 const configuration::GatewaySettings& settings,
                 http::Poller& poller, http::ConnectionPool& pool,
                 logging::EventLog& log)
    : context_{loop,
               wire,
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
               {},
               policy::RetryBudget(),
               nullptr,
               1},
      rows_(rows),
      runner_(context_),
      stages_(context_, runner_,
              [this](const std::string& peer,
                     const messages::StageTraffic& traffic) {
                return SendStageTraffic(peer, traffic);
              }),
      follower_(context_, rows,
                [this](const routing::Row& row, RowOrigin origin) {
                  ApplyRow(row, origin);
                }),
      peers_(loop, HostId(settings.peers)),
      incarnation_(1 + context_.random.Below(kIncarnations)),
      callers_(poller, *this),
      readiness_handler_(std::make_unique<StatusHandler>([this] {
        return StatusHandler::Answer{is_ready() ? 200 : 503, {}};
      })),
      metrics_handler_(std::make_unique<StatusHandler>([this] {
        return StatusHandler::Answer{200, metrics_.PrometheusText()};
      })),
      readiness_(poller, *readiness_handler_),
      metrics_server_(poller, *metrics_handler_) {
  peers_.OnMessage(
      [this](const messages::PeerMessage& message) { OnPeerMessage(message); });
  UpdateShares();
}

Gateway::~Gateway() {
  for (const TimerId timer :
       {tick_timer_, stop_timer_, announce_timer_, waiting_timer_, join_timer_})
    context_.loop.Cancel(timer);
  flows_.clear();
  context_.loop.RunDueTimers();
}

Gateway::StartError Gateway::Start() {
  if (!Listen()) return StartError::kCannotListen;
  const auto peers = configuration::ParseEndpoint(context_.settings.peers);
  if (!peers || !peers_.Bind(peers->address, peers->port))
    return StartError::kCannotListen;
  for (const std::string& seed : context_.settings.seeds) ConnectPeer(seed);
  follower_.SetFeed(
      [this](std::span<const TableChanges> changes) { FeedZone(changes); });
  started_at_ = context_.Now();
  context_.limiter.SetCounted(false);
  follower_.Start();
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

void Gateway::Reload(const configuration::GatewaySettings& settings) {
  const configuration::GatewaySettings before =
      std::exchange(context_.settings, settings);
  if (before.callers != settings.callers) callers_.Listen(settings.callers);
  if (before.readiness != settings.readiness)
    readiness_.Listen(settings.readiness);
  UpdateShares();
  context_.log.Write("reload", "", {{"store", settings.store}});
}

void Gateway::OnExchange(http::Exchange& exchange) {
  // What is taken this late could not be finished before the process is ended.
  if (stop_at_ && context_.Now() - *stop_at_ >= kKeepAccepting) {
    context_.metrics.Count("lovagecleat_requests_total",
                           {{"route", "none"}, {"cause", "stopping"}});
    return exchange.Respond(503, {{"Retry-After", kRetryAfterStop}}, {});
  }
  auto flow = std::make_unique<RequestFlow>(
      context_, stages_, exchange, [this](RequestFlow* ended) {
        const auto found = flows_.find(ended);
        if (found == flows_.end()) return;
        context_.loop.After(
            Duration::zero(),
            [gone = std::shared_ptr<RequestFlow>(std::move(found->second))] {});
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
                          {"row_version", row.version}});
      return;
    case RowSubject::Kind::kServer:
      return ApplyServer(subject.name, row, origin);
    case RowSubject::Kind::kHost:
      return ApplyHost(subject.name, row);
    case RowSubject::Kind::kOther:
      return;
  }
}

void Gateway::ApplyRouting(const routing::Row& row) {
  if (row.is_removed) return;
  std::optional<routing::RoutingTable> table =
      context_.wire.ReadRouting(row.value);
  if (!table) {
    context_.log.Write("routing_unreadable", "",
                       {{"row_version", row.version}});
    return;
  }
  if (context_.table && table->version <= context_.table->version) return;
  context_.log.Write("routing", "",
                     {{"table_version", table->version},
                      {"row_version", row.version},
                      {"routes", table->routes.size()}});
  http::ServerLimits limits;
  limits.message.header_bytes = table->limits.header_bytes;
  limits.message.body_bytes = table->limits.body_bytes;
  limits.head_time = table->limits.header_time;
  limits.idle_time = table->limits.idle_time;
  callers_.SetLimits(limits);
  const bool is_first = context_.table == nullptr;
  context_.table =
      std::make_shared<const routing::RoutingTable>(std::move(*table));
  if (is_first) StartWaitingRequests();
}

void Gateway::StartWaitingRequests() {
  // Servers are read at the same time as the configuration, but may come a
  // moment later.
  waiting_timer_ = context_.loop.After(kFirstServers, [this] {
    std::vector<RequestFlow*> waiting;
    for (const auto& [flow, owner] : flows_) waiting.push_back(flow);
    for (RequestFlow* flow : waiting) flow->OnConfiguration();
  });
}

void Gateway::ApplyServer(const std::string& name, const routing::Row& row,
                          RowOrigin origin) {
  const ServerId id(name);
  const TimePoint now = context_.Now();
  if (row.is_removed) {
    switch (origin) {
      case RowOrigin::kStore:
        context_.directory.Remove(id);
        context_.pool.Drop(name);
        break;
      case RowOrigin::kStoreAfterOutage:
        context_.directory.Lapse(id, *follower_.recovering_until());
        break;
      case RowOrigin::kPeer:
        context_.directory.Lapse(id, now + kPeerRemovalDelay);
        break;
    }
    context_.log.Write("server_removed", "",
                       {{"server", name},
                        {"row_version", row.version},
                        {"origin", static_cast<int>(origin)}});
    return;
  }
  const auto entry = context_.wire.ReadServer(name, row.value);
  if (!entry) {
    context_.directory.Remove(id);
    context_.log.Write("server_unreadable", "",
                       {{"server", name}, {"row_version", row.version}});
    return;
  }
  const routing::ServerRecord* before = context_.directory.Find(id);
  const bool was_draining = before != nullptr && before->entry.is_draining;
  const bool is_anew = context_.directory.Put(*entry, now);
  if (is_anew) context_.pool.Drop(name);
  if (!is_anew && was_draining == entry->is_draining) return;
  context_.log.Write("server", "",
                     {{"server", name},
                      {"service", entry->service.value()},
                      {"zone", entry->zone.value()},
                      {"is_draining", entry->is_draining},
                      {"row_version", row.version}});
}

void Gateway::ApplyHost(const std::string& name, const routing::Row& row) {
  if (row.is_removed) {
    hosts_.erase(HostId(name));
  } else {
    const auto value = nlohmann::json::parse(row.value, nullptr, false);
    if (!value.is_object() || !value.contains("peers")) return;
    hosts_[HostId(name)] = {value.value("peers", ""), value.value("zone", ""),
                            value.value("processor", 1.0)};
  }
  UpdateShares();
}

void Gateway::UpdateShares() {
  std::vector<HostId> hosts{context_.settings.host};
  std::vector<PeerHost> others;
  for (const auto& [host, entry] : hosts_) {
    if (host == context_.settings.host) continue;
    hosts.push_back(host);
    others.push_back({entry.peers, ZoneId(entry.zone), entry.processor});
  }
  stages_.SetHosts(others);
  context_.hosts = hosts.size();
  context_.limiter.SetHosts(std::move(hosts));
  const configuration::GatewayBounds& bounds = context_.settings.bounds;
  context_.retries.SetAllowance(
      {kRetryShare * bounds.retry_ratio,
       kRetryShare * bounds.retry_slack / static_cast<double>(context_.hosts)});
}

// A host whose row is there already is counted by the others, also while it is
// away. A new one waits until they have read its row: else all together would
// send more to cold servers than these bear.
void Gateway::Join() {
  if (hosts_.contains(context_.settings.host)) {
    CountIn();
    return AnnounceHost();
  }
  const bool has_waited = context_.Now() - started_at_ >= kLongestJoin;
  if (follower_.has_read_hosts() || has_waited) {
    join_timer_ = context_.loop.After(kCountedAfter, [this] { CountIn(); });
    return AnnounceHost();
  }
  join_timer_ = context_.loop.After(kJoinPoll, [this] { Join(); });
}

void Gateway::CountIn() {
  is_counted_ = true;
  context_.limiter.SetCounted(true);
  context_.log.Write("counted_in", "", {{"hosts", context_.hosts}});
}

void Gateway::AnnounceHost() {
  const nlohmann::json value = {{"peers", context_.settings.peers},
                                {"zone", context_.settings.zone.value()},
                                {"processor", context_.settings.processor}};
  rows_.WriteHost(context_.settings.host, value.dump(), [this](bool is_taken) {
    if (is_taken) return;
    announce_timer_ =
        context_.loop.After(kAnnounceRetry, [this] { AnnounceHost(); });
  });
}

// --- Other hosts ------------------------------------------------------------

void Gateway::ConnectPeer(const std::string& address) {
  if (address == context_.settings.peers) return;
  if (connected_peers_.size() >= kMaximumPeers) return;
  if (!connected_peers_.insert(address).second) return;
  std::vector<transport::PeerAddress> all;
  for (const std::string& peer : connected_peers_)
    all.push_back({HostId(peer), peer});
  peers_.SetPeers(all);
}

// While the store does not serve this host, others may know what it does not.
void Gateway::AskPeers() {
  const TimePoint now = context_.Now();
  if (!follower_.is_away() || now - asked_peers_at_ < kPeerPeriod) return;
  asked_peers_at_ = now;
  std::vector<std::string> known(context_.settings.seeds);
  for (const auto& [host, entry] : hosts_)
    if (entry.peers != context_.settings.peers) known.push_back(entry.peers);
  messages::PeerMessage message;
  message.set_sender(context_.settings.peers);
  message.mutable_rows_fetch()->set_newer_than(follower_.known_version());
  for (std::size_t i = 0; i < kPeersAsked && !known.empty(); ++i) {
    const std::string& peer = known[context_.random.Below(known.size())];
    ConnectPeer(peer);
    peers_.Send(HostId(peer), message);
  }
}

void Gateway::OnPeerMessage(const messages::PeerMessage& message) {
  if (message.has_rows_fetch())
    return AnswerRows(message.sender(), message.rows_fetch().newer_than());
  if (message.has_stage_traffic()) {
    ConnectPeer(message.sender());
    return stages_.OnTraffic(message.sender(), message.incarnation(),
                             message.stage_traffic());
  }
  if (message.has_rows_feed()) return TakeFeed(message.rows_feed());
  if (message.has_rows_push())
    follower_.MergeFromPeer(ReadRows(message.rows_push().rows()));
}

// Whoever reads the store for its zone is the first of the hosts there.
void Gateway::UpdateReadingRank() {
  std::vector<routing::GatheringHost> others;
  for (const auto& [host, entry] : hosts_) {
    if (host == context_.settings.host || !stages_.IsHere(entry.peers))
      continue;
    others.push_back({entry.peers, ZoneId(entry.zone) == context_.settings.zone,
                      entry.processor});
  }
  follower_.SetRank(routing::ReadingRank(
      {context_.settings.peers, true, context_.settings.processor}, others));
}

void Gateway::FeedZone(std::span<const TableChanges> changes) {
  messages::PeerMessage message;
  message.set_sender(context_.settings.peers);
  messages::RowsFeed& feed = *message.mutable_rows_feed();
  for (const TableChanges& change : changes) {
    messages::TableFeed& table = *feed.add_tables();
    table.set_table(change.table);
    table.set_after(change.after);
    table.set_version(change.version);
    table.set_must_read(change.must_read);
    table.set_recovering_us(change.recovering.count());
    for (const routing::Row& row : change.rows)
      WriteRow(row, *table.add_rows());
  }
  for (const auto& [host, entry] : hosts_) {
    if (host == context_.settings.host ||
        ZoneId(entry.zone) != context_.settings.zone ||
        !stages_.IsHere(entry.peers))
      continue;
    ConnectPeer(entry.peers);
    peers_.Send(HostId(entry.peers), message);
  }
}

void Gateway::TakeFeed(const messages::RowsFeed& feed) {
  std::vector<TableChanges> changes;
  for (const messages::TableFeed& table : feed.tables())
    changes.push_back({table.table(), table.after(), table.version(),
                       ReadRows(table.rows()), table.must_read(),
                       Duration(table.recovering_us())});
  follower_.TakeFeed(changes);
}

bool Gateway::SendStageTraffic(const std::string& peer,
                               const messages::StageTraffic& traffic) {
  ConnectPeer(peer);
  messages::PeerMessage message;
  message.set_sender(context_.settings.peers);
  message.set_incarnation(incarnation_);
  *message.mutable_stage_traffic() = traffic;
  return peers_.Send(HostId(peer), message);
}

void Gateway::AnswerRows(const std::string& peer, std::uint64_t newer_than) {
  messages::PeerMessage message;
  message.set_sender(context_.settings.peers);
  std::size_t bytes = 0;
  for (const routing::Row& row : follower_.replica().NewerThan(newer_than)) {
    bytes += row.value.size() + row.key.size() + row.table.size();
    if (bytes > kMaximumPushBytes) break;
    WriteRow(row, *message.mutable_rows_push()->add_rows());
  }
  if (bytes == 0) return;
  ConnectPeer(peer);
  peers_.Send(HostId(peer), message);
}

// --- Time -------------------------------------------------------------------

void Gateway::Tick() {
  context_.directory.DropLapsed(context_.Now());
  UpdateReadingRank();
  AskPeers();
  context_.log.Flush();
  tick_timer_ = context_.loop.After(kTick, [this] { Tick(); });
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
  const Duration since = context_.Now() - *stop_at_;
  const bool is_over =
      since >= context_.settings.bounds.stop_time - kStopMargin;
  if (since >= kKeepAccepting) {
    callers_.StopListening();
    callers_.CloseIdleConnections();
  }
  if (is_over || (since >= kKeepAccepting && flows_.empty())) {
    context_.log.Write("stopped", "", {{"requests_left", flows_.size()}});
    context_.log.Flush();
    return context_.loop.Quit();
  }
  stop_timer_ = context_.loop.After(kTick, [this] { ContinueStop(); });
}

}  // namespace lovagecleat::gateway
