#include "services/gateway/request_flow.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// The timeout response is sent this long before the caller's deadline, or
// before the caller is taken to leave.
constexpr Duration kDeadlineMargin = milliseconds(10);
constexpr Duration kEventDeadlineMargin = milliseconds(100);
// Retry-After, and the wait for the first configuration, are at most the
// caller's time divided by this.
constexpr int kWaitDivisor = 3;
// Least Retry-After of a refused request, before that limit and the jitter.
constexpr Duration kMinimumRetryAfter = milliseconds(400);
constexpr double kRetryAfterJitter = 0.5;
// Resolution of Retry-After.
constexpr Duration kRetryAfterStep = milliseconds(10);
// Maximum wait for the first configuration, which takes a few milliseconds to
// read while the store is available.
constexpr Duration kConfigurationWait = milliseconds(1000);
// Callers are taken to leave a stream whose next event does not come within the
// longest of these: a fixed time, a multiple of the route's latency target, and
// a multiple of its target for the gap between events.
constexpr Duration kMinimumEventTimeLimit = milliseconds(2000);
constexpr int kEventLatencyTargets = 4;
constexpr int kEventGapTargets = 8;
// Added to the timeout of a route for the longest time since the first event of
// a stream that callers resume: they resume it at once.
constexpr Duration kStreamAgeMargin = milliseconds(1000);
constexpr int kMostUrgentPriority = 0;

std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  return colon == std::string_view::npos ? host : host.substr(0, colon);
}

}  // namespace

RequestFlow::RequestFlow(Context& context, const RequestServices& services,
                         http::Exchange& exchange, EndCallback on_end)
    : context_(context),
      stages_(services.stages),
      origins_(services.origins),
      notices_(services.notices),
      path_(services.path),
      relays_(services.relays),
      checks_(services.checks),
      content_blocks_(services.content_blocks),
      content_watch_(context, services.content_blocks),
      exchange_(&exchange),
      on_end_(std::move(on_end)),
      arrived_at_(exchange.arrived_at()) {
  exchange.SetObserver(this);
}

RequestFlow::~RequestFlow() {
  origins_.Cancel(this);
  context_.loop.Cancel(deadline_timer_);
  context_.loop.Cancel(response_timer_);
  context_.loop.Cancel(wait_timer_);
  context_.loop.Cancel(check_timer_);
}

// --- Arrival ----------------------------------------------------------------

void RequestFlow::Start() {
  std::optional<CallerRequest> request =
      context_.codec.ReadRequest(exchange_->head());
  if (!request) return Fail({400, "unreadable_fields"});
  request_ = std::move(*request);
  if (context_.table) return ApplyRoute();
  // A process that has just started reads its configuration shortly.
  Duration wait = kConfigurationWait;
  if (request_.timeout) wait = std::min(wait, *request_.timeout / kWaitDivisor);
  wait_timer_ =
      context_.loop.After(wait, [this] { Refuse("no_configuration"); });
}

void RequestFlow::OnConfiguration() {
  if (table_ || has_ended_) return;
  context_.loop.Cancel(wait_timer_);
  ApplyRoute();
}

void RequestFlow::ApplyRoute() {
  table_ = context_.table;
  if (!FindRoute()) return;
  deadline_ = arrived_at_ + route_->timeout;
  if (request_.timeout)
    deadline_ = std::min(deadline_, arrived_at_ + *request_.timeout);
  latency_target_at_ = arrived_at_ + route_->latency_target;
  event_deadline_ = deadline_;
  if (IsStream())
    event_deadline_ = std::min(deadline_, arrived_at_ + EventTimeLimit());
  StartDeadlineTimer();
  const http::RequestHead& head = exchange_->head();
  content_watch_.Start(
      request_.prompt,
      {team_, head.method,
       WithoutPort(http::FindField(head.fields, "Host").value_or("")),
       head.target, exchange_->body(), request_.prompt.parts});
  if (RefuseBlockedContent()) return;
  if (path_.ShouldAvoid() && PassOn()) return;
  if (path_.is_lost()) return Refuse("no_path");
  if (IsStream() && request_.resume_after) return FindOrigin();
  StartStages();
}

// A stream that does not begin in time ends while its caller still waits. One
// that has begun is left to its caller.
void RequestFlow::StartDeadlineTimer() {
  TimePoint end = deadline_ - kDeadlineMargin;
  if (!has_begun_response_)
    end = std::min(end, event_deadline_ - kEventDeadlineMargin);
  context_.loop.Cancel(deadline_timer_);
  deadline_timer_ = context_.loop.At(end, [this] { OnDeadline(); });
}

// A stream that no host knows may have begun at any service of its route.
void RequestFlow::FindOrigin() {
  const ServiceId only_service =
      route_->services.size() == 1 ? service_ : ServiceId();
  origins_.Find({StreamId(), only_service, route_->timeout + kStreamAgeMargin},
                this,
                [this](const std::optional<routing::StreamOrigin>& origin) {
                  OnOrigin(origin);
                });
}

