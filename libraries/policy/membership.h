#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"
#include "messages/messages.h"
#include "policy/sequence_window.h"
#include "policy/types.h"

namespace lovagecleat::policy {

enum class PeerHealth { kUnknown, kAlive, kSuspected, kDead };

// Free capacity of one service in one zone, as a host there last reported it.
struct ZoneCapacity {
  std::uint32_t free_credits = 0;
  std::uint32_t queued = 0;
  std::uint32_t servers = 0;
  Duration age{};
};

// Tracks the other entry hosts and their health from heartbeats and from the
// platform's list of hosts, which lags behind.
class Membership {
 public:
  Membership(HostId self, ZoneId zone, std::uint64_t incarnation,
             std::uint64_t seed);

  // --- Commands -------------------------------------------------------------
  void ApplyInventory(std::span<const HostInfo> hosts, TimePoint now);
  // Returns false for a message that is repeated, too old for the sequence
  // window or from an earlier incarnation of its sender.
  bool Accept(const messages::PeerMessage& message, TimePoint now);
  void HandleHeartbeat(const HostId& from, const messages::Heartbeat& heartbeat,
                       TimePoint now);
  void Tick(TimePoint now);
  // Sets the probe, the echo for `target` and the suspected hosts.
  void FillHeartbeat(const HostId& target, messages::Heartbeat& heartbeat,
                     TimePoint now) const;
  // Records that a round of heartbeats was sent to HeartbeatTargets.
  void FinishHeartbeatRound(TimePoint now);

  // --- Queries --------------------------------------------------------------
  bool HeartbeatDue(TimePoint now) const { return now >= next_heartbeat_; }
  // Returns the hosts of this zone and the next few links to other zones, in
  // rotation.
  std::vector<HostId> HeartbeatTargets() const;
  // Returns whether `host` is in this zone; summaries of services are sent only
  // to hosts of other zones.
  bool IsInOwnZone(const HostId& host) const;
  std::vector<HostInfo> PeersToConnect() const;
  std::vector<HostId> AliveInZone(const ZoneId& zone) const;
  PeerHealth Health(const HostId& host) const;
  // Returns whether `host` is alive and, by its last heartbeat, not draining.
  bool AcceptsWork(const HostId& host) const;
  // Returns a lower bound of the time at which the last handled heartbeat of
  // `host` was sent, or std::nullopt if it echoed no known probe.
  std::optional<TimePoint> SentNotBefore(const HostId& host) const;
  std::optional<ZoneCapacity> ReportedCapacity(const ZoneId& zone,
                                               const ServiceId& service,
                                               TimePoint now) const;
  TimePoint NextDue() const { return next_heartbeat_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct Peer {
    std::optional<HostInfo> info;  // empty if never listed
    bool is_listed = false;        // in the latest inventory
    std::uint64_t incarnation = 0;
    SequenceWindow window;
    std::optional<TimePoint> last_received_at;
    TimePoint added_at{};
    std::uint64_t probe = 0;  // the peer's latest, to be echoed
    TimePoint probe_received_at{};
    std::optional<TimePoint> sent_not_before;
    bool is_draining = false;
  };
  struct SentProbe {
    std::uint64_t number = 0;
    TimePoint at{};
  };
  struct Summary {
    ZoneCapacity capacity;
    TimePoint at{};
  };
  using SummaryKey = std::pair<ZoneId, ServiceId>;

  Peer* FindOrAdd(const HostId& host, TimePoint now);
  void UpdateSendTimeBound(Peer& peer, const messages::Heartbeat& heartbeat,
                           TimePoint now) const;
  void UpdateSummaries(const Peer& peer, const messages::Heartbeat& heartbeat,
                       TimePoint now);
  PeerHealth HealthOf(const Peer& peer, TimePoint now) const;
  Duration ExpectedHeartbeatInterval(const Peer& peer) const;
  bool IsOwnZone(const Peer& peer) const;
  void ChooseLinks();
  bool IsLinked(const HostId& from, const HostId& to,
                const std::vector<HostId>& zone_of_to) const;

  const HostId self_;
  const ZoneId zone_;
  const std::uint64_t incarnation_;
  Random random_;
  std::map<HostId, Peer> peers_;
  std::vector<HostId> own_zone_targets_;
  std::vector<HostId> links_;  // to hosts of other zones
  std::size_t next_link_ = 0;
  std::uint64_t probe_;
  std::deque<SentProbe> sent_probes_;
  std::map<SummaryKey, Summary> summaries_;
  TimePoint next_heartbeat_{};
  TimePoint latest_time_{};
  std::uint64_t dropped_ = 0;
};

}  // namespace lovagecleat::policy
