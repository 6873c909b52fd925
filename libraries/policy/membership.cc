#include "policy/membership.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lovagecleat::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kHeartbeatInterval = seconds(1);
constexpr double kHeartbeatJitter = 0.1;
// A host is suspected, or dead, after this many expected heartbeat intervals
// without a message.
constexpr int kSuspectedAfterIntervals = 3;
constexpr int kDeadAfterIntervals = 10;
// A host that is not listed and has sent nothing for this long is removed.
constexpr Duration kPeerRetention = minutes(10);
constexpr Duration kSummaryValidity = minutes(1);
constexpr std::size_t kMaximumPeers = 1024;
constexpr std::size_t kMaximumSummaries = 2048;
constexpr std::size_t kMaximumServicesPerHeartbeat = 64;
constexpr std::size_t kMaximumSuspectedPerHeartbeat = 8;
// Each host of a zone chooses this many hosts of each other zone.
constexpr std::size_t kLinksPerZone = 2;
// Limits the traffic to other zones: links used in one heartbeat round.
constexpr std::size_t kLinksPerRound = 4;
constexpr std::size_t kMaximumSentProbes = 64;
constexpr int kProbeCounterBits = 24;

std::uint64_t FirstProbe(const HostId& self, std::uint64_t incarnation) {
  const std::uint64_t hash = StableHash(self.value(), incarnation);
  return hash >> kProbeCounterBits << kProbeCounterBits;
}

}  // namespace

// The probes of two incarnations differ, so that an echo of a probe from an
// earlier incarnation is not taken for an echo of this one's.
Membership::Membership(HostId self, ZoneId zone, std::uint64_t incarnation,
                       std::uint64_t seed)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      incarnation_(incarnation),
      random_(seed),
      probe_(FirstProbe(self_, incarnation_) + 1) {}

// The inventory lags behind: a host that is missing from it is kept while its
// messages arrive, and being listed does not make a host alive.
void Membership::ApplyInventory(std::span<const HostInfo> hosts,
                                TimePoint now) {
  for (auto& [id, peer] : peers_) peer.is_listed = false;
  for (const HostInfo& info : hosts) {
    if (info.id == self_) continue;
    Peer* peer = FindOrAdd(info.id, now);
    if (peer == nullptr) continue;
    peer->info = info;
    peer->is_listed = true;
  }
  Tick(now);
  ChooseLinks();
}

Membership::Peer* Membership::FindOrAdd(const HostId& host, TimePoint now) {
  const auto found = peers_.find(host);
  if (found != peers_.end()) return &found->second;
  if (peers_.size() >= kMaximumPeers) {
    const auto unlisted =
        std::find_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
          return !entry.second.is_listed &&
                 HealthOf(entry.second, now) != PeerHealth::kAlive;
        });
    if (unlisted == peers_.end()) return nullptr;
    peers_.erase(unlisted);
  }
  Peer& peer = peers_[host];
  peer.added_at = now;
  return &peer;
}

bool Membership::Accept(const messages::PeerMessage& message, TimePoint now) {
  latest_time_ = std::max(latest_time_, now);
  const HostId sender(message.sender());
  Peer* peer =
      sender == self_ || sender.empty() ? nullptr : FindOrAdd(sender, now);
  if (peer == nullptr || message.incarnation() < peer->incarnation) {
    ++dropped_;
    return false;
  }
  if (message.incarnation() > peer->incarnation) {
    peer->incarnation = message.incarnation();
    peer->window = SequenceWindow();
    peer->probe = 0;
    peer->sent_not_before.reset();
  }
  if (!peer->window.Accept(message.sequence())) {
    ++dropped_;
    return false;
  }
  peer->last_received_at = now;
  return true;
}

void Membership::HandleHeartbeat(const HostId& from,
                                 const messages::Heartbeat& heartbeat,
                                 TimePoint now) {
  Peer* peer = FindOrAdd(from, now);
  if (peer == nullptr) return;
  peer->last_received_at = now;
  peer->is_draining = heartbeat.draining();
  if (heartbeat.probe() != 0) {
    peer->probe = heartbeat.probe();
    peer->probe_received_at = now;
  }
  UpdateSendTimeBound(*peer, heartbeat, now);
  UpdateSummaries(*peer, heartbeat, now);
}

