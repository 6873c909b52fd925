#include "services/gateway/stage_router.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// Period of the health checks of other hosts.
constexpr Duration kTickPeriod = milliseconds(100);
// A batching host that sent nothing for this long is probed for its load, which
// also shows that it is reachable.
constexpr Duration kProbePeriod = milliseconds(300);
// As kProbePeriod, for batching hosts of other zones that have no items of this
// host.
constexpr Duration kRemoteZoneProbePeriod = milliseconds(1200);
// Time for which one measurement of this host's load is sent to others.
constexpr Duration kLoadMeasurementPeriod = milliseconds(50);
// A host that leaves a probe unanswered for this long gets no items.
constexpr Duration kSuspectTimeout = milliseconds(600);
constexpr Duration kSuspectProbePeriod = milliseconds(1000);
// Items of a host that sent nothing for this long are dropped.
constexpr Duration kOwnerTimeout = milliseconds(2500);
// An item is reassigned to another remote host at most this often.
constexpr int kMaxReassignments = 2;
// Reported loads are used for this long: two probe periods of another zone's
// host.
constexpr Duration kMaxLoadAge = milliseconds(2400);
// Each process numbers its items from a random base, above these low bits.
constexpr std::uint64_t kItemIdBases = std::uint64_t{1} << 31;
constexpr int kItemIdBits = 32;
// Time for which the capacities by zone are cached.
constexpr Duration kMaxZoneCapacityAge = milliseconds(50);
// Period of updates to the set of probed batching hosts.
constexpr Duration kWatchedHostsPeriod = milliseconds(500);
// Longest time until there is room that another host is believed.
constexpr Duration kMaximumRoomAfter = std::chrono::seconds(60);
constexpr Duration kSendRetryDelay = milliseconds(30);
// A host for which more than this waits to be sent counts as lost.
constexpr std::size_t kMaximumUnsentBytes = std::size_t{512} * 1024;

messages::ItemSubmission& SubmissionFor(messages::StageTraffic& traffic,
                                        const StageLocation& location,
                                        const routing::QueuedItem& item,
                                        TimePoint now) {
  // Items of one stage of a request are submitted one after the other and
  // differ only in their index.
  if (traffic.submissions_size() > 0) {
    messages::ItemSubmission& last =
        *traffic.mutable_submissions(traffic.submissions_size() - 1);
    if (last.request() == item.request && last.stage() == item.position.stage &&
        last.zone() == location.zone.value() &&
        last.service() == location.service.value())
      return last;
  }
  messages::ItemSubmission& added = *traffic.add_submissions();
  added.set_service(location.service.value());
  added.set_zone(location.zone.value());
  added.set_request(item.request);
  added.set_stage(static_cast<std::uint32_t>(item.position.stage));
  added.set_key(item.key);
  for (const std::string& input : item.inputs) added.add_inputs(input);
  added.set_result_bytes(item.result_bytes);
  added.set_priority(item.priority);
  added.set_useful_us((item.soft_deadline - now).count());
  added.set_remaining_us((item.deadline - now).count());
  if (item.rank) {
    added.set_team(item.team.value());
    added.set_rank(item.rank->Encode());
  }
  return added;
}

}  // namespace

StageRouter::StageRouter(Context& context, StageRunner& runner,
                         SendCallback send)
    : context_(context),
      runner_(runner),
      send_(std::move(send)),
      // Item ids of an earlier process must not be mistaken for this one's.
      last_item_(context.random.Below(kItemIdBases) << kItemIdBits),
      room_(context, runner) {
  Tick();
}

StageRouter::~StageRouter() {
  context_.loop.Cancel(flush_timer_);
  context_.loop.Cancel(tick_timer_);
}

void StageRouter::SetHosts(std::span<const PeerHost> others) {
  std::set<std::string> known;
  for (const PeerHost& host : others) {
    known.insert(host.address);
    const auto [found, is_new] = peers_.try_emplace(host.address);
    found->second.zone = host.zone;
    found->second.processor_cores = host.processor_cores;
    // A new host counts as reachable until it leaves a probe unanswered.
    if (is_new) found->second.last_message_at = context_.Now();
  }
  std::erase_if(peers_, [&known](const auto& item) {
    return !known.contains(item.first);
  });
  batching_hosts_.clear();
}

