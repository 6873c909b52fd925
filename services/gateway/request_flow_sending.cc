#include <algorithm>
#include <utility>

#include "services/gateway/request_flow.h"
#include "services/gateway/silence.h"

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// Another server is taken to need the route's latency target to respond, but at
// least this long.
constexpr Duration kMinimumResponseTime = milliseconds(150);
// Period of the checks whether a silent server can be left.
constexpr Duration kLeaveCheckPeriod = milliseconds(250);
// Sends beyond the route's attempts that servers may reject without running
// the request.
constexpr int kExtraSends = 2;
// Sends of one request that may fail to connect.
constexpr int kMaximumConnectFailures = 6;
// A request with less time left than this is not sent again.
constexpr Duration kMinimumTimeToRetry = milliseconds(20);
// Urgency sent to servers: base + step * priority. Values below the base are
// not used.
constexpr int kUrgencyBase = 2;
constexpr int kUrgencyStep = 2;
constexpr int kLowestUrgency = 9;

routing::Warmth WarmthOf(const routing::ServerRecord& server, TimePoint now) {
  return server.cold_until > now ? routing::Warmth::kUnknown
                                 : routing::Warmth::kWarm;
}

}  // namespace

void RequestFlow::Send() {
  if (HasReleasedInputs()) return RecomputeStages(plan_->stage_count());
  // OnStagesDone sends the request.
  if (!plan_->IsDone()) return;
  if (RefuseBlockedContent() || !IsOriginKnown()) return;
  const routing::PromptServerChoice choice = ChooseServer();
  if (choice.server == nullptr) return WaitForServer();
  // The budget counts what servers receive, so a send that could not connect
  // is not a try.
  const bool has_arrived = sends_ > connect_failures_;
  if (has_arrived && !context_.retry_budget.TakeRetry(service_))
    return Fail({StatusWithoutResponse(), "retry_budget"});
  if (sends_ == 0) context_.retry_budget.CountFirstTry(service_);
  SendTo(choice);
}

// Returns whether the request may be sent to the server, apart from its state.
bool RequestFlow::IsCandidate(const routing::ServerRecord& server) const {
  if (version_.version() &&
      server.entry.software_version != *version_.version())
    return false;
  if (!MayUseVersion(server)) return false;
  return std::find(tried_.begin(), tried_.end(), server.entry.id) ==
         tried_.end();
}

// Removes the servers that may not get this request and those at their rate
// limit.
std::vector<routing::ServerRecord*> RequestFlow::WithoutUnavailable(
    std::vector<routing::ServerRecord*> servers) const {
  const TimePoint now = Now();
  const routing::ColdRateLimit limit = context_.ColdRateLimitOf(service_);
  std::erase_if(servers, [&](const routing::ServerRecord* server) {
    return !IsCandidate(*server) ||
           !context_.limiter.MaySend(server->entry.id, limit,
                                     WarmthOf(*server, now), now) ||
           !context_.server_limits.MaySend(server->entry.incarnation(),
                                           routing::ServerUsers::kAllHosts,
                                           now);
  });
  return ServersByRollout(context_, service_, takes_new_, std::move(servers));
}

routing::PromptServerChoice RequestFlow::ChooseServer() {
  ChooseVersion();
  std::vector<routing::ServerRecord*> usable =
      WithoutUnavailable(context_.directory.Usable(service_, Now()));
  // If no server is usable, one that has failed recently is better than none.
  if (usable.empty())
    usable = WithoutUnavailable(
        context_.directory.UsableOrSuspended(service_, Now()));
  if (usable.empty()) return {};
  usable = WithKnownProcess(std::move(usable));
  if (route_->uses_prompts)
    return context_.placement.Choose(
        usable, request_.prompt, context_.host_count, context_.SpeedsNow(),
        {context_.prompt_queues, Now(), latency_target_at_ - Now()});
  return {ChooseLeastLoadedServer(usable), 0, 0};
}

