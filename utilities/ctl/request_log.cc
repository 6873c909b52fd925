#include "utilities/ctl/request_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace lovagecleat::ctl {

namespace {

using Json = nlohmann::json;

// State changes of a host within this time before a request's first line are
// included, since they may explain its course.
constexpr std::int64_t kLookbackMs = 5000;

struct ParsedLine {
  std::int64_t unix_ms = 0;
  std::string host;
  std::string request;
  Json fields;
};

std::optional<ParsedLine> Parse(const std::string& line) {
  // A log collector may have put a prefix before the object.
  const std::size_t start = line.find('{');
  if (start == std::string::npos) return std::nullopt;
  Json json = Json::parse(line.substr(start), nullptr, false);
  if (!json.is_object() || !json.contains("event")) return std::nullopt;
  ParsedLine parsed;
  if (json.contains("unix_ms") && json["unix_ms"].is_number())
    parsed.unix_ms = json["unix_ms"].get<std::int64_t>();
  if (json.contains("host") && json["host"].is_string())
    parsed.host = json["host"].get<std::string>();
  if (json.contains("request") && json["request"].is_string())
    parsed.request = json["request"].get<std::string>();
  parsed.fields = std::move(json);
  return parsed;
}

std::string Describe(const ParsedLine& line) {
  std::string text = line.host;
  const Json& event = line.fields["event"];
  text += " " + (event.is_string() ? event.get<std::string>() : event.dump());
  for (const auto& [key, value] : line.fields.items()) {
    if (key == "event" || key == "host" || key == "unix_ms") continue;
    text += " " + key + "=";
    text += value.is_string() ? value.get<std::string>() : value.dump();
  }
  return text;
}

}  // namespace

std::vector<RequestLogLine> ReadRequestLog(std::istream& log,
                                           std::string_view request) {
  std::vector<ParsedLine> host_events;
  std::vector<ParsedLine> request_lines;
  std::string text;
  while (std::getline(log, text)) {
    std::optional<ParsedLine> line = Parse(text);
    if (!line) continue;
    if (line->request == request) {
      request_lines.push_back(std::move(*line));
    } else if (line->request.empty()) {
      host_events.push_back(std::move(*line));
    }
  }
  std::vector<RequestLogLine> lines;
  if (request_lines.empty()) return lines;
  std::set<std::string> hosts;
  std::int64_t first = request_lines.front().unix_ms;
  std::int64_t last = first;
  for (const ParsedLine& line : request_lines) {
    hosts.insert(line.host);
    first = std::min(first, line.unix_ms);
    last = std::max(last, line.unix_ms);
    lines.push_back({line.unix_ms, Describe(line)});
  }
  for (const ParsedLine& line : host_events) {
    const bool is_related = line.unix_ms >= first - kLookbackMs &&
                            line.unix_ms <= last && hosts.contains(line.host);
    if (is_related) lines.push_back({line.unix_ms, Describe(line)});
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const RequestLogLine& a, const RequestLogLine& b) {
                     return a.unix_ms < b.unix_ms;
                   });
  return lines;
}

}  // namespace lovagecleat::ctl
