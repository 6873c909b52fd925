#include "policy/credits.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace lovagecleat::policy {

namespace {

// A call that was admitted but not sent for this long is given up, since the
// process must have been frozen.
constexpr Duration kSendWindow = std::chrono::seconds(2);
// A lender that has not answered for this long is passed over.
constexpr Duration kLenderPatience = std::chrono::milliseconds(200);
constexpr std::size_t kMaximumRequests = 512;
constexpr std::uint64_t kLoansOfAnIncarnation = std::uint64_t{1} << 32;

Warmth ToWarmth(bool warm) { return warm ? Warmth::kWarm : Warmth::kCold; }

}  // namespace

// Loans are numbered apart for each incarnation, since a grant to an earlier
// incarnation may still arrive.
CreditLedger::CreditLedger(const HostId& self, const CreditSettings& settings,
                           TimePoint start, std::uint64_t incarnation)
    : self_(self),
      settings_(settings),
      lease_(self, settings, start),
      last_loan_(StableHash(self.value(), incarnation) / kLoansOfAnIncarnation *
                 kLoansOfAnIncarnation),
      last_seen_(start) {}

void CreditLedger::AdoptRoster(const Roster& roster, TimePoint now) {
  last_seen_ = std::max(last_seen_, now);
  lease_.Adopt(roster, now);
}

void CreditLedger::ConfirmRoster(std::uint64_t epoch, TimePoint confirmed_at) {
  lease_.Confirm(epoch, confirmed_at);
}

void CreditLedger::ObservePeer(const HostId& host, std::uint64_t roster_epoch,
                               bool settled, TimePoint now,
                               std::optional<TimePoint> as_of) {
  last_seen_ = std::max(last_seen_, now);
  lease_.ObservePeer(host, roster_epoch, settled, now, as_of);
}

// An age of zero stands for no proof.
void CreditLedger::ObserveHeartbeat(const HostId& host,
                                    const messages::Heartbeat& heartbeat,
                                    TimePoint now,
                                    std::optional<TimePoint> as_of) {
  ObservePeer(host, heartbeat.roster_epoch(), heartbeat.roster_settled(), now,
              as_of);
  const std::uint64_t age = heartbeat.roster_confirmed_age_us();
  const auto longest =
      static_cast<std::uint64_t>(settings_.reservation.count());
  if (!as_of || age == 0 || age > longest) return;
  ConfirmRoster(heartbeat.roster_epoch(),
                *as_of - Duration(static_cast<Duration::rep>(age)));
}

// Only a proof from the table is passed on: passing on a mutual confirmation
// would let hosts confirm each other without end.
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
  last_seen_ = std::max(last_seen_, now);
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
  DropIdleServers();
}

bool CreditLedger::ObserveSign(const ServerId& server, std::uint64_t generation,
                               Warmth warmth, TimePoint now) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return false;
  return MergeSign(server, found->second, generation, warmth,
                   SignSource::kServer, now);
}

bool CreditLedger::MergeSign(const ServerId& id, Server& server,
                             std::uint64_t generation, Warmth warmth,
                             SignSource source, TimePoint now) {
  last_seen_ = std::max(last_seen_, now);
  const std::uint64_t known = server.warm_up.generation();
  const bool is_news = server.warm_up.Observe(generation, warmth, source, now);
  if (generation > known) {
    // What was lent of the old generation's warm share is void.
    borrowed_.End(id, now);
    SendReturns(now);
  }
  return is_news;
}

std::optional<Admission> CreditLedger::Admit(const ServerId& server,
                                             TimePoint now) {
  Tick(now);
  const auto found = servers_.find(server);
  if (found == servers_.end()) return std::nullopt;
  Server& entry = found->second;
  // A borrowed credit goes first, since it ends sooner.
  const Warmth warmth = ToWarmth(entry.warm_up.IsWarm(now));
  if (entry.warm_limit > 0) {
    const auto loan = borrowed_.FindFree(server, warmth, now);
    if (loan) return AddCall(server, *loan, borrowed_.Use(*loan), now);
  }
  if (OwnFree(server, entry, now) == 0) return std::nullopt;
  const TimePoint send_before = OwnSendBefore(server, entry, now);
  ++entry.own_in_flight;
  return AddCall(server, 0, send_before, now);
}

Admission CreditLedger::AddCall(const ServerId& server, std::uint64_t loan,
                                TimePoint send_before, TimePoint now) {
  const CreditId id(++last_call_);
  calls_.emplace(id, Call{server, loan});
  return {id, std::min(send_before, now + kSendWindow),
          now + settings_.maximum_call_time};
}