bool StageRouter::IsReachable(const std::string& address) const {
  const auto peer = peers_.find(address);
  return peer != peers_.end() && peer->second.IsReachable();
}

bool StageRouter::HasPath(const std::string& address) const {
  const auto peer = peers_.find(address);
  return peer != peers_.end() && peer->second.has_path;
}

void StageRouter::SetHasPath(bool has_path) {
  has_path_ = has_path;
  batching_hosts_.clear();
  for (const auto& [address, peer] : peers_)
    outgoing_[address].set_has_path(has_path);
  SendOutgoing();
}

void StageRouter::StartLeaving() {
  is_leaving_ = true;
  batching_hosts_.clear();
  for (const auto& [address, peer] : peers_)
    outgoing_[address].set_is_leaving(true);
  SendOutgoing();
}

const std::string& StageRouter::BatchingHostFor(
    const StageLocation& location) const {
  const auto known = batching_hosts_.find(location);
  if (known != batching_hosts_.end()) return known->second;
  return batching_hosts_.emplace(location, ChooseBatchingHost(location))
      .first->second;
}

std::string StageRouter::ChooseBatchingHost(
    const StageLocation& location) const {
  const configuration::GatewaySettings& settings = context_.settings;
  std::vector<routing::BatchingHost> hosts;
  // A stopping host, or one without a path, does the batching only if there is
  // no other host.
  if (!is_leaving_ && has_path_)
    hosts.push_back({settings.peers, settings.zone == location.zone,
                     settings.processor_cores});
  for (const auto& [address, peer] : peers_)
    if (peer.CanBatch())
      hosts.push_back(
          {address, peer.zone == location.zone, peer.processor_cores});
  const std::uint64_t seed =
      StableHash(location.service.value(), StableHash(location.zone.value()));
  const std::string_view best = routing::ChooseBatchingHost(seed, hosts);
  return best == settings.peers ? std::string() : std::string(best);
}

StageRouter::ItemId StageRouter::Submit(const StageLocation& location,
                                        routing::QueuedItem item,
                                        Callback callback) {
  const ItemId id(++last_item_);
  item.id = id;
  const std::string host = BatchingHostFor(location);
  if (host.empty()) {
    SubmitLocally(id, location, std::move(item), std::move(callback));
  } else {
    SubmitTo(host, id,
             {location, std::move(item), std::move(callback), host, 0});
  }
  return id;
}

void StageRouter::SubmitLocally(ItemId id, const StageLocation& location,
                                routing::QueuedItem item, Callback callback) {
  local_[id] = runner_.Submit(
      location, std::move(item),
      [this, id, callback = std::move(callback)](ItemResult item_result) {
        local_.erase(id);
        callback(std::move(item_result));
      });
}

void StageRouter::SubmitTo(const std::string& host, ItemId id,
                           RemoteItem item) {
  messages::ItemSubmission& submission =
      SubmissionFor(outgoing_[host], item.location, item.item, context_.Now());
  submission.add_items(id.value());
  submission.add_indexes(static_cast<std::uint32_t>(item.item.position.index));
  ++loads_[item.location].submitted_since;
  item.host = host;
  remote_.insert_or_assign(id, std::move(item));
  ScheduleFlush();
}

void StageRouter::Flush() {
  runner_.DispatchCalls();
  SendOutgoing();
}

void StageRouter::ScheduleFlush() {
  if (flush_timer_.value() != 0) return;
  flush_timer_ = context_.loop.After(Duration::zero(), [this] {
    flush_timer_ = TimerId{};
    SendOutgoing();
  });
}

void StageRouter::SendOutgoing() {
  bool has_failed = false;
  std::vector<std::string> full;
  for (auto it = outgoing_.begin(); it != outgoing_.end();) {
    // Hosts with items here get the load without probing.
    if (it->second.endings_size() > 0) AddLoads(it->second);
    if (send_(it->first, it->second)) {
      it = outgoing_.erase(it);
      continue;
    }
    const auto peer = peers_.find(it->first);
    const bool is_lost = peer == peers_.end() || peer->second.is_suspect;
    if (!is_lost && OnUnsent(it->first, it->second)) full.push_back(it->first);
    has_failed = has_failed || !is_lost;
    it = is_lost ? outgoing_.erase(it) : std::next(it);
  }
  for (const std::string& host : full) {
    context_.metrics.Count("lovagecleat_stage_traffic_full_total");
    peers_[host].is_suspect = true;
  }
  if (!full.empty()) batching_hosts_.clear();
  LoseHosts(full);
  if (!has_failed || flush_timer_.value() != 0) return;
  flush_timer_ = context_.loop.After(kSendRetryDelay, [this] {
    flush_timer_ = TimerId{};
    SendOutgoing();
  });
}

