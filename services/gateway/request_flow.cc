#include "services/gateway/request_flow.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// The answer leaves this long before the caller stops waiting for it.
constexpr Duration kAnswerLead = milliseconds(10);
// Callers wait at most this part of their time before they come back.
constexpr int kLongestRetryPart = 3;
// Callers that are refused come back after about this time.
constexpr Duration kRetryAfter = milliseconds(400);
constexpr double kRetryAfterJitter = 0.5;
// Longest wait for the first configuration, which is read in some milliseconds
// where the store serves.
constexpr Duration kConfigurationWait = milliseconds(1000);
// Callers leave a stream that has not begun after the longest of these: a time,
// times its goal, times the longest pause that is on time.
constexpr Duration kLeastStreamPatience = milliseconds(2000);
constexpr int kPatienceInGoals = 4;
constexpr int kPatienceInGaps = 8;

double Milliseconds(Duration time) {
  return static_cast<double>(time.count()) / 1000.0;
}

std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  return colon == std::string_view::npos ? host : host.substr(0, colon);
}

}  // namespace

RequestFlow::RequestFlow(Context& context, StagePool& stages,
                         http::Exchange& exchange, EndCallback on_end)
    : context_(context),
      stages_(stages),
      exchange_(&exchange),
      on_end_(std::move(on_end)),
      arrived_at_(exchange.arrived_at()) {
  exchange.SetObserver(this);
}

RequestFlow::~RequestFlow() {
  context_.loop.Cancel(end_timer_);
  context_.loop.Cancel(silence_timer_);
  context_.loop.Cancel(wait_timer_);
}

// --- Arrival ----------------------------------------------------------------

void RequestFlow::Start() {
  std::optional<CallerRequest> request =
      context_.wire.ReadRequest(exchange_->head());
  if (!request) return Fail({400, "unreadable_fields"});
  request_ = std::move(*request);
  if (context_.table) return FollowRoute();
  // A process that has just started knows its configuration in a moment.
  Duration wait = kConfigurationWait;
  if (request_.patience)
    wait = std::min(wait, *request_.patience / kLongestRetryPart);
  wait_timer_ =
      context_.loop.After(wait, [this] { Refuse("no_configuration"); });
}

void RequestFlow::OnConfiguration() {
  if (table_ || has_ended_) return;
  context_.loop.Cancel(wait_timer_);
  FollowRoute();
}

void RequestFlow::FollowRoute() {
  table_ = context_.table;
  if (!FindRoute()) return;
  ends_at_ = arrived_at_ + route_->timeout;
  if (request_.patience)
    ends_at_ = std::min(ends_at_, arrived_at_ + *request_.patience);
  goal_at_ = arrived_at_ + route_->goal;
  begins_by_ = ends_at_;
  if (IsStream())
    begins_by_ = std::min(
        ends_at_, arrived_at_ + std::max({kLeastStreamPatience,
                                          route_->goal * kPatienceInGoals,
                                          route_->gap_goal * kPatienceInGaps}));
  end_timer_ = context_.loop.At(ends_at_ - kAnswerLead, [this] { OnTimeUp(); });
  StartStages();
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
    priority_ = team->second.priority.value_or(priority_);
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
  if (Now() + LeastStageTime() >= begins_by_) return Refuse("too_late");
  const Duration wait = ChooseZone();
  // Waiting for what cannot be done in time helps nobody.
  if (Now() + LeastStageTime() + wait >= begins_by_)
    return Refuse("overloaded", wait);
  SubmitReadyItems();
  stages_.Flush();
}

// --- Ends -------------------------------------------------------------------

// The status for a request without an answer: "not run" only if that is sure.
int RequestFlow::StatusOfUnserved() const {
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

void RequestFlow::Refuse(std::string_view cause, Duration come_back) {
  Fail({StatusOfUnserved(), cause, come_back});
}

void RequestFlow::Fail(Ending ending) {
  if (has_ended_) return;
  if (is_passing_) {
    exchange_->Abort();
    return End(ending.status, ending.cause);
  }
  http::HeaderFields fields;
  if (ending.status == 503) {
    Duration wait = std::max(ending.come_back, kRetryAfter);
    if (route_ != nullptr)
      wait = std::min(wait, (ends_at_ - Now()) / kLongestRetryPart);
    wait = std::max(context_.random.Jitter(wait, kRetryAfterJitter),
                    Duration::zero());
    char text[16];
    std::snprintf(text, sizeof(text), "%.2f", Milliseconds(wait) / 1000.0);
    fields.push_back({"Retry-After", text});
  }
  exchange_->Respond(ending.status, fields, {});
  End(ending.status, ending.cause);
}

void RequestFlow::OnTimeUp() {
  if (call_) {
    EndSend(routing::CallResult::kFailed, "time_up");
    send_state_ = SendState::kUnknown;
  }
  const int status = StatusOfUnserved() == 503 ? 503 : 504;
  Fail({status, "time_up"});
}

void RequestFlow::OnClientGone() {
  if (call_) EndSend(routing::CallResult::kFull, "client_gone");
  End(499, "client_gone");
}

double RequestFlow::MillisecondsUntil(std::optional<TimePoint> at) const {
  return at ? Milliseconds(*at - arrived_at_) : -1;
}

void RequestFlow::End(int status, std::string_view cause) {
  if (has_ended_) return;
  has_ended_ = true;
  if (call_) EndSend(routing::CallResult::kFull, "dropped");
  exchange_ = nullptr;
  context_.loop.Cancel(end_timer_);
  context_.loop.Cancel(silence_timer_);
  context_.loop.Cancel(wait_timer_);
  const std::vector<routing::ItemId> items(open_items_.begin(),
                                           open_items_.end());
  stages_.Withdraw(items);
  ReleaseResults();
  const Duration taken = Now() - arrived_at_;
  const std::string route = route_ ? route_->name : "none";
  context_.metrics.Count("lovagecleat_requests_total",
                         {{"route", route}, {"cause", std::string(cause)}});
  context_.metrics.Observe("lovagecleat_request_ms", {{"route", route}}, taken);
  context_.log.Write("request", request_.id,
                     {{"route", route},
                      {"service", service_.value()},
                      {"server", server_.value()},
                      {"table_version", table_ ? table_->version : 0},
                      {"status", status},
                      {"cause", cause},
                      {"sends", sends_},
                      {"home_place", home_place_},
                      {"events", events_},
                      {"open_items", items.size()},
                      {"sent_ms", MillisecondsUntil(first_sent_at_)},
                      {"first_event_ms", MillisecondsUntil(first_event_at_)},
                      {"ms", Milliseconds(taken)},
                      {"goal_ms", Milliseconds(goal_at_ - arrived_at_)}});
  on_end_(this);
}

}  // namespace lovagecleat::gateway
