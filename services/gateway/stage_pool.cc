#include "services/gateway/stage_pool.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// How often hosts are looked after.
constexpr Duration kTick = milliseconds(100);
// A gathering host that was not heard for so long is asked for its load, which
// also shows that it is there.
constexpr Duration kProbePeriod = milliseconds(300);
// As kProbePeriod, for other zones' hosts that have no items of this one.
constexpr Duration kFarProbePeriod = milliseconds(1200);
// How long a measurement of the own load is told to others.
constexpr Duration kLoadPeriod = milliseconds(50);
// A host that answers nothing for this long is passed over.
constexpr Duration kSilence = milliseconds(600);
constexpr Duration kSuspectProbePeriod = milliseconds(1000);
// Items of a host that has not been heard for this long are dropped.
constexpr Duration kOwnerSilence = milliseconds(2500);
// An item is handed from host to host at most this often.
constexpr int kMaximumMoves = 2;
// What a gathering host told is used for so long: two probes of a far one.
constexpr Duration kLoadAge = milliseconds(2400);
// Items of one process are numbered within a range of its own.
constexpr std::uint64_t kItemBases = std::uint64_t{1} << 31;
constexpr int kItemBits = 32;
// How long a count of servers by zone is used.
constexpr Duration kRecentZones = milliseconds(50);
// How often it is worked out which hosts gather for this one.
constexpr Duration kWatchPeriod = milliseconds(500);
constexpr Duration kSendRetry = milliseconds(30);

messages::ItemSubmission& SubmissionFor(messages::StageTraffic& traffic,
                                        const StagePlace& place,
                                        const routing::WaitingItem& item,
                                        TimePoint now) {
  // Items of one stage of a request are submitted one after the other and
  // have everything but their index in common.
  if (traffic.submissions_size() > 0) {
    messages::ItemSubmission& last =
        *traffic.mutable_submissions(traffic.submissions_size() - 1);
    if (last.request() == item.request && last.stage() == item.place.stage &&
        last.zone() == place.zone.value() &&
        last.service() == place.service.value())
      return last;
  }
  messages::ItemSubmission& added = *traffic.add_submissions();
  added.set_service(place.service.value());
  added.set_zone(place.zone.value());
  added.set_request(item.request);
  added.set_stage(static_cast<std::uint32_t>(item.place.stage));
  added.set_key(item.key);
  for (const std::string& input : item.inputs) added.add_inputs(input);
  added.set_result_bytes(item.result_bytes);
  added.set_priority(item.priority);
  added.set_useful_us((item.useful_until - now).count());
  added.set_remaining_us((item.deadline - now).count());
  return added;
}

}  // namespace

StagePool::StagePool(Context& context, StageRunner& runner, SendCallback send)
    : context_(context),
      runner_(runner),
      send_(std::move(send)),
      // Numbers of an earlier process must not be taken for this one's.
      last_item_(context.random.Below(kItemBases) << kItemBits) {
  Tick();
}

StagePool::~StagePool() {
  context_.loop.Cancel(flush_timer_);
  context_.loop.Cancel(tick_timer_);
}

void StagePool::SetHosts(std::span<const PeerHost> others) {
  std::set<std::string> known;
  for (const PeerHost& host : others) {
    known.insert(host.address);
    const auto [found, is_new] = peers_.try_emplace(host.address);
    found->second.zone = host.zone;
    found->second.processor = host.processor;
    // A host counts as there until it leaves a probe unanswered.
    if (is_new) found->second.heard_at = context_.Now();
  }
  std::erase_if(peers_, [&known](const auto& item) {
    return !known.contains(item.first);
  });
  gatherers_.clear();
}

bool StagePool::IsHere(const std::string& address) const {
  const auto peer = peers_.find(address);
  return peer != peers_.end() && peer->second.CanGather();
}

void StagePool::StartLeaving() {
  is_leaving_ = true;
  gatherers_.clear();
  for (const auto& [address, peer] : peers_)
    outgoing_[address].set_is_leaving(true);
  SendOutgoing();
}

