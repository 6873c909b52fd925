#include "services/entry/backend_calls.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "services/entry/bounded_json.h"

namespace lovagecleat::entry {

using policy::AttemptOutcome;
using transport::HttpFailure;
using transport::HttpResponse;
using transport::ServerSentEvent;

namespace {

constexpr std::size_t kMaximumResponseBytes = std::size_t{1024} * 1024;
// Far above any real generation, load or age (ms), and small enough not to
// overflow when units are converted.
constexpr std::uint64_t kMaximumNumber = 1'000'000'000;
constexpr std::size_t kMaximumLoadBytes = 4096;
constexpr Duration kLoadTimeout = std::chrono::milliseconds(500);
constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc{} || result.ptr != end) return std::nullopt;
  return number;
}

std::string_view FindHeader(const HttpResponse& response,
                            const std::string& name) {
  const auto found = response.headers.find(name);
  if (found == response.headers.end()) return {};
  return found->second;
}

AttemptOutcome OutcomeOfFailure(HttpFailure failure) {
  switch (failure) {
    case HttpFailure::kNotConnected:
    case HttpFailure::kSendWindowExpired:
      return AttemptOutcome::kNotSent;
    case HttpFailure::kNoProgress:
      return AttemptOutcome::kNoProgress;
    case HttpFailure::kDeadlineReached:
      return AttemptOutcome::kDeadlineReached;
    case HttpFailure::kCancelled:
      return AttemptOutcome::kCancelled;
    case HttpFailure::kNone:
    case HttpFailure::kConnectionLost:
    case HttpFailure::kTooLarge:
    case HttpFailure::kInvalidResponse:
      return AttemptOutcome::kConnectionLost;
  }
  return AttemptOutcome::kConnectionLost;
}

std::string RequestBody(const policy::StartBackendCall& command) {
  // The input is JSON text already.
  return "{\"input\":" + command.input +
         ",\"max_tokens\":" + std::to_string(command.max_tokens) +
         ",\"offset\":" + std::to_string(command.offset) + "}";
}

}  // namespace

AttemptOutcome OutcomeOf(const HttpResponse& response) {
  if (response.failure != HttpFailure::kNone) {
    return OutcomeOfFailure(response.failure);
  }
  if (response.status == kStatusOk) return AttemptOutcome::kOk;
  const bool is_not_run = FindHeader(response, "x-not-run") == "true";
  if (response.status == kStatusUnavailable && is_not_run) {
    return AttemptOutcome::kRefused;
  }
  return AttemptOutcome::kServerError;
}

std::optional<policy::ServerReport> ReadReportHeaders(
    const HttpResponse& response) {
  const auto generation =
      ParseNumber(FindHeader(response, "x-server-generation"));
  if (!generation.has_value()) return std::nullopt;
  policy::ServerReport report;
  report.generation = *generation;
  const bool is_warm = FindHeader(response, "x-server-warmth") == "warm";
  report.warmth = is_warm ? policy::Warmth::kWarm : policy::Warmth::kCold;
  const auto in_flight =
      ParseNumber(FindHeader(response, "x-server-in-flight"));
  report.in_flight = static_cast<std::uint32_t>(in_flight.value_or(0));
  return report;
}

BackendCalls::BackendCalls(transport::HttpClient& client, const Clock& clock,
                           EventSink sink)
    : client_(client), clock_(clock), sink_(std::move(sink)) {}

void BackendCalls::Start(const policy::StartBackendCall& command) {
  const Duration remaining = command.deadline - clock_.Now();
  const auto remaining_ms = std::max<Duration::rep>(
      0, std::chrono::floor<std::chrono::milliseconds>(remaining).count());
  transport::HttpRequest request;
  request.method = "POST";
  request.address = command.address;
  request.path = "/v1/stage";
  request.headers = {{"Content-Type", "application/json"},
                     {"X-Request-Id", command.request.value()},
                     {"X-Stage", command.stage},
                     {"X-Attempt", std::to_string(command.attempt.value())},
                     {"X-Team", command.team.value()},
                     {"X-Remaining-Ms", std::to_string(remaining_ms)},
                     {"X-Priority", std::to_string(command.priority)}};
  if (!command.idempotency_key.empty()) {
    request.headers["Idempotency-Key"] = command.idempotency_key;
  }
  request.body = RequestBody(command);
  request.first_byte_timeout = command.first_byte_timeout;
  request.progress_timeout = command.progress_timeout;
  request.send_before = command.send_before;
  request.deadline = command.deadline;
  request.maximum_body_bytes = kMaximumResponseBytes;
  const bool is_idempotent =
      command.idempotency == configuration::Idempotency::kIdempotent;
  request.connection = is_idempotent ? transport::ConnectionChoice::kAny
                                     : transport::ConnectionChoice::kFresh;

  const AttemptId attempt = command.attempt;
  Call& call = calls_[attempt];
  call.http = client_.Start(
      std::move(request),
      [this, attempt](const HttpResponse& response) {
        HandleFinished(attempt, response);
      },
      [this, attempt](const ServerSentEvent& event) {
        HandleEvent(attempt, event);
      });
}

