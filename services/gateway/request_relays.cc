#include "services/gateway/request_relays.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// Hosts that one request is passed on to, if the ones before could not be
// connected to or did not run it.
constexpr std::size_t kMaximumHosts = 3;
// Responses up to this size are buffered until complete, so that a request that
// may be repeated can be passed on again if one is lost.
constexpr std::uint64_t kMaximumBufferedBytes = 65536;
constexpr std::uint64_t kMaximumBodyBytes = std::uint64_t{64} * 1024 * 1024;
// The other host keeps to the deadline; a response after that and this time is
// not waited for.
constexpr Duration kDeadlineGrace = milliseconds(20);
// The time left of a request with less than this is not passed on.
constexpr Duration kMinimumTime = milliseconds(20);
// Retry-After in seconds if no other host has a path: it may be back by then.
constexpr const char* kRetryAfter = "0.50";
// Requests in progress that a host of another zone is preferred for: the costs
// of traffic between zones against those of a busy host.
constexpr double kOtherZonePenalty = 2.0;

http::HeaderFields FieldsForCaller(const http::ResponseHead& head) {
  http::HeaderFields fields = http::WithoutConnectionFields(head.fields);
  std::erase_if(fields, [](const http::HeaderField& field) {
    return http::EqualNames(field.name, "Content-Length");
  });
  return fields;
}

}  // namespace

class RequestRelays::Relay final : public http::ExchangeObserver,
                                   public http::CallObserver {
 public:
  Relay(RequestRelays& relays, http::Exchange& exchange, RelayedRequest request)
      : relays_(relays),
        context_(relays.context_),
        exchange_(&exchange),
        request_(std::move(request)),
        started_at_(context_.Now()) {
    exchange.SetObserver(this);
  }

  ~Relay() override {
    context_.loop.Cancel(deadline_timer_);
    EndCall();
  }

  void Start() {
    deadline_timer_ =
        context_.loop.At(request_.deadline + kDeadlineGrace, [this] {
          if (call_) request_.may_have_run = true;
          EndCall();
          Answer(request_.may_have_run ? 504 : 503, "time_up");
        });
    Send();
  }

  void OnProcessEnding() {
    if (exchange_ == nullptr || has_begun_) return;
    if (call_) request_.may_have_run = true;
    EndCall();
    Answer(StatusWithoutResponse(), "stopping");
  }

  void OnClientDisconnected() override {
    EndCall();
    End(499, "client_gone");
  }

  std::uint64_t maximum_body_bytes() const override {
    return kMaximumBodyBytes;
  }

  // Responses of servers have the request's id, those of the other host itself
  // have none.
  http::ResponseOwner OwnerOf(const http::ResponseHead& head,
                              bool /*is_reused*/) override {
    const std::string id =
        context_.codec.ReadResponseHead(head, context_.Now()).request_id;
    has_id_ = !id.empty();
    return !has_id_ || id == request_.id ? http::ResponseOwner::kThisCall
                                         : http::ResponseOwner::kOtherCall;
  }

  bool IsCopyHarmless() override { return has_id_; }

  void OnResponseHead(const http::ResponseHead& head) override {
    head_ = head;
    const ResponseMetadata metadata =
        context_.codec.ReadResponseHead(head, context_.Now());
    // Only a response of a server has a seal.
    was_not_run_ = !metadata.is_sealed && head.status == 503;
    const std::optional<std::uint64_t> length =
        http::ContentLength(head.fields);
    const bool is_buffered = exchange_->head().method != "HEAD" && length &&
                             *length <= kMaximumBufferedBytes;
    if (was_not_run_ || is_buffered) return;
    has_begun_ = true;
    exchange_->BeginResponse(head.status, FieldsForCaller(head), length);
  }

  void OnResponseBody(std::string_view bytes) override {
    if (has_begun_) return exchange_->SendBody(bytes);
    body_.append(bytes);
  }

  void OnResponseComplete() override {
    EndCall();
    if (was_not_run_ && CanSend()) return Send();
    // The promise of this host does not cover the ones before.
    if (was_not_run_ && request_.may_have_run) return Answer(502, "not_run");
    if (has_begun_) {
      exchange_->FinishResponse();
    } else {
      exchange_->Respond(head_.status, FieldsForCaller(head_), body_);
    }
    End(head_.status, was_not_run_ ? "not_run" : "done");
  }

  void OnCallFailed(http::CallEnd end) override {
    const bool is_unsent = end.failure == http::CallFailure::kNotConnected;
    EndCall();
    if (!is_unsent) request_.may_have_run = true;
    if (has_begun_) {
      exchange_->Abort();
      return End(head_.status, "broken");
    }
    if (is_unsent && CanSend()) return Send();
    if (!is_unsent && request_.may_repeat && CanSend() &&
        context_.retry_budget.TakeRetry(request_.service))
      return Send();
    Answer(StatusWithoutResponse(), is_unsent ? "unreachable" : "broken");
  }

 private:
  // 503 promises that the request was not run.
  int StatusWithoutResponse() const {
    return request_.may_have_run ? 502 : 503;
  }

  bool CanSend() const {
    return tried_.size() < kMaximumHosts &&
           context_.Now() + kMinimumTime < request_.deadline;
  }

  void Send() {
    const RelayHost* host = relays_.ChooseHost(tried_);
    if (host == nullptr) return Answer(StatusWithoutResponse(), "no_path");
    host_ = host->callers;
    tried_.push_back(host_);
    ++relays_.in_flight_[host_];
    head_ = {};
    body_.clear();
    was_not_run_ = false;
    std::string bytes = context_.codec.WriteRelayedRequest(
        exchange_->head(), request_.deadline - context_.Now(),
        exchange_->body().size());
    bytes.append(exchange_->body());
    call_ = relays_.pool_.Start(
        {host_, host_, kRequestCalls}, bytes,
        request_.may_repeat ? http::Reuse::kAny : http::Reuse::kRecent, *this);
  }

  void EndCall() {
    if (!call_) return;
    call_.reset();
    --relays_.in_flight_[host_];
  }

  // Responds with a status of this host.
  void Answer(int status, std::string_view cause) {
    if (has_begun_) {
      exchange_->Abort();
    } else {
      http::HeaderFields fields;
      if (status == 503) fields.push_back({"Retry-After", kRetryAfter});
      exchange_->Respond(status, fields, {});
    }
    End(status, cause);
  }

  void End(int status, std::string_view cause) {
    exchange_ = nullptr;
    context_.loop.Cancel(deadline_timer_);
    context_.metrics.Count("lovagecleat_relays_total",
                           {{"outcome", std::string(cause)}});
    context_.log.Write("relay", request_.id,
                       {{"route", request_.route},
                        {"host", host_},
                        {"hosts", tried_.size()},
                        {"status", status},
                        {"cause", cause},
                        {"ms", Milliseconds(context_.Now() - started_at_)}});
    relays_.Remove(this);
  }

  RequestRelays& relays_;
  Context& context_;
  http::Exchange* exchange_;  // null once it has ended
  RelayedRequest request_;
  TimePoint started_at_;
  std::string host_;
  std::vector<std::string> tried_;
  std::unique_ptr<http::Call> call_;
  http::ResponseHead head_;
  std::string body_;
  bool has_id_ = false;       // the response names its request
  bool was_not_run_ = false;  // the other host says so
  bool has_begun_ = false;    // the response head was sent to the caller
  TimerId deadline_timer_;
};

