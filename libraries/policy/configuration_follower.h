#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "policy/commands.h"
#include "policy/events.h"
#include "policy/operation_counter.h"

namespace lovagecleat::policy {

// The table row that holds the configuration in force.
inline constexpr const char* kConfigurationRowKey = "configuration/current";

// A message whose sender, incarnation and sequence the sender still fills in.
struct OutgoingMessage {
  HostId host;
  messages::PeerMessage message;
};

// Holds the configuration in force at this host: from the table by polling,
// from other hosts by push and fetch. Only a higher revision replaces it.
class ConfigurationFollower {
 public:
  // `counter` outlives this.
  ConfigurationFollower(HostId self, OperationCounter& counter,
                        std::uint64_t seed);

  std::vector<Command> Tick(TimePoint now);
  std::vector<Command> HandleTable(const TableAnswered& answer, TimePoint now);
  std::vector<Command> HandlePush(const messages::ConfigurationPush& push);
  void HandleFetch(const HostId& from,
                   const messages::ConfigurationFetch& fetch);

  // A heartbeat of `host` named `revision`.
  void ObservePeerRevision(const HostId& host, std::uint64_t revision);

  // Takes a revision that this host itself brought into the table and pushes
  // it to `peers`.
  void AdoptAccepted(const configuration::Configuration& accepted,
                     std::span<const HostId> peers);

  bool Owns(OperationId operation) const { return operation_ == operation; }
  // Nothing until the first Tick, which is due at once.
  std::optional<TimePoint> NextDue() const;
  const configuration::Configuration& current() const { return current_; }
  // When the table last answered; nothing if it has not.
  std::optional<TimePoint> table_answered_at() const {
    return table_answered_at_;
  }

  std::vector<OutgoingMessage> TakeOutgoing();
  // The configuration that was adopted since the last call, if any.
  std::optional<configuration::Configuration> TakeAdopted();

 private:
  std::vector<Command> Consider(std::string_view document,
                                std::string_view source);
  void Adopt(configuration::Configuration configuration);
  void Push(const HostId& host);
  void FetchIfBehind(TimePoint now);

  HostId self_;
  OperationCounter& counter_;
  Random random_;
  configuration::Configuration current_;
  std::optional<configuration::Configuration> adopted_;
  std::vector<OutgoingMessage> outgoing_;

  std::optional<OperationId> operation_;
  TimePoint operation_bound_{};
  std::optional<TimePoint> poll_due_;
  std::optional<TimePoint> table_answered_at_;
  // The row that was judged last, so that a bad one is recorded once.
  std::uint64_t judged_row_version_ = 0;
  std::uint64_t refused_push_hash_ = 0;

  HostId host_ahead_;
  std::uint64_t revision_ahead_ = 0;
  TimePoint fetch_allowed_at_{};
};

}  // namespace lovagecleat::policy