// Only hosts that are used are probed, so another one would be sent to without
// end after it was lost.
bool StageRouter::OnUnsent(const std::string& host,
                           messages::StageTraffic& traffic) {
  PeerState& peer = peers_[host];
  if (!peer.unanswered_since) {
    peer.unanswered_since = peer.last_probe_at = context_.Now();
    traffic.set_probe(++last_probe_id_);
  }
  return traffic.ByteSizeLong() > kMaximumUnsentBytes;
}

void StageRouter::LoseHosts(const std::vector<std::string>& hosts) {
  for (const std::string& host : hosts) {
    context_.log.Write("host_lost", "", {{"peer", host}});
    ReassignItems(host);
  }
}

void StageRouter::CancelItems(std::span<const ItemId> items) {
  std::vector<ItemId> local;
  for (const ItemId& item : items) {
    const auto own = local_.find(item);
    if (own != local_.end()) {
      local.push_back(own->second);
      local_.erase(own);
    }
    const auto remote = remote_.find(item);
    if (remote == remote_.end()) continue;
    outgoing_[remote->second.host].add_withdrawn(item.value());
    remote_.erase(remote);
    ScheduleFlush();
  }
  runner_.CancelItems(local);
}

void StageRouter::Release(std::span<const routing::ResultHandle> results) {
  std::vector<routing::ResultHandle> own;
  for (const routing::ResultHandle& result : results) {
    const auto batching_host = result_hosts_.find(result.handle);
    if (batching_host == result_hosts_.end()) {
      own.push_back(result);
      continue;
    }
    messages::HeldResult& release =
        *outgoing_[batching_host->second].add_releases();
    release.set_handle(result.handle);
    release.set_maker(result.server.value());
    result_hosts_.erase(batching_host);
    ScheduleFlush();
  }
  runner_.Release(own);
}

// --- Loads ------------------------------------------------------------------

double StageRouter::MeasureCapacity(const StageLocation& location,
                                    std::size_t servers) const {
  const auto count = static_cast<double>(servers);
  // The batching host calls the servers, so it is the first to detect a failed
  // or slow one.
  if (BatchingHostFor(location).empty()) {
    const std::optional<StageLoad> load = runner_.LoadAt(location);
    return load ? std::min(count, load->capacity) : count;
  }
  const auto known = loads_.find(location);
  const bool is_known =
      known != loads_.end() &&
      context_.Now() - known->second.received_at <= kMaxLoadAge;
  return is_known ? std::min(count, known->second.load.capacity) : count;
}

const StageRouter::ZoneCapacities& StageRouter::CachedZoneCapacities(
    const ServiceId& service) const {
  const TimePoint now = context_.Now();
  ZoneCapacities& cached = zone_capacities_[service];
  if (now - cached.measured_at < kMaxZoneCapacityAge &&
      cached.measured_at != TimePoint{})
    return cached;
  cached.measured_at = now;
  cached.capacity.clear();
  std::map<ZoneId, std::size_t> servers;
  for (const routing::ServerRecord* server : ServersByRollout(
           context_, service, false, context_.directory.Usable(service, now)))
    ++servers[server->entry.zone];
  for (const auto& [zone, count] : servers) {
    const double capacity = MeasureCapacity({service, zone}, count);
    if (capacity > 0) cached.capacity[zone] = capacity;
  }
  return cached;
}

double StageRouter::CapacityAt(const StageLocation& location) const {
  const ZoneCapacities& cached = CachedZoneCapacities(location.service);
  const auto found = cached.capacity.find(location.zone);
  return found == cached.capacity.end() ? 0.0 : found->second;
}

