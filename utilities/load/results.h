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
  kNotRun,     // refused, said to be not run
  kUnknown,    // said to be unknown
  kFailed,     // said to have failed
  kNoAnswer,   // the connection broke or nothing came
  kMismatched  // an answer that is not this request's, or not whole
};

struct StageSample {
  std::string stage;
  std::string server;
  std::string zone;
  std::uint32_t attempts = 0;
  double queued_ms = 0.0;
  double served_ms = 0.0;
};

// One request, from its intended send time on.
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
  std::string refusal;  // the last part of the problem's type
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

// All of a run's samples, as one JSON document.
std::string SummarizeAsJson(const RunInfo& info, const Workload& workload,
                            const std::vector<Sample>& samples);

std::string_view ToString(Outcome outcome);

// The value below which `share` of the values lie; 0 of none.
double Quantile(std::vector<double> values, double share);

}  // namespace lovagecleat::load
