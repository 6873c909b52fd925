#include <algorithm>

#include "policy/stage_scheduler.h"

// Places queued jobs on servers of this zone or forwards them to another zone.
namespace lovagecleat::policy {

namespace {

constexpr std::size_t kSampledServers = 8;
// Credits also become available through loans and warm-up. The servers of a
// saturated service are checked for these at this interval.
constexpr Duration kSaturationRecheckInterval = std::chrono::milliseconds(5);
constexpr Duration kLoanInterval = std::chrono::milliseconds(20);
// The least time that a job waits for a server of this zone before it is
// forwarded to another zone, where this zone has usable servers.
constexpr Duration kForwardAfter = std::chrono::milliseconds(15);
constexpr Duration kMinimumFirstByteTimeout = std::chrono::milliseconds(500);
constexpr int kFirstByteTimeoutFactor = 4;
constexpr Duration kProgressTimeout = std::chrono::milliseconds(1500);
constexpr std::uint32_t kPriorityLevels = 10;

// Maps the slack to the priority levels of the engines; 0 is the most urgent
// and stands for no slack.
std::uint32_t PriorityOf(Duration slack, Duration stage_time) {
  if (slack <= Duration::zero()) return 0;
  const auto stage_time_us = std::max<Duration::rep>(1, stage_time.count());
  const auto level = slack.count() * 2 / stage_time_us;
  return static_cast<std::uint32_t>(
      std::min<Duration::rep>(kPriorityLevels - 1, level));
}

}  // namespace

// The best of a few eligible servers from a random position on is nearly as
// good as the best of all, at a cost that does not grow with their number. The
// baseline policies need all servers, since round robin follows their order.
std::vector<Candidate> StageScheduler::FindCandidates(const StageJob& job,
                                                      TimePoint now) {
  const auto pool = dependencies_.servers.OfService(job.work.service);
  std::vector<Candidate> candidates;
  std::vector<Candidate> failed_before;
  if (pool.empty()) return candidates;
  const bool is_expected_finish =
      settings_.placement == PlacementKind::kExpectedFinish;
  const std::size_t maximum_candidates =
      is_expected_finish ? kSampledServers : pool.size();
  const std::size_t first = is_expected_finish ? random_.Below(pool.size()) : 0;
  for (std::size_t i = 0; i < pool.size(); ++i) {
    const ServerEntry& server = *pool[(first + i) % pool.size()];
    if (!dependencies_.servers.IsEligible(server, now)) continue;
    const ServerId& id = server.info.id;
    if (dependencies_.credits.Available(id, now) == 0) continue;
    const Candidate candidate{&server, dependencies_.credits.Limit(id, now)};
    const bool has_failed = job.failed_servers.contains(id);
    (has_failed ? failed_before : candidates).push_back(candidate);
    if (candidates.size() >= maximum_candidates) break;
  }
  // A server that failed this job is used again only if there is no other.
  return candidates.empty() ? failed_before : candidates;
}

StageScheduler::Placed StageScheduler::PlaceLocally(StageJob& job,
                                                    TimePoint now) {
  const ServiceId& service = job.work.service;
  TimePoint& saturated_until = saturated_until_[service];
  if (now < saturated_until) return Placed::kNo;
  const std::vector<Candidate> candidates = FindCandidates(job, now);
  const ServerEntry* chosen = Choose(placement_, service, candidates, now);
  if (chosen == nullptr) {
    saturated_until = now + kSaturationRecheckInterval;
    return Placed::kNo;
  }
  const auto admission = dependencies_.credits.Admit(chosen->info.id, now);
  if (!admission.has_value()) return Placed::kNo;
  QueueOf(service).TakeNext();
  StartOnServer(job, *chosen, *admission, now);
  return Placed::kYes;
}

void StageScheduler::StartOnServer(StageJob& job, const ServerEntry& server,
                                   const Admission& admission, TimePoint now) {
  const StageWork& work = job.work;
  const Duration stage_time = dependencies_.times.Conservative(work.Shape());
  const bool is_idempotent =
      work.idempotency == configuration::Idempotency::kIdempotent;
  StartBackendCall call;
  call.attempt = AttemptId(++last_attempt_);
  call.server = server.info.id;
  call.address = server.info.address;
  call.request = work.request;
  call.stage = work.stage;
  call.team = work.team;
  call.input = work.input;
  call.max_tokens = work.max_tokens;
  call.offset = job.next_offset;
  call.priority =
      PriorityOf(work.stage_deadline - now - stage_time, stage_time);
  call.deadline = std::min(work.deadline, admission.end_before);
  call.send_before = std::min(call.deadline, admission.send_before);
  // A non-idempotent call that may have run is never retried, nor is the last
  // attempt, so a timeout before the deadline would only lose a late answer.
  const Duration remaining = call.deadline - now;
  const bool may_be_retried =
      is_idempotent && job.attempts + 1 < kMaximumAttempts;
  call.first_byte_timeout = may_be_retried
                                ? std::max(kMinimumFirstByteTimeout,
                                           stage_time * kFirstByteTimeoutFactor)
                                : remaining;
  call.progress_timeout = may_be_retried ? kProgressTimeout : remaining;
  call.idempotency = work.idempotency;
  call.idempotency_key = work.idempotency_key;

  job.queued += now - std::get<JobQueued>(job.state).since;
  job.state =
      JobOnServer{call.attempt, call.server, admission.id, now, call.deadline};
  ++job.attempts;
  attempts_.emplace(call.attempt, job.id);
  dependencies_.servers.CountCallStart(call.server);
  Record(job, "Placed on " + call.server.value() + ".");
  commands_.emplace_back(std::move(call));
}

StageScheduler::Placed StageScheduler::ForwardToPeer(StageJob& job,
                                                     TimePoint now) {
  // A job from another host is returned to it, never forwarded to a third one.
  if (!IsLocal(job)) return Placed::kNo;
  const Duration waited = now - std::get<JobQueued>(job.state).since;
  const bool has_local_server =
      dependencies_.servers.HasUsable(job.work.service);
  if (has_local_server && waited < kForwardAfter) return Placed::kNo;
  const std::optional<HostInfo> peer = ChoosePeer(job, now);
  if (!peer.has_value()) return Placed::kNo;

  const StageWork& work = job.work;
  const AttemptId attempt(++last_attempt_);
  SendPeerMessage send{peer->id, {}};
  messages::StageRequest* request = send.message.mutable_stage_request();
  request->set_attempt(attempt.value());
  request->set_request(work.request.value());
  request->set_stage(work.stage);
  request->set_service(work.service.value());
  request->set_request_class(work.request_class.value());
  request->set_team(work.team.value());
  request->set_input(work.input);
  request->set_max_tokens(work.max_tokens);
  request->set_remaining_us(
      static_cast<std::uint64_t>((work.deadline - now).count()));
  request->set_stage_remaining_us(static_cast<std::uint64_t>(
      std::max(Duration(1), work.stage_deadline - now).count()));
  request->set_offset(job.next_offset);
  request->set_idempotency_key(work.idempotency_key);
  QueueOf(work.service).TakeNext();
  job.queued += waited;
  job.state = JobOnPeer{attempt, peer->id, peer->zone, now, {}};
  ++job.attempts;
  attempts_.emplace(attempt, job.id);
  remote_attempts_.insert(attempt);
  Record(job, "Handed to " + peer->id.value() + ".");
  commands_.emplace_back(std::move(send));
  return Placed::kYes;
}

std::optional<HostInfo> StageScheduler::ChoosePeer(const StageJob& job,
                                                   TimePoint now) {
  std::vector<HostInfo> hosts;
  for (const HostInfo& host : dependencies_.membership.PeersToConnect()) {
    if (host.zone == settings_.zone) continue;
    if (zones_out_.contains(host.zone)) continue;
    if (job.failed_hosts.contains(host.id)) continue;
    if (!dependencies_.membership.AcceptsWork(host.id)) continue;
    const auto capacity = dependencies_.membership.ReportedCapacity(
        host.zone, job.work.service, now);
    if (!capacity.has_value() || capacity->free_credits == 0) continue;
    hosts.push_back(host);
  }
  if (hosts.empty()) return std::nullopt;
  return hosts[random_.Below(hosts.size())];
}

void StageScheduler::RequestLoans(const ServiceId& service,
                                  const StageQueue& queue, TimePoint now) {
  TimePoint& next = next_loan_request_[service];
  if (now < next) return;
  next = now + kLoanInterval;
  const std::vector<HostId> alive =
      dependencies_.membership.AliveInZone(settings_.zone);
  auto missing_credits = static_cast<std::uint32_t>(queue.size());
  for (const ServerEntry* server :
       dependencies_.servers.Eligible(service, now)) {
    if (missing_credits == 0) return;
    dependencies_.credits.RequestLoan(server->info.id, 1, alive, now);
    --missing_credits;
  }
}

}  // namespace lovagecleat::policy