RequestRelays::RequestRelays(Context& context, UsableCallback is_usable)
    : context_(context),
      is_usable_(std::move(is_usable)),
      pool_(context.poller) {}

RequestRelays::~RequestRelays() { relays_.clear(); }

void RequestRelays::SetHosts(std::vector<RelayHost> others) {
  hosts_ = std::move(others);
  std::erase_if(hosts_,
                [](const RelayHost& host) { return host.callers.empty(); });
}

bool RequestRelays::HasHost() const {
  return std::any_of(hosts_.begin(), hosts_.end(), [this](const auto& host) {
    return is_usable_(host.peers);
  });
}

const RelayHost* RequestRelays::ChooseHost(
    const std::vector<std::string>& tried) {
  const RelayHost* best = nullptr;
  double best_load = 0;
  for (const RelayHost& host : hosts_) {
    const bool was_tried =
        std::find(tried.begin(), tried.end(), host.callers) != tried.end();
    if (was_tried || !is_usable_(host.peers)) continue;
    const double penalty =
        host.zone == context_.settings.zone ? 0 : kOtherZonePenalty;
    // The random term breaks ties.
    const double load =
        (in_flight_[host.callers] + penalty + context_.random.Unit()) /
        std::max(host.processor_cores, 0.01);
    if (best != nullptr && load >= best_load) continue;
    best = &host;
    best_load = load;
  }
  return best;
}

void RequestRelays::Start(http::Exchange& exchange, RelayedRequest request) {
  auto relay = std::make_unique<Relay>(*this, exchange, std::move(request));
  Relay* raw = relay.get();
  relays_.emplace(raw, std::move(relay));
  raw->Start();
}

void RequestRelays::OnProcessEnding() {
  std::vector<Relay*> open;
  for (const auto& [relay, owner] : relays_) open.push_back(relay);
  for (Relay* relay : open) relay->OnProcessEnding();
}

void RequestRelays::Remove(Relay* relay) {
  const auto found = relays_.find(relay);
  if (found == relays_.end()) return;
  context_.loop.DestroyLater(std::move(found->second));
  relays_.erase(found);
}

}  // namespace lovagecleat::gateway