std::optional<policy::ServerReport> ReadLoadReport(std::string_view body) {
  const auto json = ParseBoundedJson(body);
  if (!json.has_value() || !json->is_object()) return std::nullopt;
  for (const char* key : {"generation", "in_flight", "age_ms"}) {
    const auto found = json->find(key);
    const bool is_number = found != json->end() &&
                           found->is_number_unsigned() &&
                           found->get<std::uint64_t>() <= kMaximumNumber;
    if (!is_number) return std::nullopt;
  }
  const auto warmth = json->find("warmth");
  if (warmth == json->end()) return std::nullopt;
  policy::ServerReport report;
  report.generation = json->at("generation").get<std::uint64_t>();
  report.in_flight = json->at("in_flight").get<std::uint32_t>();
  report.warmth =
      *warmth == "warm" ? policy::Warmth::kWarm : policy::Warmth::kCold;
  report.age = std::chrono::milliseconds(json->at("age_ms").get<int>());
  return report;
}

void BackendCalls::PollLoad(const policy::PollLoad& command) {
  transport::HttpRequest request;
  request.method = "GET";
  request.address = command.address;
  request.path = "/v1/load";
  request.first_byte_timeout = kLoadTimeout;
  request.progress_timeout = kLoadTimeout;
  request.maximum_body_bytes = kMaximumLoadBytes;
  const ServerId server = command.server;
  client_.Start(std::move(request),
                [this, server](const HttpResponse& response) {
                  const bool is_ok = response.failure == HttpFailure::kNone &&
                                     response.status == kStatusOk;
                  if (!is_ok) return;
                  const auto report = ReadLoadReport(response.body);
                  if (report.has_value())
                    sink_(policy::LoadReported{server, *report});
                });
}

void BackendCalls::Cancel(AttemptId attempt) {
  const auto found = calls_.find(attempt);
  if (found == calls_.end()) return;
  client_.Cancel(found->second.http);
}

void BackendCalls::HandleEvent(AttemptId attempt,
                               const ServerSentEvent& event) {
  const auto found = calls_.find(attempt);
  if (found == calls_.end()) return;
  if (event.event == "done") {
    found->second.final_output = event.data;
    found->second.has_final_output = true;
    return;
  }
  const auto offset = ParseNumber(event.id);
  const auto json = ParseBoundedJson(event.data);
  const bool is_token = event.event == "token" && offset.has_value() &&
                        json.has_value() && json->is_object() &&
                        json->contains("text") && json->at("text").is_string();
  // Malformed and unknown events are ignored; the final output is checked
  // later.
  if (!is_token) return;
  sink_(policy::BackendToken{attempt, *offset,
                             json->at("text").get<std::string>()});
}

void BackendCalls::HandleFinished(AttemptId attempt,
                                  const HttpResponse& response) {
  const auto found = calls_.find(attempt);
  if (found == calls_.end()) return;
  const Call call = found->second;
  calls_.erase(found);
  policy::BackendFinished finished;
  finished.attempt = attempt;
  finished.outcome = OutcomeOf(response);
  finished.report = ReadReportHeaders(response);
  finished.output = call.has_final_output ? call.final_output : response.body;
  // A response that is not JSON cannot be passed on, but the stage may have
  // run.
  const bool is_usable = finished.outcome != AttemptOutcome::kOk ||
                         ParseBoundedJson(finished.output).has_value();
  if (!is_usable) finished.outcome = AttemptOutcome::kServerError;
  if (finished.outcome != AttemptOutcome::kOk) finished.output.clear();
  sink_(finished);
}

}  // namespace lovagecleat::entry
