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

// What this host knows of one backend server of its zone.
struct ServerEntry {
  ServerInfo info;
  std::uint32_t own_in_flight = 0;
  // The server's time over the usual time of the same stages; about 1.
  double slowness = 1.0;
  std::uint32_t consecutive_failures = 0;
  TimePoint avoid_until{};
  std::optional<ServerReport> report;
  TimePoint report_at{};
};

// The backend servers of this host's zone, by service, and whether each may
// get new work.
class ServerTable {
 public:
  explicit ServerTable(ZoneId zone) : zone_(std::move(zone)) {}

  // Returns the servers that are no longer listed.
  std::vector<ServerId> ApplyInventory(std::span<const ServerInfo> servers);
  void ApplyConfiguration(const configuration::Configuration& configuration);

  // Operators' drains that are not yet accepted in the table.
  void SetProvisionallyOut(bool zone_out, std::set<ServerId> servers_out);

  void CountStart(const ServerId& server);
  void CountEnd(const ServerId& server);

  // `ratio` is the time taken over the usual time of the stage.
  void ObserveGood(const ServerId& server, double ratio);
  void ObserveFailure(const ServerId& server, TimePoint now);
  void ObserveReport(const ServerId& server, const ServerReport& report,
                     TimePoint now);

  const ServerEntry* Find(const ServerId& server) const;

  // The servers of `service` that may get new work at `now`.
  std::vector<const ServerEntry*> Eligible(const ServiceId& service,
                                           TimePoint now) const;

  // Whether any server of `service` may get work, now or after a backoff.
  bool HasUsable(const ServiceId& service) const;

  bool IsOut(const ServerEntry& entry) const;
  bool IsZoneOut() const { return zone_out_ || zone_provisionally_out_; }

  const std::map<ServerId, ServerEntry>& all() const { return servers_; }
  // The listed servers of `service`, whether or not they may get work.
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
