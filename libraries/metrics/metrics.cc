#include "metrics/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <set>
#include <sstream>
#include <vector>

namespace lovagecleat::metrics {

namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};
constexpr double kMicrosecondsPerMillisecond = 1000.0;

using Quantiles = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                        accumulators::tag::extended_p_square>>;

Quantiles MakeQuantiles() {
  return Quantiles(accumulators::tag::extended_p_square::probabilities =
                       kQuantiles);
}

std::string Escape(const std::string& value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\\' || character == '"') escaped += '\\';
    escaped += character == '\n' ? ' ' : character;
  }
  return escaped;
}

std::string FormatLabels(const Labels& labels) {
  if (labels.empty()) return "";
  std::string text = "{";
  for (const auto& [name, value] : labels) {
    if (text.size() > 1) text += ",";
    text += name + "=\"" + Escape(value) + "\"";
  }
  return text + "}";
}

const Labels& OverflowLabels() {
  static const Labels labels = {{"overflow", "true"}};
  return labels;
}

// The series of one metric; label sets over kMaximumSeries share one series.
template <typename Value>
class Family {
 public:
  template <typename Make>
  Value& SeriesFor(const Labels& labels, Make make) {
    const auto found = series_.find(labels);
    if (found != series_.end()) return found->second;
    const bool is_below_limit = series_.size() < Registry::kMaximumSeries;
    const Labels& used = is_below_limit ? labels : OverflowLabels();
    return series_.try_emplace(used, make()).first->second;
  }

  const std::map<Labels, Value>& series() const { return series_; }

 private:
  std::map<Labels, Value> series_;
};

}  // namespace

class Registry::State {
 public:
  std::map<std::string, Family<std::uint64_t>, std::less<>> counters;
  std::map<std::string, Family<double>, std::less<>> gauges;
  std::map<std::string, Family<Quantiles>, std::less<>> summaries;
};

namespace {

template <typename Families>
auto& FindOrAddFamily(Families& families, std::string_view name) {
  const auto found = families.find(name);
  if (found != families.end()) return found->second;
  return families[std::string(name)];
}

template <typename Families>
void WriteScalars(std::ostream& out, const Families& families,
                  std::string_view type) {
  for (const auto& [name, family] : families) {
    out << "# TYPE " << name << " " << type << "\n";
    for (const auto& [labels, value] : family.series()) {
      out << name << FormatLabels(labels) << " " << value << "\n";
    }
  }
}

void WriteSummary(std::ostream& out, const std::string& name,
                  const Labels& labels, const Quantiles& quantiles) {
  const auto estimates = accumulators::extended_p_square(quantiles);
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    Labels with_quantile = labels;
    std::ostringstream quantile;
    quantile << kQuantiles.at(i);
    with_quantile["quantile"] = quantile.str();
    out << name << FormatLabels(with_quantile) << " "
        << estimates[static_cast<std::ptrdiff_t>(i)] << "\n";
  }
  out << name << "_sum" << FormatLabels(labels) << " "
      << accumulators::sum(quantiles) << "\n";
  out << name << "_count" << FormatLabels(labels) << " "
      << accumulators::count(quantiles) << "\n";
}

}  // namespace

Registry::Registry() : state_(std::make_unique<State>()) {}

Registry::~Registry() = default;

void Registry::Count(std::string_view name, const Labels& labels,
                     std::uint64_t amount) {
  FindOrAddFamily(state_->counters, name).SeriesFor(labels, [] {
    return std::uint64_t{0};
  }) += amount;
}

void Registry::SetGauge(std::string_view name, const Labels& labels,
                        double value) {
  FindOrAddFamily(state_->gauges, name).SeriesFor(labels, [] { return 0.0; }) =
      value;
}

void Registry::Observe(std::string_view name, const Labels& labels,
                       Duration sample) {
  const double milliseconds =
      static_cast<double>(sample.count()) / kMicrosecondsPerMillisecond;
  FindOrAddFamily(state_->summaries, name)
      .SeriesFor(labels, MakeQuantiles)(milliseconds);
}

std::string Registry::PrometheusText() const {
  std::ostringstream out;
  WriteScalars(out, state_->counters, "counter");
  WriteScalars(out, state_->gauges, "gauge");
  for (const auto& [name, family] : state_->summaries) {
    out << "# TYPE " << name << " summary\n";
    for (const auto& [labels, quantiles] : family.series()) {
      WriteSummary(out, name, labels, quantiles);
    }
  }
  return out.str();
}

}  // namespace lovagecleat::metrics
