#include "policy/credits.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace lovagecleat::policy {

namespace {

// A call that has not been sent this long after its admission is dropped: the
// process must have been suspended.
constexpr Duration kMaximumSendDelay = std::chrono::seconds(2);
// The next lender is asked if one has not answered within this time. Also the
// wait before a new round after every lender has refused.
constexpr Duration kLenderTimeout = std::chrono::milliseconds(200);
constexpr std::size_t kMaximumPendingRequests = 512;
constexpr std::uint64_t kLoanIdsPerIncarnation = std::uint64_t{1} << 32;

Warmth ToWarmth(bool warm) { return warm ? Warmth::kWarm : Warmth::kCold; }

}  // namespace

// Each incarnation has its own range of loan ids, since a grant to an earlier
// incarnation may still arrive.
CreditLedger::CreditLedger(const HostId& self, const CreditSettings& settings,
                           TimePoint start, std::uint64_t incarnation)
    : self_(self),
      settings_(settings),
      lease_(self, settings, start),
      last_loan_id_(StableHash(self.value(), incarnation) /
                    kLoanIdsPerIncarnation * kLoanIdsPerIncarnation),
      latest_time_(start) {}

void CreditLedger::AdoptRoster(const Roster& roster, TimePoint now) {
  latest_time_ = std::max(latest_time_, now);
  lease_.Adopt(roster, now);
}

void CreditLedger::ConfirmRoster(std::uint64_t epoch, TimePoint confirmed_at) {
  lease_.Confirm(epoch, confirmed_at);
}

void CreditLedger::ObservePeer(const HostId& host, std::uint64_t roster_epoch,
                               bool settled, TimePoint now,
                               std::optional<TimePoint> sent_not_before) {
  latest_time_ = std::max(latest_time_, now);
  lease_.ObservePeer(host, roster_epoch, settled, now, sent_not_before);
}

// An age of zero means that the heartbeat carries no confirmation.
void CreditLedger::ObserveHeartbeat(const HostId& host,
                                    const messages::Heartbeat& heartbeat,
                                    TimePoint now,
                                    std::optional<TimePoint> sent_not_before) {
  ObservePeer(host, heartbeat.roster_epoch(), heartbeat.roster_settled(), now,
              sent_not_before);
  const std::uint64_t age = heartbeat.roster_confirmed_age_us();
  const auto maximum_age =
      static_cast<std::uint64_t>(settings_.reservation_validity.count());
  if (!sent_not_before || age == 0 || age > maximum_age) return;
  ConfirmRoster(heartbeat.roster_epoch(),
                *sent_not_before - Duration(static_cast<Duration::rep>(age)));
}

// Relays only a confirmation from the table: if mutual confirmations were
// relayed, hosts could confirm each other indefinitely.
void CreditLedger::FillHeartbeat(messages::Heartbeat& heartbeat,
                                 TimePoint now) const {
  heartbeat.set_roster_epoch(epoch());
  heartbeat.set_roster_settled(IsSettled());
  const auto confirmed_at = lease_.confirmed_at();
  if (!confirmed_at) return;
  const Duration age = std::max(now - *confirmed_at, Duration(1));
  heartbeat.set_roster_confirmed_age_us(
      static_cast<std::uint64_t>(age.count()));
}

void CreditLedger::SetServer(const ServerId& server, std::uint32_t cold_limit,
                             std::uint32_t warm_limit, TimePoint now) {
  latest_time_ = std::max(latest_time_, now);
  Server& entry =
      servers_.try_emplace(server, settings_.warm_validity).first->second;
  entry.cold_limit = std::min(cold_limit, warm_limit);
  entry.warm_limit = warm_limit;
}

void CreditLedger::RemoveServer(const ServerId& server) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  found->second.cold_limit = 0;
  found->second.warm_limit = 0;
  RemoveUnusedServers();
}

bool CreditLedger::ObserveWarmth(const ServerId& server,
                                 std::uint64_t generation, Warmth warmth,
                                 TimePoint now) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return false;
  return MergeWarmth(server, found->second, generation, warmth,
                     WarmthSource::kServer, now);
}

bool CreditLedger::MergeWarmth(const ServerId& id, Server& server,
                               std::uint64_t generation, Warmth warmth,
                               WarmthSource source, TimePoint now) {
  latest_time_ = std::max(latest_time_, now);
  const std::uint64_t known = server.warm_up.generation();
  const bool has_changed =
      server.warm_up.Observe(generation, warmth, source, now);
  if (generation > known) {
    // Loans from the warm share of the old generation are no longer valid.
    borrowed_.ExpireLoans(id, now);
    SendReturns(now);
  }
  return has_changed;
}

