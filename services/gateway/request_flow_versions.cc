#include <algorithm>
#include <utility>

#include "services/gateway/request_flow.h"

// A stream has events of one software version only: which version began it, and
// whether the process that would go on with it has that version. What the
// server's entry says may be that of an earlier process.
namespace lovagecleat::gateway {

namespace {

using std::chrono::milliseconds;

// The origin of a stream is kept for this long after its caller stops waiting,
// since hosts may be slow.
constexpr Duration kOriginMargin = milliseconds(5000);
// Period of the checks whether a server's process is known.
constexpr Duration kCheckPeriod = milliseconds(20);
// Events that are held back until the process is known.
constexpr std::size_t kMaximumHeldBytes = 65536;

}  // namespace

bool RequestFlow::IsResumableStream() const {
  return IsStream() && route_->MayRepeat();
}

routing::ServerView RequestFlow::View() const {
  const bool has_one_version =
      context_.directory.versions()
          .SoleVersion(service_, Now() - route_->timeout)
          .has_value();
  return {context_.processes, context_.is_store_available, has_one_version,
          Now()};
}

const routing::ServerEntry* RequestFlow::ListedEntry(const ServerId& id) const {
  const routing::ServerRecord* server = context_.directory.Find(id);
  return server == nullptr ? nullptr : &server->entry;
}

// A stream that has begun goes on where that needs no check, if it can.
std::vector<routing::ServerRecord*> RequestFlow::WithKnownProcess(
    std::vector<routing::ServerRecord*> servers) const {
  if (!version_.version() || !IsResumableStream()) return servers;
  const auto is_unknown = [this](const routing::ServerRecord* server) {
    return !context_.processes.IsSettled(server->entry.incarnation().Key());
  };
  if (!std::all_of(servers.begin(), servers.end(), is_unknown))
    std::erase_if(servers, is_unknown);
  return servers;
}

// Called as the response begins.
void RequestFlow::SetProcess() {
  process_ = {incarnation_, call_->process_since().value_or(Now()),
              context_.processes.HasBroken(incarnation_.Key())};
  must_check_process_ =
      IsResumableStream() && version_.version() &&
      routing::MatchProcess(process_, ListedEntry(incarnation_.id), View()) !=
          routing::ProcessMatch::kSame;
}

// Called before the first event is forwarded, since callers may resume the
// stream from then on.
void RequestFlow::RememberOrigin() {
  if (!IsResumableStream()) return;
  version_.Begin(process_);
  UpdateOrigin();
  if (!version_.MayTell()) OnOriginCheck();
}

void RequestFlow::UpdateOrigin() {
  if (const auto& process = version_.begun_by())
    version_.Update(ListedEntry(process->incarnation.id),
                    call_ && call_->process_since(), View());
  if (has_told_origin_ || !version_.MayTell()) return;
  has_told_origin_ = true;
  const Duration remaining =
      arrived_at_ + request_.timeout.value_or(route_->timeout) - Now();
  origins_.Add(StreamId(), {service_, *version_.version()},
               std::max(remaining, Duration::zero()) + kOriginMargin);
}

void RequestFlow::OnOriginCheck() {
  UpdateOrigin();
  const auto& process = version_.begun_by();
  if (!process) return;
  checks_.Request(process->since);
  StartCheckTimer([this] { OnOriginCheck(); });
}

// Returns whether the version that began the stream is known, if it has begun.
// Otherwise sends the request once it is, or cuts the stream.
bool RequestFlow::IsOriginKnown() {
  if (version_.is_known()) return true;
  UpdateOrigin();
  if (version_.is_known()) return true;
  if (version_.is_lost() || Now() >= event_deadline_) {
    Fail({StatusWithoutResponse(), "unknown_version"});
    return false;
  }
  checks_.Request(version_.begun_by()->since);
  StartCheckTimer([this] { Send(); });
  return false;
}

void RequestFlow::StartCheckTimer(std::function<void()> callback) {
  context_.loop.Cancel(check_timer_);
  check_timer_ = context_.loop.After(kCheckPeriod, std::move(callback));
}

// Keeps events of a stream that goes on at a process whose version is not known
// yet. Returns whether they are kept.
bool RequestFlow::HoldEvents(std::string_view bytes) {
  if (!must_check_process_) return false;
  if (held_.size() + bytes.size() > kMaximumHeldBytes) {
    OnOtherVersion();
    return true;
  }
  held_.append(bytes);
  CheckProcess();
  return true;
}

void RequestFlow::CheckProcess() {
  switch (routing::MatchProcess(process_, ListedEntry(process_.incarnation.id),
                                View())) {
    case routing::ProcessMatch::kUnsure:
      checks_.Request(process_.since);
      return StartCheckTimer([this] { CheckProcess(); });
    case routing::ProcessMatch::kOther:
      return OnOtherVersion();
    case routing::ProcessMatch::kSame:
      break;
  }
  must_check_process_ = false;
  context_.loop.Cancel(check_timer_);
  const bool is_complete = std::exchange(is_held_complete_, false);
  const int sends = sends_;
  ForwardStreamBytes(std::exchange(held_, {}));
  if (is_complete && !has_ended_ && sends == sends_) OnResponseComplete();
}

// The events are dropped; the stream goes on elsewhere.
void RequestFlow::OnOtherVersion() {
  EndSend(routing::CallResult::kNoEvidence, "other_version");
  ++runs_;
  send_state_ = SendState::kUnknown;
  Retry("other_version");
}

void RequestFlow::EndProcessCheck() {
  context_.loop.Cancel(check_timer_);
  must_check_process_ = false;
  is_held_complete_ = false;
  held_.clear();
}

}  // namespace lovagecleat::gateway
