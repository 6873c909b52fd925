#include "tests/stand_ins/backend/backend_server.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <variant>

namespace lovagecleat::stand_ins {

namespace {

using Json = nlohmann::json;
using policy::Warmth;
using Call = std::shared_ptr<transport::HttpServerCall>;

constexpr std::string_view kJsonType = "application/json";

void Respond(const Call& call, int status, const Json& body,
             const std::map<std::string, std::string>& headers = {}) {
  call->Respond(status, kJsonType, body.dump(), headers);
}

// Runs `handler` with the parsed body; responds with 400 if the body is not
// JSON or lacks a key or has a value of the wrong type.
void WithParsedBody(const Call& call,
                    const std::function<void(const Json&)>& handler) {
  try {
    handler(Json::parse(call->body()));
  } catch (const Json::exception& error) {
    Respond(call, 400, Json{{"error", error.what()}});
  }
}

std::string_view NameOf(Warmth warmth) {
  return warmth == Warmth::kWarm ? "warm" : "cold";
}

std::string_view NameOf(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kRunning:
      return "running";
    case CallOutcome::kCompleted:
      return "done";
    case CallOutcome::kFailed:
      return "failed";
    case CallOutcome::kCancelled:
      return "cancelled";
  }
  return "";
}

std::int64_t Milliseconds(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

std::uint64_t ParseNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

Json ToJson(const RunRecord& run) {
  return Json{{"request", run.request},
              {"stage", run.stage},
              {"attempt", run.attempt},
              {"idempotency_key", run.idempotency_key},
              {"start_ms", Milliseconds(run.start)},
              {"end_ms", Milliseconds(run.end)},
              {"outcome", NameOf(run.outcome)}};
}

}  // namespace

BackendServerProcess::BackendServerProcess(transport::Loop& loop,
                                           const BackendServer& server)
    : loop_(loop),
      endpoint_(server.endpoint),
      server_(loop, transport::HttpServerLimits{}),
      model_(server.settings, loop.clock().Now()) {
  Route("POST", "/v1/stage", &BackendServerProcess::HandleStage);
  Route("GET", "/v1/load", &BackendServerProcess::HandleLoad);
  Route("GET", "/v1/cache_events", &BackendServerProcess::HandleCacheEvents);
  Route("POST", "/v1/orders", &BackendServerProcess::HandleOrder);
  Route("GET", "/records", &BackendServerProcess::HandleRecords);
  server_.Route("POST", "/control",
                [this](const Call& call) { HandleControl(call); });
}

void BackendServerProcess::Route(const char* method, const char* path,
                                 Handler handler) {
  server_.Route(method, path, [this, handler](const Call& call) {
    if (silent_connections_.contains(call->connection())) {
      unanswered_.push_back(call);
      return;
    }
    seen_connections_.insert(call->connection());
    (this->*handler)(call);
  });
}

bool BackendServerProcess::Listen() {
  return server_.Listen(endpoint_.address, endpoint_.port).has_value();
}

void BackendServerProcess::OnExit(std::function<void()> callback) {
  on_exit_ = std::move(callback);
}

void BackendServerProcess::HandleStage(const Call& call) {
  WithParsedBody(call, [&](const Json& body) {
    BackendCall backend_call;
    backend_call.input = body.at("input").dump();
    backend_call.max_tokens = body.value("max_tokens", 0U);
    backend_call.offset = body.value("offset", std::uint64_t{0});
    backend_call.id = ModelCallId(++last_call_);
    backend_call.request = call->Header("x-request-id");
    backend_call.stage = call->Header("x-stage");
    backend_call.attempt = call->Header("x-attempt");
    backend_call.idempotency_key = call->Header("idempotency-key");
    backend_call.priority =
        static_cast<std::uint32_t>(ParseNumber(call->Header("x-priority")));
    const ModelCallId id = backend_call.id;
    if (model_.Start(backend_call, loop_.clock().Now()) ==
        StartResult::kRefused) {
      auto headers = ReportHeaders();
      headers["X-Not-Run"] = "true";
      Respond(call, 503, Json{{"error", "refused"}}, headers);
      return;
    }
    open_calls_.emplace(id, OpenCall{call, StreamState::kNotStarted});
    call->OnDisconnected([this, id] {
      open_calls_.erase(id);
      model_.Cancel(id, loop_.clock().Now());
      DeliverDueEvents();
    });
    DeliverDueEvents();
  });
}

// Delivers the events that are due and sets the timer for the next one.
void BackendServerProcess::DeliverDueEvents() {
  for (const BackendEvent& event : model_.Advance(loop_.clock().Now())) {
    std::visit([this](const auto& entry) { Deliver(entry); }, event);
  }
  if (timer_) loop_.Cancel(*timer_);
  timer_.reset();
  const std::optional<TimePoint> due = model_.NextDue();
  if (!due) return;
  timer_ = loop_.At(*due, [this] {
    timer_.reset();
    DeliverDueEvents();
  });
}

void BackendServerProcess::Deliver(const TokenProduced& token) {
  const auto found = open_calls_.find(token.call);
  if (found == open_calls_.end() || IsSilent(found->second)) return;
  OpenCall& open = found->second;
  if (open.stream == StreamState::kNotStarted) {
    open.call->StartStream(ReportHeaders());
    open.stream = StreamState::kStarted;
  }
  open.call->WriteEvent({"token", std::to_string(token.offset),
                         Json{{"text", token.text}}.dump()});
}

void BackendServerProcess::Deliver(const CallFinished& finished) {
  const auto found = open_calls_.find(finished.call);
  if (found == open_calls_.end() || IsSilent(found->second)) return;
  const OpenCall open = found->second;
  open_calls_.erase(found);
  const bool is_completed = finished.outcome == CallOutcome::kCompleted;
  if (open.stream == StreamState::kStarted) {
    if (!is_completed) {
      open.call->Abort();
      return;
    }
    open.call->WriteEvent({"done", "", finished.output});
    open.call->EndStream();
    return;
  }
  if (!is_completed) {
    Respond(open.call, 500, Json{{"error", "failed"}}, ReportHeaders());
    return;
  }
  open.call->Respond(200, kJsonType, finished.output, ReportHeaders());
}

std::map<std::string, std::string> BackendServerProcess::ReportHeaders() {
  const policy::ServerReport report = model_.Report();
  model_.RecordGenerationReport(loop_.clock().Now());
  return {{"X-Server-Generation", std::to_string(report.generation)},
          {"X-Server-Warmth", std::string(NameOf(report.warmth))},
          {"X-Server-In-Flight", std::to_string(report.in_flight)}};
}

void BackendServerProcess::HandleLoad(const Call& call) {
  const TimePoint now = loop_.clock().Now();
  const LoadReport load = model_.Load(now);
  if (load.generation == model_.Report().generation)
    model_.RecordGenerationReport(now);
  Respond(call, 200,
          Json{{"generation", load.generation},
               {"warmth", NameOf(load.warmth)},
               {"in_flight", load.in_flight},
               {"queued", load.queued},
               {"age_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(load.age)
                    .count()}});
}

void BackendServerProcess::HandleCacheEvents(const Call& call) {
  const std::uint64_t after = ParseNumber(call->QueryParameter("after"));
  std::uint64_t next = after;
  Json events = Json::array();
  for (const CacheEvent& event :
       model_.CacheEvents(after, loop_.clock().Now())) {
    next = event.sequence;
    events.push_back(
        {{"sequence", event.sequence},
         {"prefix", event.prefix},
         {"kind",
          event.kind == CacheEventKind::kStored ? "stored" : "evicted"}});
  }
  Respond(call, 200, Json{{"next", next}, {"events", events}});
}

void BackendServerProcess::HandleOrder(const Call& call) {
  WithParsedBody(call, [&](const Json& body) {
    const auto token = body.at("fencing_token").get<std::uint64_t>();
    const WeightLoadResult result =
        model_.LoadWeights(token, loop_.clock().Now());
    if (result.accepted) {
      Respond(call, 200, Json::object());
      return;
    }
    Respond(call, 409,
            Json{{"error", "stale_fencing_token"},
                 {"highest", result.highest_token}});
  });
}

void BackendServerProcess::HandleControl(const Call& call) {
  WithParsedBody(call, [&](const Json& body) {
    using Admission = BackendModel::Admission;
    if (body.value("cold", false)) model_.ResetToCold(loop_.clock().Now());
    if (body.contains("slow_factor")) {
      model_.SetSlowFactor(body.at("slow_factor").get<double>());
    }
    if (body.contains("error_rate")) {
      model_.SetErrorRate(body.at("error_rate").get<double>());
    }
    if (body.contains("refuse")) {
      model_.SetAdmission(body.at("refuse").get<bool>() ? Admission::kRefuses
                                                        : Admission::kAccepts);
    }
    if (body.value("silent_connections", false)) SilenceOpenConnections();
    Respond(call, 200, Json::object());
    if (body.value("exit", false)) Exit();
  });
}

void BackendServerProcess::SilenceOpenConnections() {
  silent_connections_ = seen_connections_;
}

bool BackendServerProcess::IsSilent(const OpenCall& open) const {
  return silent_connections_.contains(open.call->connection());
}

void BackendServerProcess::Exit() {
  server_.StopListening();
  const auto open = std::exchange(open_calls_, {});
  for (const auto& [id, open_call] : open) {
    model_.Cancel(id, loop_.clock().Now());
    open_call.call->Abort();
  }
  if (on_exit_) on_exit_();
}

void BackendServerProcess::HandleRecords(const Call& call) {
  Json runs = Json::array();
  for (const RunRecord& run : model_.runs()) runs.push_back(ToJson(run));
  Respond(call, 200,
          Json{{"server", model_.settings().id.value()},
               {"runs", runs},
               {"maximum_in_flight_cold", model_.maximum_in_flight_cold()},
               {"maximum_in_flight_warm", model_.maximum_in_flight_warm()},
               {"overloads", model_.overloads()}});
}

}  // namespace lovagecleat::stand_ins