std::set<ZoneId> StageRouter::ZonesWithServers(const ServiceId& service) const {
  std::set<ZoneId> zones;
  for (const auto& [zone, capacity] : CachedZoneCapacities(service).capacity)
    zones.insert(zone);
  if (!zones.empty()) return zones;
  for (const routing::ServerRecord* server : ServersByRollout(
           context_, service, false, context_.directory.InService(service)))
    zones.insert(server->entry.zone);
  return zones;
}

Duration StageRouter::ExpectedWait(const StageLocation& location,
                                   int priority) {
  const routing::Service* service =
      context_.table ? context_.table->FindService(location.service) : nullptr;
  if (service == nullptr || !service->batches) return Duration::zero();
  const std::size_t index = std::min<std::size_t>(
      static_cast<std::size_t>(std::max(priority, 0)), kLoadPriorities - 1);
  std::size_t waiting = 0;
  if (BatchingHostFor(location).empty()) {
    const std::optional<StageLoad> load = runner_.LoadAt(location);
    if (load) waiting = load->waiting[index];
  } else if (const auto known = loads_.find(location); known != loads_.end()) {
    waiting = known->second.load.waiting[index] + known->second.submitted_since;
  }
  return routing::ExpectedWait(*service->batches, CapacityAt(location),
                               waiting);
}

const routing::RoomLoad& StageRouter::RoomAt(const StageLocation& location,
                                             routing::RoomKind kind) {
  return room_.LoadOf({location.service, location.zone, kind},
                      BatchingHostFor(location).empty());
}

void StageRouter::SendPlans() {
  const auto plans = room_.TakeDuePlans();
  if (!plans) return;
  for (const std::string& host : std::exchange(told_plans_, {}))
    *outgoing_[host].mutable_planned() = {};
  for (const routing::RoomWork& work : *plans) {
    const std::string& host =
        BatchingHostFor({work.resource.service, work.resource.zone});
    if (host.empty()) continue;
    messages::StageTraffic& traffic = outgoing_[host];
    if (told_plans_.insert(host).second) *traffic.mutable_planned() = {};
    messages::RoomWork& entry = *traffic.mutable_planned()->add_work();
    entry.set_service(work.resource.service.value());
    entry.set_zone(work.resource.zone.value());
    entry.set_kind(static_cast<std::uint32_t>(work.resource.kind));
    entry.set_rank(work.rank.Encode());
    entry.set_team(work.team.value());
    entry.set_work(work.work);
  }
}

Duration StageRouter::CallTime(const ServiceId& service,
                               std::size_t items) const {
  const routing::Service* found =
      context_.table ? context_.table->FindService(service) : nullptr;
  if (found == nullptr || !found->batches) return Duration::zero();
  return found->batches->call_time +
         found->batches->item_time * static_cast<std::int64_t>(items);
}

Duration StageRouter::TypicalCallTime(const ServiceId& service) const {
  const routing::Service* found =
      context_.table ? context_.table->FindService(service) : nullptr;
  if (found == nullptr || !found->batches) return Duration::zero();
  return CallTime(service, (found->batches->items + 1) / 2);
}

// --- Other hosts ------------------------------------------------------------

