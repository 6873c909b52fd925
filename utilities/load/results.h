#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "utilities/load/workload.h"

namespace lovagecleat::load {

enum class Outcome {
  kPending,
  kDone,
  kNotRun,     // refused; reported as not run
  kUnknown,    // reported as unknown
  kFailed,     // reported as failed
  kNoAnswer,   // no valid answer or problem was received
  kMismatched  // the answer belongs to another request or is incomplete
};

struct StageSample {
  std::string stage;
  std::string server;
  std::string zone;
  std::uint32_t attempts = 0;
  double queued_ms = 0.0;
  double served_ms = 0.0;
};

// Measurements of one request; times count from its intended send time.
struct Sample {
  std::size_t class_index = 0;
  std::size_t team_index = 0;
  Duration intended{};
  Duration target{};
  Outcome outcome = Outcome::kPending;
  Duration latency{};
  std::optional<Duration> first_token;
  Duration last_token{};  // since the intended send time
  Duration longest_gap{};
  std::uint32_t tokens = 0;
  std::string refusal;  // last component of the problem's type
  std::string key;
  std::string request;
  std::string target_host;
  std::vector<StageSample> stages;

  bool IsWithinTarget() const {
    return outcome == Outcome::kDone && latency <= target;
  }
};

struct RunInfo {
  std::uint64_t seed = 0;
  double scale = 1.0;
  std::string label;
};

// Summarizes all samples of a run as one JSON document.
std::string SummarizeAsJson(const RunInfo& info, const Workload& workload,
                            const std::vector<Sample>& samples);

std::string_view ToString(Outcome outcome);

// Returns the smallest value that is not exceeded by `share` of the values; 0
// if there are none.
double Quantile(std::vector<double> values, double share);

}  // namespace lovagecleat::load
