#include "services/entry/operator_api.h"

#include <utility>

#include "services/entry/bounded_json.h"

namespace lovagecleat::entry {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaximumNameBytes = 128;

Json ProblemsJson(const std::vector<configuration::Problem>& problems) {
  Json list = Json::array();
  for (const configuration::Problem& problem : problems) {
    list.push_back({{"key", problem.key},
                    {"value", problem.value},
                    {"expected", problem.expected}});
  }
  return list;
}

void RefuseChange(transport::HttpServerCall& http, const Json& problems) {
  const Json body = {{"type", "urn:lovagecleat:invalid_change"},
                     {"title", "invalid change"},
                     {"status", 422},
                     {"state", "not_run"},
                     {"problems", problems}};
  http.Respond(422, "application/problem+json", WriteJson(body), {});
}

Json OneProblem(std::string_view key, std::string_view expected) {
  return Json::array({{{"key", key}, {"value", ""}, {"expected", expected}}});
}

bool HasName(const Json& json, const char* key) {
  const auto found = json.find(key);
  if (found == json.end() || !found->is_string()) return false;
  const auto& text = found->get_ref<const std::string&>();
  return !text.empty() && text.size() <= kMaximumNameBytes;
}

}  // namespace

OperatorApi::OperatorApi(transport::HttpServer& server, EventSink sink)
    : sink_(std::move(sink)) {
  using Kind = policy::OperatorQueryKind;
  RouteQuery(server, "/v1/operator/status", Kind::kStatus, "");
  RouteQuery(server, "/v1/operator/configuration", Kind::kConfiguration, "");
  RouteQuery(server, "/v1/operator/audit", Kind::kAudit, "until");
  RouteQuery(server, "/v1/operator/explain", Kind::kExplain, "request");
  server.Route("POST", "/v1/operator/changes",
               [this](HttpCall http) { HandleChange(std::move(http)); });
}

CallId OperatorApi::RegisterCall(HttpCall http) {
  const CallId id(++last_call_);
  http->OnDisconnected([this, id] { calls_.erase(id); });
  calls_.emplace(id, std::move(http));
  return id;
}

void OperatorApi::RouteQuery(transport::HttpServer& server,
                             std::string_view path,
                             policy::OperatorQueryKind kind,
                             std::string_view parameter) {
  const std::string name(parameter);
  server.Route("GET", path, [this, kind, name](const HttpCall& http) {
    policy::OperatorQueryArrived query;
    query.kind = kind;
    if (!name.empty()) query.argument = http->QueryParameter(name);
    query.call = RegisterCall(http);
    sink_(query);
  });
}

void OperatorApi::HandleChange(HttpCall http) {
  const std::optional<Json> parsed = ParseBoundedJson(http->body());
  if (!parsed.has_value() || !parsed->is_object()) {
    RefuseChange(*http, OneProblem("", "a JSON object"));
    return;
  }
  const Json& json = *parsed;
  for (const char* key : {"change_id", "who"}) {
    if (HasName(json, key)) continue;
    RefuseChange(*http, OneProblem(std::string("/") + key,
                                   "a text of 1 to 128 characters"));
    return;
  }
  const auto revision = json.find("expected_revision");
  if (revision == json.end() || !revision->is_number_unsigned()) {
    RefuseChange(*http, OneProblem("/expected_revision", "a whole number"));
    return;
  }
  const auto change = json.find("change");
  if (change == json.end()) {
    RefuseChange(*http, OneProblem("/change", "a change"));
    return;
  }
  configuration::ChangeReader reader;
  const std::optional<configuration::Change> read =
      reader.Read(WriteJson(*change));
  if (!read.has_value()) {
    RefuseChange(*http, ProblemsJson(reader.problems()));
    return;
  }
  policy::OperatorChangeSubmitted submitted;
  submitted.change_id = json.at("change_id").get<std::string>();
  submitted.operator_name = json.at("who").get<std::string>();
  submitted.expected_revision = revision->get<std::uint64_t>();
  submitted.change = *read;
  submitted.call = RegisterCall(std::move(http));
  sink_(submitted);
}

void OperatorApi::Respond(const policy::RespondToOperator& response) {
  const auto found = calls_.find(response.call);
  if (found == calls_.end()) return;
  const HttpCall http = found->second;
  calls_.erase(found);
  http->Respond(response.status, "application/json", response.body, {});
}

}  // namespace lovagecleat::entry
