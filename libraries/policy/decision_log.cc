#include "policy/decision_log.h"

#include <nlohmann/json.hpp>

namespace lovagecleat::policy {
namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;

std::string Dump(const Json& document) {
  // Texts may quote input from callers that is not valid UTF-8.
  return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

void DecisionLog::Add(const RecordDecision& decision, WallTime at) {
  entries_.push_back({at, decision});
  std::string& text = entries_.back().decision.text;
  if (text.size() > kMaximumTextBytes) text.resize(kMaximumTextBytes);
  if (entries_.size() > maximum_entries_) entries_.pop_front();
}

std::vector<DecisionLog::Entry> DecisionLog::Find(
    const RequestId& request) const {
  std::vector<Entry> found;
  for (const Entry& entry : entries_) {
    if (entry.decision.request == request) found.push_back(entry);
  }
  return found;
}

RespondToOperator DecisionLog::Explain(CallId call,
                                       const RequestId& request) const {
  Json decisions = Json::array();
  for (const Entry& entry : Find(request)) {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
        entry.at.time_since_epoch());
    decisions.push_back({{"at_unix_ms", at.count()},
                         {"part", entry.decision.part},
                         {"text", entry.decision.text}});
  }
  const int status = decisions.empty() ? kStatusNotFound : kStatusOk;
  const Json body{{"request", request.value()}, {"decisions", decisions}};
  return {call, status, Dump(body)};
}

}  // namespace lovagecleat::policy
