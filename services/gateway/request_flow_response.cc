#include <algorithm>
#include <utility>

#include "services/gateway/request_flow.h"
#include "services/gateway/silence.h"

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// A stream is resumed at another server after a gap between events of this many
// times the route's target for gaps, but of at least kSilenceTimeout.
constexpr int kGapTimeoutFactor = 3;
// A server that had closed a kept connection resets it within a round trip of
// the request; hosts may be slow. Later, it may have run the request.
constexpr Duration kStaleConnectionTime = milliseconds(20);
// Sends of a request that may fail to connect before another host is asked to
// handle it, if no server can be connected to.
constexpr int kConnectFailuresToPassOn = 2;
// Responses up to this size are buffered until complete, so that the request
// can be retried at another server if one is truncated.
constexpr std::size_t kMaximumBufferedBytes = 65536;
constexpr std::uint64_t kMaximumBodyBytes = std::uint64_t{64} * 1024 * 1024;
// Responses with a failure status are buffered whole.
constexpr std::size_t kMaximumFailureBytes = std::size_t{1024} * 1024;
// Shorter prompts are read within the time of other work.
constexpr std::uint64_t kMinimumPrefillTokens = 500;
// Time to the first event beside prefill.
constexpr Duration kFirstEventTime = milliseconds(40);
// Nominal; only its ratio between servers counts.
constexpr Duration kExpectedEventGap = milliseconds(30);

Duration PrefillTime(std::uint64_t tokens) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(tokens) /
          routing::PromptPlacement::kPrefillTokensPerMillisecond));
}

// Returns the fields of a server's response that are forwarded to the caller.
http::HeaderFields FieldsForCaller(const http::ResponseHead& head) {
  http::HeaderFields fields = http::WithoutConnectionFields(head.fields);
  std::erase_if(fields, [](const http::HeaderField& field) {
    return http::EqualNames(field.name, "Content-Length");
  });
  return fields;
}

}  // namespace

std::uint64_t RequestFlow::maximum_body_bytes() const {
  return kMaximumBodyBytes;
}

// A response without an id on a connection that has carried other requests may
// belong to one of them.
http::ResponseOwner RequestFlow::OwnerOf(const http::ResponseHead& head,
                                         bool is_reused) {
  const std::string id =
      context_.codec.ReadResponseHead(head, Now()).request_id;
  const bool is_own = id.empty() ? !is_reused : id == request_.id;
  if (is_own) return http::ResponseOwner::kThisCall;
  context_.metrics.Count("lovagecleat_other_responses_total",
                         {{"call", kRequestCalls}});
  context_.log.Write("other_response", request_.id,
                     {{"server", server_.value()},
                      {"status", head.status},
                      {"response_id", id}});
  return id.empty() ? http::ResponseOwner::kUnknown
                    : http::ResponseOwner::kOtherCall;
}

bool RequestFlow::IsCopyHarmless() {
  return !response_metadata_.request_id.empty();
}

void RequestFlow::OnResponseHead(const http::ResponseHead& head) {
  head_ = head;
  response_metadata_ = context_.codec.ReadResponseHead(head, Now());
  // The host that has passed the request on may be in any zone, and gets the
  // response as if it came from this host.
  notices_.OnResponse(incarnation_, response_metadata_,
                      request_.is_relayed ? ServerNotices::Audience::kAllHosts
                                          : ServerNotices::Audience::kZone);
  // The server that now has the address says nothing of the one before.
  if (response_metadata_.is_wrong_server) return;
  OnHeard();
  SetProcess();
  content_watch_.OnResponseHead();
  // Without an id, it may be a late copy of an earlier response.
  if (!response_metadata_.request_id.empty())
    content_blocks_.OnResponse({incarnation_, head.status,
                                call_->connected_at().value_or(Now()),
                                sent_at_});
  routing::ServerRecord* server = context_.directory.Find(server_);
  if (server == nullptr || !response_metadata_.load) return;
  server->load = response_metadata_.load;
  if (server->load->slowdown)
    context_.speeds.SetReported(service_, incarnation_, *server->load->slowdown,
                                Now());
}

void RequestFlow::OnResponseBody(std::string_view bytes) {
  if (response_metadata_.is_wrong_server) return;
  OnHeard();
  has_content_ = true;
  const bool is_success = head_.status >= 200 && head_.status < 300 &&
                          response_metadata_.is_sealed &&
                          !response_metadata_.is_encoded;
  if (is_success) content_watch_.OnContent();
  if (is_success && IsStream()) {
    if (HoldEvents(bytes)) return;
    return ForwardStreamBytes(bytes);
  }
  if (has_begun_response_) return exchange_->SendBody(bytes);
  body_.append(bytes);
  if (!is_success && body_.size() > kMaximumFailureBytes)
    return OnBrokenResponse("too_large");
  if (!is_success || body_.size() <= kMaximumBufferedBytes) return;
  BeginResponse(std::nullopt);
  exchange_->SendBody(body_);
  body_.clear();
}