void CreditLedger::Release(CreditId id, TimePoint now, CallHealth health) {
  const auto found = calls_.find(id);
  assert(found != calls_.end());
  const Call call = found->second;
  calls_.erase(found);
  Server& server = servers_.at(call.server);
  server.warm_up.Complete(
      health, lease_.Share(call.server, server.cold_limit, now),
      lease_.Share(call.server, server.warm_limit, now), now);
  if (call.loan == 0) {
    assert(server.own_in_flight > 0);
    --server.own_in_flight;
  } else {
    borrowed_.StopUse(call.loan);
  }
  Tick(now);
}

std::uint32_t CreditLedger::OwnShare(const ServerId& id, const Server& server,
                                     TimePoint now) const {
  return server.warm_up.Allowed(lease_.Share(id, server.cold_limit, now),
                                lease_.Share(id, server.warm_limit, now), now);
}

std::uint32_t CreditLedger::OwnFree(const ServerId& id, const Server& server,
                                    TimePoint now) const {
  const std::uint32_t share = OwnShare(id, server, now);
  const std::uint32_t used = server.own_in_flight + lent_.Outstanding(id);
  return share > used ? share - used : 0;
}

TimePoint CreditLedger::OwnSendBefore(const ServerId& id, const Server& server,
                                      TimePoint now) const {
  const TimePoint share_until = lease_.ShareValidUntil(now);
  const std::uint32_t used = server.own_in_flight + lent_.Outstanding(id);
  const bool needs_warmth = used >= lease_.Share(id, server.cold_limit, now);
  if (!needs_warmth) return share_until;
  return std::min(share_until, server.warm_up.WarmUntil());
}

void CreditLedger::AskLoan(const ServerId& server, std::uint32_t amount,
                           std::span<const HostId> alive_in_zone,
                           TimePoint now) {
  Tick(now);
  const auto found = servers_.find(server);
  if (found == servers_.end() || amount == 0) return;
  Server& entry = found->second;
  if (entry.asked_at && now < *entry.asked_at + kLenderPatience) return;
  if (requests_.size() >= kMaximumRequests || borrowed_.IsFull()) return;
  // A request that was not answered in time: the next host is asked.
  if (entry.asked_at) ++entry.next_lender;

  std::vector<HostId> lenders(alive_in_zone.begin(), alive_in_zone.end());
  std::erase(lenders, self_);
  if (lenders.empty()) return;
  if (entry.refusals_in_row >= lenders.size()) {
    if (now < entry.refused_at + kLenderPatience) return;
    entry.refusals_in_row = 0;
  }
  const std::uint64_t seed = StableHash(server.value());
  std::sort(lenders.begin(), lenders.end(),
            [seed](const HostId& left, const HostId& right) {
              return StableHash(left.value(), seed) <
                     StableHash(right.value(), seed);
            });
  const HostId& lender = lenders[entry.next_lender % lenders.size()];
  entry.asked_at = now;
  SendRequest(server, entry, lender, amount, now);
}

void CreditLedger::SendRequest(const ServerId& id, const Server& server,
                               const HostId& lender, std::uint32_t amount,
                               TimePoint now) {
  const std::uint64_t loan = ++last_loan_;
  requests_.emplace(loan, Request{lender, id, now});
  Outgoing& sent = outgoing_.emplace_back();
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
  if (message.has_server_sign()) HandleSign(message, now);
}

void CreditLedger::HandleSign(const messages::PeerMessage& message,
                              TimePoint now) {
  const auto& sign = message.server_sign();
  const ServerId id(sign.server());
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  MergeSign(id, found->second, sign.generation(), ToWarmth(sign.warm()),
            SignSource::kPeer, now);
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
  MergeSign(id, server, request.generation(), ToWarmth(request.warm()),
            SignSource::kPeer, now);
  // Half of what is free is kept for own calls.
  const std::uint32_t free = OwnFree(id, server, now);
  const std::uint32_t amount = std::min(request.amount(), (free + 1) / 2);
  if (amount == 0 || lent_.IsFull())
    return SendGrant(key, id, 0, Duration::zero(), now);
  // The borrower started its clock before the request came, so it stops before
  // this host's own right to the credits ends.
  const Duration lease =
      std::min(settings_.loan_lease, OwnSendBefore(id, server, now) - now);
  const TimePoint back_at = now + settings_.loan_lease +
                            settings_.maximum_call_time +
                            settings_.clock_margin;
  lent_.Lend(key, {id, amount, 0, back_at});
  SendGrant(key, id, amount, lease, now);
}

