#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/base.h"
#include "messages/messages.h"
#include "policy/credit_loans.h"
#include "policy/credit_settings.h"
#include "policy/roster.h"
#include "policy/roster_lease.h"
#include "policy/types.h"
#include "policy/warm_up.h"

namespace lovagecleat::policy {

// Identifies an admitted call until its release.
using CreditId = NumberId<struct CreditIdTag>;

// The permission to send one call.
struct Admission {
  CreditId id;
  TimePoint send_before{};
  TimePoint end_before{};  // the caller cancels a call that still runs then
};

// A message to another host. The sender, incarnation and sequence fields are
// not filled in.
struct OutgoingPeerMessage {
  HostId host;
  messages::PeerMessage message;
};

// Enforces the concurrency limit of each server of a zone across all hosts.
// Each host has a share of the limit and borrows unused credits of other hosts,
// so that a call needs neither a leader nor a read of the table.
class CreditLedger {
 public:
  CreditLedger(const HostId& self, const CreditSettings& settings,
               TimePoint start, std::uint64_t incarnation = 1);

  // --- Commands -------------------------------------------------------------
  // Ignores a roster whose epoch is not higher than the current one.
  void AdoptRoster(const Roster& roster, TimePoint now);
  // Records that the epoch was current in the table at `confirmed_at`.
  void ConfirmRoster(std::uint64_t epoch, TimePoint confirmed_at);
  // Records the state that a peer has sent. `sent_not_before` is the earliest
  // time at which the peer can have sent it (see Membership::SentNotBefore);
  // without it the state does not count as a confirmation.
  void ObservePeer(const HostId& host, std::uint64_t roster_epoch, bool settled,
                   TimePoint now,
                   std::optional<TimePoint> sent_not_before = std::nullopt);

  // Records epoch, settled state and relayed confirmation from a heartbeat.
  void ObserveHeartbeat(const HostId& host,
                        const messages::Heartbeat& heartbeat, TimePoint now,
                        std::optional<TimePoint> sent_not_before);

  void SetServer(const ServerId& server, std::uint32_t cold_limit,
                 std::uint32_t warm_limit, TimePoint now);
  void RemoveServer(const ServerId& server);
  // Records the warmth that the server itself sent in a response or a load
  // report at `now`. Returns true if this changes the known state; the caller
  // then sends a ServerSign to the other hosts.
  bool ObserveWarmth(const ServerId& server, std::uint64_t generation,
                     Warmth warmth, TimePoint now);

  std::optional<Admission> Admit(const ServerId& server, TimePoint now);
  void Release(CreditId id, TimePoint now, CallResult result);
  void RequestLoan(const ServerId& server, std::uint32_t amount,
                   std::span<const HostId> alive_in_zone, TimePoint now);
  // Returns borrowed credits that no call uses, before the host stops.
  void ReturnLoans(TimePoint now);
  // Handles loan messages and ServerSign; ignores all others.
  void HandlePeer(const messages::PeerMessage& message, TimePoint now);
  void Tick(TimePoint now);
  std::vector<OutgoingPeerMessage> TakeOutgoing();

  // --- Queries --------------------------------------------------------------
  std::optional<TimePoint> NextDue() const;
  std::uint32_t Available(const ServerId& server, TimePoint now) const;
  std::uint32_t InFlight(const ServerId& server) const;
  // Sets the fields that ObserveHeartbeat reads.
  void FillHeartbeat(messages::Heartbeat& heartbeat, TimePoint now) const;
  // Returns this host's estimate of the current limit over all hosts.
  std::uint32_t Limit(const ServerId& server, TimePoint now) const;
  // Returns whether calls and loans fit this host's share in its epoch.
  bool IsSettled() const;
  bool IsConfirmed(TimePoint now) const { return lease_.IsConfirmed(now); }
  std::uint64_t epoch() const { return lease_.epoch(); }

 private:
  struct Server {
    explicit Server(Duration warm_validity) : warm_up(warm_validity) {}

    std::uint32_t cold_limit = 0;
    std::uint32_t warm_limit = 0;
    std::uint32_t own_in_flight = 0;
    std::size_t next_lender = 0;
    std::optional<TimePoint> requested_at;
    std::size_t consecutive_refusals = 0;
    TimePoint last_refusal_at{};
    WarmUp warm_up;
  };
  struct Call {
    ServerId server;
    std::uint64_t loan = 0;  // 0: uses the host's own share
  };
  struct Request {
    HostId lender;
    ServerId server;
    TimePoint sent_at{};
  };

  std::uint32_t OwnShare(const ServerId& id, const Server& server,
                         TimePoint now) const;
  std::uint32_t OwnAvailable(const ServerId& id, const Server& server,
                             TimePoint now) const;
  TimePoint OwnSendDeadline(const ServerId& id, const Server& server,
                            TimePoint now) const;
  bool FitsNominalShare(const ServerId& id, const Server& server) const;
  bool MergeWarmth(const ServerId& id, Server& server, std::uint64_t generation,
                   Warmth warmth, WarmthSource source, TimePoint now);
  Admission AddCall(const ServerId& server, std::uint64_t loan,
                    TimePoint send_before, TimePoint now);
  void HandleRequest(const messages::PeerMessage& message, TimePoint now);
  void HandleGrant(const messages::PeerMessage& message, TimePoint now);
  void HandleReturn(const messages::PeerMessage& message);
  void HandleServerSign(const messages::PeerMessage& message, TimePoint now);
  void SendRequest(const ServerId& id, const Server& server,
                   const HostId& lender, std::uint32_t amount, TimePoint now);
  void SendGrant(const LoanKey& key, const ServerId& id, std::uint32_t amount,
                 Duration lease, TimePoint now);
  void SendReturn(const BorrowedCredits::Return& returned);
  void SendReturns(TimePoint now);
  void RemoveUnusedServers();

  const HostId self_;
  const CreditSettings settings_;
  RosterLease lease_;
  std::map<ServerId, Server> servers_;
  std::map<CreditId, Call> calls_;
  std::map<std::uint64_t, Request> pending_requests_;
  LentCredits lent_;
  BorrowedCredits borrowed_;
  std::vector<OutgoingPeerMessage> outgoing_;
  std::uint64_t last_call_id_ = 0;
  std::uint64_t last_loan_id_ = 0;
  TimePoint latest_time_{};  // the latest time passed to any command
};

}  // namespace lovagecleat::policy