routing::ServerRecord* RequestFlow::ChooseLeastLoadedServer(
    std::span<routing::ServerRecord* const> usable) {
  const routing::SpeedView speeds = context_.SpeedsNow();
  routing::ServerRecord* best = nullptr;
  double best_load = 0;
  for (routing::ServerRecord* server : usable) {
    const bool is_in_own_zone = server->entry.zone == context_.settings.zone;
    // A server in the own zone is preferred up to one call more in flight; the
    // random term breaks ties.
    const double slowness =
        speeds.SlownessOf(server->entry, routing::WorkKind::kPlain);
    const double load =
        server->in_flight + (slowness - 1) * (server->in_flight + 1) +
        (is_in_own_zone ? 0.0 : 0.9) + 0.2 * context_.random.Unit();
    if (best != nullptr && load >= best_load) continue;
    best = server;
    best_load = load;
  }
  return best;
}

// Returns the end of waits for a server: the request's latency target or, once
// a stream has begun, when its caller leaves.
TimePoint RequestFlow::LatestSend() const {
  return has_begun_response_ ? event_deadline_
                             : std::min(latency_target_at_, deadline_);
}

// Returns when the first server of the service ends its quiet time, or nothing
// if one is not quiet. Only servers that could continue the request's stream
// count.
std::optional<TimePoint> RequestFlow::FirstReturnOf(
    const ServiceId& service) const {
  std::vector<routing::ServerRecord*> servers =
      context_.directory.InService(service);
  if (version_.version() && service == service_)
    std::erase_if(servers, [this](const routing::ServerRecord* server) {
      return server->entry.software_version != *version_.version();
    });
  context_.rollouts.Filter(service, service == service_ && takes_new_, servers,
                           Now());
  return routing::FirstReturn(servers, Now());
}

// Returns when the servers that the request needs return, if all of one service
// are quiet for longer than the request can wait.
std::optional<TimePoint> RequestFlow::TooLateReturn() const {
  std::optional<TimePoint> latest = FirstReturnOf(service_);
  for (std::size_t i = 0; i < plan_->stage_count(); ++i) {
    if (plan_->item_count(i) == 0) continue;
    const auto first_return = FirstReturnOf(plan_->stage(i).service);
    if (first_return)
      latest = std::max(latest.value_or(*first_return), *first_return);
  }
  return latest && *latest >= LatestSend() ? latest : std::nullopt;
}

// Every server has been tried, is quiet or is at its rate limit. Waits until an
// untried one may be used, unless that is too late.
void RequestFlow::WaitForServer() {
  const TimePoint now = Now();
  const routing::ColdRateLimit limit = context_.ColdRateLimitOf(service_);
  std::optional<TimePoint> next;
  bool is_limited = false;
  for (const routing::ServerRecord* server :
       context_.directory.InService(service_)) {
    if (!IsCandidate(*server)) continue;
    const auto next_send = context_.limiter.NextSendAt(
        server->entry.id, limit, WarmthOf(*server, now), now);
    const routing::ServerIncarnation incarnation = server->entry.incarnation();
    const auto next_within_limit = context_.server_limits.NextSendAt(
        incarnation, routing::ServerUsers::kAllHosts, now);
    if (!next_send || !next_within_limit) continue;
    is_limited |= context_.server_limits.IsLimited(incarnation);
    const TimePoint usable_at =
        std::max({*next_send, *next_within_limit, server->quiet_until});
    next = std::min(next.value_or(usable_at), usable_at);
  }
  // A stream that has begun is cut unless it is sent somewhere, and a server
  // that was silent or full may take it by now.
  const bool is_too_late = !next || *next >= LatestSend();
  if (is_too_late && has_begun_response_ && !tried_.empty()) {
    tried_.clear();
    next = now + kLeaveCheckPeriod;
  }
  if (!next || *next >= LatestSend()) {
    if (const auto first_return = FirstReturnOf(service_))
      return RefuseUntil(*first_return);
    if (next && is_limited)
      return Fail(
          {StatusWithoutResponse(), "server_limits", *next - now, true});
    return Fail({StatusWithoutResponse(), "no_server"});
  }
  wait_timer_ = context_.loop.At(*next, [this] { Send(); });
}