std::optional<Admission> CreditLedger::Admit(const ServerId& server,
                                             TimePoint now) {
  Tick(now);
  const auto found = servers_.find(server);
  if (found == servers_.end()) return std::nullopt;
  Server& entry = found->second;
  // Uses borrowed credits first, since they expire sooner.
  const Warmth warmth = ToWarmth(entry.warm_up.IsWarm(now));
  if (entry.warm_limit > 0) {
    const auto loan = borrowed_.FindUsable(server, warmth, now);
    if (loan) return AddCall(server, *loan, borrowed_.StartCall(*loan), now);
  }
  if (OwnAvailable(server, entry, now) == 0) return std::nullopt;
  const TimePoint send_before = OwnSendDeadline(server, entry, now);
  ++entry.own_in_flight;
  return AddCall(server, 0, send_before, now);
}

Admission CreditLedger::AddCall(const ServerId& server, std::uint64_t loan,
                                TimePoint send_before, TimePoint now) {
  const CreditId id(++last_call_id_);
  calls_.emplace(id, Call{server, loan});
  return {id, std::min(send_before, now + kMaximumSendDelay),
          now + settings_.maximum_call_time};
}

void CreditLedger::Release(CreditId id, TimePoint now, CallResult result) {
  const auto found = calls_.find(id);
  assert(found != calls_.end());
  const Call call = found->second;
  calls_.erase(found);
  Server& server = servers_.at(call.server);
  server.warm_up.RecordCompletion(
      result, lease_.Share(call.server, server.cold_limit, now),
      lease_.Share(call.server, server.warm_limit, now), now);
  if (call.loan == 0) {
    assert(server.own_in_flight > 0);
    --server.own_in_flight;
  } else {
    borrowed_.EndCall(call.loan);
  }
  Tick(now);
}

std::uint32_t CreditLedger::OwnShare(const ServerId& id, const Server& server,
                                     TimePoint now) const {
  return server.warm_up.AllowedCalls(lease_.Share(id, server.cold_limit, now),
                                     lease_.Share(id, server.warm_limit, now),
                                     now);
}

std::uint32_t CreditLedger::OwnAvailable(const ServerId& id,
                                         const Server& server,
                                         TimePoint now) const {
  const std::uint32_t share = OwnShare(id, server, now);
  const std::uint32_t used = server.own_in_flight + lent_.Outstanding(id);
  return share > used ? share - used : 0;
}

TimePoint CreditLedger::OwnSendDeadline(const ServerId& id,
                                        const Server& server,
                                        TimePoint now) const {
  const TimePoint share_until = lease_.ShareValidUntil(now);
  const std::uint32_t used = server.own_in_flight + lent_.Outstanding(id);
  const bool needs_warmth = used >= lease_.Share(id, server.cold_limit, now);
  if (!needs_warmth) return share_until;
  return std::min(share_until, server.warm_up.WarmUntil());
}

void CreditLedger::RequestLoan(const ServerId& server, std::uint32_t amount,
                               std::span<const HostId> alive_in_zone,
                               TimePoint now) {
  Tick(now);
  const auto found = servers_.find(server);
  if (found == servers_.end() || amount == 0) return;
  Server& entry = found->second;
  if (entry.requested_at && now < *entry.requested_at + kLenderTimeout) return;
  if (pending_requests_.size() >= kMaximumPendingRequests || borrowed_.IsFull())
    return;
  // The last request was not answered in time: ask the next host.
  if (entry.requested_at) ++entry.next_lender;

  std::vector<HostId> lenders(alive_in_zone.begin(), alive_in_zone.end());
  std::erase(lenders, self_);
  if (lenders.empty()) return;
  if (entry.consecutive_refusals >= lenders.size()) {
    if (now < entry.last_refusal_at + kLenderTimeout) return;
    entry.consecutive_refusals = 0;
  }
  const std::uint64_t seed = StableHash(server.value());
  std::sort(lenders.begin(), lenders.end(),
            [seed](const HostId& left, const HostId& right) {
              return StableHash(left.value(), seed) <
                     StableHash(right.value(), seed);
            });
  const HostId& lender = lenders[entry.next_lender % lenders.size()];
  entry.requested_at = now;
  SendRequest(server, entry, lender, amount, now);
}

