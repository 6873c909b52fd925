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

// A message to a peer. Its sender, incarnation and sequence are set later, when
// it is sent.
struct OutgoingMessage {
  HostId host;
  messages::PeerMessage message;
};

// Tracks the configuration in force at this host. New revisions come from
// polling the table, and from peers by push and fetch. Only a higher revision
// replaces the current one.
class ConfigurationFollower {
 public:
  // `counter` must outlive this object.
  ConfigurationFollower(HostId self, OperationCounter& counter,
                        std::uint64_t seed);

  std::vector<Command> Tick(TimePoint now);
  std::vector<Command> HandleTableAnswer(const TableAnswered& answer,
                                         TimePoint now);
  std::vector<Command> HandlePush(const messages::ConfigurationPush& push);
  void HandleFetch(const HostId& from,
                   const messages::ConfigurationFetch& fetch);

  // Records the revision that a heartbeat of `host` reported.
  void ObservePeerRevision(const HostId& host, std::uint64_t revision);

  // Adopts a revision that this host wrote to the table, and pushes it to
  // `peers`.
  void AdoptAccepted(const configuration::Configuration& accepted,
                     std::span<const HostId> peers);

  bool Owns(OperationId operation) const { return operation_ == operation; }
  // Returns nullopt until the first Tick, which is due at once.
  std::optional<TimePoint> NextDue() const;
  const configuration::Configuration& current() const { return current_; }
  // Returns the time of the last successful read of the table, if any.
  std::optional<TimePoint> table_answered_at() const {
    return table_answered_at_;
  }

  std::vector<OutgoingMessage> TakeOutgoing();
  // Returns the configuration that was adopted since the last call, if any.
  std::optional<configuration::Configuration> TakeAdopted();

 private:
  std::vector<Command> EvaluateDocument(std::string_view document,
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
  TimePoint read_deadline_{};
  std::optional<TimePoint> poll_due_;
  std::optional<TimePoint> table_answered_at_;
  // The version of the last evaluated row, so that an invalid row is recorded
  // only once.
  std::uint64_t evaluated_row_version_ = 0;
  std::uint64_t rejected_push_hash_ = 0;

  HostId newer_host_;
  std::uint64_t newer_revision_ = 0;
  TimePoint fetch_allowed_at_{};
};

}  // namespace lovagecleat::policy
