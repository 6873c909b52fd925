#include "utilities/load/results.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <nlohmann/json.hpp>

namespace lovagecleat::load {

namespace {

using Json = nlohmann::json;

constexpr double kMicrosecondsPerMillisecond = 1000.0;

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond;
}

double Rounded(double value) {
  constexpr double steps = 1000.0;
  return std::round(value * steps) / steps;
}

std::int64_t SecondOf(const Sample& sample) {
  return std::chrono::duration_cast<std::chrono::seconds>(sample.intended)
      .count();
}

Json Quantiles(const std::vector<double>& values) {
  return Json{{"p50", Rounded(Quantile(values, 0.50))},
              {"p90", Rounded(Quantile(values, 0.90))},
              {"p95", Rounded(Quantile(values, 0.95))},
              {"p99", Rounded(Quantile(values, 0.99))}};
}

// Accumulates counts and quantiles of a group of samples.
class SampleGroup {
 public:
  void Add(const Sample& sample) {
    ++offered_;
    ++outcomes_[std::string(ToString(sample.outcome))];
    if (!sample.refusal.empty()) ++refusals_[sample.refusal];
    if (sample.IsWithinTarget()) ++within_target_;
    if (sample.outcome != Outcome::kDone) return;
    if (!sample.IsWithinTarget()) ++late_;
    latency_.push_back(Milliseconds(sample.latency));
    if (!sample.first_token) return;
    first_token_.push_back(Milliseconds(*sample.first_token));
    if (sample.tokens < 2) return;
    const Duration span = sample.last_token - *sample.first_token;
    mean_gap_.push_back(Milliseconds(span) / (sample.tokens - 1));
    longest_gap_.push_back(Milliseconds(sample.longest_gap));
  }

  Json ToJson() const {
    const double share = offered_ == 0 ? 1.0
                                       : static_cast<double>(within_target_) /
                                             static_cast<double>(offered_);
    return Json{{"offered", offered_},
                {"within_target", within_target_},
                {"late", late_},
                {"attainment", Rounded(share)},
                {"outcomes", outcomes_},
                {"refusals", refusals_},
                {"latency_ms", Quantiles(latency_)},
                {"first_token_ms", Quantiles(first_token_)},
                {"mean_token_gap_ms", Quantiles(mean_gap_)},
                {"longest_token_gap_ms", Quantiles(longest_gap_)}};
  }

