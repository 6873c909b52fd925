#include "utilities/load/report.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagecleat::load {

namespace {

using Json = nlohmann::json;

constexpr double kWidth = 820.0;
constexpr double kHeight = 220.0;
constexpr double kMargin = 46.0;
constexpr double kLegendStep = 150.0;
constexpr std::array<std::string_view, 6> kColours = {
    "#1b6ca8", "#c0392b", "#1e8449", "#8e44ad", "#b9770e", "#566573"};

struct Series {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

std::string EscapeHtml(std::string_view text) {
  std::string result;
  for (const char c : text) {
    switch (c) {
      case '<':
        result += "&lt;";
        break;
      case '>':
        result += "&gt;";
        break;
      case '&':
        result += "&amp;";
        break;
      case '"':
        result += "&quot;";
        break;
      default:
        result += c;
    }
  }
  return result;
}

std::string_view ColourOf(std::size_t index) {
  return kColours[index % kColours.size()];
}

// Maps values to coordinates in the plot.
struct Scale {
  double max_x = 1.0;
  double max_y = 1.0;

  double X(double x) const {
    return kMargin + x / max_x * (kWidth - 2 * kMargin);
  }
  double Y(double y) const {
    return kHeight - kMargin - y / max_y * (kHeight - 2 * kMargin);
  }
};

void OpenPlot(std::ostringstream& html, std::string_view title) {
  html << "<h2>" << EscapeHtml(title) << "</h2>\n<svg viewBox=\"0 0 " << kWidth
       << " " << kHeight << "\" role=\"img\">\n";
}

void DrawAxes(std::ostringstream& html, const Scale& scale,
              std::string_view x_unit) {
  html << "<path d=\"M" << kMargin << " " << scale.Y(scale.max_y) << " V"
       << scale.Y(0) << " H" << scale.X(scale.max_x)
       << "\" fill=\"none\" stroke=\"#888\"/>\n";
  html << "<text x=\"4\" y=\"" << scale.Y(scale.max_y) << "\">" << scale.max_y
       << "</text><text x=\"4\" y=\"" << scale.Y(0) << "\">0</text>";
  html << "<text x=\"" << scale.X(scale.max_x) << "\" y=\"" << kHeight - 28
       << "\" text-anchor=\"end\">" << scale.max_x << " " << x_unit
       << "</text>\n";
}

void DrawLegend(std::ostringstream& html, std::size_t index,
                std::string_view name) {
  const double x = kMargin + static_cast<double>(index) * kLegendStep;
  html << "<text x=\"" << x << "\" y=\"" << kHeight - 8 << "\" fill=\""
       << ColourOf(index) << "\">" << EscapeHtml(name) << "</text>\n";
}

void DrawLines(std::ostringstream& html, std::string_view title,
               const std::vector<Series>& all, std::string_view x_unit) {
  Scale scale;
  for (const Series& series : all) {
    for (const auto& [x, y] : series.points) {
      scale.max_x = std::max(scale.max_x, x);
      scale.max_y = std::max(scale.max_y, y);
    }
  }
  OpenPlot(html, title);
  DrawAxes(html, scale, x_unit);
  for (std::size_t i = 0; i < all.size(); ++i) {
    html << "<polyline fill=\"none\" stroke=\"" << ColourOf(i)
         << "\" points=\"";
    for (const auto& [x, y] : all[i].points) {
      html << scale.X(x) << "," << scale.Y(y) << " ";
    }
    html << "\"/>\n";
    DrawLegend(html, i, all[i].name);
  }
  html << "</svg>\n";
}

std::vector<Series> AttainmentSeries(const Json& results) {
  std::map<std::string, Series> by_class;
  for (const Json& window : results.at("windows")) {
    const auto second = window.at("second").get<double>();
    for (const auto& [name, cell] : window.at("by_class").items()) {
      const auto offered = cell.at(0).get<double>();
      const auto within = cell.at(1).get<double>();
      by_class[name].points.emplace_back(second, within / offered * 100.0);
    }
  }
  std::vector<Series> all;
  for (auto& [name, series] : by_class) {
    series.name = name;
    all.push_back(std::move(series));
  }
  return all;
}

std::vector<Series> LatencySeries(const Json& results) {
  static const std::array<std::pair<const char*, double>, 4> quantiles = {
      {{"p50", 50.0}, {"p90", 90.0}, {"p95", 95.0}, {"p99", 99.0}}};
  std::vector<Series> all;
  for (const auto& [name, group] : results.at("by_class").items()) {
    Series series{name, {}};
    for (const auto& [key, share] : quantiles) {
      series.points.emplace_back(share,
                                 group.at("latency_ms").at(key).get<double>());
    }
    all.push_back(std::move(series));
  }
  return all;
}

std::vector<Series> ZoneSeries(const Json& results) {
  std::map<std::string, Series> by_zone;
  for (const Json& window : results.at("zones")) {
    const auto second = window.at("second").get<double>();
    for (const auto& [zone, count] : window.at("stages_by_zone").items()) {
      by_zone[zone].points.emplace_back(second, count.get<double>());
    }
  }
  std::vector<Series> all;
  for (auto& [zone, series] : by_zone) {
    series.name = zone;
    all.push_back(std::move(series));
  }
  return all;
}

void DrawClassTable(std::ostringstream& html, const Json& results) {
  html << "<h2>Classes</h2>\n<table><tr><th>class<th>offered<th>within "
          "target, %<th>late<th>p50 ms<th>p95 ms<th>p99 ms</tr>\n";
  for (const auto& [name, group] : results.at("by_class").items()) {
    const Json& latency = group.at("latency_ms");
    html << "<tr><td>" << EscapeHtml(name) << "<td>" << group.at("offered")
         << "<td>" << group.at("attainment").get<double>() * 100.0 << "<td>"
         << group.at("late") << "<td>" << latency.at("p50") << "<td>"
         << latency.at("p95") << "<td>" << latency.at("p99") << "</tr>\n";
  }
  html << "</table>\n";
}

// Draws the mean time at a server as one bar per stage.
void DrawStages(std::ostringstream& html, const Json& results) {
  Scale scale;
  const Json& stages = results.at("stages");
  scale.max_x = static_cast<double>(std::max<std::size_t>(stages.size(), 1));
  for (const Json& stage : stages) {
    scale.max_y =
        std::max(scale.max_y, stage.at("mean_served_ms").get<double>());
  }
  OpenPlot(html, "Cost by stage: mean ms at a server");
  DrawAxes(html, scale, "");
  double x = 0.0;
  for (const auto& [name, stage] : stages.items()) {
    const auto served = stage.at("mean_served_ms").get<double>();
    const double width = (scale.X(1) - scale.X(0)) / 2;
    html << "<rect x=\"" << scale.X(x) + width / 2 << "\" y=\""
         << scale.Y(served) << "\" width=\"" << width << "\" height=\""
         << scale.Y(0) - scale.Y(served) << "\" fill=\"" << ColourOf(0)
         << "\"/><text x=\"" << scale.X(x) + width / 2 << "\" y=\""
         << kHeight - 8 << "\">" << EscapeHtml(name) << " " << served
         << "</text>\n";
    x += 1.0;
  }
  html << "</svg>\n";
}

}  // namespace

std::string RenderReport(const std::string& results_json) {
  const Json results = Json::parse(results_json);
  std::ostringstream html;
  const std::string label = results.value("label", "");
  html << "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\">\n"
       << "<title>Load " << EscapeHtml(label) << "</title>\n"
       << "<style>body{font:14px sans-serif;max-width:860px;margin:2em auto}"
       << "svg text{font-size:11px}td,th{padding:2px 10px;text-align:right}"
       << "</style>\n<h1>Load " << EscapeHtml(label) << ", seed "
       << results.at("seed") << "</h1>\n";
  DrawClassTable(html, results);
  DrawLines(html, "Within target by class, % of each second",
            AttainmentSeries(results), "s");
  DrawLines(html, "Latency quantiles by class, ms", LatencySeries(results),
            "%");
  DrawStages(html, results);
  DrawLines(html, "Stages served by zone, each second", ZoneSeries(results),
            "s");
  html << "</html>\n";
  return html.str();
}

}  // namespace lovagecleat::load
