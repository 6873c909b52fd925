#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

// Describes the load for a deployment and plans its arrivals.
namespace lovagecleat::load {

// A period in which the load factor changes linearly.
struct Phase {
  std::string name;
  Duration length{};
  double from_factor = 1.0;
  double to_factor = 1.0;
};

enum class Delivery { kSingleResponse, kStream };
enum class KeyUse { kNone, kUnique };

struct ClassLoad {
  ClassId id;
  double rate = 0.0;  // requests per second at factor 1
  Delivery delivery = Delivery::kSingleResponse;
  KeyUse key = KeyUse::kNone;
};

struct TeamShare {
  TeamId id;
  double share = 0.0;
};

struct Workload {
  std::vector<ClassLoad> classes;
  std::vector<TeamShare> teams;
  std::vector<Phase> phases;
  std::uint64_t contexts = 1;  // number of different prompt prefixes

  Duration length() const;
};

struct Arrival {
  Duration at{};  // since the start of the run
  std::size_t class_index = 0;
  std::size_t team_index = 0;
  std::uint64_t context = 0;
};

enum class WorkloadError { kNone, kMalformedJson, kMissingOrInvalid, kEmpty };

class WorkloadReader {
 public:
  std::optional<Workload> Read(std::string_view json);
  WorkloadError last_error() const { return last_error_; }

 private:
  WorkloadError last_error_ = WorkloadError::kNone;
};

// Returns at most `maximum_count` Poisson arrivals of all classes, sorted by
// time. Equal seeds give equal arrivals.
std::vector<Arrival> PlanArrivals(const Workload& workload, double scale,
                                  std::uint64_t seed,
                                  std::size_t maximum_count);

// Returns the load factor at `at`; 0 after the end.
double FactorAt(const Workload& workload, Duration at);

}  // namespace lovagecleat::load
