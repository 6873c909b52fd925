#include "utilities/ctl/operator_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "utilities/ctl/exit_codes.h"

namespace lovagecleat::ctl {

namespace {

using Json = nlohmann::json;
using transport::HttpFailure;
using transport::HttpResponse;

constexpr std::chrono::seconds kAnswerTimeout{15};
constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

// Returns true if no part of a call with this failure reached the host.
bool IsKnownNotSent(HttpFailure failure) {
  return failure == HttpFailure::kNotConnected ||
         failure == HttpFailure::kSendWindowExpired;
}

std::string Dump(const Json& document) {
  return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Returns a discarded value for text that is not JSON.
Json Parse(const std::string& text) {
  constexpr bool allow_exceptions = false;
  return Json::parse(text, nullptr, allow_exceptions);
}

std::optional<std::uint64_t> RevisionOf(const Json& document) {
  if (!document.is_object()) return std::nullopt;
  const auto found = document.find("revision");
  if (found == document.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

Result UnknownOutcome(const std::string& change_id) {
  return {kExitUnknown, Dump({{"state", "unknown"}, {"change_id", change_id}})};
}

int ExitCodeOf(const HttpResponse& response) {
  switch (response.status) {
    case kStatusOk:
      return command_line::kExitSuccess;
    case kStatusConflict:
      return kExitConflict;
    case kStatusGatewayTimeout:
      return kExitUnknown;
    case kStatusUnavailable: {
      const Json document = Parse(response.body);
      const bool is_pending =
          document.is_object() && document.value("state", "") == "pending";
      return is_pending ? kExitPending : kExitRefused;
    }
    default:
      return kExitRefused;
  }
}

}  // namespace

OperatorClient::OperatorClient(std::string address)
    : address_(std::move(address)) {}

HttpResponse OperatorClient::Get(const std::string& path) {
  transport::HttpRequest request;
  request.method = "GET";
  request.address = address_;
  request.path = path;
  request.first_byte_timeout = kAnswerTimeout;
  request.deadline = session_.Now() + kAnswerTimeout;
  return session_.Call(std::move(request));
}

Result OperatorClient::SendQuery(const std::string& path) {
  const HttpResponse response = Get(path);
  if (response.failure != HttpFailure::kNone) return {kExitNotReachable, ""};
  return {ExitCodeOf(response), response.body};
}

std::optional<std::uint64_t> OperatorClient::CurrentRevision() {
  const HttpResponse response = Get("/v1/operator/status");
  if (response.failure != HttpFailure::kNone) return std::nullopt;
  return RevisionOf(Parse(response.body));
}

std::optional<std::uint64_t> OperatorClient::FindInAudit(
    const std::string& change_id) {
  const HttpResponse response = Get("/v1/operator/audit");
  if (response.failure != HttpFailure::kNone) return std::nullopt;
  const Json document = Parse(response.body);
  if (!document.is_object()) return std::nullopt;
  const auto changes = document.find("changes");
  if (changes == document.end() || !changes->is_array()) return std::nullopt;
  for (const Json& row : *changes) {
    const auto id = row.is_object() ? row.find("change_id") : row.end();
    if (id != row.end() && *id == change_id) return RevisionOf(row);
  }
  return std::nullopt;
}

Result OperatorClient::Submit(const ChangeRequest& change) {
  std::optional<std::uint64_t> expected = change.expected_revision;
  if (!expected) expected = CurrentRevision();
  if (!expected) return {kExitNotReachable, ""};
  transport::HttpRequest request;
  request.address = address_;
  request.path = "/v1/operator/changes";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = Dump({{"change_id", change.change_id},
                       {"who", change.operator_name},
                       {"expected_revision", *expected},
                       {"change", Parse(WriteChange(change.change))}});
  request.first_byte_timeout = kAnswerTimeout;
  request.deadline = session_.Now() + kAnswerTimeout;
  const HttpResponse response = session_.Call(std::move(request));
  if (IsKnownNotSent(response.failure)) return {kExitNotReachable, ""};
  const bool is_answered = response.failure == HttpFailure::kNone;
  const int code = is_answered ? ExitCodeOf(response) : kExitUnknown;
  if (code != kExitUnknown) return {code, response.body};
  // After a lost answer, the audit trail shows whether the change was accepted.
  const auto revision = FindInAudit(change.change_id);
  if (!revision) return UnknownOutcome(change.change_id);
  return {command_line::kExitSuccess,
          Dump({{"state", "accepted"}, {"revision", *revision}})};
}

}  // namespace lovagecleat::ctl