void RequestFlow::OnOrigin(const std::optional<routing::StreamOrigin>& origin) {
  if (has_ended_) return;
  if (!origin) return Refuse("unknown_origin");
  if (!route_->Allows(origin->service)) return Refuse("service_moved");
  service_ = origin->service;
  version_.Set(origin->software_version);
  const std::vector<routing::ServerRecord*> servers =
      context_.directory.InService(service_);
  if (std::none_of(servers.begin(), servers.end(),
                   [this](const routing::ServerRecord* server) {
                     return IsCandidate(*server);
                   }))
    return Refuse("no_server_of_version");
  // Its caller has waited longest and has part of the response, which is lost
  // unless the stream goes on.
  priority_ = std::min(priority_, kMostUrgentPriority);
  StartStages();
}

Duration RequestFlow::EventTimeLimit() const {
  return std::max({kMinimumEventTimeLimit,
                   route_->latency_target * kEventLatencyTargets,
                   route_->stream_gap_target * kEventGapTargets});
}

bool RequestFlow::FindRoute() {
  const http::RequestHead& head = exchange_->head();
  const std::string_view host =
      WithoutPort(http::FindField(head.fields, "Host").value_or(""));
  const std::string_view target = head.target;
  const std::string_view path = target.substr(0, target.find('?'));
  route_ = table_->FindRoute(host, path);
  if (route_ == nullptr) {
    Fail({404, "no_route"});
    return false;
  }
  priority_ = route_->priority;
  if (table_->has_teams && !route_->is_public) {
    const auto team = table_->team_by_key.find(request_.key);
    if (request_.key.empty() || team == table_->team_by_key.end()) {
      Fail({401, "unknown_key"});
      return false;
    }
    team_ = team->second.id.value();
    priority_ = team->second.priority_override.value_or(priority_);
  }
  std::uint64_t total = 0;
  for (const routing::WeightedService& choice : route_->services)
    total += choice.weight;
  if (total == 0) {
    Refuse("no_service");
    return false;
  }
  std::uint64_t point = context_.random.Below(total);
  for (const routing::WeightedService& choice : route_->services) {
    if (point < choice.weight) {
      service_ = choice.service;
      break;
    }
    point -= choice.weight;
  }
  return true;
}

void RequestFlow::StartStages() {
  plan_.emplace(route_->stages, request_.stage_items);
  if (plan_->IsDone()) return Send();
  if (Now() + MinimumStageTime() >= event_deadline_) return Refuse("too_late");
  if (const auto first_return = TooLateReturn())
    return RefuseUntil(*first_return);
  if (stages_.room().is_enabled()) {
    if (!AdmitByRoom()) return;
  } else {
    const Duration wait = ChooseZone();
    // The request could not finish in time, so it is refused at once.
    const Duration least = MinimumStageTime() + least_prefill_time_;
    if (Now() + least >= event_deadline_) return Refuse("too_late");
    if (Now() + least + wait >= event_deadline_)
      return Refuse("overloaded", wait);
  }
  SubmitReadyItems();
  stages_.Flush();
}

// --- End of the request -----------------------------------------------------

// Returns 503, which tells the caller that the request was not run, only if
// that is certain, else 502.
int RequestFlow::StatusWithoutResponse() const {
  switch (send_state_) {
    case SendState::kNotSent:
    case SendState::kNotRun:
      return 503;
    case SendState::kUnknown:
    case SendState::kRun:
      return 502;
  }
  return 502;
}

void RequestFlow::Refuse(std::string_view cause, Duration retry_after) {
  Fail({StatusWithoutResponse(), cause, retry_after});
}

Duration RequestFlow::TimeUntilRetry(Duration least) {
  Duration wait = std::max(least, kMinimumRetryAfter);
  if (route_ != nullptr)
    wait = std::min(wait, (deadline_ - Now()) / kWaitDivisor);
  return std::max(context_.random.Jitter(wait, kRetryAfterJitter),
                  Duration::zero());
}

// Rounded up, since an earlier retry would be refused again. Spread, so that
// callers do not return all at once.
Duration RequestFlow::TimeUntilReturn(Duration first_return, double spread) {
  const auto later = std::chrono::duration_cast<Duration>(
      first_return * (spread * context_.random.Unit()));
  const Duration wait = first_return + later;
  return (wait / kRetryAfterStep + 1) * kRetryAfterStep;
}

void RequestFlow::RefuseUntil(TimePoint first_return) {
  Fail({StatusWithoutResponse(), "servers_quiet", first_return - Now(), true});
}

bool RequestFlow::RefuseBlockedContent() {
  const std::optional<TimePoint> until = content_watch_.BlockedUntil();
  if (!until) return false;
  Fail({StatusWithoutResponse(), "content_blocked", *until - Now(), true});
  return true;
}

