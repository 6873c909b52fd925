#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"

namespace lovagecleat::routing {

// What may be sent again after its outcome is unknown.
enum class RequestKind {
  kSafe,    // may run any number of times
  kUnsafe,  // runs at most once
  kStream,  // as unsafe, unless the route says that it can be resumed
};

struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;
};

// Work done in batches on another service before a request can run.
struct Stage {
  ServiceId service;
  std::vector<std::size_t> after;  // stages whose results it takes
  std::uint64_t result_bytes = 0;  // of one item, approximate
};

// Requests of one host name and path prefix.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  RequestKind kind = RequestKind::kUnsafe;
  Duration timeout{};   // no answer is held longer
  Duration goal{};      // an answer within this has its full worth
  Duration gap_goal{};  // longest pause of a stream that is on time
  int priority = 0;     // 0 goes first
  std::vector<WeightedService> services;
  int attempts = 1;  // most servers that one request is sent to
  std::vector<Stage> stages;
  bool is_public = false;  // needs no key
  bool is_resumable = false;
  bool uses_prompts = false;  // its servers cache prompt prefixes

  bool MayRepeat() const {
    return kind == RequestKind::kSafe ||
           (kind == RequestKind::kStream && is_resumable);
  }
};

// How a service takes batched calls.
struct BatchLimits {
  int slots = 1;          // calls at work at a time
  int queue = 0;          // calls that may wait
  std::size_t items = 1;  // most items of one call
  Duration call_time{};
  Duration item_time{};
  std::uint64_t result_bytes = 0;  // room for results
  Duration result_lifetime{};
};

struct Service {
  ServiceId id;
  std::uint32_t maximum_connections = 0;  // of all callers together
  double cold_requests_per_second = 0;    // borne by a cold server; 0: no bound
  std::optional<BatchLimits> batches;
};

struct Team {
  TeamId id;
  std::optional<int> priority;  // goes before the route's
};

// Bounds on what callers may send.
struct CallerLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 4194304;
  Duration header_time = std::chrono::seconds(3);
  Duration idle_time = std::chrono::seconds(15);
};

// One version of what operators configured.
struct RoutingTable {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceId, Service> services;
  bool has_teams = false;  // keys are asked for
  std::map<std::string, Team, std::less<>> team_by_key;
  CallerLimits limits;

  // The route of that host with the longest prefix of the path.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const Service* FindService(const ServiceId& id) const;
};

// What a backend server tells of itself.
struct ServerEntry {
  ServerId id;
  ServiceId service;
  std::string address;  // "IP:PORT"
  ZoneId zone;
  bool is_draining = false;
  std::uint64_t born_unix_ms = 0;  // start of this incarnation; 0: not told
  Duration cold_for{};             // time until it is warm, as it says

  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

// One part of a prompt; requests with the same id share it.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

}  // namespace lovagecleat::routing
