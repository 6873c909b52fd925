#include "policy/operator_responses.h"

#include <nlohmann/json.hpp>

namespace lovagecleat::policy {
namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusInvalid = 422;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusUnknown = 504;

RespondToOperator Respond(CallId call, int status, const Json& body) {
  return {call, status,
          body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

Json Parse(std::string_view text) { return Json::parse(text, nullptr, false); }

Json ToJson(std::span<const configuration::Problem> problems) {
  Json list = Json::array();
  for (const configuration::Problem& problem : problems) {
    list.push_back({{"key", problem.key},
                    {"value", problem.value},
                    {"expected", problem.expected}});
  }
  return list;
}

Json ConflictBody(const ChangeConclusion& conclusion) {
  const Json other = conclusion.conflicting_audit_row.empty()
                         ? Json()
                         : Parse(conclusion.conflicting_audit_row);
  return {{"state", "conflict"},
          {"revision", conclusion.revision},
          {"other", other.is_discarded() ? Json() : other}};
}

}  // namespace

RespondToOperator RespondToChange(CallId call, const ChangeRequest& request,
                                  const ChangeConclusion& conclusion) {
  Json body;
  int status = kStatusOk;
  switch (conclusion.result) {
    case ChangeResult::kAccepted:
      body = {{"state", "accepted"}, {"revision", conclusion.revision}};
      break;
    case ChangeResult::kConflict:
      status = kStatusConflict;
      body = ConflictBody(conclusion);
      break;
    case ChangeResult::kInvalid:
      status = kStatusInvalid;
      body = {{"state", "invalid"}, {"problems", ToJson(conclusion.problems)}};
      break;
    case ChangeResult::kStoreUnavailable:
      return RespondNotRun(call, request,
                           "the platform's table does not answer");
    case ChangeResult::kUnknown:
      status = kStatusUnknown;
      body = {{"state", "unknown"}};
      break;
  }
  body["change_id"] = request.change_id;
  return Respond(call, status, body);
}

RespondToOperator RespondPending(CallId call, const ChangeRequest& request) {
  return Respond(call, kStatusUnavailable,
                 {{"state", "pending"}, {"change_id", request.change_id}});
}

RespondToOperator RespondNotRun(CallId call, const ChangeRequest& request,
                                std::string_view detail) {
  return Respond(call, kStatusUnavailable,
                 {{"state", "not_run"},
                  {"change_id", request.change_id},
                  {"detail", detail}});
}

RespondToOperator RespondWithConfiguration(
    CallId call, const configuration::Configuration& configuration,
    std::span<const ChangeRequest> pending) {
  Json body = Parse(configuration::WriteConfiguration(configuration));
  Json list = Json::array();
  for (const ChangeRequest& request : pending) {
    list.push_back(
        {{"change_id", request.change_id},
         {"who", request.operator_name},
         {"change", Parse(configuration::WriteChange(request.change))}});
  }
  if (!list.empty()) body["pending"] = list;
  return Respond(call, kStatusOk, body);
}

RespondToOperator RespondWithAudit(CallId call, std::span<const TableRow> rows,
                                   std::size_t maximum) {
  Json changes = Json::array();
  for (auto row = rows.rbegin(); row != rows.rend(); ++row) {
    if (changes.size() >= maximum) break;
    Json change = Parse(row->value);
    if (!change.is_discarded()) changes.push_back(std::move(change));
  }
  return Respond(call, kStatusOk, {{"changes", changes}});
}

RespondToOperator RespondAuditUnavailable(CallId call) {
  return Respond(call, kStatusUnavailable,
                 {{"state", "unavailable"},
                  {"detail", "the platform's table does not answer"}});
}

}  // namespace lovagecleat::policy
