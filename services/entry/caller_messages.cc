#include "services/entry/caller_messages.h"

#include <algorithm>
#include <cassert>

#include "services/entry/bounded_json.h"

namespace lovagecleat::entry {

namespace {

using Json = nlohmann::json;
using policy::RefusalReason;

constexpr std::size_t kMaximumKeyBytes = 128;

double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

Json TraceJson(const std::vector<policy::StageTrace>& trace) {
  Json stages = Json::array();
  for (const policy::StageTrace& stage : trace) {
    stages.push_back({{"stage", stage.stage},
                      {"server", stage.server.value()},
                      {"zone", stage.zone.value()},
                      {"attempts", stage.attempts},
                      {"queued_ms", ToMilliseconds(stage.queued)},
                      {"served_ms", ToMilliseconds(stage.served)}});
  }
  return stages;
}

std::string TitleOf(RefusalReason reason) {
  std::string title(policy::ToString(reason));
  std::replace(title.begin(), title.end(), '_', ' ');
  return title;
}

}  // namespace

std::optional<policy::CallerRequestArrived> CallerRequestReader::Read(
    std::string_view body) {
  const auto refuse = [this](std::string detail) {
    last_problem_ = {RefusalReason::kMalformed, std::move(detail)};
    return std::nullopt;
  };
  const std::optional<Json> json = ParseBoundedJson(body);
  if (!json.has_value() || !json->is_object()) {
    return refuse("The body must be a JSON object, at most 64 levels deep.");
  }
  for (const auto& [key, value] : json->items()) {
    const bool is_known = key == "class" || key == "team" || key == "input" ||
                          key == "deadline_ms";
    if (!is_known) return refuse("The key " + key + " is not known.");
  }
  for (const char* key : {"class", "team"}) {
    const auto found = json->find(key);
    const bool is_text = found != json->end() && found->is_string() &&
                         !found->get_ref<const std::string&>().empty();
    if (!is_text) {
      return refuse(std::string("The key ") + key + " must be a text.");
    }
  }
  if (!json->contains("input")) return refuse("The key input is missing.");

  policy::CallerRequestArrived arrival;
  arrival.request_class = ClassId(json->at("class").get<std::string>());
  arrival.team = TeamId(json->at("team").get<std::string>());
  arrival.input = WriteJson(json->at("input"));
  const auto deadline = json->find("deadline_ms");
  if (deadline == json->end()) return arrival;
  if (!deadline->is_number_integer()) {
    return refuse("The key deadline_ms must be a whole number.");
  }
  // Clamped to values that are outside the permitted range as well, since
  // larger numbers would overflow the duration.
  const auto bounded = std::clamp<double>(deadline->get<double>(), -1.0, 1e9);
  arrival.deadline =
      std::chrono::milliseconds(static_cast<std::int64_t>(bounded));
  return arrival;
}

bool IsValidIdempotencyKey(std::string_view key) {
  if (key.empty() || key.size() > kMaximumKeyBytes) return false;
  return std::all_of(key.begin(), key.end(), [](char character) {
    return character >= ' ' && character <= '~';
  });
}

std::string FormatToken(std::string_view text) {
  return WriteJson(Json{{"text", text}});
}

std::string FormatAnswer(const policy::DeliverAnswer& answer) {
  const Json fields = {{"request", answer.request.value()},
                       {"outcome", "done"},
                       {"within_target", answer.within_target},
                       {"trace", TraceJson(answer.trace)}};
  // The output is JSON text already and is passed on unchanged.
  std::string text = WriteJson(fields);
  text.pop_back();
  return text + ",\"output\":" + answer.output + "}";
}

int StatusOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kMalformed:
    case RefusalReason::kDeadlineOutOfRange:
    case RefusalReason::kMissingIdempotencyKey:
      return 400;
    case RefusalReason::kBodyTooLarge:
      return 413;
    case RefusalReason::kUnknownClass:
      return 404;
    case RefusalReason::kDuplicateInFlight:
      return 409;
    case RefusalReason::kKeyReusedForOtherRequest:
      return 422;
    case RefusalReason::kTooManyCalls:
      return 429;
    case RefusalReason::kStageFailed:
      return 502;
    case RefusalReason::kDeadlinePassed:
      return 504;
    case RefusalReason::kCannotMeetDeadline:
    case RefusalReason::kNoServer:
    case RefusalReason::kNotConfigured:
    case RefusalReason::kStopping:
    case RefusalReason::kStoreUnavailable:
      return 503;
  }
  assert(false);
  return 500;
}

ProblemDocument FormatProblem(const policy::DeliverRefusal& refusal) {
  const std::string_view reason = policy::ToString(refusal.reason);
  ProblemDocument document;
  document.status = StatusOf(refusal.reason);
  Json json = {{"type", "urn:lovagecleat:" + std::string(reason)},
               {"title", TitleOf(refusal.reason)},
               {"status", document.status},
               {"outcome", policy::ToString(refusal.outcome)},
               {"detail", refusal.detail},
               {"trace", TraceJson(refusal.trace)}};
  if (!refusal.request.empty()) json["request"] = refusal.request.value();
  if (refusal.retry_after.has_value()) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*refusal.retry_after);
    document.headers["Retry-After"] = std::to_string(seconds.count());
  }
  document.body = WriteJson(json);
  return document;
}

}  // namespace lovagecleat::entry
