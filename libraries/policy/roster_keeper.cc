#include "policy/roster_keeper.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "policy/roster_row.h"

namespace lovagecleat::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kReadInterval = seconds(2);
constexpr Duration kRetryPause = milliseconds(300);
constexpr double kJitter = 0.2;
// A table operation without an answer is abandoned after this time.
constexpr Duration kAnswerTimeout = seconds(5);
// A host without heartbeats is removed after the first time if the platform no
// longer lists it. A listed one gets the longer time, since only its connection
// to this host may be down.
constexpr Duration kUnlistedDeadAfter = seconds(30);
constexpr Duration kListedDeadAfter = minutes(5);
// Gives hosts that start together the time to see that there is no roster yet,
// so that none has to wait for the calls of an earlier incarnation.
constexpr Duration kFirstRosterDelay = milliseconds(1500);
constexpr Duration kPushInterval = seconds(1);
constexpr std::size_t kMaximumTrackedPeers = 256;
constexpr std::size_t kMaximumMembers = 128;

std::set<HostId> ToSet(const std::vector<HostId>& hosts) {
  return {hosts.begin(), hosts.end()};
}

// Records `now` for each new host and drops the entries that are not in
// `hosts`.
void UpdateFirstSeen(std::map<HostId, TimePoint>& first_seen,
                     const std::vector<HostId>& hosts, TimePoint now) {
  const std::set<HostId> present = ToSet(hosts);
  std::erase_if(first_seen, [&](const auto& entry) {
    return !present.contains(entry.first);
  });
  for (const HostId& host : hosts) first_seen.emplace(host, now);
}

}  // namespace

RosterKeeper::RosterKeeper(HostId self, ZoneId zone, OperationCounter& counter,
                           const CreditSettings& settings, std::uint64_t seed,
                           TimePoint start)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      counter_(counter),
      settings_(settings),
      random_(seed),
      start_(start),
      next_read_(start) {}

void RosterKeeper::ApplyInventory(std::span<const HostInfo> hosts,
                                  TimePoint /*now*/) {
  has_inventory_ = true;
  listed_hosts_.clear();
  for (const HostInfo& host : hosts) {
    const bool is_active =
        host.zone == zone_ && host.state == MemberState::kActive;
    if (is_active && listed_hosts_.size() < kMaximumMembers)
      listed_hosts_.insert(host.id);
  }
}

void RosterKeeper::ObservePeer(const HostId& host, std::uint64_t roster_epoch,
                               TimePoint now) {
  if (!peers_.contains(host) && peers_.size() >= kMaximumTrackedPeers) {
    const auto oldest = std::min_element(
        peers_.begin(), peers_.end(), [](const auto& left, const auto& right) {
          return left.second.last_received_at < right.second.last_received_at;
        });
    peers_.erase(oldest);
  }
  Peer& peer = peers_[host];
  peer.epoch = roster_epoch;
  peer.last_received_at = now;
  const bool is_behind = adopted_ && roster_epoch < adopted_->epoch;
  const bool was_pushed =
      peer.pushed_at && now < *peer.pushed_at + kPushInterval;
  if (!is_behind || was_pushed) return;
  peer.pushed_at = now;
  OutgoingPeerMessage& push = outgoing_.emplace_back();
  push.host = host;
  *push.message.mutable_roster_push() = WriteRosterPush(*adopted_);
}

// A pushed roster is or was in the table but may be out of date, so it is
// adopted without being confirmed.
void RosterKeeper::HandlePush(const messages::RosterPush& push, TimePoint now) {
  const auto roster = ReadRosterPush(zone_, push);
  if (roster) Adopt(*roster, now);
}

void RosterKeeper::Adopt(const Roster& roster, TimePoint now) {
  if (roster.epoch <= epoch()) return;
  adopted_ = roster;
  // If the row was missing after this host's start, no earlier incarnation of
  // it was in any roster.
  if (saw_missing_row_) adopted_->origin = RosterOrigin::kAfterStart;
  adopted_at_ = now;
  has_untaken_roster_ = true;
  confirmed_at_.reset();
  UpdateFirstSeen(member_since_, roster.hosts, now);
  UpdateFirstSeen(reserved_since_, roster.reserved_hosts, now);
}

std::vector<Command> RosterKeeper::Tick(TimePoint now) {
  // A late answer to an abandoned operation is not needed: the next read shows
  // whatever it wrote.
  if (operation_ && now >= requested_at_ + kAnswerTimeout)
    EndOperation(now, {});
  if (operation_ || now < next_read_) return {};
  return {StartRead(now)};
}

Command RosterKeeper::StartRead(TimePoint now) {
  operation_ = counter_.Next();
  requested_at_ = now;
  return ReadTable{*operation_, {RosterRowKey(zone_)}};
}

Command RosterKeeper::StartWrite(const Roster& roster, TimePoint now) {
  operation_ = counter_.Next();
  requested_at_ = now;
  pending_write_ = roster;
  return WriteTable{*operation_,
                    {{RosterRowKey(zone_), row_version_.value_or(0),
                      WriteRosterRow(roster)}}};
}

void RosterKeeper::EndOperation(TimePoint now, Duration pause) {
  operation_.reset();
  pending_write_.reset();
  next_read_ = now + random_.Jitter(pause, kJitter);
}

