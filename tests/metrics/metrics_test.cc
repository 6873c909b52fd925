#include "metrics/metrics.h"

#include <catch2/catch.hpp>
#include <string>

namespace lovagecleat::metrics {
namespace {

using Catch::Contains;

TEST_CASE("Counters, gauges and quantiles are written as Prometheus text") {
  Registry registry;
  registry.Count("calls_total", {{"class", "lookup"}}, 2);
  registry.Count("calls_total", {{"class", "lookup"}});
  registry.SetGauge("open", {}, 1.5);
  for (int i = 1; i <= 100; ++i) {
    registry.Observe("answer_ms", {}, std::chrono::milliseconds(i));
  }
  const std::string text = registry.PrometheusText();
  REQUIRE_THAT(text, Contains("# TYPE calls_total counter\n"
                              "calls_total{class=\"lookup\"} 3\n"));
  REQUIRE_THAT(text, Contains("open 1.5\n"));
  REQUIRE_THAT(text, Contains("answer_ms_count 100\n"));
  REQUIRE_THAT(text, Contains("answer_ms_sum 5050\n"));
  REQUIRE_THAT(text, Contains("answer_ms{quantile=\"0.95\"} 9"));
}

TEST_CASE("Label values are escaped") {
  Registry registry;
  registry.Count("calls_total", {{"class", "a\"b\\c\nd"}});
  REQUIRE_THAT(registry.PrometheusText(), Contains(R"(a\"b\\c d)"));
}

TEST_CASE("Label sets over the limit share one series") {
  Registry registry;
  for (std::size_t i = 0; i < Registry::kMaximumSeries + 50; ++i) {
    registry.Count("calls_total", {{"team", std::to_string(i)}});
  }
  REQUIRE_THAT(registry.PrometheusText(),
               Contains("calls_total{overflow=\"true\"} 50\n"));
}

}  // namespace
}  // namespace lovagecleat::metrics
