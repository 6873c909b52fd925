#include "routing/origin_copies.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::routing {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaximumOtherZones = 2;
// Hosts acknowledge within a few milliseconds unless they are overloaded or
// lost.
constexpr Duration kAcknowledgementTimeout = milliseconds(200);
// A missed acknowledgement counts only after a second look: it may have arrived
// while this process stood still.
constexpr Duration kSecondLookDelay = milliseconds(20);
// A host that cannot be sent to for this time, and is tried twice after it, is
// not used.
constexpr Duration kConnectTimeout = milliseconds(200);
constexpr Duration kSendRetryDelay = milliseconds(20);
// A host that has failed is avoided for this time, doubled with each failure,
// even if it answers: it may be too slow.
constexpr Duration kAvoidanceTime = milliseconds(1000);
constexpr Duration kMaximumAvoidanceTime = milliseconds(8000);
// All hosts of a zone that were not heard from for the first time are probed
// when two have failed within the second, at most once in the third.
constexpr Duration kHeardAge = milliseconds(1000);
constexpr Duration kFailureWindow = milliseconds(10000);
constexpr Duration kCheckPeriod = milliseconds(5000);
// A host that does not answer is probed with this period, doubled each time.
constexpr Duration kProbePeriod = milliseconds(500);
constexpr Duration kMaximumProbePeriod = milliseconds(4000);
// Waiting copies and probes that are held back by a budget are tried again
// after this time.
constexpr Duration kBudgetDelay = milliseconds(100);
// Waiting copies of a zone that are looked at in one flush.
constexpr std::size_t kMaximumOffers = 500;

double Seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

Duration Doubled(Duration time, int times, Duration maximum) {
  for (int i = 0; i < times && time < maximum; ++i) time *= 2;
  return std::min(time, maximum);
}

}  // namespace

bool OriginCopies::Budget::Has(TimePoint now) {
  if (now > updated_at_) {
    tokens_ =
        std::min(burst_, tokens_ + per_second_ * Seconds(now - updated_at_));
    updated_at_ = now;
  }
  return tokens_ >= 1;
}

bool OriginCopies::Budget::Take(TimePoint now) {
  if (!Has(now)) return false;
  tokens_ -= 1;
  return true;
}

OriginCopies::OriginCopies(std::string own_zone, OriginCopyLimits limits)
    : own_zone_(std::move(own_zone)),
      limits_(limits),
      repeats_(limits.repeats_per_second, limits.repeat_burst),
      probes_(limits.probes_per_second, limits.probe_burst) {}

OriginCopies::Host* OriginCopies::Find(const std::string& address) {
  const auto found = hosts_.find(address);
  return found == hosts_.end() ? nullptr : &found->second;
}

void OriginCopies::SetHosts(std::span<const CopyHost> hosts, TimePoint now) {
  std::set<std::string_view> listed;
  std::vector<Host*> unreachable;
  for (const CopyHost& given : hosts) {
    listed.insert(given.address);
    Host& host = hosts_[given.address];
    Zone* zone = &zones_[given.zone];
    const bool is_new = host.zone == nullptr;
    if (!is_new && host.zone == zone && host.is_reachable == given.is_reachable)
      continue;
    is_usable_known_ = false;
    host.address = given.address;
    if (host.zone != zone) {
      if (!is_new) std::erase(host.zone->hosts, &host);
      zone->hosts.push_back(&host);
      host.zone = zone;
    }
    host.is_reachable = given.is_reachable;
    if (!host.is_reachable) unreachable.push_back(&host);
  }
  std::vector<Host*> removed;
  for (auto& [address, host] : hosts_)
    if (!listed.contains(address)) removed.push_back(&host);
  for (Host* host : removed) {
    std::erase(host->zone->hosts, host);
    host->is_reachable = false;
    is_usable_known_ = false;
  }
  for (Host* host : unreachable) MoveCopies(*host, now);
  for (Host* host : removed) {
    MoveCopies(*host, now);
    silent_.erase(host);
    hosts_.erase(std::string(host->address));
  }
}

