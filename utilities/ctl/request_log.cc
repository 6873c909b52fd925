#include "utilities/ctl/log_story.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace lovagecleat::ctl {

namespace {

using Json = nlohmann::json;

// Beliefs that changed so long before a request's first line may explain it.
constexpr std::int64_t kBeforeMilliseconds = 5000;

struct ParsedLine {
  std::int64_t unix_ms = 0;
  std::string host;
  std::string request;
  Json fields;
};

std::optional<ParsedLine> Parse(const std::string& line) {
  // Other programs may have written before the object.
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

std::vector<StoryLine> ReadStory(std::istream& log, std::string_view request) {
  std::vector<ParsedLine> beliefs;
  std::vector<ParsedLine> own;
  std::string text;
  while (std::getline(log, text)) {
    std::optional<ParsedLine> line = Parse(text);
    if (!line) continue;
    if (line->request == request) {
      own.push_back(std::move(*line));
    } else if (line->request.empty()) {
      beliefs.push_back(std::move(*line));
    }
  }
  std::vector<StoryLine> story;
  if (own.empty()) return story;
  std::set<std::string> hosts;
  std::int64_t first = own.front().unix_ms;
  std::int64_t last = first;
  for (const ParsedLine& line : own) {
    hosts.insert(line.host);
    first = std::min(first, line.unix_ms);
    last = std::max(last, line.unix_ms);
    story.push_back({line.unix_ms, Describe(line)});
  }
  for (const ParsedLine& line : beliefs) {
    const bool is_near = line.unix_ms >= first - kBeforeMilliseconds &&
                         line.unix_ms <= last && hosts.contains(line.host);
    if (is_near) story.push_back({line.unix_ms, Describe(line)});
  }
  std::stable_sort(story.begin(), story.end(),
                   [](const StoryLine& a, const StoryLine& b) {
                     return a.unix_ms < b.unix_ms;
                   });
  return story;
}

}  // namespace lovagecleat::ctl