void RequestFlow::SendTo(const routing::PromptServerChoice& choice) {
  routing::ServerRecord& server = *choice.server;
  const TimePoint now = Now();
  ForwardedCall call;
  call.server = server.entry.id;
  call.address = server.entry.address;
  call.remaining_time = std::max<Duration>(deadline_ - now, milliseconds(1));
  call.team = team_;
  call.inputs = plan_->FinalResults();
  call.urgency =
      std::min(kUrgencyBase + kUrgencyStep * priority_, kLowestUrgency);
  call.resume_after = last_event_ ? last_event_ : request_.resume_after;
  std::string bytes = context_.codec.WriteRequestHead(
      exchange_->head(), request_, call, exchange_->body().size());
  bytes.append(exchange_->body());
  server_ = server.entry.id;
  incarnation_ = server.entry.incarnation();
  software_version_ = server.entry.software_version;
  sent_at_ = now;
  events_before_send_ = events_;
  content_watch_.OnSend();
  heard_at_.reset();
  if (!server.silent_since) server.silent_since = now;
  if (!first_sent_at_) first_sent_at_ = now;
  ++sends_;
  tried_.push_back(server_);
  ++server.in_flight;
  CountVersionSend(server);
  home_rank_ = choice.home_rank;
  tokens_ahead_ = std::max(server.pending_tokens,
                           context_.prompt_queues.TokensAt(server.entry, now));
  event_at_.reset();
  event_gaps_ = {};
  pending_tokens_ = choice.prefill_tokens;
  server.pending_tokens += pending_tokens_;
  counts_pending_tokens_ = true;
  if (pending_tokens_ > 0) context_.prompt_queues.OnOwnChange(server_);
  context_.limiter.CountSend(server_, now);
  context_.server_limits.CountSend(incarnation_,
                                   routing::ServerUsers::kAllHosts, now);
  head_ = {};
  response_metadata_ = {};
  body_.clear();
  has_content_ = false;
  splitter_ = {};
  // On the connection of its last answer, a copy of that would have its id. One
  // without an id recognizes no copy.
  const bool is_sent_again = !sent_to_.insert(server_).second;
  const http::Reuse reuse = is_sent_again || request_.id.empty()
                                ? http::Reuse::kNone
                            : route_->MayRepeat() ? http::Reuse::kAny
                                                  : http::Reuse::kRecent;
  call_ = context_.pool.Start(CallTargetOf(incarnation_, kRequestCalls),
                              std::move(bytes), reuse, *this);
  if (route_->MayRepeat()) StartResponseTimer(LeaveServerAt() - now);
}

// Returns when the server may be left if nothing comes from it until then. A
// stream needs events and not just bytes, so its events set the timer anew.
TimePoint RequestFlow::LeaveServerAt() const {
  if (IsStream()) return sent_at_ + kSilenceTimeout;
  const TimePoint silent_since = heard_at_.value_or(ServerSilentSince());
  const Duration response_time =
      std::max(route_->latency_target, kMinimumResponseTime);
  const TimePoint latest = deadline_ - response_time;
  return std::max(std::min(silent_since + kSilenceTimeout, latest),
                  sent_at_ + response_time);
}

// Returns since when nothing has come from the server: from before the request
// was sent if calls were waiting already.
TimePoint RequestFlow::ServerSilentSince() const {
  const routing::ServerRecord* server = context_.directory.Find(server_);
  if (server == nullptr || !server->silent_since) return sent_at_;
  return std::min(*server->silent_since, sent_at_);
}

void RequestFlow::OnHeard() {
  heard_at_ = Now();
  routing::ServerRecord* server = context_.directory.Find(server_);
  if (server != nullptr) server->silent_since = heard_at_;
}

// Returns what a server without a response shows. One that answers other calls
// meanwhile is not silent, and one that works on other streams is only slow
// unless it begins none.
routing::CallResult RequestFlow::ResultOfSilence() const {
  routing::ServerRecord* server = context_.directory.Find(server_);
  const bool is_silent = !heard_at_ && server != nullptr &&
                         server->silent_since &&
                         *server->silent_since <= sent_at_;
  if (is_silent && Now() - *server->silent_since < kSoundSilence)
    return routing::CallResult::kNoEvidence;
  if (!IsStream()) return routing::CallResult::kFailed;
  if (server == nullptr) return routing::CallResult::kHung;
  const bool has_waited = Now() - sent_at_ >= kSilenceTimeout;
  if (!event_at_ && has_waited) server->starts.OnLeft(sent_at_);
  if (!event_at_ && server->starts.HasStopped(Now()))
    return routing::CallResult::kHung;
  // A long stream may reach its deadline at a sound server.
  const bool has_progress = server->progressed_at > Now() - kSilenceTimeout;
  return has_progress ? routing::CallResult::kSlow : routing::CallResult::kHung;
}

