#include "routing/server_directory.h"

#include <algorithm>

namespace lovagecleat::routing {

namespace {

// Consecutive failures after which a server is suspended. A single error may be
// caused by the request itself.
constexpr int kFailuresToSuspend = 2;
constexpr int kHungCallsToSuspend = 4;
constexpr Duration kInitialSuspension = std::chrono::milliseconds(500);
constexpr Duration kMaximumSuspension = std::chrono::milliseconds(4000);

// Assumed warm-up time after a start or return to service if the server reports
// none; longer than that of the deployments' servers.
constexpr Duration kDefaultWarmUpTime = std::chrono::seconds(5);
// Added to the warm-up time that a server reports, for the delay of the report.
constexpr Duration kWarmUpMargin = std::chrono::milliseconds(500);

// Maximum number of kept notices of servers that are about to exit. Those of
// listed servers stay in force beyond it.
constexpr std::size_t kMaximumNotices = 512;
// The random addition to a quiet time is at most this fraction of it, and at
// most this time.
constexpr double kQuietSpreadFraction = 0.25;
constexpr Duration kMaximumQuietSpread = std::chrono::seconds(1);

Duration SuspensionAfter(int failures) {
  Duration wait = kInitialSuspension;
  for (int i = kFailuresToSuspend; i < failures; ++i) {
    wait = std::min(wait * 2, kMaximumSuspension);
  }
  return wait;
}

}  // namespace

std::optional<TimePoint> FirstReturn(std::span<ServerRecord* const> servers,
                                     TimePoint now) {
  std::optional<TimePoint> first;
  for (const ServerRecord* server : servers) {
    if (!server->IsQuiet(now)) return std::nullopt;
    first = std::min(first.value_or(server->quiet_until), server->quiet_until);
  }
  return first;
}

QuietPeriod MakeQuietPeriod(Duration quiet_time, TimePoint now,
                            Random& random) {
  const Duration most = std::min(
      std::chrono::duration_cast<Duration>(quiet_time * kQuietSpreadFraction),
      kMaximumQuietSpread);
  return {now + quiet_time,
          std::chrono::duration_cast<Duration>(most * random.Unit())};
}

bool ServerDirectory::Put(const ServerEntry& entry, TimePoint now) {
  ServerRecord& record = servers_[entry.id];
  if (!record.entry.id.empty())
    versions_.RemoveServer(record.entry.service, record.entry.software_version,
                           now);
  if (record.entry.service != entry.service) by_service_.clear();
  const bool is_new_incarnation =
      record.entry.incarnation() != entry.incarnation();
  if (is_new_incarnation) {
    const int in_flight = record.in_flight;
    const std::uint64_t pending_prompt_tokens = record.pending_tokens;
    if (record.is_leaving) KeepNotice(record.entry.incarnation());
    record = ServerRecord{};
    record.is_leaving = HasNotice(entry.incarnation());
    record.in_flight = in_flight;
    record.pending_tokens = pending_prompt_tokens;
    record.known_cold_until = now + kDefaultWarmUpTime;
    record.quiet_until = QuietUntil(entry);
  }
  if (entry.warm_up_time > Duration::zero())
    record.known_cold_until = std::max(
        record.known_cold_until, now + entry.warm_up_time + kWarmUpMargin);
  record.cold_until = std::max(record.cold_until, record.known_cold_until);
  versions_.AddServer(entry.service, entry.software_version, now);
  record.entry = entry;
  record.expires_at.reset();
  return is_new_incarnation;
}

void ServerDirectory::Remove(const ServerId& id, TimePoint now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  versions_.RemoveServer(found->second.entry.service,
                         found->second.entry.software_version, now);
  if (found->second.is_leaving) KeepNotice(found->second.entry.incarnation());
  servers_.erase(found);
  by_service_.clear();
}

void ServerDirectory::ExpireAt(const ServerId& id, TimePoint expires_at) {
  const auto found = servers_.find(id);
  if (found != servers_.end()) found->second.expires_at = expires_at;
}

void ServerDirectory::RemoveExpired(TimePoint now) {
  std::vector<ServerId> expired;
  for (const auto& [id, record] : servers_)
    if (record.expires_at && *record.expires_at <= now) expired.push_back(id);
  for (const ServerId& id : expired) Remove(id, now);
}

bool ServerDirectory::SetLeaving(const ServerIncarnation& incarnation) {
  ServerRecord* record = Find(incarnation.id);
  const bool is_listed =
      record != nullptr && record->entry.incarnation() == incarnation;
  if (is_listed ? record->is_leaving : HasNotice(incarnation)) return false;
  if (is_listed) record->is_leaving = true;
  KeepNotice(incarnation);
  return true;
}

bool ServerDirectory::HasNotice(const ServerIncarnation& incarnation) const {
  return std::find(leaving_.begin(), leaving_.end(), incarnation) !=
         leaving_.end();
}

// The entry of a server that has left may return, in a store that was restored
// from an older copy.
void ServerDirectory::KeepNotice(const ServerIncarnation& incarnation) {
  std::erase(leaving_, incarnation);
  leaving_.push_back(incarnation);
  if (leaving_.size() > kMaximumNotices) leaving_.pop_front();
}

void ServerDirectory::SetEvacuated(const ZoneId& zone, bool is_evacuated,
                                   TimePoint now) {
  if (is_evacuated) {
    evacuated_.insert(zone);
    return;
  }
  if (evacuated_.erase(zone) == 0) return;
  for (auto& [id, record] : servers_)
    if (record.entry.zone == zone)
      record.cold_until = record.known_cold_until = now + kDefaultWarmUpTime;
}

bool ServerDirectory::IsEvacuated(const ZoneId& zone) const {
  return evacuated_.contains(zone);
}

// A server that is about to exit gets no work even if all others are too: it
// must not be used for long, and refused callers reach new ones with their next
// attempt.
bool ServerDirectory::IsInService(const ServerRecord& record) const {
  return !record.entry.is_draining && !record.is_leaving &&
         !IsEvacuated(record.entry.zone);
}

bool ServerDirectory::SetQuiet(const ServerIncarnation& incarnation,
                               const QuietPeriod& period, TimePoint now) {
  ServerRecord* record = Find(incarnation.id);
  // The response may be that of an earlier incarnation.
  if (record != nullptr && record->entry.incarnation() != incarnation)
    return false;
  std::erase_if(quiet_periods_, [now](const auto& item) {
    return item.second.period.end() <= now;
  });
  const auto [known, is_new] = quiet_periods_.try_emplace(
      incarnation.id, KnownPeriod{incarnation, period});
  if (!is_new && known->second.incarnation != incarnation) {
    known->second = {incarnation, period};
  } else if (!is_new) {
    if (period.until <= known->second.period.until) return false;
    // The longest of many random times would be nearly the same for all
    // servers, so only the first one is used.
    known->second.period.until = period.until;
  }
  if (record != nullptr) record->quiet_until = known->second.period.end();
  return true;
}

TimePoint ServerDirectory::QuietUntil(const ServerEntry& entry) const {
  const auto known = quiet_periods_.find(entry.id);
  return known != quiet_periods_.end() &&
                 known->second.incarnation == entry.incarnation()
             ? known->second.period.end()
             : TimePoint{};
}

std::vector<ServerRecord*> ServerDirectory::Usable(const ServiceId& service,
                                                   TimePoint now) {
  std::vector<ServerRecord*> usable;
  for (ServerRecord* record : UsableOrSuspended(service, now)) {
    if (record->suspended_until > now) continue;
    // After a suspension, one trial call shows whether the server has
    // recovered.
    const bool is_trial = record->consecutive_failures >= kFailuresToSuspend;
    if (is_trial && record->in_flight > 0) continue;
    usable.push_back(record);
  }
  return usable;
}

std::vector<ServerRecord*> ServerDirectory::UsableOrSuspended(
    const ServiceId& service, TimePoint now) {
  std::vector<ServerRecord*> records = InService(service);
  std::erase_if(records, [now](const ServerRecord* record) {
    return record->IsQuiet(now);
  });
  return records;
}

std::vector<ServerRecord*> ServerDirectory::InService(
    const ServiceId& service) {
  std::vector<ServerRecord*> records;
  for (ServerRecord* record : RecordsOf(service))
    if (IsInService(*record)) records.push_back(record);
  return records;
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

void ServerDirectory::ForgetFailures() {
  for (auto& [id, record] : servers_) {
    record.consecutive_failures = 0;
    record.consecutive_hung_calls = 0;
    record.suspended_until = TimePoint{};
    record.cold_until = record.known_cold_until;
    if (record.in_flight == 0) record.silent_since.reset();
  }
}

void ServerDirectory::Report(const ServerId& id, CallResult result,
                             TimePoint now) {
  ServerRecord* record = Find(id);
  if (record == nullptr) return;
  switch (result) {
    case CallResult::kSuccess:
      record->consecutive_failures = 0;
      record->consecutive_hung_calls = 0;
      record->suspended_until = TimePoint{};
      return;
    case CallResult::kNoEvidence:
    case CallResult::kSlow:
      // A slow server gets less work by its estimate (see ServerSpeeds).
      return;
    case CallResult::kHung:
      // A loaded server recovers by itself; moving its requests would only load
      // another server.
      if (++record->consecutive_hung_calls < kHungCallsToSuspend) return;
      record->consecutive_failures =
          std::max(record->consecutive_failures, kFailuresToSuspend);
      break;
    case CallResult::kFailed:
      ++record->consecutive_failures;
      break;
    case CallResult::kUnreachable:
      // A single attempt is enough to show that nothing listens there.
      record->consecutive_failures =
          std::max(record->consecutive_failures + 1, kFailuresToSuspend);
      break;
  }
  record->cold_until = now + kDefaultWarmUpTime;
  if (record->consecutive_failures >= kFailuresToSuspend)
    record->suspended_until =
        now + SuspensionAfter(record->consecutive_failures);
}

}  // namespace lovagecleat::routing