void RequestFlow::ForwardStreamBytes(std::string_view bytes) {
  std::string passed;
  std::size_t received = 0;
  for (const http::RawEvent& event : splitter_.Feed(bytes)) {
    ++received;
    if (!IsNextOrSeenEvent(event)) {
      EndSend(routing::CallResult::kFailed, "event_gap");
      ++runs_;
      send_state_ = SendState::kUnknown;
      return Fail({502, "event_gap"});
    }
    if (event.id && last_event_ && *event.id <= *last_event_) continue;
    if (event.id) last_event_ = event.id;
    passed.append(event.bytes);
    ++events_;
  }
  ObserveEvents(received);
  if (passed.empty() && splitter_.has_failed())
    return OnBrokenResponse("too_large");
  if (passed.empty()) return;
  if (!first_event_at_) {
    first_event_at_ = Now();
    RememberOrigin();
  } else if (!version_.is_known()) {
    UpdateOrigin();
  }
  CountStreamBegin();
  RemovePendingTokens();
  // A server that has sent an event no longer needs the stage results.
  DropStageWork();
  event_deadline_ = std::min(deadline_, Now() + EventTimeLimit());
  if (!has_begun_response_) {
    BeginResponse(std::nullopt);
    StartDeadlineTimer();
  }
  exchange_->SendBody(passed);
  if (route_->MayRepeat())
    StartResponseTimer(std::max(kSilenceTimeout,
                                route_->stream_gap_target * kGapTimeoutFactor));
}

void RequestFlow::ObserveSpeed(routing::WorkKind kind, Duration taken,
                               Duration expected) {
  context_.speeds.Observe(service_, incarnation_, kind, taken, expected, Now());
}

// Several events may be read at once.
void RequestFlow::ObserveEvents(std::size_t events) {
  if (events == 0) return;
  const TimePoint now = Now();
  routing::ServerRecord* server = context_.directory.Find(server_);
  if (server != nullptr) server->progressed_at = now;
  if (server != nullptr && !event_at_) server->starts.OnBegun(now);
  if (!event_at_) {
    // Prompts ahead and the rest of the work hide the speed.
    if (tokens_ahead_ == 0 && pending_tokens_ >= kMinimumPrefillTokens)
      ObserveSpeed(routing::WorkKind::kPrefill, now - sent_at_,
                   PrefillTime(pending_tokens_) + kFirstEventTime);
  } else if (const auto gap = event_gaps_.Add(
                 (now - *event_at_) / static_cast<std::int64_t>(events))) {
    ObserveSpeed(routing::WorkKind::kDecodeStep, *gap, kExpectedEventGap);
  }
  event_at_ = now;
}

void RequestFlow::ObserveMissingEvent() {
  if (IsStream() && !event_at_ && pending_tokens_ >= kMinimumPrefillTokens)
    context_.speeds.ObserveMissing(
        service_, incarnation_, routing::WorkKind::kPrefill, Now() - sent_at_,
        PrefillTime(pending_tokens_ + tokens_ahead_) + kFirstEventTime, Now());
}

// Returns false if an event between the last one and this one is missing.
bool RequestFlow::IsNextOrSeenEvent(const http::RawEvent& event) {
  const std::optional<std::uint64_t> previous =
      last_event_ ? last_event_ : request_.resume_after;
  return !event.id || !previous || *event.id <= *previous + 1;
}

void RequestFlow::BeginResponse(std::optional<std::uint64_t> length) {
  has_begun_response_ = true;
  exchange_->BeginResponse(head_.status, FieldsForCaller(head_), length);
}

// A server that crashes as it begins a stream without a length looks as if the
// stream were empty.
bool RequestFlow::IsResponseWhole() const {
  if (!response_metadata_.is_sealed || response_metadata_.is_encoded)
    return false;
  if (!IsStream()) return true;
  const bool may_be_cut =
      !IsHead() && !has_content_ && http::EndsWithConnection(head_);
  return !splitter_.has_partial_event() && !may_be_cut;
}

