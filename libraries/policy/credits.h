#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/base.h"
#include "messages/messages.h"
#include "policy/credit_settings.h"
#include "policy/loan_book.h"
#include "policy/roster.h"
#include "policy/roster_lease.h"
#include "policy/types.h"
#include "policy/warm_up.h"

namespace lovagecleat::policy {

// One call that may be on its way to a server.
using CreditId = NumberId<struct CreditIdTag>;

// The right to one call.
struct Admission {
  CreditId id;
  TimePoint send_before{};
  TimePoint end_before{};  // the caller cancels what still runs then
};

// A message to another host, without sender, incarnation and sequence.
struct Outgoing {
  HostId host;
  messages::PeerMessage message;
};

// Keeps all hosts together within the limit of each server of a zone, without
// a leader and without the table on the path of a call.
class CreditLedger {
 public:
  CreditLedger(const HostId& self, const CreditSettings& settings,
               TimePoint start, std::uint64_t incarnation = 1);

  // --- Commands -------------------------------------------------------------
  // Takes only higher epochs.
  void AdoptRoster(const Roster& roster, TimePoint now);
  // The epoch was current in the table at `confirmed_at`.
  void ConfirmRoster(std::uint64_t epoch, TimePoint confirmed_at);
  // `as_of` is an instant before which the peer cannot have said it, as
  // Membership::HeardAsOf gives it; without it nothing is confirmed.
  void ObservePeer(const HostId& host, std::uint64_t roster_epoch, bool settled,
                   TimePoint now,
                   std::optional<TimePoint> as_of = std::nullopt);

  // Takes epoch, settlement and relayed confirmation out of a heartbeat.
  void ObserveHeartbeat(const HostId& host,
                        const messages::Heartbeat& heartbeat, TimePoint now,
                        std::optional<TimePoint> as_of);

  void SetServer(const ServerId& server, std::uint32_t cold_limit,
                 std::uint32_t warm_limit, TimePoint now);
  void RemoveServer(const ServerId& server);
  // What the server itself said, in an answer or a load report at `now`. True
  // if it was news, which the other hosts should get as a ServerSign.
  bool ObserveSign(const ServerId& server, std::uint64_t generation,
                   Warmth warmth, TimePoint now);

  std::optional<Admission> Admit(const ServerId& server, TimePoint now);
  void Release(CreditId id, TimePoint now, CallHealth health);
  void AskLoan(const ServerId& server, std::uint32_t amount,
               std::span<const HostId> alive_in_zone, TimePoint now);
  // Gives back what no call uses, before the host stops.
  void ReturnLoans(TimePoint now);
  // Takes loan messages and ServerSign.
  void HandlePeer(const messages::PeerMessage& message, TimePoint now);
  void Tick(TimePoint now);
  std::vector<Outgoing> TakeOutgoing();

  // --- Queries --------------------------------------------------------------
  std::optional<TimePoint> NextDue() const;
  std::uint32_t Available(const ServerId& server, TimePoint now) const;
  std::uint32_t InFlight(const ServerId& server) const;
  // Puts the same into a heartbeat.
  void FillHeartbeat(messages::Heartbeat& heartbeat, TimePoint now) const;
  // The limit over all hosts as this host believes it now.
  std::uint32_t Limit(const ServerId& server, TimePoint now) const;
  // This host's calls and loans fit its share under its epoch.
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
    std::optional<TimePoint> asked_at;
    std::size_t refusals_in_row = 0;
    TimePoint refused_at{};
    WarmUp warm_up;
  };
  struct Call {
    ServerId server;
    std::uint64_t loan = 0;  // 0: on the host's own share
  };
  struct Request {
    HostId lender;
    ServerId server;
    TimePoint sent_at{};
  };

  std::uint32_t OwnShare(const ServerId& id, const Server& server,
                         TimePoint now) const;
  std::uint32_t OwnFree(const ServerId& id, const Server& server,
                        TimePoint now) const;
  TimePoint OwnSendBefore(const ServerId& id, const Server& server,
                          TimePoint now) const;
  bool FitsNominalShare(const ServerId& id, const Server& server) const;
  bool MergeSign(const ServerId& id, Server& server, std::uint64_t generation,
                 Warmth warmth, SignSource source, TimePoint now);
  Admission AddCall(const ServerId& server, std::uint64_t loan,
                    TimePoint send_before, TimePoint now);
  void HandleRequest(const messages::PeerMessage& message, TimePoint now);
  void HandleGrant(const messages::PeerMessage& message, TimePoint now);
  void HandleReturn(const messages::PeerMessage& message);
  void HandleSign(const messages::PeerMessage& message, TimePoint now);
  void SendRequest(const ServerId& id, const Server& server,
                   const HostId& lender, std::uint32_t amount, TimePoint now);
  void SendGrant(const LoanKey& key, const ServerId& id, std::uint32_t amount,
                 Duration lease, TimePoint now);
  void SendReturn(const BorrowedCredits::Return& returned);
  void SendReturns(TimePoint now);
  void DropIdleServers();

  const HostId self_;
  const CreditSettings settings_;
  RosterLease lease_;
  std::map<ServerId, Server> servers_;
  std::map<CreditId, Call> calls_;
  std::map<std::uint64_t, Request> requests_;
  LentCredits lent_;
  BorrowedCredits borrowed_;
  std::vector<Outgoing> outgoing_;
  std::uint64_t last_call_ = 0;
  std::uint64_t last_loan_ = 0;
  TimePoint last_seen_{};  // the newest instant of any command
};

}  // namespace lovagecleat::policy
