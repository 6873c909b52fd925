#include "services/gateway/request_flow.h"

// What roll-outs of versions mean for a request: which version it goes to, and
// what its answer shows of that version.
namespace lovagecleat::gateway {

// A stream that was begun goes on at its version while that may be used at all.
bool RequestFlow::MayUseVersion(const routing::ServerRecord& server) const {
  const std::string& version = server.entry.software_version;
  switch (context_.rollouts.Access(service_, version, Now())) {
    case routing::VersionAccess::kOpen:
    case routing::VersionAccess::kLastResort:
      return true;
    case routing::VersionAccess::kBarred:
      return false;
    case routing::VersionAccess::kOnTrial:
      break;
  }
  const routing::Rollout* rollout = context_.rollouts.Find(service_);
  if (rollout == nullptr) return true;
  // It is the last resort when the other servers may be stopped.
  if (rollout->MayBeCompleted(Now())) return true;
  return (takes_new_ || version_.version() == version) &&
         rollout->MaySendNew(1, Now());
}

// A request that was sent is repeated at a version that is not on trial.
void RequestFlow::ChooseVersion() {
  routing::Rollout* rollout = context_.rollouts.Find(service_);
  if (rollout == nullptr) {
    takes_new_ = false;
    return;
  }
  if (version_.version()) {
    takes_new_ = *version_.version() == rollout->order().to &&
                 rollout->MaySendNew(1, Now());
    return;
  }
  if (sends_ > 0) {
    takes_new_ = false;
  } else if (!has_chosen_version_) {
    takes_new_ = rollout->TakesNew(Now());
  } else {
    takes_new_ = takes_new_ && rollout->MaySendNew(1, Now());
  }
  has_chosen_version_ = true;
}

void RequestFlow::CountVersionSend(const routing::ServerRecord& server) {
  is_answer_counted_ = false;
  is_answer_bad_ = false;
  routing::Rollout* rollout = context_.rollouts.Find(service_);
  if (rollout == nullptr) return;
  if (sends_ == 1) rollout->CountRequests(1);
  if (server.entry.software_version == rollout->order().to)
    rollout->CountNew(1);
}

void RequestFlow::CountStreamBegin() {
  if (is_answer_counted_) return;
  is_answer_counted_ = true;
  is_answer_bad_ =
      CountAnswer(context_, {service_, route_->name, software_version_, server_,
                             false, Now() - sent_at_, std::nullopt, false});
}

void RequestFlow::CountVersionAnswer(routing::CallResult result) {
  if (path_.is_lost() || is_answer_bad_ || sends_ == 0) return;
  RolloutAnswer answer{
      service_, route_->name, software_version_, server_,
      false,    std::nullopt, std::nullopt,      is_answer_counted_};
  switch (result) {
    case routing::CallResult::kNoEvidence:
    case routing::CallResult::kUnreachable:
      return;
    case routing::CallResult::kSlow:
    case routing::CallResult::kHung:
      // A stream that has begun may last until its deadline.
      if (is_answer_counted_) return;
      answer.has_failed = true;
      break;
    case routing::CallResult::kFailed:
      answer.has_failed = true;
      break;
    case routing::CallResult::kSuccess: {
      const std::uint64_t events = events_ - events_before_send_;
      if (!IsStream()) answer.time = Now() - sent_at_;
      if (is_answer_counted_ && first_event_at_ && events_before_send_ == 0 &&
          events > 1)
        answer.gap =
            (Now() - *first_event_at_) / static_cast<std::int64_t>(events - 1);
      break;
    }
  }
  CountAnswer(context_, answer);
}

}  // namespace lovagecleat::gateway