const std::string& StagePool::GathererOf(const StagePlace& place) const {
  const auto known = gatherers_.find(place);
  if (known != gatherers_.end()) return known->second;
  return gatherers_.emplace(place, ChooseGatherer(place)).first->second;
}

std::string StagePool::ChooseGatherer(const StagePlace& place) const {
  const configuration::GatewaySettings& settings = context_.settings;
  std::vector<routing::GatheringHost> hosts;
  // A host that stops gathers only where there is no other.
  if (!is_leaving_)
    hosts.push_back(
        {settings.peers, settings.zone == place.zone, settings.processor});
  for (const auto& [address, peer] : peers_)
    if (peer.CanGather())
      hosts.push_back({address, peer.zone == place.zone, peer.processor});
  const std::uint64_t seed =
      StableHash(place.service.value(), StableHash(place.zone.value()));
  const std::string_view best = routing::ChooseGatherer(seed, hosts);
  return best == settings.peers ? std::string() : std::string(best);
}

StagePool::ItemId StagePool::Submit(const StagePlace& place,
                                    routing::WaitingItem item,
                                    Callback callback) {
  const ItemId id(++last_item_);
  item.id = id;
  const std::string host = GathererOf(place);
  if (host.empty()) {
    SubmitLocally(id, place, std::move(item), std::move(callback));
  } else {
    SubmitTo(host, id, {place, std::move(item), std::move(callback), host, 0});
  }
  return id;
}

void StagePool::SubmitLocally(ItemId id, const StagePlace& place,
                              routing::WaitingItem item, Callback callback) {
  local_[id] =
      runner_.Submit(place, std::move(item),
                     [this, id, callback = std::move(callback)](ItemEnd end) {
                       local_.erase(id);
                       callback(std::move(end));
                     });
}

void StagePool::SubmitTo(const std::string& host, ItemId id, RemoteItem item) {
  messages::ItemSubmission& submission =
      SubmissionFor(outgoing_[host], item.place, item.item, context_.Now());
  submission.add_items(id.value());
  submission.add_indexes(static_cast<std::uint32_t>(item.item.place.index));
  ++loads_[item.place].sent_since;
  item.host = host;
  remote_.insert_or_assign(id, std::move(item));
  FlushSoon();
}

void StagePool::Flush() {
  runner_.Pump();
  SendOutgoing();
}

void StagePool::FlushSoon() {
  if (flush_timer_.value() != 0) return;
  flush_timer_ = context_.loop.After(Duration::zero(), [this] {
    flush_timer_ = TimerId{};
    SendOutgoing();
  });
}

void StagePool::SendOutgoing() {
  bool has_failed = false;
  for (auto it = outgoing_.begin(); it != outgoing_.end();) {
    // Whoever has items here knows the load without asking for it.
    if (it->second.endings_size() > 0) AddLoads(it->second);
    if (send_(it->first, it->second)) {
      it = outgoing_.erase(it);
      continue;
    }
    const auto peer = peers_.find(it->first);
    const bool is_lost = peer == peers_.end() || peer->second.is_suspect;
    has_failed = has_failed || !is_lost;
    it = is_lost ? outgoing_.erase(it) : std::next(it);
  }
  if (!has_failed || flush_timer_.value() != 0) return;
  flush_timer_ = context_.loop.After(kSendRetry, [this] {
    flush_timer_ = TimerId{};
    SendOutgoing();
  });
}

void StagePool::Withdraw(std::span<const ItemId> items) {
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
    FlushSoon();
  }
  runner_.Withdraw(local);
}

void StagePool::Release(std::span<const routing::ResultHandle> results) {
  std::vector<routing::ResultHandle> own;
  for (const routing::ResultHandle& result : results) {
    const auto gatherer = gatherer_of_result_.find(result.handle);
    if (gatherer == gatherer_of_result_.end()) {
      own.push_back(result);
      continue;
    }
    messages::HeldResult& release = *outgoing_[gatherer->second].add_releases();
    release.set_handle(result.handle);
    release.set_maker(result.maker.value());
    gatherer_of_result_.erase(gatherer);
    FlushSoon();
  }
  runner_.Release(own);
}

