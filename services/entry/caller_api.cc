#include "services/entry/caller_api.h"

#include <utility>

namespace lovagecleat::entry {

using transport::HttpServerCall;
using transport::ServerSentEvent;

namespace {

constexpr std::string_view kEventStream = "text/event-stream";

}  // namespace

CallerApi::CallerApi(transport::HttpServer& server, metrics::Registry& metrics,
                     const Clock& clock, EventSink sink)
    : metrics_(metrics), clock_(clock), sink_(std::move(sink)) {
  server.Route("POST", "/v1/requests",
               [this](const std::shared_ptr<HttpServerCall>& http) {
                 HandleRequest(http);
               });
}

void CallerApi::RespondWithProblem(HttpServerCall& http,
                                   const RequestProblem& problem) {
  policy::DeliverRefusal refusal;
  refusal.reason = problem.reason;
  refusal.outcome = policy::RequestOutcome::kNotRun;
  refusal.detail = problem.detail;
  const ProblemDocument document = FormatProblem(refusal);
  metrics_.Count("lovagecleat_refusals_total",
                 {{"reason", std::string(ToString(problem.reason))}});
  http.Respond(document.status, "application/problem+json", document.body,
               document.headers);
}

void CallerApi::HandleRequest(const std::shared_ptr<HttpServerCall>& http) {
  CallerRequestReader reader;
  std::optional<policy::CallerRequestArrived> arrival =
      reader.Read(http->body());
  if (!arrival.has_value()) {
    RespondWithProblem(*http, reader.last_problem());
    return;
  }
  arrival->idempotency_key = http->Header("idempotency-key");
  const bool is_key_invalid = !arrival->idempotency_key.empty() &&
                              !IsValidIdempotencyKey(arrival->idempotency_key);
  if (is_key_invalid) {
    RespondWithProblem(*http,
                       {policy::RefusalReason::kMalformed,
                        "The Idempotency-Key must have 1 to 128 printable "
                        "characters."});
    return;
  }
  const bool wants_stream =
      http->Header("accept").find(kEventStream) != std::string::npos;
  arrival->delivery = wants_stream ? policy::Delivery::kStream
                                   : policy::Delivery::kSingleResponse;
  const CallId id(++last_call_);
  arrival->call = id;
  Call& call = calls_[id];
  call.http = http;
  call.delivery = arrival->delivery;
  call.request_class = arrival->request_class.value();
  call.arrived_at = clock_.Now();
  http->OnDisconnected([this, id] {
    if (calls_.erase(id) > 0) sink_(policy::CallerDisconnected{id});
  });
  sink_(*arrival);
}

CallerApi::Call* CallerApi::Find(CallId id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

void CallerApi::StartStream(Call& call) {
  if (call.is_streaming) return;
  call.is_streaming = true;
  call.http->StartStream({});
}

void CallerApi::Deliver(const policy::DeliverToken& token) {
  Call* call = Find(token.call);
  if (call == nullptr) return;
  if (!call->is_streaming) {
    metrics_.Observe("lovagecleat_first_token_ms",
                     {{"class", call->request_class}},
                     clock_.Now() - call->arrived_at);
  }
  StartStream(*call);
  metrics_.Count("lovagecleat_tokens_total");
  ServerSentEvent event;
  event.event = "token";
  event.id = std::to_string(token.offset);
  event.data = FormatToken(token.text);
  call->http->WriteEvent(event);
}

void CallerApi::Deliver(const policy::DeliverAnswer& answer) {
  Call* call = Find(answer.call);
  if (call == nullptr) return;
  const std::string body = FormatAnswer(answer);
  metrics_.Count("lovagecleat_answers_total",
                 {{"class", call->request_class},
                  {"within_target", answer.within_target ? "yes" : "no"}});
  metrics_.Observe("lovagecleat_answer_ms", {{"class", call->request_class}},
                   clock_.Now() - call->arrived_at);
  if (call->delivery == policy::Delivery::kStream) {
    StartStream(*call);
    call->http->WriteEvent({"answer", "", body});
    call->http->EndStream();
  } else {
    call->http->Respond(200, "application/json", body, {});
  }
  calls_.erase(answer.call);
}

void CallerApi::Deliver(const policy::DeliverRefusal& refusal) {
  Call* call = Find(refusal.call);
  if (call == nullptr) return;
  const ProblemDocument document = FormatProblem(refusal);
  metrics_.Count("lovagecleat_refusals_total",
                 {{"reason", std::string(ToString(refusal.reason))}});
  if (call->is_streaming) {
    call->http->WriteEvent({"problem", "", document.body});
    call->http->EndStream();
  } else {
    call->http->Respond(document.status, "application/problem+json",
                        document.body, document.headers);
  }
  calls_.erase(refusal.call);
}

}  // namespace lovagecleat::entry
