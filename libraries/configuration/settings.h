#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/json.h"
#include "configuration/memory_settings.h"

namespace lovagecleat::configuration {

enum class LogFormat { kText, kJson };

// An IP address and a port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
};

// Parses "127.0.0.1:7001" or "[::1]:7001"; the port must be at least 1.
std::optional<Endpoint> ParseEndpoint(std::string_view text);

// The settings of one entry process; fixed for its lifetime.
struct EntrySettings {
  HostId host;
  ZoneId zone;
  Endpoint callers;   // HTTP for callers and operators
  Endpoint peers;     // ZeroMQ between entry processes
  Endpoint platform;  // the platform's table, objects and host list
  LogFormat log_format = LogFormat::kText;
  std::string log_level = "info";
  std::string placement =
      "expected_finish";  // or "round_robin", "least_outstanding"
  std::uint32_t maximum_body_bytes = 256 * 1024;
  std::uint32_t maximum_calls = 2000;
  std::uint64_t seed = 0;  // 0: chosen at random at start
  // Nothing bounds the memory for all clients together if absent.
  std::optional<MemorySettings> memory;
};

// Reads the text of a settings file and collects all of its problems.
class SettingsReader {
 public:
  std::optional<EntrySettings> Read(std::string_view json);
  const std::vector<Problem>& problems() const { return problems_; }

 private:
  std::vector<Problem> problems_;
};

}  // namespace lovagecleat::configuration
