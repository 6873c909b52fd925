#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/base.h"

namespace lovagecleat::routing {

// What is known of the software versions of a service's servers.
struct VersionRecord {
  TimePoint known_since;
  // When the last server of each version was seen to go; nothing while there is
  // one.
  std::map<std::string, std::optional<TimePoint>> versions;
};

// Tracks the software versions that the servers of each service have had.
class VersionHistory {
 public:
  void AddServer(const ServiceId& service, const std::string& version,
                 TimePoint now);
  void RemoveServer(const ServiceId& service, const std::string& version,
                    TimePoint now);

  // Adds what an earlier process knew of a service. Versions that had servers
  // according to it count as seen until `now`.
  void Restore(const ServiceId& service, const VersionRecord& record,
               TimePoint now);

  // Returns what is known of each service, without the versions that were gone
  // before `oldest`.
  std::map<ServiceId, VersionRecord> Records(TimePoint oldest) const;

  // Rises whenever a service gets its first or loses its last server of a
  // version.
  std::uint64_t revision() const { return revision_; }

  // Returns the version that every server of the service has had from `since`
  // until now. Returns nothing if there were several versions, or if the
  // service was not known by then.
  std::optional<std::string> SoleVersion(const ServiceId& service,
                                         TimePoint since) const;

 private:
  struct VersionState {
    std::size_t servers = 0;
    TimePoint last_removal{};
  };
  struct ServiceState {
    TimePoint known_since{};
    std::map<std::string, VersionState> versions;
  };

  std::map<ServiceId, ServiceState> services_;
  std::uint64_t revision_ = 0;
};

}  // namespace lovagecleat::routing
