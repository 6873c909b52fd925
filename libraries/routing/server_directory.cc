#include "routing/server_directory.h"

#include <algorithm>

namespace lovagecleat::routing {

namespace {

// Failures in a row after which a server rests. A single error may be the
// request's own fault.
constexpr int kFailuresToSuspend = 2;
constexpr int kSlowToSuspend = 4;
constexpr Duration kFirstSuspension = std::chrono::milliseconds(500);
constexpr Duration kLongestSuspension = std::chrono::milliseconds(4000);

// How long a server is taken as cold after a start or a return of which it
// says nothing; longer than the deployments' servers are.
constexpr Duration kAssumedCold = std::chrono::seconds(5);
// Added to what a server says, since its word was some time on the way.
constexpr Duration kColdMargin = std::chrono::milliseconds(500);

Duration SuspensionAfter(int failures) {
  Duration wait = kFirstSuspension;
  for (int i = kFailuresToSuspend; i < failures; ++i) {
    wait = std::min(wait * 2, kLongestSuspension);
  }
  return wait;
}

}  // namespace

bool ServerDirectory::Put(const ServerEntry& entry, TimePoint now) {
  ServerRecord& record = servers_[entry.id];
  if (record.entry.service != entry.service) by_service_.clear();
  const bool is_anew = record.entry.id.empty() ||
                       record.entry.born_unix_ms != entry.born_unix_ms ||
                       record.entry.address != entry.address;
  if (is_anew) {
    const int in_flight = record.in_flight;
    const std::uint64_t tokens = record.pending_tokens;
    record = ServerRecord{};
    record.in_flight = in_flight;
    record.pending_tokens = tokens;
    record.cold_until = now + kAssumedCold;
  }
  if (entry.cold_for > Duration::zero())
    record.cold_until =
        std::max(record.cold_until, now + entry.cold_for + kColdMargin);
  record.entry = entry;
  record.gone_at.reset();
  return is_anew;
}

void ServerDirectory::Remove(const ServerId& id) {
  if (servers_.erase(id) > 0) by_service_.clear();
}

void ServerDirectory::Lapse(const ServerId& id, TimePoint gone_at) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) found->second.gone_at = gone_at;
}

void ServerDirectory::DropLapsed(TimePoint now) {
  const std::size_t dropped = std::erase_if(servers_, [now](const auto& item) {
    return item.second.gone_at && *item.second.gone_at <= now;
  });
  if (dropped > 0) by_service_.clear();
}

void ServerDirectory::SetEvacuated(const ZoneId& zone, bool is_evacuated,
                                   TimePoint now) {
  if (is_evacuated) {
    evacuated_.insert(zone);
    return;
  }
  if (evacuated_.erase(zone) == 0) return;
  for (auto& [id, record] : servers_)
    if (record.entry.zone == zone) record.cold_until = now + kAssumedCold;
}

bool ServerDirectory::IsEvacuated(const ZoneId& zone) const {
  return evacuated_.contains(zone);
}

bool ServerDirectory::IsOpen(const ServerRecord& record) const {
  return !record.entry.is_draining && !IsEvacuated(record.entry.zone);
}

std::vector<ServerRecord*> ServerDirectory::Usable(const ServiceId& service,
                                                   TimePoint now) {
  std::vector<ServerRecord*> usable;
  for (ServerRecord* record : Listed(service)) {
    if (record->suspended_until > now) continue;
    // After a rest one call shows whether the server has recovered.
    const bool is_trial = record->failures_in_row >= kFailuresToSuspend;
    if (is_trial && record->in_flight > 0) continue;
    usable.push_back(record);
  }
  return usable;
}

std::vector<ServerRecord*> ServerDirectory::Listed(const ServiceId& service) {
  std::vector<ServerRecord*> listed;
  for (ServerRecord* record : RecordsOf(service))
    if (IsOpen(*record)) listed.push_back(record);
  return listed;
}

const std::vector<ServerRecord*>& ServerDirectory::RecordsOf(
    const ServiceId& service) {
  if (by_service_.empty()) {
    for (auto& [id, record] : servers_)
      by_service_[record.entry.service].push_back(&record);
  }
  return by_service_[service];
}

ServerRecord* ServerDirectory::Find(const ServerId& id) {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second;
}

void ServerDirectory::Report(const ServerId& id, CallResult result,
                             TimePoint now) {
  ServerRecord* record = Find(id);
  if (record == nullptr) return;
  switch (result) {
    case CallResult::kGood:
      record->failures_in_row = 0;
      record->slow_in_row = 0;
      record->suspended_until = TimePoint{};
      return;
    case CallResult::kFull:
      return;
    case CallResult::kSlow:
      // A loaded server recovers by itself; sending its requests elsewhere only
      // loads the next one.
      if (++record->slow_in_row < kSlowToSuspend) return;
      record->failures_in_row =
          std::max(record->failures_in_row, kFailuresToSuspend);
      break;
    case CallResult::kFailed:
      ++record->failures_in_row;
      break;
    case CallResult::kUnreachable:
      // Nothing answers there, which one try shows.
      record->failures_in_row =
          std::max(record->failures_in_row + 1, kFailuresToSuspend);
      break;
  }
  record->cold_until = now + kAssumedCold;
  if (record->failures_in_row >= kFailuresToSuspend)
    record->suspended_until = now + SuspensionAfter(record->failures_in_row);
}

}  // namespace lovagecleat::routing