void CreditLedger::SendRequest(const ServerId& id, const Server& server,
                               const HostId& lender, std::uint32_t amount,
                               TimePoint now) {
  const std::uint64_t loan = ++last_loan_id_;
  pending_requests_.emplace(loan, Request{lender, id, now});
  OutgoingPeerMessage& sent = outgoing_.emplace_back();
  sent.host = lender;
  auto& request = *sent.message.mutable_credit_request();
  request.set_loan(loan);
  request.set_server(id.value());
  request.set_amount(amount);
  request.set_roster_epoch(epoch());
  request.set_generation(server.warm_up.generation());
  request.set_warm(server.warm_up.warmth() == Warmth::kWarm);
}

void CreditLedger::HandlePeer(const messages::PeerMessage& message,
                              TimePoint now) {
  Tick(now);
  if (message.has_credit_request()) HandleRequest(message, now);
  if (message.has_credit_grant()) HandleGrant(message, now);
  if (message.has_credit_return()) HandleReturn(message);
  if (message.has_server_sign()) HandleServerSign(message, now);
}

void CreditLedger::HandleServerSign(const messages::PeerMessage& message,
                                    TimePoint now) {
  const auto& sign = message.server_sign();
  const ServerId id(sign.server());
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  MergeWarmth(id, found->second, sign.generation(), ToWarmth(sign.warm()),
              WarmthSource::kPeer, now);
}

void CreditLedger::HandleRequest(const messages::PeerMessage& message,
                                 TimePoint now) {
  const auto& request = message.credit_request();
  const ServerId id(request.server());
  const LoanKey key{HostId(message.sender()), message.incarnation(),
                    request.loan()};
  if (lent_.Find(key) != nullptr) return;  // a duplicate
  const auto found = servers_.find(id);
  if (found == servers_.end())
    return SendGrant(key, id, 0, Duration::zero(), now);
  Server& server = found->second;
  MergeWarmth(id, server, request.generation(), ToWarmth(request.warm()),
              WarmthSource::kPeer, now);
  // Keeps half of the free credits for this host's own calls.
  const std::uint32_t free = OwnAvailable(id, server, now);
  const std::uint32_t amount = std::min(request.amount(), (free + 1) / 2);
  if (amount == 0 || lent_.IsFull())
    return SendGrant(key, id, 0, Duration::zero(), now);
  // The borrower counts the lease from when it sent the request, so the loan
  // ends before this host's own claim to the credits does.
  const Duration lease =
      std::min(settings_.loan_lease, OwnSendDeadline(id, server, now) - now);
  const TimePoint expires_at = now + settings_.loan_lease +
                               settings_.maximum_call_time +
                               settings_.clock_margin;
  lent_.Lend(key, {id, amount, 0, expires_at});
  SendGrant(key, id, amount, lease, now);
}

void CreditLedger::SendGrant(const LoanKey& key, const ServerId& id,
                             std::uint32_t amount, Duration lease,
                             TimePoint now) {
  OutgoingPeerMessage& sent = outgoing_.emplace_back();
  sent.host = key.borrower;
  auto& grant = *sent.message.mutable_credit_grant();
  grant.set_loan(key.loan);
  grant.set_server(id.value());
  grant.set_amount(amount);
  grant.set_lease_us(static_cast<std::uint64_t>(lease.count()));
  grant.set_roster_epoch(epoch());
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  grant.set_generation(found->second.warm_up.generation());
  grant.set_warm(found->second.warm_up.IsWarm(now));
}

void CreditLedger::HandleGrant(const messages::PeerMessage& message,
                               TimePoint now) {
  const auto& grant = message.credit_grant();
  if (borrowed_.Contains(grant.loan())) return;  // a duplicate
  const HostId lender(message.sender());
  const ServerId id(grant.server());
  const auto request = pending_requests_.find(grant.loan());
  const auto found = servers_.find(id);
  const bool is_expected = request != pending_requests_.end() &&
                           request->second.lender == lender &&
                           request->second.server == id;
  if (!is_expected || found == servers_.end()) {
    // The request timed out, or the loan was already used and returned: return
    // all of it to the lender.
    if (grant.amount() > 0)
      SendReturn({lender, grant.loan(), id, grant.amount()});
    return;
  }
  const TimePoint sent_at = request->second.sent_at;
  pending_requests_.erase(request);
  Server& server = found->second;
  server.requested_at.reset();
  const Warmth required_warmth = ToWarmth(grant.warm());
  MergeWarmth(id, server, grant.generation(), required_warmth,
              WarmthSource::kPeer, now);
  if (grant.amount() == 0) {
    ++server.next_lender;
    ++server.consecutive_refusals;
    server.last_refusal_at = now;
    return;
  }
  server.consecutive_refusals = 0;
  // The lender did not know the newer generation yet, so the limit from which
  // it lent no longer applies.
  const bool is_stale = grant.generation() < server.warm_up.generation();
  const Duration lease =
      std::min(settings_.loan_lease,
               Duration(static_cast<Duration::rep>(std::min<std::uint64_t>(
                   grant.lease_us(),
                   static_cast<std::uint64_t>(settings_.loan_lease.count())))));
  const TimePoint usable_until = is_stale ? now : sent_at + lease;
  borrowed_.Add(grant.loan(), {lender, id, grant.amount(), 0, 0, usable_until,
                               required_warmth});
  SendReturns(now);
}