std::vector<Command> RosterKeeper::HandleTableAnswer(
    const TableAnswered& answer, TimePoint now) {
  if (!Owns(answer.operation)) return {};
  const std::optional<Roster> written =
      std::exchange(pending_write_, std::nullopt);
  const TimePoint requested_at = requested_at_;
  EndOperation(now, kReadInterval);
  if (answer.outcome == TableOutcome::kUnavailable) return {};
  if (answer.outcome == TableOutcome::kUnknown) {
    // The write may have taken effect; the next read shows whether it did.
    EndOperation(now, kRetryPause);
    return {};
  }
  if (written && answer.outcome == TableOutcome::kOk) {
    Adopt(*written, now);
    if (epoch() == written->epoch) confirmed_at_ = requested_at;
    return {};
  }
  if (answer.rows.empty()) return {};
  HandleRow(answer.rows.front(), requested_at, now);
  // After a write conflict, the next read decides again.
  if (written || is_stopping_) return {};
  if (row_version_ == 0 && !adopted_) next_read_ = now + kRetryPause;
  const auto next = row_version_ == 0 ? InitialRoster(now) : NextRoster(now);
  if (!next) return {};
  return {StartWrite(*next, now)};
}

void RosterKeeper::HandleRow(const TableRow& row, TimePoint requested_at,
                             TimePoint now) {
  row_version_ = row.version;
  if (row.version == 0) {
    saw_missing_row_ = true;
    return;
  }
  const auto roster = ReadRosterRow(zone_, row.value);
  if (!roster) {
    row_version_.reset();
    return;
  }
  Adopt(*roster, now);
  if (roster->epoch == epoch()) {
    confirmed_at_ = requested_at;
  } else {
    row_version_.reset();
  }
}

std::optional<Roster> RosterKeeper::InitialRoster(TimePoint now) const {
  if (!has_inventory_ || adopted_) return std::nullopt;
  if (now < start_ + kFirstRosterDelay) return std::nullopt;
  std::set<HostId> members = listed_hosts_;
  members.insert(self_);
  Roster initial;
  initial.zone = zone_;
  initial.epoch = 1;
  initial.hosts.assign(members.begin(), members.end());
  initial.host_divisors.assign(
      initial.hosts.size(), static_cast<std::uint32_t>(initial.hosts.size()));
  return initial;
}

// A new epoch is written only when some member of the previous epoch is known
// to use the current one. A host that adopts an epoch therefore has to wait
// only for the members of the epoch before it.
bool RosterKeeper::IsPreviousEpochClosed(TimePoint now) const {
  const std::vector<HostId>& previous = adopted_->previous_hosts;
  if (previous.empty()) return true;
  const bool has_member_left =
      std::any_of(previous.begin(), previous.end(), [&](const HostId& host) {
        if (host == self_) return true;
        const auto peer = peers_.find(host);
        return peer != peers_.end() && peer->second.epoch >= adopted_->epoch;
      });
  return has_member_left || now >= adopted_at_ + settings_.mutual_confirmation +
                                       settings_.confirmation_validity +
                                       settings_.maximum_call_time +
                                       settings_.clock_margin;
}

bool RosterKeeper::ShouldRemove(const HostId& host, TimePoint now) const {
  if (host == self_) return false;
  TimePoint last = std::max(start_, member_since_.at(host));
  const auto peer = peers_.find(host);
  if (peer != peers_.end() && peer->second.last_received_at)
    last = std::max(last, *peer->second.last_received_at);
  const Duration timeout =
      listed_hosts_.contains(host) ? kListedDeadAfter : kUnlistedDeadAfter;
  return now >= last + timeout;
}

// The reservation expires once the unreachable host cannot use its half any
// more.
bool RosterKeeper::IsReservationExpired(const HostId& host,
                                        TimePoint now) const {
  return now >= reserved_since_.at(host) + settings_.reservation_validity +
                    settings_.confirmation_validity +
                    settings_.maximum_call_time + settings_.clock_margin;
}

std::optional<Roster> RosterKeeper::NextRoster(TimePoint now) const {
  if (!row_version_ || !adopted_ || !IsPreviousEpochClosed(now))
    return std::nullopt;
  std::vector<HostId> hosts = adopted_->hosts;
  std::vector<HostId> reserved = adopted_->reserved_hosts;
  if (!adopted_->Contains(self_)) {
    // A host that is not yet a member only adds itself.
    if (hosts.size() >= kMaximumMembers) return std::nullopt;
    hosts.push_back(self_);
    std::erase(reserved, self_);
  } else {
    std::erase_if(reserved, [&](const HostId& host) {
      return IsReservationExpired(host, now);
    });
    for (const HostId& host : adopted_->hosts) {
      if (reserved.size() >= kMaximumMembers || !ShouldRemove(host, now))
        continue;
      std::erase(hosts, host);
      reserved.push_back(host);
    }
  }
  if (hosts == adopted_->hosts && reserved == adopted_->reserved_hosts)
    return std::nullopt;
  std::set<HostId> hosts_at_current{self_};
  for (const auto& [host, peer] : peers_) {
    if (peer.epoch == adopted_->epoch) hosts_at_current.insert(host);
  }
  return NextEpoch(*adopted_, hosts, reserved, hosts_at_current);
}

std::optional<Roster> RosterKeeper::TakeAdopted() {
  if (!has_untaken_roster_) return std::nullopt;
  has_untaken_roster_ = false;
  return adopted_;
}

std::vector<OutgoingPeerMessage> RosterKeeper::TakeOutgoing() {
  return std::exchange(outgoing_, {});
}

TimePoint RosterKeeper::NextDue() const {
  return operation_ ? requested_at_ + kAnswerTimeout : next_read_;
}

}  // namespace lovagecleat::policy