 private:
  std::uint64_t offered_ = 0;
  std::uint64_t within_target_ = 0;
  std::uint64_t late_ = 0;
  std::map<std::string, std::uint64_t> outcomes_;
  std::map<std::string, std::uint64_t> refusals_;
  std::vector<double> latency_;
  std::vector<double> first_token_;
  std::vector<double> mean_gap_;
  std::vector<double> longest_gap_;
};

Json GroupBy(const std::vector<Sample>& samples,
             const std::function<std::string(const Sample&)>& name_of) {
  std::map<std::string, SampleGroup> groups;
  for (const Sample& sample : samples) groups[name_of(sample)].Add(sample);
  Json result = Json::object();
  for (const auto& [name, group] : groups) result[name] = group.ToJson();
  return result;
}

std::string PhaseOf(const Workload& workload, const Sample& sample) {
  Duration end{};
  for (const Phase& phase : workload.phases) {
    end += phase.length;
    if (sample.intended < end) return phase.name;
  }
  return workload.phases.back().name;
}

// Returns [offered, within target] for each second and class.
Json Windows(const Workload& workload, const std::vector<Sample>& samples) {
  std::map<std::int64_t, std::map<std::string, std::pair<int, int>>> windows;
  for (const Sample& sample : samples) {
    auto& cell = windows[SecondOf(sample)]
                        [workload.classes[sample.class_index].id.value()];
    ++cell.first;
    if (sample.IsWithinTarget()) ++cell.second;
  }
  Json result = Json::array();
  for (const auto& [second, classes] : windows) {
    Json by_class = Json::object();
    for (const auto& [name, cell] : classes) {
      by_class[name] = {cell.first, cell.second};
    }
    result.push_back({{"second", second}, {"by_class", by_class}});
  }
  return result;
}

struct StageTotals {
  std::uint64_t calls = 0;
  std::uint64_t attempts = 0;
  double queued_ms = 0.0;
  double served_ms = 0.0;
};

Json Stages(const std::vector<Sample>& samples) {
  std::map<std::string, StageTotals> totals;
  for (const Sample& sample : samples) {
    for (const StageSample& stage : sample.stages) {
      StageTotals& total = totals[stage.stage];
      ++total.calls;
      total.attempts += stage.attempts;
      total.queued_ms += stage.queued_ms;
      total.served_ms += stage.served_ms;
    }
  }
  Json result = Json::object();
  for (const auto& [name, total] : totals) {
    const auto calls = static_cast<double>(total.calls);
    result[name] = {{"calls", total.calls},
                    {"attempts", total.attempts},
                    {"mean_queued_ms", Rounded(total.queued_ms / calls)},
                    {"mean_served_ms", Rounded(total.served_ms / calls)}};
  }
  return result;
}

// Counts for each second and zone the served stages of the requests sent in
// that second.
Json ZoneTimeline(const std::vector<Sample>& samples) {
  std::map<std::int64_t, std::map<std::string, int>> counts;
  for (const Sample& sample : samples) {
    for (const StageSample& stage : sample.stages) {
      ++counts[SecondOf(sample)][stage.zone];
    }
  }
  Json result = Json::array();
  for (const auto& [second, zones] : counts) {
    result.push_back({{"second", second}, {"stages_by_zone", zones}});
  }
  return result;
}

Json KeysOf(const std::vector<Sample>& samples, Outcome outcome) {
  Json keys = Json::array();
  for (const Sample& sample : samples) {
    if (sample.outcome != outcome || sample.key.empty()) continue;
    keys.push_back(sample.key);
  }
  return keys;
}

}  // namespace

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kPending:
      return "pending";
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kNoAnswer:
      return "no_answer";
    case Outcome::kMismatched:
      return "mismatched";
  }
  return "";
}

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0.0;
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(values.size())));
  const std::size_t index = rank == 0 ? 0 : rank - 1;
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

std::string SummarizeAsJson(const RunInfo& info, const Workload& workload,
                            const std::vector<Sample>& samples) {
  SampleGroup all;
  std::uint64_t mismatched = 0;
  for (const Sample& sample : samples) {
    all.Add(sample);
    if (sample.outcome == Outcome::kMismatched) ++mismatched;
  }
  const auto class_of = [&](const Sample& sample) {
    return workload.classes[sample.class_index].id.value();
  };
  const auto team_of = [&](const Sample& sample) {
    return workload.teams[sample.team_index].id.value();
  };
  const auto phase_of = [&](const Sample& sample) {
    return PhaseOf(workload, sample);
  };
  return Json{{"label", info.label},
              {"seed", info.seed},
              {"scale", info.scale},
              {"all", all.ToJson()},
              {"by_class", GroupBy(samples, class_of)},
              {"by_team", GroupBy(samples, team_of)},
              {"by_phase", GroupBy(samples, phase_of)},
              {"by_phase_and_class", GroupBy(samples,
                                             [&](const Sample& sample) {
                                               return phase_of(sample) + "/" +
                                                      class_of(sample);
                                             })},
              {"by_phase_and_team", GroupBy(samples,
                                            [&](const Sample& sample) {
                                              return phase_of(sample) + "/" +
                                                     team_of(sample);
                                            })},
              {"windows", Windows(workload, samples)},
              {"stages", Stages(samples)},
              {"zones", ZoneTimeline(samples)},
              {"not_run_keys", KeysOf(samples, Outcome::kNotRun)},
              {"done_keys", KeysOf(samples, Outcome::kDone)},
              {"mismatched", mismatched}}
      .dump(1);
}

}  // namespace lovagecleat::load