void RequestFlow::OnResponseComplete() {
  if (response_metadata_.is_wrong_server) return OnWrongServer();
  if (response_metadata_.is_not_run) {
    const bool are_inputs_lost =
        head_.status == 409 && !plan_->FinalResults().empty();
    EndSend(routing::CallResult::kNoEvidence, "not_run");
    if (send_state_ == SendState::kNotSent) send_state_ = SendState::kNotRun;
    if (are_inputs_lost) {
      tried_.pop_back();
      return OnInputsLost(plan_->stage_count());
    }
    return Retry("servers_full");
  }
  if (must_check_process_ && !held_.empty()) {
    is_held_complete_ = true;
    return CheckProcess();
  }
  ++runs_;
  send_state_ = SendState::kRun;
  if (head_.status < 200 || head_.status >= 300) return OnFailureStatus();
  if (!IsResponseWhole()) {
    if (http::EndsWithConnection(head_))
      content_watch_.OnConnectionLost(incarnation_);
    EndSend(routing::CallResult::kFailed, "not_whole");
    send_state_ = SendState::kUnknown;
    return Retry("not_whole");
  }
  content_watch_.OnComplete(!http::EndsWithConnection(head_));
  EndSend(routing::CallResult::kSuccess, "done");
  if (has_begun_response_) {
    exchange_->FinishResponse();
  } else if (IsStream() && !IsHead()) {
    BeginResponse(std::nullopt);
    exchange_->FinishResponse();
  } else {
    RespondWithBuffered();
  }
  End(head_.status, "served");
}

// A response to HEAD keeps the length of the body that it does not have.
void RequestFlow::RespondWithBuffered() {
  if (!IsHead())
    return exchange_->Respond(head_.status, FieldsForCaller(head_), body_);
  BeginResponse(http::ContentLength(head_.fields));
  exchange_->FinishResponse();
}

// The request was not run, and the server it was meant for is gone.
void RequestFlow::OnWrongServer() {
  context_.pool.CloseIdleConnections(incarnation_.Key());
  EndSend(routing::CallResult::kUnreachable, "other_server");
  if (send_state_ == SendState::kNotSent) send_state_ = SendState::kNotRun;
  Retry("other_server");
}

// The server ran the request and responded with a failure status.
void RequestFlow::OnFailureStatus() {
  const int status = head_.status;
  EndSend(status >= 500 ? routing::CallResult::kFailed
                        : routing::CallResult::kSuccess,
          "failure_status");
  const bool is_retryable = status >= 500 && status != 504;
  if (has_begun_response_ ||
      (is_retryable && route_->MayRepeat() && CanRetry()))
    return Retry("server_failure");
  // These statuses would tell the caller that the request was not run.
  const bool implies_not_run =
      status == 408 || status == 421 || status == 429 || status == 503;
  if (implies_not_run) return Fail({502, "server_failure"});
  RespondWithBuffered();
  End(status, "server_failure");
}

void RequestFlow::OnCallFailed(http::CallEnd end) {
  if (response_metadata_.is_wrong_server) return OnWrongServer();
  OnHeard();
  if (end.failure == http::CallFailure::kNotConnected) {
    EndSend(routing::CallResult::kUnreachable, "unreachable");
    ++connect_failures_;
    if (path_.is_doubtful() && connect_failures_ >= kConnectFailuresToPassOn &&
        PassOn())
      return;
    return Retry("unreachable");
  }
  if (end.was_reused && IsStaleConnection()) {
    EndSend(routing::CallResult::kNoEvidence, "stale_connection");
    has_lost_stale_connection_ = true;
    send_state_ = SendState::kUnknown;
    tried_.pop_back();
    return Retry("stale_connection");
  }
  if (end.failure == http::CallFailure::kConnectionLost &&
      !end.is_server_lost && !path_.is_lost())
    content_watch_.OnConnectionLost(incarnation_);
  OnBrokenResponse(
      end.failure == http::CallFailure::kInvalidResponse    ? "garbled"
      : end.failure == http::CallFailure::kResponseTooLarge ? "too_large"
                                                            : "broken");
}

// Returns whether a reused connection that was lost had probably been closed
// before the request came. A request is sent beyond its attempts for that only
// once, since servers that crash at once look the same.
bool RequestFlow::IsStaleConnection() const {
  return route_->MayRepeat() && !has_lost_stale_connection_ &&
         Now() - sent_at_ < kStaleConnectionTime;
}

// The server may have run the request, but its response is of no use.
void RequestFlow::OnBrokenResponse(std::string_view outcome) {
  EndSend(routing::CallResult::kFailed, outcome);
  ++runs_;
  send_state_ = SendState::kUnknown;
  Retry(outcome);
}

}  // namespace lovagecleat::gateway
