#include <algorithm>
#include <utility>

#include "services/gateway/request_flow.h"

namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// A safe request that got no answer within its goal is tried elsewhere, but
// not sooner than a busy server needs.
constexpr Duration kShortestSilence = milliseconds(150);
// Longest wait for the first event of a stream that can be resumed.
constexpr Duration kFirstEventSilence = milliseconds(1500);
// Sends beyond the route's attempts that servers may turn down unrun.
constexpr int kExtraSends = 2;
// Most servers of one request that are found gone.
constexpr int kMostUnreached = 6;
// Least time in which another send makes sense.
constexpr Duration kLeastTimeToSend = milliseconds(20);
// Urgency told to servers: two steps for each priority, the first ones free.
constexpr int kUrgencyBase = 2;
constexpr int kUrgencyStep = 2;
constexpr int kLeastUrgent = 9;

double Milliseconds(Duration time) {
  return static_cast<double>(time.count()) / 1000.0;
}

routing::Warmth WarmthOf(const routing::ServerRecord& server, TimePoint now) {
  return server.cold_until > now ? routing::Warmth::kUnsure
                                 : routing::Warmth::kWarm;
}

}  // namespace

void RequestFlow::Send() {
  const routing::PromptChoice choice = ChooseServer();
  if (choice.server == nullptr) return WaitForServer();
  // Servers count what arrives: a send without a connection is no try.
  const bool has_arrived = sends_ > unreached_;
  if (has_arrived && !context_.retries.TakeRetry(service_))
    return Fail({StatusOfUnserved(), "retry_budget"});
  if (sends_ == 0) context_.retries.CountFirstTry(service_);
  SendTo(choice);
}

routing::PromptChoice RequestFlow::ChooseServer() {
  const TimePoint now = Now();
  const routing::ColdBound bound = context_.ColdBoundOf(service_);
  const auto filter = [&](std::vector<routing::ServerRecord*> servers) {
    std::erase_if(servers, [&](const routing::ServerRecord* server) {
      const bool was_tried = std::find(tried_.begin(), tried_.end(),
                                       server->entry.id) != tried_.end();
      return was_tried ||
             !context_.limiter.MaySend(server->entry.id, bound,
                                       WarmthOf(*server, now), now);
    });
    return servers;
  };
  std::vector<routing::ServerRecord*> usable =
      filter(context_.directory.Usable(service_, now));
  // If all are resting, a send to one of them is better than none.
  if (usable.empty()) usable = filter(context_.directory.Listed(service_));
  if (usable.empty()) return {};
  if (route_->uses_prompts)
    return context_.placement.Choose(usable, request_.prompt, context_.hosts);
  return {ChoosePlainServer(usable), 0, 0};
}

routing::ServerRecord* RequestFlow::ChoosePlainServer(
    std::span<routing::ServerRecord* const> usable) {
  routing::ServerRecord* best = nullptr;
  double best_load = 0;
  for (routing::ServerRecord* server : usable) {
    const bool is_near = server->entry.zone == context_.settings.zone;
    // One call more is borne in the own zone; ties are drawn.
    const double load = server->in_flight + (is_near ? 0.0 : 0.9) +
                        0.2 * context_.random.Unit();
    if (best != nullptr && load >= best_load) continue;
    best = server;
    best_load = load;
  }
  return best;
}

// No server may be sent to now. Waits for a place within the bound of cold
// servers, if there will be one in time.
void RequestFlow::WaitForServer() {
  const TimePoint now = Now();
  const routing::ColdBound bound = context_.ColdBoundOf(service_);
  std::optional<TimePoint> next;
  for (const routing::ServerRecord* server :
       context_.directory.Listed(service_)) {
    if (std::find(tried_.begin(), tried_.end(), server->entry.id) !=
        tried_.end())
      continue;
    const auto free = context_.limiter.FreeAt(server->entry.id, bound,
                                              WarmthOf(*server, now), now);
    if (free && (!next || *free < *next)) next = free;
  }
  const TimePoint latest = std::min(goal_at_, ends_at_);
  if (!next || *next >= latest) return Fail({StatusOfUnserved(), "no_server"});
  wait_timer_ = context_.loop.At(*next, [this] { Send(); });
}