// A request that a server may have run is only passed on if it may be repeated.
bool RequestFlow::MayPassOn() const {
  if (has_ended_ || !table_ || request_.is_relayed || has_begun_response_ ||
      Now() + kDeadlineMargin >= deadline_ || !relays_.HasHost())
    return false;
  const bool may_be_at_server = call_ && call_->may_have_been_sent();
  const bool was_not_run =
      send_state_ == SendState::kNotSent || send_state_ == SendState::kNotRun;
  if (was_not_run && !may_be_at_server) return true;
  return route_->MayRepeat() && !content_watch_.is_trial() &&
         context_.retry_budget.HasRetry(service_);
}

bool RequestFlow::PassOn() {
  if (!MayPassOn()) return false;
  const bool is_repeat = (call_ && call_->may_have_been_sent()) ||
                         send_state_ == SendState::kUnknown ||
                         send_state_ == SendState::kRun;
  if (is_repeat && !context_.retry_budget.TakeRetry(service_)) return false;
  if (call_) EndSend(routing::CallResult::kNoEvidence, "passed_on");
  http::Exchange& exchange = *std::exchange(exchange_, nullptr);
  const RelayedRequest relayed{request_.id,         route_->name, service_,
                               route_->MayRepeat(), is_repeat,    deadline_};
  End(0, "passed_on");
  relays_.Start(exchange, relayed);
  return true;
}

void RequestFlow::OnPathLost() { PassOn(); }

void RequestFlow::OnContentBlocked() {
  const bool is_responding = has_begun_response_ && call_;
  if (has_ended_ || !table_ || is_responding || !content_watch_.BlockedUntil())
    return;
  if (call_) {
    EndSend(routing::CallResult::kNoEvidence, "content_blocked");
    send_state_ = SendState::kUnknown;
  }
  RefuseBlockedContent();
}

void RequestFlow::Fail(Failure failure) {
  if (has_ended_) return;
  if (has_begun_response_) {
    is_cut_ = true;
    exchange_->Abort();
    return End(failure.status, failure.cause);
  }
  http::HeaderFields fields;
  if (failure.status == 503) {
    const Duration wait =
        failure.is_return_known
            ? TimeUntilReturn(failure.retry_after, failure.return_spread)
            : TimeUntilRetry(failure.retry_after);
    char text[16];
    std::snprintf(text, sizeof(text), "%.2f", Milliseconds(wait) / 1000.0);
    fields.push_back({"Retry-After", text});
  }
  exchange_->Respond(failure.status, fields, {});
  End(failure.status, failure.cause);
}

void RequestFlow::OnDeadline() {
  if (call_) {
    ObserveMissingEvent();
    EndSend(ResultOfSilence(), "time_up");
    send_state_ = SendState::kUnknown;
  }
  const int status = StatusWithoutResponse() == 503 ? 503 : 504;
  Fail({status, "time_up"});
}

void RequestFlow::OnProcessEnding() {
  if (has_ended_ || has_begun_response_) return;
  if (call_) {
    EndSend(routing::CallResult::kNoEvidence, "stopping");
    send_state_ = SendState::kUnknown;
  }
  Refuse("stopping");
}

void RequestFlow::OnClientDisconnected() {
  if (call_) EndSend(routing::CallResult::kNoEvidence, "client_gone");
  End(499, "client_gone");
}

double RequestFlow::MillisecondsSinceArrival(
    std::optional<TimePoint> at) const {
  return at ? Milliseconds(*at - arrived_at_) : -1;
}

void RequestFlow::End(int status, std::string_view cause) {
  if (has_ended_) return;
  has_ended_ = true;
  if (call_) EndSend(routing::CallResult::kNoEvidence, "dropped");
  exchange_ = nullptr;
  context_.loop.Cancel(deadline_timer_);
  context_.loop.Cancel(response_timer_);
  context_.loop.Cancel(wait_timer_);
  context_.loop.Cancel(check_timer_);
  origins_.Cancel(this);
  const std::size_t open_items = open_items_.size();
  DropStageWork();
  const Duration elapsed = Now() - arrived_at_;
  const std::string route = route_ ? route_->name : "none";
  context_.metrics.Count("lovagecleat_requests_total",
                         {{"route", route}, {"cause", std::string(cause)}});
  context_.metrics.Observe("lovagecleat_request_ms", {{"route", route}},
                           elapsed);
  context_.log.Write(
      "request", request_.id,
      {{"route", route},
       {"service", service_.value()},
       {"server", server_.value()},
       {"software_version", software_version_},
       {"resumed_stream", request_.resumed_stream},
       {"table_version", table_ ? table_->version : 0},
       {"status", status},
       {"cause", cause},
       {"sends", sends_},
       {"home_place", home_rank_},
       {"events", events_},
       {"is_cut", is_cut_},
       {"open_items", open_items},
       {"sent_ms", MillisecondsSinceArrival(first_sent_at_)},
       {"first_event_ms", MillisecondsSinceArrival(first_event_at_)},
       {"ms", Milliseconds(elapsed)},
       {"goal_ms", Milliseconds(latency_target_at_ - arrived_at_)}});
  on_end_(this);
}

}  // namespace lovagecleat::gateway
