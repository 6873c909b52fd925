#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace lovagecleat::routing {

// Whether a request may be sent again when its outcome is unknown.
enum class RequestKind {
  kSafe,    // may run any number of times
  kUnsafe,  // runs at most once
  kStream,  // as kUnsafe, unless the route is resumable
};

struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;
};

// Batched work on another service that a request needs before it can run.
struct Stage {
  ServiceId service;
  std::vector<std::size_t> dependencies;  // indexes of the input stages
  std::uint64_t result_bytes = 0;         // of one item, approximate
};

// Settings for the requests of one host name and path prefix.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  RequestKind kind = RequestKind::kUnsafe;
  Duration timeout{};            // maximum time to an answer
  Duration latency_target{};     // target time to an answer
  Duration stream_gap_target{};  // target for the longest pause of a stream
  int priority = 0;              // 0 is the most urgent
  std::vector<WeightedService> services;
  int attempts = 1;  // maximum number of servers that one request is sent to
  std::vector<Stage> stages;
  bool is_public = false;  // needs no API key
  bool is_resumable = false;
  bool uses_prompts = false;  // its servers cache prompt prefixes

  // Returns whether requests may go to that service.
  bool Allows(const ServiceId& service) const {
    return std::any_of(
        services.begin(), services.end(), [&](const WeightedService& allowed) {
          return allowed.service == service && allowed.weight > 0;
        });
  }

  bool MayRepeat() const {
    return kind == RequestKind::kSafe ||
           (kind == RequestKind::kStream && is_resumable);
  }
};

// Limits and cost model of batched calls to a server of a service.
struct BatchLimits {
  int slots = 1;          // calls that run at a time
  int queue = 0;          // calls that may be queued
  std::size_t items = 1;  // maximum items of one call
  Duration call_time{};
  Duration item_time{};
  std::uint64_t result_bytes = 0;  // memory for results
  Duration result_lifetime{};
};

struct Service {
  ServiceId id;
  std::uint32_t maximum_connections = 0;  // over all hosts
  double cold_requests_per_second = 0;  // limit of a cold server; 0: unlimited
  std::optional<BatchLimits> batches;
};

struct Team {
  TeamId id;
  std::optional<int> priority_override;  // overrides the route's
};

// Limits on requests of callers.
struct CallerLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 4194304;
  Duration header_time = std::chrono::seconds(3);
  Duration idle_time = std::chrono::seconds(15);
};

// One version of the operators' configuration.
struct RoutingTable {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceId, Service> services;
  bool has_teams = false;  // API keys are required
  std::map<std::string, Team, std::less<>> team_by_key;
  CallerLimits limits;

  // Returns the route of `host` with the longest prefix of `path`, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const Service* FindService(const ServiceId& id) const;
};

// One start of a backend server. A server may start again under the same id,
// and addresses are used again by other servers.
struct ServerIncarnation {
  ServerId id;
  std::string address;  // "IP:PORT"
  std::string software_version;
  std::uint64_t started_unix_ms = 0;  // 0: unknown

  // Returns a text that differs between incarnations.
  std::string Key() const;

  friend bool operator==(const ServerIncarnation&,
                         const ServerIncarnation&) = default;
};

// A backend server as it registered itself.
struct ServerEntry {
  ServerId id;
  ServiceId service;
  std::string address;  // "IP:PORT"
  ZoneId zone;
  bool is_draining = false;
  std::string software_version;       // empty if the entry has none
  std::uint64_t started_unix_ms = 0;  // start of this incarnation; 0: unknown
  Duration warm_up_time{};            // reported time until it is warm
  // Increases with each write of this incarnation.
  std::optional<std::uint64_t> sequence;

  ServerIncarnation incarnation() const {
    return {id, address, software_version, started_unix_ms};
  }

  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

// One part of a prompt. Equal ids mean equal text in all requests.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

}  // namespace lovagecleat::routing
