#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "base/base.h"

namespace lovagecleat::routing {

// Tracks the software versions that the servers of each service have had.
class VersionHistory {
 public:
  void AddServer(const ServiceId& service, const std::string& version,
                 TimePoint now);
  void RemoveServer(const ServiceId& service, const std::string& version,
                    TimePoint now);

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
};

}  // namespace lovagecleat::routing
