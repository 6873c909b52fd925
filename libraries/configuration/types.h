#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"

namespace lovagecleat::configuration {

enum class ServiceKind { kEngine, kEncoder, kRetriever, kReranker, kPlain };

// Whether running a call twice has the same effect as running it once.
enum class Idempotency { kIdempotent, kNonIdempotent };

// Whether the servers of a service reject calls with an outdated fencing token.
enum class FencingSupport { kChecked, kIgnored };

enum class ZoneState { kIn, kOut };

// A latency target that applies from `from_hour` (0 to 23, local time) until
// the next entry's hour.
struct HourlyTarget {
  int from_hour = 0;
  Duration target{};

  friend bool operator==(const HourlyTarget&, const HourlyTarget&) = default;
};

// A class of requests: its pipeline and its latency targets by hour.
struct RequestClass {
  ClassId id;
  PipelineId pipeline;
  std::vector<HourlyTarget> targets;  // ascending by from_hour, never empty

  friend bool operator==(const RequestClass&, const RequestClass&) = default;
};

struct Stage {
  std::string name;
  ServiceId service;
  std::uint32_t max_tokens = 0;  // engines only

  friend bool operator==(const Stage&, const Stage&) = default;
};

struct Pipeline {
  PipelineId id;
  std::vector<Stage> stages;  // never empty

  friend bool operator==(const Pipeline&, const Pipeline&) = default;
};

struct Service {
  ServiceId id;
  ServiceKind kind = ServiceKind::kPlain;
  Idempotency idempotency = Idempotency::kIdempotent;
  FencingSupport fencing = FencingSupport::kIgnored;

  friend bool operator==(const Service&, const Service&) = default;
};

struct Zone {
  ZoneId id;
  ZoneState state = ZoneState::kIn;

  friend bool operator==(const Zone&, const Zone&) = default;
};

// The configuration that operators set. The platform's table stores it; hosts
// hold copies.
struct Configuration {
  std::uint64_t revision = 0;  // 0: never configured
  Duration utc_offset{};
  std::vector<RequestClass> classes;
  std::vector<Pipeline> pipelines;
  std::vector<Service> services;
  std::vector<Zone> zones;
  std::set<ServerId> servers_out;

  friend bool operator==(const Configuration&, const Configuration&) = default;

  const RequestClass* FindClass(const ClassId& id) const;
  const Pipeline* FindPipeline(const PipelineId& id) const;
  const Service* FindService(const ServiceId& id) const;
  const Zone* FindZone(const ZoneId& id) const;
  bool IsZoneOut(const ZoneId& id) const;
};

// Returns the target of `request_class` that applies at `wall`.
Duration TargetAt(const RequestClass& request_class, WallTime wall,
                  Duration utc_offset);

}  // namespace lovagecleat::configuration
