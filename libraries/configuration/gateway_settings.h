#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "configuration/json.h"
#include "configuration/settings.h"

namespace lovagecleat::configuration {

// Bounds that the deployment sets for all its hosts together.
struct GatewayBounds {
  double cold_factor = 1.5;  // on a cold server's rate of requests
  double cold_slack = 5;     // requests beyond that
  double retry_ratio = 0.2;  // retries for each first try
  double retry_slack = 50;   // retries beyond that
  // A host that has not heard of the store for so long may act on old state.
  Duration contact_time = std::chrono::seconds(3);
  // Changes must take effect within this time.
  Duration change_time = std::chrono::seconds(2);
  Duration stop_time = std::chrono::seconds(8);  // from SIGTERM to SIGKILL
};

// What one gateway process is started with.
struct GatewaySettings {
  HostId host;
  ZoneId zone;
  std::string callers;  // "IP:PORT" to listen on, likewise the next three
  std::string readiness;
  std::string peers;
  std::string metrics;             // empty: none
  std::vector<std::string> seeds;  // peers to ask before others are known
  std::string store;               // "IP:PORT" of the platform's store
  double processor = 1.0;          // cores that the process may use
  GatewayBounds bounds;

  std::string log_level = "info";
};

// Reads gateway settings; unknown keys are ignored, since the platform adds
// fields as it grows.
class GatewaySettingsReader {
 public:
  std::optional<GatewaySettings> Read(std::string_view json);
  const std::vector<Problem>& problems() const { return problems_; }

 private:
  std::vector<Problem> problems_;
};

}  // namespace lovagecleat::configuration