// --- Loads ------------------------------------------------------------------

double StagePool::MeasureCapacity(const StagePlace& place,
                                  std::size_t servers) const {
  const auto count = static_cast<double>(servers);
  // The gathering host calls the servers and sees first that one is gone or
  // slow.
  if (GathererOf(place).empty()) {
    const std::optional<StageLoad> load = runner_.LoadOf(place);
    return load ? std::min(count, load->capacity) : count;
  }
  const auto known = loads_.find(place);
  const bool is_known =
      known != loads_.end() && context_.Now() - known->second.at <= kLoadAge;
  return is_known ? std::min(count, known->second.load.capacity) : count;
}

const StagePool::RecentZones& StagePool::ZonesNow(
    const ServiceId& service) const {
  const TimePoint now = context_.Now();
  RecentZones& recent = recent_zones_[service];
  if (now - recent.at < kRecentZones && recent.at != TimePoint{}) return recent;
  recent.at = now;
  recent.capacity.clear();
  std::map<ZoneId, std::size_t> servers;
  for (const routing::ServerRecord* server :
       context_.directory.Usable(service, now))
    ++servers[server->entry.zone];
  for (const auto& [zone, count] : servers) {
    const double capacity = MeasureCapacity({service, zone}, count);
    if (capacity > 0) recent.capacity[zone] = capacity;
  }
  return recent;
}

double StagePool::CapacityAt(const StagePlace& place) const {
  const RecentZones& recent = ZonesNow(place.service);
  const auto found = recent.capacity.find(place.zone);
  return found == recent.capacity.end() ? 0.0 : found->second;
}

std::set<ZoneId> StagePool::ZonesOf(const ServiceId& service) const {
  std::set<ZoneId> zones;
  for (const auto& [zone, capacity] : ZonesNow(service).capacity)
    zones.insert(zone);
  if (!zones.empty()) return zones;
  for (const routing::ServerRecord* server : context_.directory.Listed(service))
    zones.insert(server->entry.zone);
  return zones;
}

Duration StagePool::ExpectedWait(const StagePlace& place, int priority) {
  const routing::Service* service =
      context_.table ? context_.table->FindService(place.service) : nullptr;
  if (service == nullptr || !service->batches) return Duration::zero();
  const std::size_t index = std::min<std::size_t>(
      static_cast<std::size_t>(std::max(priority, 0)), kLoadPriorities - 1);
  std::size_t waiting = 0;
  if (GathererOf(place).empty()) {
    const std::optional<StageLoad> load = runner_.LoadOf(place);
    if (load) waiting = load->waiting[index];
  } else if (const auto known = loads_.find(place); known != loads_.end()) {
    waiting = known->second.load.waiting[index] + known->second.sent_since;
  }
  return routing::ExpectedWait(*service->batches, CapacityAt(place), waiting);
}

Duration StagePool::CallTime(const ServiceId& service,
                             std::size_t items) const {
  const routing::Service* found =
      context_.table ? context_.table->FindService(service) : nullptr;
  if (found == nullptr || !found->batches) return Duration::zero();
  return found->batches->call_time +
         found->batches->item_time * static_cast<std::int64_t>(items);
}

Duration StagePool::TypicalCallTime(const ServiceId& service) const {
  const routing::Service* found =
      context_.table ? context_.table->FindService(service) : nullptr;
  if (found == nullptr || !found->batches) return Duration::zero();
  return CallTime(service, (found->batches->items + 1) / 2);
}

// --- Other hosts ------------------------------------------------------------