// The peer received the probe after it was sent and held it for the reported
// time. The sum is a lower bound of when the peer sent the echo, however late
// the echo arrives.
void Membership::UpdateSendTimeBound(Peer& peer,
                                     const messages::Heartbeat& heartbeat,
                                     TimePoint now) const {
  peer.sent_not_before.reset();
  const auto sent = std::find_if(
      sent_probes_.begin(), sent_probes_.end(), [&](const SentProbe& probe) {
        return probe.number == heartbeat.echoed_probe();
      });
  if (sent == sent_probes_.end()) return;
  const auto elapsed_us = static_cast<std::uint64_t>((now - sent->at).count());
  const std::uint64_t held = std::min(heartbeat.echo_held_us(), elapsed_us);
  peer.sent_not_before = sent->at + Duration(static_cast<Duration::rep>(held));
}

void Membership::UpdateSummaries(const Peer& peer,
                                 const messages::Heartbeat& heartbeat,
                                 TimePoint now) {
  if (!peer.info || peer.is_draining) return;
  const auto count =
      std::min<int>(heartbeat.services_size(), kMaximumServicesPerHeartbeat);
  for (int i = 0; i < count; ++i) {
    const auto& service = heartbeat.services(i);
    const SummaryKey key{peer.info->zone, ServiceId(service.service())};
    if (!summaries_.contains(key) && summaries_.size() >= kMaximumSummaries)
      continue;
    summaries_[key] = {{service.free_credits(), service.queued(),
                        service.servers(), Duration::zero()},
                       now};
  }
}

void Membership::Tick(TimePoint now) {
  latest_time_ = std::max(latest_time_, now);
  std::erase_if(peers_, [&](const auto& entry) {
    const Peer& peer = entry.second;
    const TimePoint last = peer.last_received_at.value_or(peer.added_at);
    return !peer.is_listed && now >= last + kPeerRetention;
  });
  std::erase_if(summaries_, [&](const auto& entry) {
    return now >= entry.second.at + kSummaryValidity;
  });
}

bool Membership::IsOwnZone(const Peer& peer) const {
  return peer.info && peer.info->zone == zone_;
}

bool Membership::IsInOwnZone(const HostId& host) const {
  const auto found = peers_.find(host);
  return found != peers_.end() && IsOwnZone(found->second);
}

bool Membership::IsLinked(const HostId& from, const HostId& to,
                          const std::vector<HostId>& zone_of_to) const {
  const std::uint64_t seed = StableHash(from.value());
  const std::uint64_t own_hash = StableHash(to.value(), seed);
  const auto before = std::count_if(
      zone_of_to.begin(), zone_of_to.end(), [&](const HostId& other) {
        return StableHash(other.value(), seed) < own_hash;
      });
  return static_cast<std::size_t>(before) < kLinksPerZone;
}

// Both ends choose by the same hash, so both send heartbeats over a link.
void Membership::ChooseLinks() {
  std::map<ZoneId, std::vector<HostId>> by_zone;
  by_zone[zone_].push_back(self_);
  for (const auto& [id, peer] : peers_) {
    if (peer.info) by_zone[peer.info->zone].push_back(id);
  }
  own_zone_targets_ = by_zone[zone_];
  std::erase(own_zone_targets_, self_);
  links_.clear();
  for (const auto& [zone, hosts] : by_zone) {
    if (zone == zone_) continue;
    for (const HostId& host : hosts) {
      const bool is_linked =
          IsLinked(self_, host, hosts) || IsLinked(host, self_, by_zone[zone_]);
      if (is_linked) links_.push_back(host);
    }
  }
}

std::vector<HostId> Membership::HeartbeatTargets() const {
  std::vector<HostId> targets = own_zone_targets_;
  const std::size_t count = std::min(kLinksPerRound, links_.size());
  for (std::size_t i = 0; i < count; ++i)
    targets.push_back(links_[(next_link_ + i) % links_.size()]);
  return targets;
}

