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
// An answer that is out for this long is given up.
constexpr Duration kAnswerBound = seconds(5);
// A silent host that the platform does not list any more is removed after the
// first bound; one that it still lists may only be cut from this host.
constexpr Duration kUnlistedDeadAfter = seconds(30);
constexpr Duration kListedDeadAfter = minutes(5);
// Hosts that start together all see that there is no roster yet, so that none
// has to wait for the calls of an earlier incarnation.
constexpr Duration kFirstRosterDelay = milliseconds(1500);
constexpr Duration kPushPause = seconds(1);
constexpr std::size_t kMaximumPeers = 256;
constexpr std::size_t kMaximumMembers = 128;

std::set<HostId> ToSet(const std::vector<HostId>& hosts) {
  return {hosts.begin(), hosts.end()};
}

// Keeps the first instant at which each of `hosts` was seen, and no others.
void NoteSince(std::map<HostId, TimePoint>& since,
               const std::vector<HostId>& hosts, TimePoint now) {
  const std::set<HostId> present = ToSet(hosts);
  std::erase_if(
      since, [&](const auto& entry) { return !present.contains(entry.first); });
  for (const HostId& host : hosts) since.emplace(host, now);
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
  listed_.clear();
  for (const HostInfo& host : hosts) {
    const bool is_live = host.zone == zone_ && host.state == MemberState::kLive;
    if (is_live && listed_.size() < kMaximumMembers) listed_.insert(host.id);
  }
}

void RosterKeeper::ObservePeer(const HostId& host, std::uint64_t roster_epoch,
                               TimePoint now) {
  if (!peers_.contains(host) && peers_.size() >= kMaximumPeers) {
    const auto oldest = std::min_element(
        peers_.begin(), peers_.end(), [](const auto& left, const auto& right) {
          return left.second.heard_at < right.second.heard_at;
        });
    peers_.erase(oldest);
  }
  Peer& peer = peers_[host];
  peer.epoch = roster_epoch;
  peer.heard_at = now;
  const bool is_behind = adopted_ && roster_epoch < adopted_->epoch;
  const bool was_pushed = peer.pushed_at && now < *peer.pushed_at + kPushPause;
  if (!is_behind || was_pushed) return;
  peer.pushed_at = now;
  Outgoing& push = outgoing_.emplace_back();
  push.host = host;
  *push.message.mutable_roster_push() = ToPush(*adopted_);
}

// A pushed roster stands in the table or did so, but it may not be the current
// one: it is adopted and not confirmed.
void RosterKeeper::HandlePush(const messages::RosterPush& push, TimePoint now) {
  const auto roster = FromPush(zone_, push);
  if (roster) Adopt(*roster, now);
}

void RosterKeeper::Adopt(const Roster& roster, TimePoint now) {
  if (roster.epoch <= epoch()) return;
  adopted_ = roster;
  // Without a row after this host's start, no earlier incarnation of it was in
  // any roster.
  if (saw_no_row_) adopted_->origin = RosterOrigin::kAfterStart;
  adopted_at_ = now;
  is_untaken_ = true;
  confirmed_at_.reset();
  NoteSince(member_since_, roster.hosts, now);
  NoteSince(reserved_since_, roster.reserved_hosts, now);
}

std::vector<Command> RosterKeeper::Tick(TimePoint now) {
  // A late answer to an operation that was given up is not needed: whatever it
  // wrote is found by the next read.
  if (operation_ && now >= asked_at_ + kAnswerBound) EndOperation(now, {});
  if (operation_ || now < next_read_) return {};
  return {StartRead(now)};
}

Command RosterKeeper::StartRead(TimePoint now) {
  operation_ = counter_.Next();
  asked_at_ = now;
  return ReadTable{*operation_, {RosterRowKey(zone_)}};
}

Command RosterKeeper::StartWrite(const Roster& roster, TimePoint now) {
  operation_ = counter_.Next();
  asked_at_ = now;
  written_ = roster;
  return WriteTable{*operation_,
                    {{RosterRowKey(zone_), row_version_.value_or(0),
                      WriteRosterRow(roster)}}};
}

void RosterKeeper::EndOperation(TimePoint now, Duration pause) {
  operation_.reset();
  written_.reset();
  next_read_ = now + random_.Jitter(pause, kJitter);
}

std::vector<Command> RosterKeeper::HandleTable(const TableAnswered& answer,
                                               TimePoint now) {
  if (!Owns(answer.operation)) return {};
  const std::optional<Roster> written = std::exchange(written_, std::nullopt);
  const TimePoint asked_at = asked_at_;
  EndOperation(now, kReadInterval);
  if (answer.outcome == TableOutcome::kUnavailable) return {};
  if (answer.outcome == TableOutcome::kUnknown) {
    // A write may have taken effect; reading tells.
    EndOperation(now, kRetryPause);
    return {};
  }
  if (written && answer.outcome == TableOutcome::kOk) {
    Adopt(*written, now);
    if (epoch() == written->epoch) confirmed_at_ = asked_at;
    return {};
  }
  if (answer.rows.empty()) return {};
  HandleRow(answer.rows.front(), asked_at, now);
  // After a lost race the next round decides anew.
  if (written || is_stopping_) return {};
  if (row_version_ == 0 && !adopted_) next_read_ = now + kRetryPause;
  const auto wanted = row_version_ == 0 ? FirstRoster(now) : WantedRoster(now);
  if (!wanted) return {};
  return {StartWrite(*wanted, now)};
}

