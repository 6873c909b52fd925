#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "configuration/json.h"
#include "configuration/memory_settings.h"
#include "configuration/room_settings.h"
#include "configuration/settings.h"

namespace lovagecleat::configuration {

// What a version that is rolled out may cost if it is bad, over all hosts.
struct ExposureLimits {
  // Part of its service's requests that may reach it, and requests beyond that.
  double share = 0.1;
  double slack = 50;
  // Time to stop it after its 50th bad answer.
  Duration rollback_time = std::chrono::seconds(5);
};

// Limits that the deployment sets for all hosts together.
struct GatewayLimits {
  double cold_factor = 1.5;  // multiplies the rate limit of a cold server
  double cold_slack = 5;     // requests allowed in addition
  double retry_ratio = 0.2;  // retries per first attempt
  double retry_slack = 50;   // retries allowed in addition
  // A host without contact to the store for this long may act on stale state.
  Duration store_contact_timeout = std::chrono::seconds(3);
  // Changes must take effect within this time.
  Duration maximum_change_delay = std::chrono::seconds(2);
  // From SIGTERM to SIGKILL.
  Duration shutdown_timeout = std::chrono::seconds(8);
  // Missing on deployments without roll-outs.
  std::optional<ExposureLimits> exposure;
};

// The settings of one gateway process.
struct GatewaySettings {
  HostId host;
  ZoneId zone;
  std::string callers;  // "IP:PORT" to listen on, as the next three
  std::string readiness;
  std::string peers;
  std::string metrics;  // empty: no metrics port
  // Peers to contact before others are known.
  std::vector<std::string> seed_peers;
  std::string store;             // "IP:PORT" of the platform's store
  double processor_cores = 1.0;  // CPU cores that the process may use
  GatewayLimits limits;
  // Nothing bounds the memory for all clients together if absent.
  std::optional<MemorySettings> memory;
  // Requests do not compete for room if absent.
  std::optional<RoomSettings> room;

  std::string log_level = "info";
};

// Reads gateway settings. Ignores unknown keys, since later versions of the
// platform may add some.
class GatewaySettingsReader {
 public:
  std::optional<GatewaySettings> Read(std::string_view json);
  const std::vector<Problem>& problems() const { return problems_; }

 private:
  std::vector<Problem> problems_;
};

}  // namespace lovagecleat::configuration