void StagePool::OnTraffic(const std::string& from, std::uint64_t incarnation,
                          const messages::StageTraffic& traffic) {
  PeerState& peer = peers_[from];
  const bool could_gather = peer.CanGather();
  peer.heard_at = context_.Now();
  peer.unanswered_since.reset();
  if (peer.is_suspect)
    context_.log.Write("host_regained", "", {{"peer", from}});
  peer.is_suspect = false;
  if (peer.incarnation != incarnation) peer.is_leaving = false;
  if (traffic.is_leaving()) peer.is_leaving = true;
  if (peer.CanGather() != could_gather) gatherers_.clear();
  if (peer.incarnation != 0 && peer.incarnation != incarnation) {
    // The host started anew and knows nothing of what it was sent.
    DropItemsFrom(from);
    MoveItemsOf(from);
  }
  peer.incarnation = incarnation;
  for (const messages::ItemSubmission& submission : traffic.submissions())
    TakeSubmission(from, submission);
  for (const std::uint64_t item : traffic.withdrawn()) {
    const auto hosted = hosted_.find({from, item});
    if (hosted == hosted_.end()) continue;
    runner_.Withdraw(std::span<const ItemId>(&hosted->second, 1));
    hosted_.erase(hosted);
  }
  for (const messages::ItemEnding& ending : traffic.endings())
    TakeEnding(from, ending);
  std::vector<routing::ResultHandle> releases;
  for (const messages::HeldResult& result : traffic.releases())
    releases.push_back({result.handle(), ServerId(result.maker())});
  runner_.Release(releases);
  for (const messages::GatheringLoad& load : traffic.loads()) {
    const StagePlace place{ServiceId(load.service()), ZoneId(load.zone())};
    KnownLoad known;
    known.at = peer.heard_at;
    known.load.place = place;
    known.load.capacity = load.capacity();
    for (std::size_t i = 0; i < kLoadPriorities; ++i) {
      const int index = static_cast<int>(i);
      if (index < load.waiting_size())
        known.load.waiting[i] = load.waiting(index);
    }
    loads_[place] = known;
  }
  if (traffic.probe() != 0) {
    messages::StageTraffic& answer = outgoing_[from];
    answer.set_answered_probe(traffic.probe());
    answer.set_is_leaving(is_leaving_);
    AddLoads(answer);
  }
  Flush();
}

void StagePool::AddLoads(messages::StageTraffic& traffic) {
  const TimePoint now = context_.Now();
  if (now - loads_measured_at_ >= kLoadPeriod) {
    own_loads_ = runner_.Loads();
    loads_measured_at_ = now;
  }
  traffic.clear_loads();
  for (const StageLoad& load : own_loads_) {
    messages::GatheringLoad& told = *traffic.add_loads();
    told.set_service(load.place.service.value());
    told.set_zone(load.place.zone.value());
    told.set_capacity(load.capacity);
    for (const std::size_t waiting : load.waiting)
      told.add_waiting(static_cast<std::uint32_t>(waiting));
  }
}

void StagePool::TakeSubmission(const std::string& from,
                               const messages::ItemSubmission& submission) {
  const StagePlace place{ServiceId(submission.service()),
                         ZoneId(submission.zone())};
  const TimePoint now = context_.Now();
  const int count =
      std::min(submission.items_size(), submission.indexes_size());
  for (int i = 0; i < count; ++i) {
    const HostedKey key{from, submission.items(i)};
    routing::WaitingItem item;
    item.request = submission.request();
    item.place = {submission.stage(), submission.indexes(i)};
    item.key = submission.key();
    item.inputs.assign(submission.inputs().begin(), submission.inputs().end());
    item.result_bytes = submission.result_bytes();
    item.priority = submission.priority();
    item.useful_until = now + Duration(submission.useful_us());
    item.deadline = now + Duration(submission.remaining_us());
    hosted_[key] =
        runner_.Submit(place, std::move(item), [this, key](ItemEnd end) {
          hosted_.erase(key);
          messages::ItemEnding& ending = *outgoing_[key.first].add_endings();
          ending.set_item(key.second);
          ending.set_outcome(static_cast<std::uint32_t>(end.outcome));
          ending.set_handle(end.result.handle);
          ending.set_maker(end.result.maker.value());
          FlushSoon();
        });
  }
}