void RequestFlow::StartResponseTimer(Duration limit) {
  context_.loop.Cancel(response_timer_);
  response_timer_ = context_.loop.After(limit, [this] { OnResponseTimeout(); });
}

// Runs only for requests that may be repeated.
void RequestFlow::OnResponseTimeout() {
  const TimePoint leave_at = IsStream() ? Now() : LeaveServerAt();
  if (Now() < leave_at) return StartResponseTimer(leave_at - Now());
  if (!CanLeaveServer()) return StartResponseTimer(kLeaveCheckPeriod);
  if (plan_->IsDone() && !HasReleasedInputs()) return LeaveServer();
  StartResponseTimer(kLeaveCheckPeriod);
  if (HasReleasedInputs()) OnInputsLost(plan_->stage_count());
}

void RequestFlow::LeaveServer() {
  ObserveMissingEvent();
  EndSend(ResultOfSilence(), "silent");
  ++runs_;
  send_state_ = SendState::kUnknown;
  Retry("silent");
}

// A silent server may continue, so it is only left for another one that is
// ready to take the request. Leaving it uses up an attempt.
bool RequestFlow::CanLeaveServer() const {
  return CanRetry(1) && context_.retry_budget.HasRetry(service_) &&
         !WithoutUnavailable(context_.directory.Usable(service_, Now()))
              .empty();
}

void RequestFlow::RemovePendingTokens() {
  if (!std::exchange(counts_pending_tokens_, false)) return;
  routing::ServerRecord* server = context_.directory.Find(server_);
  if (server == nullptr || pending_tokens_ == 0) return;
  server->pending_tokens -= std::min(server->pending_tokens, pending_tokens_);
  context_.prompt_queues.OnOwnChange(server_);
}

void RequestFlow::EndSend(routing::CallResult result,
                          std::string_view outcome) {
  context_.loop.Cancel(response_timer_);
  EndProcessCheck();
  call_.reset();
  CountVersionAnswer(result);
  routing::ServerRecord* server = context_.directory.Find(server_);
  if (server != nullptr) {
    server->in_flight = std::max(0, server->in_flight - 1);
    if (server->in_flight == 0 && heard_at_) server->silent_since.reset();
  }
  RemovePendingTokens();
  // Without a path, failures say nothing of the server.
  context_.directory.Report(
      server_, path_.is_lost() ? routing::CallResult::kNoEvidence : result,
      Now());
  context_.metrics.Count("lovagecleat_sends_total",
                         {{"outcome", std::string(outcome)}});
  if (outcome == "done") return;
  context_.log.Write("send", request_.id,
                     {{"service", service_.value()},
                      {"server", server_.value()},
                      {"send", sends_},
                      {"status", head_.status},
                      {"ms", Milliseconds(Now() - sent_at_)},
                      {"events", events_ - events_before_send_},
                      {"contents", content_watch_.FormatForLog()},
                      {"outcome", outcome}});
}

bool RequestFlow::CanRetry(int additional_runs) const {
  const bool was_not_run =
      send_state_ == SendState::kNotSent || send_state_ == SendState::kNotRun;
  if (!was_not_run && (!route_->MayRepeat() || content_watch_.is_trial()))
    return false;
  // Only a stream continues where another server has stopped.
  if (has_begun_response_ && !IsStream()) return false;
  if (runs_ + additional_runs >= route_->attempts) return false;
  if (sends_ - connect_failures_ >= route_->attempts + kExtraSends)
    return false;
  if (connect_failures_ >= kMaximumConnectFailures) return false;
  return Now() + kMinimumTimeToRetry < deadline_;
}

void RequestFlow::Retry(std::string_view cause) {
  if (CanRetry()) return Send();
  Fail({StatusWithoutResponse(), cause});
}

}  // namespace lovagecleat::gateway
