#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "policy/policy.h"

namespace lovagecleat::policy {

// Simulates the ledgers of several hosts of one zone that call one server. The
// hosts share one roster row and a network that drops, delays, duplicates and
// reorders messages.
class CreditSimulation {
 public:
  struct Options {
    std::size_t hosts = 4;
    std::uint32_t cold_limit = 5;
    std::uint32_t warm_limit = 5;
    CreditSettings settings;
  };

  explicit CreditSimulation(const Options& options);

  // Runs one step. `kind` selects the action, `detail` its parameters.
  void Step(std::uint32_t kind, std::uint32_t detail);

  void AdvanceBy(Duration step);
  void ExchangeHeartbeats();
  void ReadTableEverywhere();
  void AdmitEverywhere();
  void RemoveFromRoster(std::size_t writer, std::size_t host);
  void JoinRoster(std::size_t host);
  void Freeze(std::size_t host) { hosts_[host].frozen = true; }
  void DisconnectFromTable(std::size_t host) {
    hosts_[host].reaches_table = false;
  }
  void DisconnectFromPeers(std::size_t host) {
    hosts_[host].reaches_peers = false;
  }
  void StartColdGeneration();

  CreditLedger& ledger(std::size_t host) { return *hosts_[host].ledger; }
  TimePoint now() const { return now_; }
  const Roster& roster_row() const { return roster_row_; }

  // Returns how many calls the server runs now of those sent at `since` or
  // later.
  std::size_t Running(TimePoint since = {}) const;
  // Returns when the server last turned cold.
  TimePoint cold_since() const { return cold_since_; }
  Warmth warmth() const { return warmth_; }
  std::uint32_t limit() const { return options_.warm_limit; }

 private:
  struct Host {
    HostId id;
    std::uint64_t incarnation = 1;
    std::unique_ptr<CreditLedger> ledger;
    bool frozen = false;
    bool reaches_table = true;
    bool reaches_peers = true;
    std::map<HostId, std::uint64_t> received_epochs;
  };
  struct Heartbeat {
    std::uint64_t epoch = 0;
    bool settled = false;
    TimePoint sent_at{};
  };
  struct Message {
    std::size_t from = 0;
    std::size_t to = 0;
    messages::PeerMessage body;
    Heartbeat heartbeat;  // epoch 0: a loan message
  };
  struct Call {
    std::size_t host = 0;
    std::uint64_t incarnation = 0;
    Admission admission;
    bool sent = false;
    TimePoint sent_at{};
    TimePoint ends_at{};
  };

  bool CanAct(const Host& host) const { return !host.frozen; }
  bool CanReadTable(const Host& host) const;
  void Admit(std::size_t host, std::uint32_t detail);
  void Send(std::size_t call);
  void Release(std::size_t call);
  void Restart(std::size_t host);
  void SendHeartbeats(std::size_t host);
  void ReadTable(std::size_t host);
  void CollectMessages(std::size_t host);
  void Deliver(std::size_t message, std::uint32_t detail);
  void Receive(const Message& message);
  void ObserveServer(std::size_t host);
  bool MayWriteRow(std::size_t host) const;
  std::set<HostId> KnownAdopters(std::size_t host) const;

  Options options_;
  ServerId server_{"server-1"};
  TimePoint now_{};
  Roster roster_row_;
  std::vector<Host> hosts_;
  std::vector<Message> messages_;
  std::vector<Call> calls_;
  std::uint64_t generation_ = 1;
  Warmth warmth_ = Warmth::kWarm;
  TimePoint cold_since_{};
};

}  // namespace lovagecleat::policy
