#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/base.h"
#include "routing/rollout.h"
#include "routing/server_directory.h"

namespace lovagecleat::routing {

// Whether requests may go to the servers of one version.
enum class VersionAccess {
  kOpen,
  kOnTrial,     // only those that Rollout::TakesNew chose
  kLastResort,  // only if no server of another version can be used
  kBarred,
};

enum class OrderChange { kStarted, kRepeated, kReplaced };

// The orders of all services, and what they mean for the versions of servers.
// Services that never had an order are not affected, except that where bounds
// are set, a version that was not there before is the last resort for a time:
// the order for it may be read later than the entries of its servers.
class Rollouts {
 public:
  Rollouts(HostId self, std::uint64_t incarnation, TimePoint process_started_at)
      : self_(std::move(self)),
        incarnation_(incarnation),
        process_started_at_(process_started_at) {}

  // Without bounds the default ones apply to orders.
  void SetBounds(const std::optional<RolloutBounds>& bounds,
                 Duration new_version_delay);
  void SetHosts(std::vector<HostId> hosts);

  OrderChange PutOrder(const RolloutOrder& order, RowVersion version,
                       OrderSight sight, Random& random, TimePoint now);
  // The row of the order states no order any more, or none that can be read.
  void OnUnreadableOrder(const ServiceId& service, RowVersion version);
  // Returns whether there was one.
  bool RemoveOrder(const ServiceId& service);

  // Records that a server was registered.
  void OnServer(const ServiceId& service, const std::string& version,
                TimePoint now);
  // Records the versions that servers of a service have now.
  void SetVersions(const ServiceId& service,
                   const std::set<std::string>& versions);
  // Returns whether SetVersions has named the version.
  bool IsListed(const ServiceId& service, const std::string& version) const;

  // Records what the row of the state says (see Rollout::OnStatus).
  void OnStatus(const ServiceId& service,
                const std::optional<RolloutStatus>& status,
                RowVersion status_version, std::optional<Duration> store_time,
                TimePoint now);
  void OnReport(const RolloutReport& report, TimePoint now);
  // Takes the decisions of an order that are due.
  void Update(const ServiceId& service, const RolloutSurroundings& surroundings,
              TimePoint now);

  Rollout* Find(const ServiceId& service);
  std::map<ServiceId, Rollout*> All();

  VersionAccess Access(const ServiceId& service, const std::string& version,
                       TimePoint now) const;

  // Removes the servers that a request must not be sent to. `takes_new` tells
  // whether Rollout::TakesNew chose it; it is then sent to the version on trial
  // if that has a server.
  void Filter(const ServiceId& service, bool takes_new,
              std::vector<ServerRecord*>& servers, TimePoint now) const;

 private:
  // When servers of a version were registered.
  struct SeenVersion {
    TimePoint first;
    TimePoint last;
  };
  struct ServiceState {
    std::optional<Rollout> rollout;
    // Versions that servers had before the one that is ordered.
    std::set<std::string> before;
    // Versions whose order was removed or replaced before it was completed.
    std::set<std::string> given_up;
    // Versions replaced by a completed order, while they have servers; of
    // `lingering` this host does not know whether they had any before.
    std::set<std::string> replaced;
    std::set<std::string> lingering;
    std::set<std::string> listed;
    std::map<std::string, SeenVersion> seen;  // by version
    std::optional<TimePoint> first_seen;      // of all versions
    TimePoint newest_seen{};
    bool has_completed = false;
  };

  // Returns whether all versions of the service are open.
  bool IsPlain(const ServiceState& state, TimePoint now) const;

  static bool HasOthers(const ServiceState& state, const std::string& version);
  void UpdateState(ServiceState& state) const;

  HostId self_;
  std::uint64_t incarnation_;
  TimePoint process_started_at_;
  std::optional<RolloutBounds> bounds_;
  Duration new_version_delay_{};
  std::vector<HostId> hosts_;
  std::map<ServiceId, ServiceState> services_;
};

// Returns how many servers of a version on trial get its requests at a time, so
// that each has the load of one before; at least two.
std::size_t FocusSize(double share, std::size_t servers_before);

// Keeps that many of the servers, others in each `rotation`. All hosts choose
// the same.
void KeepFocus(std::size_t count, std::uint64_t rotation,
               std::vector<ServerRecord*>& servers);

}  // namespace lovagecleat::routing
