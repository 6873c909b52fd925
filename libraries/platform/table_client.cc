#include "platform/table_client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace lovagecleat::platform {

namespace {

using policy::TableAnswered;
using policy::TableOutcome;
using policy::TableRow;
using transport::HttpFailure;
using transport::HttpResponse;

constexpr int kOkStatus = 200;
constexpr int kConflictStatus = 409;
constexpr int kUnavailableStatus = 503;

std::optional<TableRow> ReadRow(const nlohmann::json& json) {
  if (!json.is_object()) return std::nullopt;
  const auto key = json.find("key");
  const auto version = json.find("version");
  const auto value = json.find("value");
  if (key == json.end() || version == json.end() || value == json.end())
    return std::nullopt;
  if (!key->is_string() || !version->is_number_unsigned()) return std::nullopt;
  if (!value->is_string()) return std::nullopt;
  return TableRow{key->get<std::string>(), version->get<std::uint64_t>(),
                  value->get<std::string>()};
}

std::optional<std::vector<TableRow>> ReadRows(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto rows = json.find("rows");
  if (rows == json.end() || !rows->is_array()) return std::nullopt;
  std::vector<TableRow> result;
  result.reserve(rows->size());
  for (const auto& row : *rows) {
    auto read = ReadRow(row);
    if (!read) return std::nullopt;
    result.push_back(std::move(*read));
  }
  return result;
}

// Only a response that states it, or a request of which no byte was sent,
// proves that a write was not applied. In all other cases, also for an
// unreadable response, the outcome is unknown.
TableAnswered ToAnswer(OperationId operation, const HttpResponse& response) {
  TableAnswered unknown{operation, TableOutcome::kUnknown, {}};
  TableAnswered unavailable{operation, TableOutcome::kUnavailable, {}};
  if (response.failure == HttpFailure::kNotConnected ||
      response.failure == HttpFailure::kSendWindowExpired)
    return unavailable;
  if (response.failure != HttpFailure::kNone) return unknown;
  if (response.status == kUnavailableStatus) return unavailable;
  if (response.status != kOkStatus && response.status != kConflictStatus)
    return unknown;
  auto rows = ReadRows(response.body);
  if (!rows) return unknown;
  const auto outcome = response.status == kOkStatus ? TableOutcome::kOk
                                                    : TableOutcome::kConflict;
  return {operation, outcome, std::move(*rows)};
}

nlohmann::json ToJson(const policy::TableWrite& write) {
  return {{"key", write.key},
          {"expected_version", write.expected_version},
          {"value", write.value}};
}

// Keys and values may contain caller input, which need not be UTF-8.
std::string ToText(const nlohmann::json& json) {
  constexpr int compact = -1;
  return json.dump(compact, ' ', false,
                   nlohmann::json::error_handler_t::replace);
}

}  // namespace

TableClient::TableClient(transport::HttpClient& http, std::string address,
                         AnswerCallback on_answer)
    : http_(http),
      address_(std::move(address)),
      on_answer_(std::move(on_answer)) {}

void TableClient::Read(const policy::ReadTable& command) {
  const nlohmann::json body = {{"keys", command.keys}};
  Post(command.operation, "/v1/table/read", ToText(body));
}

void TableClient::Scan(const policy::ScanTable& command) {
  const nlohmann::json body = {{"prefix", command.prefix},
                               {"from", command.from},
                               {"limit", command.limit}};
  Post(command.operation, "/v1/table/scan", ToText(body));
}

void TableClient::Write(const policy::WriteTable& command) {
  nlohmann::json writes = nlohmann::json::array();
  for (const auto& write : command.writes) writes.push_back(ToJson(write));
  const nlohmann::json body = {{"writes", std::move(writes)}};
  Post(command.operation, "/v1/table/write", ToText(body));
}

void TableClient::Post(OperationId operation, std::string path,
                       std::string body) {
  transport::HttpRequest request;
  request.address = address_;
  request.path = std::move(path);
  request.body = std::move(body);
  // A pooled connection may be dead without having been closed.
  request.connection = transport::ConnectionChoice::kFresh;
  request.first_byte_timeout = kResponseTimeout;
  request.progress_timeout = kResponseTimeout;
  request.deadline = http_.clock().Now() + kResponseTimeout;
  request.maximum_body_bytes = kMaximumResponseBytes;
  http_.Start(std::move(request),
              [operation, on_answer = on_answer_](const HttpResponse& r) {
                on_answer(ToAnswer(operation, r));
              });
}

}  // namespace lovagecleat::platform