void OriginCopies::UpdateUsable(TimePoint now) {
  if (is_usable_known_ && now < usable_until_) return;
  is_usable_known_ = true;
  usable_until_ = TimePoint::max();
  for (auto& [name, zone] : zones_) {
    zone.usable.clear();
    for (Host* host : zone.hosts) {
      if (host->IsUsable(now)) {
        zone.usable.push_back(host);
      } else if (host->is_reachable && !host->is_silent) {
        usable_until_ = std::min(usable_until_, host->avoided_until);
      }
    }
  }
}

bool OriginCopies::IsUsable(const std::string& host, TimePoint now) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() && found->second.IsUsable(now);
}

// In a deployment of three zones each gets a copy, once it has a usable host.
std::vector<OriginCopies::Zone*> OriginCopies::ZonesFor(std::uint64_t seed,
                                                        TimePoint now) {
  UpdateUsable(now);
  std::vector<std::pair<std::uint64_t, Zone*>> others;
  std::vector<Zone*> chosen;
  for (auto& [name, zone] : zones_) {
    if (zone.hosts.empty()) continue;
    if (name == own_zone_)
      chosen.push_back(&zone);
    else
      others.emplace_back(StableHash(name, seed), &zone);
  }
  if (others.size() > kMaximumOtherZones)
    std::erase_if(others,
                  [](const auto& zone) { return zone.second->usable.empty(); });
  std::sort(others.begin(), others.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  if (others.size() > kMaximumOtherZones) others.resize(kMaximumOtherZones);
  for (const auto& [rank, zone] : others) chosen.push_back(zone);
  return chosen;
}

OriginCopies::Host* OriginCopies::HolderIn(const Zone& zone,
                                           std::uint64_t seed) {
  Host* holder = nullptr;
  std::uint64_t highest = 0;
  for (Host* host : zone.usable) {
    const std::uint64_t rank = StableHash(host->address, seed);
    if (holder != nullptr && rank <= highest) continue;
    holder = host;
    highest = rank;
  }
  return holder;
}

bool OriginCopies::MakeRoom() {
  if (copies_ < limits_.copies) return true;
  ++counts_.left_out;
  Zone* fullest = nullptr;
  for (auto& [name, zone] : zones_)
    if (!zone.waiting.empty() &&
        (fullest == nullptr || zone.waiting.size() > fullest->waiting.size()))
      fullest = &zone;
  if (fullest == nullptr) return false;
  Discard(fullest->waiting.front());
  fullest->waiting.pop_front();
  return true;
}

OriginCopies::StreamEntry* OriginCopies::EntryFor(const std::string& stream,
                                                  TimePoint expires_at) {
  const auto [entry, is_new] = streams_.try_emplace(stream);
  entry->second.expires_at = std::max(entry->second.expires_at, expires_at);
  ++entry->second.copies;
  ++copies_;
  return &*entry;
}

void OriginCopies::Discard(const Copy& copy) {
  --copies_;
  if (--copy.stream->second.copies == 0) streams_.erase(copy.stream->first);
}

void OriginCopies::Queue(Host& host, const Copy& copy) {
  if (!host.held.insert(copy.stream).second) {
    if (!copy.is_for_host) HoldForZone(host, copy.stream);
    return Discard(copy);
  }
  host.queue.push_back(copy);
  queued_.insert(&host);
}

void OriginCopies::HoldForZone(Host& host, const StreamEntry* stream) {
  const auto mark = [stream](auto& copies) {
    for (Copy& copy : copies)
      if (copy.stream == stream) copy.is_for_host = false;
  };
  mark(host.queue);
  for (auto& [number, batch] : sent_)
    if (batch.host == &host) mark(batch.copies);
}

void OriginCopies::Place(Zone& zone, Copy copy) {
  Host* holder = HolderIn(zone, StableHash(copy.stream->first));
  if (holder == nullptr || holder->held.size() >= limits_.copies_per_host)
    return Wait(zone, copy);
  Queue(*holder, copy);
}

void OriginCopies::Wait(Zone& zone, Copy copy) {
  ++counts_.waited;
  copy.redirects = 0;
  zone.waiting.push_back(copy);
}

void OriginCopies::Redirect(Zone& zone, Copy copy, TimePoint now) {
  if (copy.stream->second.expires_at <= now) return Discard(copy);
  UpdateUsable(now);
  if (zone.usable.empty() || copy.redirects >= limits_.redirects ||
      !repeats_.Take(now))
    return Wait(zone, copy);
  ++copy.redirects;
  ++counts_.redirected;
  Place(zone, copy);
}

void OriginCopies::Add(const std::string& stream, TimePoint expires_at,
                       TimePoint now) {
  for (Zone* zone : ZonesFor(StableHash(stream), now))
    if (MakeRoom()) Place(*zone, {EntryFor(stream, expires_at)});
}

bool OriginCopies::HasRoom(const std::string& host, TimePoint now,
                           std::size_t reserve) {
  const Host* found = Find(host);
  return found != nullptr && found->IsUsable(now) &&
         found->held.size() + reserve < limits_.copies_per_host &&
         (copies_ + reserve < limits_.copies || waiting() > reserve);
}

void OriginCopies::StopAll(const std::string& host) {
  Host* found = Find(host);
  if (found == nullptr) return;
  found->gets_all = false;
  found->is_behind = false;
}

bool OriginCopies::AddFor(const std::string& host, const std::string& stream,
                          TimePoint expires_at, TimePoint now) {
  Host* found = Find(host);
  if (found == nullptr) return false;
  found->gets_all = true;
  if (!HasRoom(host, now) || !MakeRoom()) {
    found->is_behind = true;
    return false;
  }
  Queue(*found, {EntryFor(stream, expires_at), 0, true});
  return true;
}

bool OriginCopies::TakeBehind(const std::string& host, TimePoint now) {
  Host* found = Find(host);
  if (found == nullptr || !found->is_behind || !HasRoom(host, now))
    return false;
  found->is_behind = false;
  return true;
}

void OriginCopies::OnUnsent(Host& host, TimePoint now) {
  if (!host.unsent_since) host.unsent_since = now;
  has_unsent_ = true;
}

void OriginCopies::OnSent(Host& host) {
  host.unsent_since.reset();
  host.overdue_since.reset();
}

void OriginCopies::MoveCopies(Host& host, TimePoint now) {
  std::vector<Copy> copies;
  std::erase_if(sent_, [&](auto& item) {
    if (item.second.host != &host) return false;
    copies.insert(copies.end(), item.second.copies.begin(),
                  item.second.copies.end());
    return true;
  });
  copies.insert(copies.end(), host.queue.begin(), host.queue.end());
  host.queue.clear();
  host.held.clear();
  host.batches = 0;
  OnSent(host);
  queued_.erase(&host);
  to_check_.erase(&host);
  if (host.gets_all) host.is_behind = true;
  for (const Copy& copy : copies) {
    if (copy.is_for_host)
      Discard(copy);
    else
      Redirect(*host.zone, copy, now);
  }
}

void OriginCopies::MarkFailed(Host& host, TimePoint now) {
  ++counts_.failures;
  host.avoided_until =
      now + Doubled(kAvoidanceTime, host.failures, kMaximumAvoidanceTime);
  if (host.avoided_until < now + kMaximumAvoidanceTime) ++host.failures;
  host.is_silent = true;
  host.probe_period = kProbePeriod;
  host.probe_at = now + kProbePeriod;
  silent_.insert(&host);
  is_usable_known_ = false;
}

// Copies would move from one failed host to the next if it was not known yet
// that this one has failed too.
void OriginCopies::OnFailures(const std::set<Host*>& hosts, TimePoint now) {
  for (Host* host : hosts) MarkFailed(*host, now);
  for (Host* host : hosts) MoveCopies(*host, now);
  for (Host* host : hosts) CheckZone(*host->zone, now);
}

void OriginCopies::CheckZone(Zone& zone, TimePoint now) {
  const bool is_second = now - zone.failed_at < kFailureWindow;
  zone.failed_at = now;
  if (!is_second || now - zone.checked_at < kCheckPeriod) return;
  zone.checked_at = now;
  for (Host* host : zone.hosts)
    if (host->IsUsable(now) && host->batches == 0 &&
        now - host->heard_at > kHeardAge)
      to_check_.insert(host);
}

void OriginCopies::OnAnswer(const std::string& host, TimePoint now) {
  Host* found = Find(host);
  if (found == nullptr) return;
  found->heard_at = now;
  if (!found->is_silent) return;
  found->is_silent = false;
  silent_.erase(found);
  is_usable_known_ = false;
  UpdateUsable(now);
}

void OriginCopies::OnAcknowledged(const std::string& host, std::uint64_t batch,
                                  TimePoint now) {
  OnAnswer(host, now);
  const auto found = sent_.find(batch);
  if (found == sent_.end() || found->second.host->address != host) return;
  Host& holder = *found->second.host;
  holder.failures = 0;
  --holder.batches;
  for (const Copy& copy : found->second.copies) {
    holder.held.erase(copy.stream);
    Discard(copy);
  }
  sent_.erase(found);
}

void OriginCopies::CheckAcknowledgements(TimePoint now) {
  if (now < next_check_) return;
  std::set<Host*> failed;
  for (auto& [number, batch] : sent_) {
    if (batch.due > now) continue;
    if (batch.is_overdue) {
      failed.insert(batch.host);
    } else {
      batch.is_overdue = true;
      batch.due = now + kSecondLookDelay;
    }
  }
  OnFailures(failed, now);
  next_check_ = TimePoint::max();
  for (const auto& [number, batch] : sent_)
    next_check_ = std::min(next_check_, batch.due);
}

// Hosts are tried before this, and again after kSendRetryDelay: they may have
// been connected while this process stood still.
bool OriginCopies::CheckUnsent(TimePoint now) {
  std::set<Host*> late;
  for (const auto* hosts : {&queued_, &to_check_})
    for (Host* host : *hosts)
      if (host->unsent_since && now - *host->unsent_since >= kConnectTimeout)
        late.insert(host);
  std::set<Host*> failed;
  for (Host* host : late) {
    if (!host->overdue_since)
      host->overdue_since = now;
    else if (now - *host->overdue_since >= kSendRetryDelay)
      failed.insert(host);
  }
  OnFailures(failed, now);
  return !failed.empty();
}

// The zones take turns by what expires first. A copy whose holder is full goes
// back and costs none of the budget.
void OriginCopies::OfferWaiting(TimePoint now) {
  UpdateUsable(now);
  std::map<Zone*, std::size_t> left;  // copies to be offered
  for (auto& [name, zone] : zones_) {
    while (!zone.waiting.empty() &&
           zone.waiting.front().stream->second.expires_at <= now) {
      Discard(zone.waiting.front());
      zone.waiting.pop_front();
    }
    if (!zone.usable.empty() && !zone.waiting.empty())
      left[&zone] = std::min(zone.waiting.size(), kMaximumOffers);
  }
  const auto expires_sooner = [](const auto& a, const auto& b) {
    return a.first->waiting.front().stream->second.expires_at <
           b.first->waiting.front().stream->second.expires_at;
  };
  while (!left.empty() && repeats_.Has(now)) {
    const auto next =
        std::min_element(left.begin(), left.end(), expires_sooner);
    Zone& zone = *next->first;
    const Copy copy = zone.waiting.front();
    zone.waiting.pop_front();
    if (--next->second == 0) left.erase(next);
    if (copy.stream->second.expires_at <= now) {
      Discard(copy);
      continue;
    }
    Host* holder = HolderIn(zone, StableHash(copy.stream->first));
    if (holder == nullptr || holder->held.size() >= limits_.copies_per_host) {
      zone.waiting.push_back(copy);
      continue;
    }
    repeats_.Take(now);
    Queue(*holder, copy);
  }
}

void OriginCopies::SendQueue(Host& host, TimePoint now,
                             const SendCallback& send) {
  while (!host.queue.empty() && host.batches < limits_.batches_per_host) {
    Batch batch{host.address, last_batch_ + 1, {}};
    SentBatch sent{&host, {}, now + kAcknowledgementTimeout};
    std::size_t bytes = 0;
    for (const Copy& copy : host.queue) {
      const std::string& stream = copy.stream->first;
      bytes += stream.size();
      const bool is_full = batch.streams.size() >= limits_.copies_per_batch ||
                           bytes > limits_.id_bytes_per_batch;
      if (is_full && !batch.streams.empty()) break;
      batch.streams.push_back(stream);
      sent.copies.push_back(copy);
    }
    if (!send(batch)) {
      OnUnsent(host, now);
      return;
    }
    OnSent(host);
    host.queue.erase(
        host.queue.begin(),
        host.queue.begin() + static_cast<std::ptrdiff_t>(sent.copies.size()));
    counts_.sent += sent.copies.size();
    ++host.batches;
    next_check_ = std::min(next_check_, sent.due);
    sent_.emplace(++last_batch_, std::move(sent));
  }
}

void OriginCopies::SendQueues(TimePoint now, const SendCallback& send) {
  const std::vector<Host*> hosts(queued_.begin(), queued_.end());
  for (Host* host : hosts) {
    SendQueue(*host, now, send);
    if (host->queue.empty()) queued_.erase(host);
  }
}

void OriginCopies::SendChecks(TimePoint now, const SendCallback& send) {
  std::erase_if(to_check_, [&](Host* host) {
    if (host->batches > 0) return true;
    if (!probes_.Has(now)) return false;
    if (!send({host->address, last_batch_ + 1, {}})) {
      OnUnsent(*host, now);
      return false;
    }
    probes_.Take(now);
    ++counts_.probes;
    OnSent(*host);
    ++host->batches;
    sent_.emplace(++last_batch_,
                  SentBatch{host, {}, now + kAcknowledgementTimeout});
    next_check_ = std::min(next_check_, now + kAcknowledgementTimeout);
    return true;
  });
}

// Hosts that are unreachable are probed by others.
void OriginCopies::SendProbes(TimePoint now, const SendCallback& send) {
  for (Host* host : silent_) {
    if (host->probe_at > now || !host->is_reachable) continue;
    if (!probes_.Has(now)) return;
    host->probe_period = Doubled(host->probe_period, 1, kMaximumProbePeriod);
    host->probe_at = now + host->probe_period;
    if (!send({host->address, ++last_batch_, {}})) continue;
    probes_.Take(now);
    ++counts_.probes;
  }
}

void OriginCopies::Flush(TimePoint now, const SendCallback& send) {
  flushed_at_ = now;
  has_unsent_ = false;
  CheckAcknowledgements(now);
  OfferWaiting(now);
  SendQueues(now, send);
  SendChecks(now, send);
  // Copies of hosts that have failed are sent to others.
  if (CheckUnsent(now)) SendQueues(now, send);
  SendProbes(now, send);
}

std::optional<TimePoint> OriginCopies::NextDue() const {
  TimePoint due = next_check_;
  if (has_unsent_) due = std::min(due, flushed_at_ + kSendRetryDelay);
  const bool has_waiting =
      std::any_of(zones_.begin(), zones_.end(), [](const auto& item) {
        return !item.second.waiting.empty() && !item.second.usable.empty();
      });
  if (has_waiting || !to_check_.empty())
    due = std::min(due, flushed_at_ + kBudgetDelay);
  if (waiting() > 0) due = std::min(due, usable_until_);
  for (const Host* host : silent_)
    if (host->is_reachable)
      due = std::min(due, std::max(host->probe_at, flushed_at_ + kBudgetDelay));
  if (due == TimePoint::max()) return std::nullopt;
  return due;
}

std::size_t OriginCopies::waiting() const {
  std::size_t count = 0;
  for (const auto& [name, zone] : zones_) count += zone.waiting.size();
  return count;
}

}  // namespace lovagecleat::routing