void CreditLedger::HandleReturn(const messages::PeerMessage& message) {
  const auto& returned = message.credit_return();
  lent_.Return(
      {HostId(message.sender()), message.incarnation(), returned.loan()},
      returned.amount());
}

void CreditLedger::SendReturn(const BorrowedCredits::Return& returned) {
  OutgoingPeerMessage& sent = outgoing_.emplace_back();
  sent.host = returned.lender;
  auto& message = *sent.message.mutable_credit_return();
  message.set_loan(returned.loan);
  message.set_server(returned.server.value());
  message.set_amount(returned.returned);
}

void CreditLedger::ReturnLoans(TimePoint now) {
  pending_requests_.clear();  // later grants are returned on receipt
  for (const auto& [id, server] : servers_) borrowed_.ExpireLoans(id, now);
  SendReturns(now);
}

void CreditLedger::SendReturns(TimePoint now) {
  for (const auto& returned : borrowed_.TakeReturns(now)) SendReturn(returned);
}

void CreditLedger::Tick(TimePoint now) {
  latest_time_ = std::max(latest_time_, now);
  lease_.TakeFullShareIfDue(now);
  lent_.Expire(now);
  std::erase_if(pending_requests_, [&](const auto& entry) {
    return now >= entry.second.sent_at + settings_.loan_lease;
  });
  SendReturns(now);
  RemoveUnusedServers();
}

void CreditLedger::RemoveUnusedServers() {
  std::erase_if(servers_, [&](const auto& entry) {
    const auto& [id, server] = entry;
    return server.warm_limit == 0 && InFlight(id) == 0 &&
           lent_.Outstanding(id) == 0;
  });
}

std::vector<OutgoingPeerMessage> CreditLedger::TakeOutgoing() {
  return std::exchange(outgoing_, {});
}

std::optional<TimePoint> CreditLedger::NextDue() const {
  std::optional<TimePoint> due;
  const auto consider = [&due](std::optional<TimePoint> other) {
    if (other) due = std::min(due.value_or(*other), *other);
  };
  consider(lease_.NextDue());
  consider(lent_.NextDue());
  consider(borrowed_.NextDue());
  for (const auto& [loan, request] : pending_requests_)
    consider(request.sent_at + settings_.loan_lease);
  return due;
}

std::uint32_t CreditLedger::Available(const ServerId& server,
                                      TimePoint now) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return 0;
  const Warmth warmth = ToWarmth(found->second.warm_up.IsWarm(now));
  return OwnAvailable(server, found->second, now) +
         borrowed_.CountUsable(server, warmth, now);
}

std::uint32_t CreditLedger::InFlight(const ServerId& server) const {
  const auto found = servers_.find(server);
  const std::uint32_t own =
      found == servers_.end() ? 0 : found->second.own_in_flight;
  return own + borrowed_.InUse(server);
}

std::uint32_t CreditLedger::Limit(const ServerId& server, TimePoint now) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return 0;
  const Server& entry = found->second;
  if (!entry.warm_up.IsWarm(now)) return entry.cold_limit;
  const std::uint32_t warm_share = lease_.Share(server, entry.warm_limit, now);
  if (warm_share == 0) return entry.warm_limit;
  // Assumes that the other hosts have warmed up as far as this one.
  const std::uint32_t scaled =
      entry.warm_limit * OwnShare(server, entry, now) / warm_share;
  return std::clamp(scaled, entry.cold_limit, entry.warm_limit);
}

bool CreditLedger::IsSettled() const {
  if (epoch() == 0 || lease_.MayPredecessorHoldCredits(latest_time_))
    return false;
  return std::all_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
    return FitsNominalShare(entry.first, entry.second);
  });
}

bool CreditLedger::FitsNominalShare(const ServerId& id,
                                    const Server& server) const {
  const bool is_warm = server.warm_up.warmth() == Warmth::kWarm;
  const std::uint32_t limit = is_warm ? server.warm_limit : server.cold_limit;
  return server.own_in_flight + lent_.Outstanding(id) <=
         lease_.NominalShare(id, limit);
}

}  // namespace lovagecleat::policy