void StagePool::TakeEnding(const std::string& from,
                           const messages::ItemEnding& ending) {
  const auto outcome = static_cast<ItemOutcome>(ending.outcome());
  const routing::ResultHandle result{ending.handle(), ServerId(ending.maker())};
  if (outcome == ItemOutcome::kMade) gatherer_of_result_[result.handle] = from;
  const auto found = remote_.find(ItemId(ending.item()));
  if (found == remote_.end() || found->second.host != from) {
    // The request has ended, or another host was asked meanwhile.
    if (outcome == ItemOutcome::kMade)
      Release(std::span<const routing::ResultHandle>(&result, 1));
    return;
  }
  const Callback callback = std::move(found->second.callback);
  remote_.erase(found);
  callback({outcome, result});
}

void StagePool::MoveItemsOf(const std::string& host) {
  outgoing_.erase(host);
  std::vector<std::pair<ItemId, RemoteItem>> moved;
  for (auto it = remote_.begin(); it != remote_.end();) {
    if (it->second.host != host) {
      ++it;
      continue;
    }
    moved.emplace_back(it->first, std::move(it->second));
    it = remote_.erase(it);
  }
  // Results there can no longer be given up through that host.
  std::erase_if(gatherer_of_result_,
                [&host](const auto& item) { return item.second == host; });
  for (auto& [id, item] : moved) {
    const std::string next = GathererOf(item.place);
    if (next.empty() || ++item.moves > kMaximumMoves) {
      SubmitLocally(id, item.place, std::move(item.item),
                    std::move(item.callback));
    } else {
      SubmitTo(next, id, std::move(item));
    }
  }
}

void StagePool::DropItemsFrom(const std::string& host) {
  std::vector<ItemId> items;
  std::erase_if(hosted_, [&](const auto& hosted) {
    if (hosted.first.first != host) return false;
    items.push_back(hosted.second);
    return true;
  });
  runner_.Withdraw(items);
}

std::map<std::string, Duration> StagePool::WatchedHosts() const {
  std::map<std::string, Duration> hosts;
  if (context_.table) {
    for (const auto& [id, service] : context_.table->services) {
      if (!service.batches) continue;
      for (const ZoneId& zone : ZonesOf(id)) {
        const std::string& gatherer = GathererOf({id, zone});
        if (gatherer.empty()) continue;
        Duration& period =
            hosts.try_emplace(gatherer, kFarProbePeriod).first->second;
        if (zone == context_.settings.zone) period = kProbePeriod;
      }
    }
  }
  for (const auto& [id, item] : remote_) hosts[item.host] = kProbePeriod;
  return hosts;
}

void StagePool::Probe(const std::string& host, PeerState& peer, TimePoint now) {
  peer.probed_at = now;
  if (!peer.unanswered_since) peer.unanswered_since = now;
  outgoing_[host].set_probe(++last_probe_);
}

void StagePool::Tick() {
  const TimePoint now = context_.Now();
  if (now - watched_at_ >= kWatchPeriod) {
    watched_ = WatchedHosts();
    watched_at_ = now;
  }
  std::vector<std::string> lost;
  for (auto& [address, peer] : peers_) {
    const bool is_silent =
        peer.unanswered_since && now - *peer.unanswered_since >= kSilence;
    if (is_silent && !peer.is_suspect) {
      peer.is_suspect = true;
      gatherers_.clear();
      lost.push_back(address);
    }
    const auto watched = watched_.find(address);
    if (peer.is_suspect) {
      if (now - peer.probed_at >= kSuspectProbePeriod)
        Probe(address, peer, now);
    } else if (watched != watched_.end() &&
               now - peer.heard_at >= watched->second &&
               now - peer.probed_at >= watched->second) {
      Probe(address, peer, now);
    }
    if (now - peer.heard_at >= kOwnerSilence) DropItemsFrom(address);
  }
  for (const std::string& address : lost) {
    context_.log.Write("host_lost", "", {{"peer", address}});
    MoveItemsOf(address);
  }
  runner_.ExpireResults();
  Flush();
  tick_timer_ = context_.loop.After(kTick, [this] { Tick(); });
}

}  // namespace lovagecleat::gateway
