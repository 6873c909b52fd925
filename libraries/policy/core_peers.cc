#include <algorithm>
#include <utility>

#include "policy/core_state.h"

// Messages between entry hosts.
namespace lovagecleat::policy {

void Core::State::HandlePeer(const HostId& from,
                             const messages::PeerMessage& message) {
  using Body = messages::PeerMessage::BodyCase;
  switch (message.body_case()) {
    case Body::kHeartbeat:
      HandleHeartbeat(from, message.heartbeat());
      return;
    case Body::kCreditRequest:
    case Body::kCreditGrant:
    case Body::kCreditReturn:
    case Body::kServerSign:
      credits_.HandlePeer(message, now_);
      scheduler_.ClearSaturation();
      return;
    case Body::kConfigurationPush:
      Append(follower_.HandlePush(message.configuration_push()));
      return;
    case Body::kConfigurationFetch:
      follower_.HandleFetch(from, message.configuration_fetch());
      return;
    case Body::kStageRequest:
      HandleStageRequest(from, message.incarnation(), message.stage_request());
      return;
    case Body::kStageToken:
      scheduler_.HandlePeerToken(from, message.stage_token());
      return;
    case Body::kStageResult:
      scheduler_.HandlePeerResult(from, message.stage_result(), now_);
      return;
    case Body::kStageCancel:
      HandleStageCancel(from, message.stage_cancel());
      return;
    case Body::kRosterPush:
      roster_keeper_.HandlePush(message.roster_push(), now_);
      return;
    // Messages between gateways only.
    case Body::kRowsFetch:
    case Body::kRowsPush:
    case Body::kStageTraffic:
    case Body::kRowsFeed:
    case Body::kStreamOrigins:
    case Body::kServerNotices:
    case Body::kContentReports:
    case Body::kServerSpeeds:
    case Body::kPromptQueues:
    case Body::kRollouts:
    case Body::BODY_NOT_SET:
      return;
    case Body::kProvisionalDrains:
      Append(operator_changes_.HandleProvisionalDrains(
          message.provisional_drains(), now_));
      return;
  }
}

void Core::State::HandleHeartbeat(const HostId& from,
                                  const messages::Heartbeat& heartbeat) {
  membership_.HandleHeartbeat(from, heartbeat, now_);
  follower_.ObservePeerRevision(from, heartbeat.configuration_revision());
  if (!membership_.IsInOwnZone(from)) return;
  credits_.ObserveHeartbeat(from, heartbeat, now_,
                            membership_.SentNotBefore(from));
  roster_keeper_.ObservePeer(from, heartbeat.roster_epoch(), now_);
}

void Core::State::HandleStageRequest(const HostId& from,
                                     std::uint64_t incarnation,
                                     const messages::StageRequest& request) {
  const PeerOrigin origin{from, incarnation, request.attempt()};
  const configuration::Service* service =
      configuration_ == nullptr
          ? nullptr
          : configuration_->FindService(ServiceId(request.service()));
  const bool can_take = service != nullptr && !is_stopping_ &&
                        servers_.HasUsable(service->id) &&
                        scheduler_.job_count() < settings_.maximum_requests;
  if (!can_take) {
    JobEnded refused;
    refused.outcome = AttemptOutcome::kRefused;
    SendStageResult(origin, refused);
    return;
  }
  StageWork work;
  work.request = RequestId(request.request());
  work.stage = request.stage();
  work.service = service->id;
  work.idempotency = service->idempotency;
  work.request_class = ClassId(request.request_class());
  work.team = TeamId(request.team());
  work.input = request.input();
  work.max_tokens = request.max_tokens();
  work.idempotency_key = request.idempotency_key();
  const auto remaining_time = [](std::uint64_t microseconds) {
    return std::min(Duration(static_cast<Duration::rep>(microseconds)),
                    CreditSettings{}.maximum_call_time);
  };
  work.deadline = now_ + remaining_time(request.remaining_us());
  work.stage_deadline = now_ + remaining_time(request.stage_remaining_us());
  work.first_offset = request.offset();
  const JobId job = scheduler_.Submit(origin, std::move(work), now_);
  peer_jobs_[{from, request.attempt()}] = job;
}

void Core::State::HandleStageCancel(const HostId& from,
                                    const messages::StageCancel& cancel) {
  const auto found = peer_jobs_.find({from, cancel.attempt()});
  if (found == peer_jobs_.end()) return;
  scheduler_.Cancel(found->second, now_);
  peer_jobs_.erase(found);
}

void Core::State::SendStageResult(const PeerOrigin& peer,
                                  const JobEnded& ended) {
  // A stage that no server can have run is reported as refused, so that the
  // other host may retry it elsewhere.
  const bool is_not_run = ended.outcome != AttemptOutcome::kOk &&
                          ended.execution == JobEnded::Execution::kNone;
  const AttemptOutcome outcome =
      is_not_run ? AttemptOutcome::kRefused : ended.outcome;
  SendPeerMessage send{peer.host, {}};
  messages::StageResult* result = send.message.mutable_stage_result();
  result->set_attempt(peer.attempt);
  result->set_outcome(static_cast<std::uint32_t>(outcome));
  result->set_output(ended.output);
  result->set_server(ended.trace.server.value());
  result->set_queued_us(static_cast<std::uint64_t>(ended.trace.queued.count()));
  result->set_served_us(static_cast<std::uint64_t>(ended.trace.served.count()));
  commands_.emplace_back(std::move(send));
}

void Core::State::SendHeartbeats() {
  if (!membership_.HeartbeatDue(now_)) return;
  const messages::Heartbeat common = MakeHeartbeat();
  for (const HostId& host : membership_.HeartbeatTargets()) {
    SendPeerMessage send{host, {}};
    messages::Heartbeat* heartbeat = send.message.mutable_heartbeat();
    *heartbeat = common;
    membership_.FillHeartbeat(host, *heartbeat, now_);
    if (!membership_.IsInOwnZone(host)) AddServiceSummaries(*heartbeat);
    commands_.emplace_back(std::move(send));
  }
  membership_.FinishHeartbeatRound(now_);
}

messages::Heartbeat Core::State::MakeHeartbeat() const {
  messages::Heartbeat heartbeat;
  heartbeat.set_configuration_revision(configuration_revision());
  heartbeat.set_draining(is_stopping_ || servers_.IsZoneOut());
  credits_.FillHeartbeat(heartbeat, now_);
  return heartbeat;
}

void Core::State::AddServiceSummaries(messages::Heartbeat& heartbeat) const {
  for (const auto& [service, pool] : servers_.by_service()) {
    messages::ServiceSummary* summary = heartbeat.add_services();
    summary->set_service(service.value());
    summary->set_servers(static_cast<std::uint32_t>(pool.size()));
    summary->set_queued(
        static_cast<std::uint32_t>(scheduler_.QueuedJobs(service)));
    std::uint32_t free = 0;
    for (const ServerEntry* server : servers_.Eligible(service, now_)) {
      free += credits_.Available(server->info.id, now_);
    }
    summary->set_free_credits(free);
  }
}

void Core::State::ForwardOutgoing() {
  const auto forward = [this](auto outgoing) {
    for (auto& one : outgoing) {
      commands_.emplace_back(SendPeerMessage{one.host, std::move(one.message)});
    }
  };
  forward(credits_.TakeOutgoing());
  forward(roster_keeper_.TakeOutgoing());
  forward(follower_.TakeOutgoing());
  forward(operator_changes_.TakeOutgoing());
}

}  // namespace lovagecleat::policy