void RequestFlow::SendTo(const routing::PromptChoice& choice) {
  routing::ServerRecord& server = *choice.server;
  const TimePoint now = Now();
  ForwardedCall call;
  call.server = server.entry.id;
  call.address = server.entry.address;
  call.time_left = std::max<Duration>(ends_at_ - now, milliseconds(1));
  call.team = team_;
  call.inputs = plan_->FinalResults();
  call.urgency =
      std::min(kUrgencyBase + kUrgencyStep * priority_, kLeastUrgent);
  call.resume_after = last_event_ ? last_event_ : request_.resume_after;
  std::string bytes = context_.wire.WriteRequestHead(
      exchange_->head(), request_, call, exchange_->body().size());
  bytes.append(exchange_->body());
  server_ = server.entry.id;
  sent_at_ = now;
  if (!first_sent_at_) first_sent_at_ = now;
  ++sends_;
  tried_.push_back(server_);
  ++server.in_flight;
  home_place_ = choice.place;
  pending_tokens_ = choice.reading;
  server.pending_tokens += pending_tokens_;
  counts_pending_tokens_ = true;
  context_.limiter.CountSend(server_, now);
  head_ = {};
  answer_ = {};
  body_.clear();
  splitter_ = {};
  call_ = context_.pool.Start(
      {server_.value(), server.entry.address}, std::move(bytes),
      route_->MayRepeat() ? http::Reuse::kAny : http::Reuse::kRecent, *this);
  if (route_->MayRepeat()) ArmSilenceTimer(SilenceLimit());
}

Duration RequestFlow::SilenceLimit() const {
  if (IsStream()) return kFirstEventSilence;
  return std::max(route_->goal, kShortestSilence);
}

void RequestFlow::ArmSilenceTimer(Duration limit) {
  context_.loop.Cancel(silence_timer_);
  silence_timer_ = context_.loop.After(limit, [this] { OnSilence(); });
}

// Only armed for requests that may be sent again.
void RequestFlow::OnSilence() {
  // Without a budget to send it again, waiting on is all that is left.
  if (!MayTryAgain() || !context_.retries.HasRetry(service_)) return;
  EndSend(
      IsStream() ? routing::CallResult::kSlow : routing::CallResult::kFailed,
      "silent");
  ++runs_;
  send_state_ = SendState::kUnknown;
  TryAgain("silent");
}

void RequestFlow::EndSend(routing::CallResult result,
                          std::string_view outcome) {
  context_.loop.Cancel(silence_timer_);
  call_.reset();
  routing::ServerRecord* server = context_.directory.Find(server_);
  if (server != nullptr) {
    server->in_flight = std::max(0, server->in_flight - 1);
    if (counts_pending_tokens_)
      server->pending_tokens -=
          std::min(server->pending_tokens, pending_tokens_);
  }
  counts_pending_tokens_ = false;
  context_.directory.Report(server_, result, Now());
  context_.metrics.Count("lovagecleat_sends_total",
                         {{"outcome", std::string(outcome)}});
  if (outcome == "done") return;
  context_.log.Write("send", request_.id,
                     {{"service", service_.value()},
                      {"server", server_.value()},
                      {"send", sends_},
                      {"status", head_.status},
                      {"ms", Milliseconds(Now() - sent_at_)},
                      {"outcome", outcome}});
}

bool RequestFlow::MayTryAgain() const {
  const bool is_unrun =
      send_state_ == SendState::kNotSent || send_state_ == SendState::kNotRun;
  if (!is_unrun && !route_->MayRepeat()) return false;
  if (runs_ >= route_->attempts) return false;
  if (sends_ - unreached_ >= route_->attempts + kExtraSends) return false;
  if (unreached_ >= kMostUnreached) return false;
  return Now() + kLeastTimeToSend < ends_at_;
}

void RequestFlow::TryAgain(std::string_view cause) {
  if (MayTryAgain()) return Send();
  Fail({StatusOfUnserved(), cause});
}

}  // namespace lovagecleat::gateway