void StageRouter::OnTraffic(const std::string& from, std::uint64_t incarnation,
                            const messages::StageTraffic& traffic) {
  PeerState& peer = peers_[from];
  const bool could_batch = peer.CanBatch();
  peer.last_message_at = context_.Now();
  peer.unanswered_since.reset();
  if (peer.is_suspect)
    context_.log.Write("host_regained", "", {{"peer", from}});
  peer.is_suspect = false;
  if (peer.incarnation != incarnation) {
    peer.is_leaving = false;
    peer.has_path = true;
  }
  if (traffic.is_leaving()) peer.is_leaving = true;
  const bool had_path = peer.has_path;
  if (traffic.has_has_path()) peer.has_path = traffic.has_path();
  if (peer.CanBatch() != could_batch) batching_hosts_.clear();
  if (peer.incarnation != 0 && peer.incarnation != incarnation) {
    // The host has restarted and lost the items that were sent to it.
    DropItemsFrom(from);
    ReassignItems(from);
  }
  peer.incarnation = incarnation;
  if (had_path && !peer.has_path) WithdrawItems(from);
  for (const messages::ItemSubmission& submission : traffic.submissions())
    HandleSubmission(from, submission);
  for (const std::uint64_t item : traffic.withdrawn()) {
    const auto hosted = hosted_.find({from, item});
    if (hosted == hosted_.end()) continue;
    runner_.CancelItems(std::span<const ItemId>(&hosted->second, 1));
    hosted_.erase(hosted);
  }
  for (const messages::ItemEnding& ending : traffic.endings())
    HandleEnding(from, ending);
  room_.OnTraffic(from, traffic);
  std::vector<routing::ResultHandle> releases;
  for (const messages::HeldResult& result : traffic.releases())
    releases.push_back({result.handle(), ServerId(result.maker())});
  runner_.Release(releases);
  for (const messages::GatheringLoad& load : traffic.loads()) {
    const StageLocation location{ServiceId(load.service()),
                                 ZoneId(load.zone())};
    PeerLoad known;
    known.received_at = peer.last_message_at;
    known.load.location = location;
    known.load.capacity = load.capacity();
    for (std::size_t i = 0; i < kLoadPriorities; ++i) {
      const int index = static_cast<int>(i);
      if (index < load.waiting_size())
        known.load.waiting[i] = load.waiting(index);
    }
    loads_[location] = known;
  }
  if (traffic.probe() != 0) {
    messages::StageTraffic& response = outgoing_[from];
    response.set_answered_probe(traffic.probe());
    response.set_is_leaving(is_leaving_);
    response.set_has_path(has_path_);
    AddLoads(response);
  }
  Flush();
}

void StageRouter::AddLoads(messages::StageTraffic& traffic) {
  const TimePoint now = context_.Now();
  if (now - loads_measured_at_ >= kLoadMeasurementPeriod) {
    own_loads_ = runner_.Loads();
    loads_measured_at_ = now;
  }
  traffic.clear_loads();
  for (const StageLoad& load : own_loads_) {
    messages::GatheringLoad& entry = *traffic.add_loads();
    entry.set_service(load.location.service.value());
    entry.set_zone(load.location.zone.value());
    entry.set_capacity(load.capacity);
    for (const std::size_t waiting : load.waiting)
      entry.add_waiting(static_cast<std::uint32_t>(waiting));
  }
  room_.AddLoads(traffic);
}

void StageRouter::HandleSubmission(const std::string& from,
                                   const messages::ItemSubmission& submission) {
  const StageLocation location{ServiceId(submission.service()),
                               ZoneId(submission.zone())};
  const TimePoint now = context_.Now();
  const int count =
      std::min(submission.items_size(), submission.indexes_size());
  for (int i = 0; i < count; ++i) {
    const HostedKey key{from, submission.items(i)};
    routing::QueuedItem item;
    item.request = submission.request();
    item.position = {submission.stage(), submission.indexes(i)};
    item.key = submission.key();
    item.inputs.assign(submission.inputs().begin(), submission.inputs().end());
    item.result_bytes = submission.result_bytes();
    item.priority = submission.priority();
    item.team = TeamId(submission.team());
    if (submission.has_rank())
      item.rank = routing::RoomRank::Decode(submission.rank());
    item.soft_deadline = now + Duration(submission.useful_us());
    item.deadline = now + Duration(submission.remaining_us());
    hosted_[key] = runner_.Submit(
        location, std::move(item), [this, key](ItemResult item_result) {
          hosted_.erase(key);
          messages::ItemEnding& ending = *outgoing_[key.first].add_endings();
          ending.set_item(key.second);
          ending.set_outcome(static_cast<std::uint32_t>(item_result.outcome));
          ending.set_handle(item_result.result.handle);
          ending.set_maker(item_result.result.server.value());
          ending.set_needs_retry(item_result.needs_retry);
          ending.set_room_after_us(item_result.room_after.count());
          ScheduleFlush();
        });
  }
}

void StageRouter::HandleEnding(const std::string& from,
                               const messages::ItemEnding& ending) {
  const auto outcome = static_cast<ItemOutcome>(ending.outcome());
  const routing::ResultHandle result{ending.handle(), ServerId(ending.maker())};
  if (outcome == ItemOutcome::kCompleted) result_hosts_[result.handle] = from;
  const auto found = remote_.find(ItemId(ending.item()));
  if (found == remote_.end() || found->second.host != from) {
    // The request has ended, or the item was reassigned to another host.
    if (outcome == ItemOutcome::kCompleted)
      Release(std::span<const routing::ResultHandle>(&result, 1));
    return;
  }
  const Callback callback = std::move(found->second.callback);
  remote_.erase(found);
  callback({outcome, result, ending.needs_retry(),
            std::clamp(Duration(ending.room_after_us()), Duration::zero(),
                       kMaximumRoomAfter)});
}

