#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "policy/policy.h"
#include "tests/stand_ins/backend_model.h"

// Settings of the stand-in processes of a deployment, read from stand_ins.json
// (timing of each service) and inventory.json (hosts and servers).
namespace lovagecleat::stand_ins {

enum class SettingsError { kNone, kUnreadable, kMalformed };

struct PlatformSettings {
  configuration::Endpoint endpoint;
  Duration inventory_lag{};
  Duration read_time{};   // of the table; operations are serialized
  Duration write_time{};  // of the table; operations are serialized
  double weights_per_second = 1.0;
};

struct BackendServer {
  configuration::Endpoint endpoint;
  ZoneId zone;
  BackendSettings settings;
};

class SettingsLoader {
 public:
  std::optional<PlatformSettings> LoadPlatform(const std::string& file);
  std::optional<policy::Inventory> LoadInventory(const std::string& file);
  std::optional<std::vector<BackendServer>> LoadServers(
      const std::string& file, const policy::Inventory& inventory);

  SettingsError last_error() const { return last_error_; }

 private:
  SettingsError last_error_ = SettingsError::kNone;
};

}  // namespace lovagecleat::stand_ins