void CreditLedger::SendGrant(const LoanKey& key, const ServerId& id,
                             std::uint32_t amount, Duration lease,
                             TimePoint now) {
  Outgoing& sent = outgoing_.emplace_back();
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
  const auto request = requests_.find(grant.loan());
  const auto found = servers_.find(id);
  const bool is_awaited = request != requests_.end() &&
                          request->second.lender == lender &&
                          request->second.server == id;
  if (!is_awaited || found == servers_.end()) {
    // Given up, or used and returned before: the lender may have all of it.
    if (grant.amount() > 0)
      SendReturn({lender, grant.loan(), id, grant.amount()});
    return;
  }
  const TimePoint sent_at = request->second.sent_at;
  requests_.erase(request);
  Server& server = found->second;
  server.asked_at.reset();
  const Warmth basis = ToWarmth(grant.warm());
  MergeSign(id, server, grant.generation(), basis, SignSource::kPeer, now);
  if (grant.amount() == 0) {
    ++server.next_lender;
    ++server.refusals_in_row;
    server.refused_at = now;
    return;
  }
  server.refusals_in_row = 0;
  // A lender that has not yet heard of a newer generation lent by a limit that
  // does not hold any more.
  const bool is_stale = grant.generation() < server.warm_up.generation();
  const Duration lease =
      std::min(settings_.loan_lease,
               Duration(static_cast<Duration::rep>(std::min<std::uint64_t>(
                   grant.lease_us(),
                   static_cast<std::uint64_t>(settings_.loan_lease.count())))));
  const TimePoint start_before = is_stale ? now : sent_at + lease;
  borrowed_.Add(grant.loan(),
                {lender, id, grant.amount(), 0, 0, start_before, basis});
  SendReturns(now);
}

void CreditLedger::HandleReturn(const messages::PeerMessage& message) {
  const auto& returned = message.credit_return();
  lent_.Return(
      {HostId(message.sender()), message.incarnation(), returned.loan()},
      returned.amount());
}

void CreditLedger::SendReturn(const BorrowedCredits::Return& returned) {
  Outgoing& sent = outgoing_.emplace_back();
  sent.host = returned.lender;
  auto& message = *sent.message.mutable_credit_return();
  message.set_loan(returned.loan);
  message.set_server(returned.server.value());
  message.set_amount(returned.returned);
}

void CreditLedger::ReturnLoans(TimePoint now) {
  requests_.clear();  // what is granted from now on goes back at once
  for (const auto& [id, server] : servers_) borrowed_.End(id, now);
  SendReturns(now);
}

void CreditLedger::SendReturns(TimePoint now) {
  for (const auto& returned : borrowed_.TakeReturns(now)) SendReturn(returned);
}

void CreditLedger::Tick(TimePoint now) {
  last_seen_ = std::max(last_seen_, now);
  lease_.Advance(now);
  lent_.Expire(now);
  std::erase_if(requests_, [&](const auto& entry) {
    return now >= entry.second.sent_at + settings_.loan_lease;
  });
  SendReturns(now);
  DropIdleServers();
}

void CreditLedger::DropIdleServers() {
  std::erase_if(servers_, [&](const auto& entry) {
    const auto& [id, server] = entry;
    return server.warm_limit == 0 && InFlight(id) == 0 &&
           lent_.Outstanding(id) == 0;
  });
}

std::vector<Outgoing> CreditLedger::TakeOutgoing() {
  return std::exchange(outgoing_, {});
}

std::optional<TimePoint> CreditLedger::NextDue() const {
  std::optional<TimePoint> due;
  const auto take = [&due](std::optional<TimePoint> other) {
    if (other) due = std::min(due.value_or(*other), *other);
  };
  take(lease_.NextDue());
  take(lent_.NextDue());
  take(borrowed_.NextDue());
  for (const auto& [loan, request] : requests_)
    take(request.sent_at + settings_.loan_lease);
  return due;
}

std::uint32_t CreditLedger::Available(const ServerId& server,
                                      TimePoint now) const {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return 0;
  const Warmth warmth = ToWarmth(found->second.warm_up.IsWarm(now));
  return OwnFree(server, found->second, now) +
         borrowed_.Free(server, warmth, now);
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
  // The other hosts are taken to be as far as this one.
  const std::uint32_t scaled =
      entry.warm_limit * OwnShare(server, entry, now) / warm_share;
  return std::clamp(scaled, entry.cold_limit, entry.warm_limit);
}

bool CreditLedger::IsSettled() const {
  if (epoch() == 0 || lease_.IsFresh(last_seen_)) return false;
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