void StageRouter::ReassignItems(const std::string& host) {
  outgoing_.erase(host);
  std::vector<std::pair<ItemId, RemoteItem>> reassigned;
  for (auto it = remote_.begin(); it != remote_.end();) {
    if (it->second.host != host) {
      ++it;
      continue;
    }
    reassigned.emplace_back(it->first, std::move(it->second));
    it = remote_.erase(it);
  }
  // Results can no longer be released through that host.
  std::erase_if(result_hosts_,
                [&host](const auto& item) { return item.second == host; });
  for (auto& [id, item] : reassigned) {
    const std::string next = BatchingHostFor(item.location);
    if (next.empty() || ++item.reassignments > kMaxReassignments) {
      SubmitLocally(id, item.location, std::move(item.item),
                    std::move(item.callback));
    } else {
      SubmitTo(next, id, std::move(item));
    }
  }
}

void StageRouter::WithdrawItems(const std::string& host) {
  std::vector<std::uint64_t> items;
  for (const auto& [id, item] : remote_)
    if (item.host == host) items.push_back(id.value());
  ReassignItems(host);
  for (const std::uint64_t item : items) outgoing_[host].add_withdrawn(item);
  ScheduleFlush();
}

void StageRouter::DropItemsFrom(const std::string& host) {
  room_.RemoveHost(host);
  std::vector<ItemId> items;
  std::erase_if(hosted_, [&](const auto& hosted) {
    if (hosted.first.first != host) return false;
    items.push_back(hosted.second);
    return true;
  });
  runner_.CancelItems(items);
}

std::map<std::string, Duration> StageRouter::WatchedHosts() const {
  std::map<std::string, Duration> hosts;
  if (context_.table) {
    for (const auto& [id, service] : context_.table->services) {
      if (!service.batches) continue;
      for (const ZoneId& zone : ZonesWithServers(id)) {
        const std::string& batching_host = BatchingHostFor({id, zone});
        if (batching_host.empty()) continue;
        Duration& period =
            hosts.try_emplace(batching_host, kRemoteZoneProbePeriod)
                .first->second;
        if (zone == context_.settings.zone) period = kProbePeriod;
      }
    }
  }
  for (const auto& [id, item] : remote_) hosts[item.host] = kProbePeriod;
  return hosts;
}

void StageRouter::Probe(const std::string& host, PeerState& peer,
                        TimePoint now) {
  peer.last_probe_at = now;
  if (!peer.unanswered_since) peer.unanswered_since = now;
  outgoing_[host].set_probe(++last_probe_id_);
}

void StageRouter::Tick() {
  const TimePoint now = context_.Now();
  if (now - watched_updated_at_ >= kWatchedHostsPeriod) {
    watched_ = WatchedHosts();
    watched_updated_at_ = now;
  }
  std::vector<std::string> lost;
  for (auto& [address, peer] : peers_) {
    const bool is_silent = peer.unanswered_since &&
                           now - *peer.unanswered_since >= kSuspectTimeout;
    if (is_silent && !peer.is_suspect) {
      peer.is_suspect = true;
      batching_hosts_.clear();
      lost.push_back(address);
    }
    const auto watched = watched_.find(address);
    if (peer.is_suspect) {
      if (now - peer.last_probe_at >= kSuspectProbePeriod)
        Probe(address, peer, now);
    } else if (watched != watched_.end() &&
               now - peer.last_message_at >= watched->second &&
               now - peer.last_probe_at >= watched->second) {
      Probe(address, peer, now);
    }
    if (now - peer.last_message_at >= kOwnerTimeout) DropItemsFrom(address);
  }
  LoseHosts(lost);
  runner_.ExpireResults();
  SendPlans();
  Flush();
  tick_timer_ = context_.loop.After(kTickPeriod, [this] { Tick(); });
}

}  // namespace lovagecleat::gateway
