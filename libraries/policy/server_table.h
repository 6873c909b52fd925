#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "base/base.h"
#include "configuration/configuration.h"
#include "policy/types.h"

namespace lovagecleat::policy {

// The state of one backend server of this host's zone, as known to this host.
struct ServerEntry {
  ServerInfo info;
  std::uint32_t own_in_flight = 0;
  // Moving average of the server's time divided by the usual time of the same
  // stages; 1 for a server of usual speed.
  double slowness = 1.0;
  std::uint32_t consecutive_failures = 0;
  TimePoint backoff_until{};
  std::optional<ServerReport> report;
  TimePoint report_at{};
};

// Lists the backend servers of this host's zone by service and decides which of
// them are eligible for new work.
class ServerTable {
 public:
  explicit ServerTable(ZoneId zone) : zone_(std::move(zone)) {}

  // Returns the servers that are no longer listed.
  std::vector<ServerId> ApplyInventory(std::span<const ServerInfo> servers);
  void ApplyConfiguration(const configuration::Configuration& configuration);

  // Sets the operators' drains that are not yet committed to the table.
  void SetProvisionallyOut(bool zone_out, std::set<ServerId> servers_out);

  void CountCallStart(const ServerId& server);
  void CountCallEnd(const ServerId& server);

  // `ratio` is the measured time divided by the usual time of the stage.
  void ObserveSuccess(const ServerId& server, double ratio);
  void ObserveFailure(const ServerId& server, TimePoint now);
  void ObserveReport(const ServerId& server, const ServerReport& report,
                     TimePoint now);

  const ServerEntry* Find(const ServerId& server) const;

  // Returns the servers of `service` that are eligible for new work at `now`.
  std::vector<const ServerEntry*> Eligible(const ServiceId& service,
                                           TimePoint now) const;

  // Returns whether any server of `service` is eligible, now or after its
  // backoff.
  bool HasUsable(const ServiceId& service) const;

  bool IsOut(const ServerEntry& entry) const;
  bool IsZoneOut() const { return zone_out_ || zone_provisionally_out_; }

  const std::map<ServerId, ServerEntry>& all() const { return servers_; }
  // Returns all listed servers of `service`, eligible or not.
  std::span<const ServerEntry* const> OfService(const ServiceId& service) const;
  bool IsEligible(const ServerEntry& entry, TimePoint now) const;

  using Pools = std::map<ServiceId, std::vector<const ServerEntry*>>;
  const Pools& by_service() const { return by_service_; }

 private:
  ZoneId zone_;
  void IndexByService();

  std::map<ServerId, ServerEntry> servers_;
  Pools by_service_;  // points into servers_
  std::set<ServerId> servers_out_;
  std::set<ServerId> servers_provisionally_out_;
  bool zone_out_ = false;
  bool zone_provisionally_out_ = false;
};

}  // namespace lovagecleat::policy
