#include <algorithm>

#include "policy/stage_scheduler.h"

// Where a queued stage goes: to a server of this zone or to another zone.
namespace lovagecleat::policy {

namespace {

constexpr std::size_t kSampledServers = 8;
// Credits also come back by loans and warm-up, which are looked for this often.
constexpr Duration kFullRecheck = std::chrono::milliseconds(5);
constexpr Duration kLoanInterval = std::chrono::milliseconds(20);
// A job leaves for another zone only after this wait for an own server.
constexpr Duration kHandOverAfter = std::chrono::milliseconds(15);
constexpr Duration kMinimumFirstByteBound = std::chrono::milliseconds(500);
constexpr int kFirstByteFactor = 4;
constexpr Duration kProgressBound = std::chrono::milliseconds(1500);
constexpr std::uint32_t kPriorities = 10;

// Slack mapped to the engines' priorities: 0 where there is none left.
std::uint32_t PriorityOf(Duration slack, Duration usual) {
  if (slack <= Duration::zero()) return 0;
  const auto whole = std::max<Duration::rep>(1, usual.count());
  const auto level = slack.count() * 2 / whole;
  return static_cast<std::uint32_t>(
      std::min<Duration::rep>(kPriorities - 1, level));
}

}  // namespace

// The best of a few servers from a random position on is nearly as good as the
// best of all, at a cost that does not grow with their number. Baselines look
// at all servers, as their order of turns asks for it.
std::vector<Candidate> StageScheduler::FindCandidates(const StageJob& job,
                                                      TimePoint now) {
  const auto pool = parts_.servers.OfService(job.work.service);
  std::vector<Candidate> candidates;
  std::vector<Candidate> failed_before;
  if (pool.empty()) return candidates;
  const bool is_own_policy =
      settings_.placement == PlacementKind::kExpectedFinish;
  const std::size_t wanted = is_own_policy ? kSampledServers : pool.size();
  const std::size_t first = is_own_policy ? random_.Below(pool.size()) : 0;
  for (std::size_t i = 0; i < pool.size(); ++i) {
    const ServerEntry& server = *pool[(first + i) % pool.size()];
    if (!parts_.servers.IsEligible(server, now)) continue;
    const ServerId& id = server.info.id;
    if (parts_.credits.Available(id, now) == 0) continue;
    const Candidate one{&server, parts_.credits.Limit(id, now)};
    const bool has_failed = job.failed_servers.contains(id);
    (has_failed ? failed_before : candidates).push_back(one);
    if (candidates.size() >= wanted) break;
  }
  // A server that failed this job is tried again only if no other is left.
  return candidates.empty() ? failed_before : candidates;
}

StageScheduler::Placed StageScheduler::PlaceHere(StageJob& job, TimePoint now) {
  const ServiceId& service = job.work.service;
  TimePoint& full_until = full_until_[service];
  if (now < full_until) return Placed::kNo;
  const std::vector<Candidate> candidates = FindCandidates(job, now);
  const ServerEntry* chosen = Choose(placement_, service, candidates, now);
  if (chosen == nullptr) {
    full_until = now + kFullRecheck;
    return Placed::kNo;
  }
  const auto admission = parts_.credits.Admit(chosen->info.id, now);
  if (!admission.has_value()) return Placed::kNo;
  QueueOf(service).TakeNext();
  StartOnServer(job, *chosen, *admission, now);
  return Placed::kYes;
}

void StageScheduler::StartOnServer(StageJob& job, const ServerEntry& server,
                                   const Admission& admission, TimePoint now) {
  const StageWork& work = job.work;
  const Duration usual = parts_.times.Cautious(work.Shape());
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
  call.priority = PriorityOf(work.stage_deadline - now - usual, usual);
  call.deadline = std::min(work.deadline, admission.end_before);
  call.send_before = std::min(call.deadline, admission.send_before);
  // A non-idempotent call is never tried again, so giving up early on it
  // would only turn a late answer into an unknown outcome.
  const Duration remaining = call.deadline - now;
  call.first_byte_bound =
      is_idempotent ? std::max(kMinimumFirstByteBound, usual * kFirstByteFactor)
                    : remaining;
  call.progress_bound = is_idempotent ? kProgressBound : remaining;
  call.idempotency = work.idempotency;
  call.idempotency_key = work.idempotency_key;

  job.queued += now - std::get<JobQueued>(job.state).since;
  job.state =
      JobOnServer{call.attempt, call.server, admission.id, now, call.deadline};
  ++job.attempts;
  attempts_.emplace(call.attempt, job.id);
  parts_.servers.CountStart(call.server);
  Record(job, "Placed on " + call.server.value() + ".");
  commands_.emplace_back(std::move(call));
}

StageScheduler::Placed StageScheduler::HandOver(StageJob& job, TimePoint now) {
  // What came from another host goes back rather than on to a third one.
  if (!IsLocal(job)) return Placed::kNo;
  const Duration waited = now - std::get<JobQueued>(job.state).since;
  const bool has_own = parts_.servers.HasUsable(job.work.service);
  if (has_own && waited < kHandOverAfter) return Placed::kNo;
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
  for (const HostInfo& host : parts_.membership.PeersToConnect()) {
    if (host.zone == settings_.zone) continue;
    if (zones_out_.contains(host.zone)) continue;
    if (job.failed_hosts.contains(host.id)) continue;
    if (!parts_.membership.TakesWork(host.id)) continue;
    const auto capacity =
        parts_.membership.FreeCredits(host.zone, job.work.service, now);
    if (!capacity.has_value() || capacity->free_credits == 0) continue;
    hosts.push_back(host);
  }
  if (hosts.empty()) return std::nullopt;
  return hosts[random_.Below(hosts.size())];
}

void StageScheduler::AskForLoans(const ServiceId& service,
                                 const StageQueue& queue, TimePoint now) {
  TimePoint& next = next_loan_[service];
  if (now < next) return;
  next = now + kLoanInterval;
  const std::vector<HostId> alive =
      parts_.membership.AliveInZone(settings_.zone);
  auto wanted = static_cast<std::uint32_t>(queue.size());
  for (const ServerEntry* server : parts_.servers.Eligible(service, now)) {
    if (wanted == 0) return;
    parts_.credits.AskLoan(server->info.id, 1, alive, now);
    --wanted;
  }
}

}  // namespace lovagecleat::policy