void RosterKeeper::HandleRow(const TableRow& row, TimePoint asked_at,
                             TimePoint now) {
  row_version_ = row.version;
  if (row.version == 0) {
    saw_no_row_ = true;
    return;
  }
  const auto roster = ReadRosterRow(zone_, row.value);
  if (!roster) {
    row_version_.reset();
    return;
  }
  Adopt(*roster, now);
  if (roster->epoch == epoch()) {
    confirmed_at_ = asked_at;
  } else {
    row_version_.reset();
  }
}

std::optional<Roster> RosterKeeper::FirstRoster(TimePoint now) const {
  if (!has_inventory_ || adopted_) return std::nullopt;
  if (now < start_ + kFirstRosterDelay) return std::nullopt;
  std::set<HostId> members = listed_;
  members.insert(self_);
  Roster first;
  first.zone = zone_;
  first.epoch = 1;
  first.hosts.assign(members.begin(), members.end());
  first.host_divisors.assign(first.hosts.size(),
                             static_cast<std::uint32_t>(first.hosts.size()));
  return first;
}

// A new epoch is written only when some host is known to have left the one
// before the current for the current. So whoever adopts an epoch needs to
// wait for the hosts of the one before it only.
bool RosterKeeper::IsPreviousEpochLeft(TimePoint now) const {
  const std::vector<HostId>& previous = adopted_->previous_hosts;
  if (previous.empty()) return true;
  const bool is_left =
      std::any_of(previous.begin(), previous.end(), [&](const HostId& host) {
        if (host == self_) return true;
        const auto peer = peers_.find(host);
        return peer != peers_.end() && peer->second.epoch >= adopted_->epoch;
      });
  return is_left || now >= adopted_at_ + settings_.direct_confirmation +
                               settings_.roster_confirmation +
                               settings_.maximum_call_time +
                               settings_.clock_margin;
}

bool RosterKeeper::IsLongDead(const HostId& host, TimePoint now) const {
  if (host == self_) return false;
  TimePoint last = std::max(start_, member_since_.at(host));
  const auto peer = peers_.find(host);
  if (peer != peers_.end() && peer->second.heard_at)
    last = std::max(last, *peer->second.heard_at);
  const Duration bound =
      listed_.contains(host) ? kListedDeadAfter : kUnlistedDeadAfter;
  return now >= last + bound;
}

// The silent host has given up its half by then.
bool RosterKeeper::IsReservationOver(const HostId& host, TimePoint now) const {
  return now >= reserved_since_.at(host) + settings_.reservation +
                    settings_.roster_confirmation +
                    settings_.maximum_call_time + settings_.clock_margin;
}

std::optional<Roster> RosterKeeper::WantedRoster(TimePoint now) const {
  if (!row_version_ || !adopted_ || !IsPreviousEpochLeft(now))
    return std::nullopt;
  std::vector<HostId> hosts = adopted_->hosts;
  std::vector<HostId> reserved = adopted_->reserved_hosts;
  if (!adopted_->Contains(self_)) {
    // A host that is no member yet only adds itself.
    if (hosts.size() >= kMaximumMembers) return std::nullopt;
    hosts.push_back(self_);
    std::erase(reserved, self_);
  } else {
    std::erase_if(reserved, [&](const HostId& host) {
      return IsReservationOver(host, now);
    });
    for (const HostId& host : adopted_->hosts) {
      if (reserved.size() >= kMaximumMembers || !IsLongDead(host, now))
        continue;
      std::erase(hosts, host);
      reserved.push_back(host);
    }
  }
  if (hosts == adopted_->hosts && reserved == adopted_->reserved_hosts)
    return std::nullopt;
  std::set<HostId> users{self_};
  for (const auto& [host, peer] : peers_) {
    if (peer.epoch == adopted_->epoch) users.insert(host);
  }
  return NextEpoch(*adopted_, hosts, reserved, users);
}

std::optional<Roster> RosterKeeper::TakeAdopted() {
  if (!is_untaken_) return std::nullopt;
  is_untaken_ = false;
  return adopted_;
}

std::vector<Outgoing> RosterKeeper::TakeOutgoing() {
  return std::exchange(outgoing_, {});
}

TimePoint RosterKeeper::NextDue() const {
  return operation_ ? asked_at_ + kAnswerBound : next_read_;
}

}  // namespace lovagecleat::policy
