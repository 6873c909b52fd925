#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"

// What is offered to a deployment, and when.
namespace lovagecleat::load {

// A span in which the offered share of the rated load changes evenly.
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
  double rate = 0.0;  // requests a second at factor 1
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
  std::uint64_t contexts = 1;  // different prompt prefixes in use

  Duration length() const;
};

struct Arrival {
  Duration at{};  // from the start of the run
  std::size_t class_index = 0;
  std::size_t team_index = 0;
  std::uint64_t context = 0;
};

enum class WorkloadError { kNone, kMalformedJson, kMissingOrWrong, kEmpty };

class WorkloadReader {
 public:
  std::optional<Workload> Read(std::string_view json);
  WorkloadError last_error() const { return last_error_; }

 private:
  WorkloadError last_error_ = WorkloadError::kNone;
};

// Poisson arrivals of every class, by time. Equal seeds give equal arrivals;
// no more than `maximum_count` are returned.
std::vector<Arrival> PlanArrivals(const Workload& workload, double scale,
                                  std::uint64_t seed,
                                  std::size_t maximum_count);

// The share of the rated load that is offered at `at`.
double FactorAt(const Workload& workload, Duration at);

}  // namespace lovagecleat::load
