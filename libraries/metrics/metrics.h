#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/base.h"

// The public header of the metrics library: counters, gauges and quantiles, in
// the Prometheus text format.
namespace lovagecleat::metrics {

// Label names and values; use few distinct sets for each metric.
using Labels = std::map<std::string, std::string>;

// All metrics of one process. Each metric has at most kMaximumSeries label
// sets; further ones share the series with the label overflow="true".
class Registry {
 public:
  static constexpr std::size_t kMaximumSeries = 500;

  Registry();
  ~Registry();

  void Count(std::string_view name, const Labels& labels = {},
             std::uint64_t amount = 1);
  void SetGauge(std::string_view name, const Labels& labels, double value);

  // Adds a sample to a summary with the quantiles 0.5, 0.95 and 0.99, in
  // milliseconds.
  void Observe(std::string_view name, const Labels& labels, Duration sample);

  std::string PrometheusText() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::metrics