void Membership::FillHeartbeat(const HostId& target,
                               messages::Heartbeat& heartbeat,
                               TimePoint now) const {
  heartbeat.set_probe(probe_);
  const auto found = peers_.find(target);
  if (found != peers_.end() && found->second.probe != 0) {
    const Duration held = now - found->second.probe_received_at;
    heartbeat.set_echoed_probe(found->second.probe);
    heartbeat.set_echo_held_us(static_cast<std::uint64_t>(held.count()));
  }
  for (const HostId& host : own_zone_targets_) {
    const auto count =
        static_cast<std::size_t>(heartbeat.suspected_hosts_size());
    if (count == kMaximumSuspectedPerHeartbeat) break;
    const PeerHealth health = Health(host);
    if (health == PeerHealth::kSuspected || health == PeerHealth::kDead)
      heartbeat.add_suspected_hosts(host.value());
  }
}

void Membership::FinishHeartbeatRound(TimePoint now) {
  latest_time_ = std::max(latest_time_, now);
  sent_probes_.push_back({probe_, now});
  if (sent_probes_.size() > kMaximumSentProbes) sent_probes_.pop_front();
  ++probe_;
  if (!links_.empty())
    next_link_ = (next_link_ + kLinksPerRound) % links_.size();
  next_heartbeat_ = now + random_.Jitter(kHeartbeatInterval, kHeartbeatJitter);
}

std::vector<HostInfo> Membership::PeersToConnect() const {
  std::vector<HostInfo> result;
  const auto add = [&](const HostId& id) {
    const auto found = peers_.find(id);
    if (found == peers_.end() || !found->second.info) return;
    result.push_back(*found->second.info);
  };
  for (const HostId& host : own_zone_targets_) add(host);
  for (const HostId& host : links_) add(host);
  return result;
}

std::vector<HostId> Membership::AliveInZone(const ZoneId& zone) const {
  std::vector<HostId> alive;
  for (const auto& [id, peer] : peers_) {
    if (!peer.info || peer.info->zone != zone) continue;
    if (HealthOf(peer, latest_time_) == PeerHealth::kAlive) alive.push_back(id);
  }
  return alive;
}

// A link to another zone is used only once in several rounds.
Duration Membership::ExpectedHeartbeatInterval(const Peer& peer) const {
  if (IsOwnZone(peer)) return kHeartbeatInterval;
  const std::size_t rounds = links_.size() / kLinksPerRound + 1;
  return kHeartbeatInterval * static_cast<Duration::rep>(rounds);
}

PeerHealth Membership::HealthOf(const Peer& peer, TimePoint now) const {
  if (!peer.last_received_at) return PeerHealth::kUnknown;
  const Duration time_since_last = now - *peer.last_received_at;
  if (time_since_last >= ExpectedHeartbeatInterval(peer) * kDeadAfterIntervals)
    return PeerHealth::kDead;
  if (time_since_last >=
      ExpectedHeartbeatInterval(peer) * kSuspectedAfterIntervals)
    return PeerHealth::kSuspected;
  return PeerHealth::kAlive;
}

PeerHealth Membership::Health(const HostId& host) const {
  const auto found = peers_.find(host);
  if (found == peers_.end()) return PeerHealth::kUnknown;
  return HealthOf(found->second, latest_time_);
}

std::optional<TimePoint> Membership::SentNotBefore(const HostId& host) const {
  const auto found = peers_.find(host);
  return found == peers_.end() ? std::nullopt : found->second.sent_not_before;
}

bool Membership::AcceptsWork(const HostId& host) const {
  const auto found = peers_.find(host);
  if (found == peers_.end() || found->second.is_draining) return false;
  return HealthOf(found->second, latest_time_) == PeerHealth::kAlive;
}

std::optional<ZoneCapacity> Membership::ReportedCapacity(
    const ZoneId& zone, const ServiceId& service, TimePoint now) const {
  const auto found = summaries_.find({zone, service});
  if (found == summaries_.end()) return std::nullopt;
  if (now >= found->second.at + kSummaryValidity) return std::nullopt;
  ZoneCapacity capacity = found->second.capacity;
  capacity.age = now - found->second.at;
  return capacity;
}

}  // namespace lovagecleat::policy
