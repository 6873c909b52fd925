#include "routing/rollout.h"

#include <algorithm>
#include <limits>

namespace lovagecleat::routing {

namespace {

using std::chrono::milliseconds;

// Reports in `rollback_time`: counting, sending and deciding take about two
// periods.
constexpr int kReportsInRollbackTime = 8;
constexpr int kReportsInRollbackTimeMoving = 24;
// A host that has not heard of the order for this part of `rollback_time` sends
// nothing to the version, since it may have been stopped.
constexpr double kFreshPart = 0.5;
constexpr double kStatusReadPart = 0.3;
constexpr Duration kStatusRetryPeriod = milliseconds(700);
// The first decider reads the state at once, the others in turn.
constexpr Duration kRankDelay = milliseconds(400);
constexpr std::size_t kMaximumRankDelays = 10;

// Completion is written this part of the order's time before the deadline.
constexpr int kLeadDivisor = 50;
constexpr Duration kMinimumLead = milliseconds(1000);
constexpr Duration kMaximumLead = milliseconds(2000);
constexpr int kMaximumLeadDivisor = 4;
// Hosts know the time since the order with at most this difference.
constexpr Duration kElapsedDifference = milliseconds(500);
constexpr Duration kMinimumMovingTime = milliseconds(300);
constexpr Duration kMaximumMovingTime = milliseconds(10000);
constexpr int kMaximumMovingDivisor = 4;
// Time for which the canary leaves enough of the bound for moving.
constexpr Duration kMovingGoal = milliseconds(3000);
constexpr double kUsedFraction = 0.9;
// Part of what is left that moving may need: if it were used up before the
// order is completed, requests would go to servers that are stopped then. Hosts
// have uneven traffic, and some have no part of the slack.
constexpr double kMovedFraction = 0.9;
constexpr double kMinimumCanaryFraction = 0.3;  // of the bound
constexpr double kMaximumCanaryShare = 0.5;

// Steps of the canary's share, by the part of the order's time.
struct ShareStep {
  double after;
  double fraction;
};
constexpr std::array kShareSteps = {ShareStep{0, 0.125}, ShareStep{0.08, 0.25},
                                    ShareStep{0.16, 0.5}, ShareStep{0.28, 1.0}};

// Periods of reports before completion in which doubt ends a roll-out.
constexpr int kDoubtReports = 2;
// Answers of the version that a restarted system needs before it moves, unless
// they do not come for some time.
constexpr std::uint64_t kAnswersToMove = 20;
constexpr Duration kMaximumEvidenceWait = std::chrono::seconds(30);
// Servers of the version that must be usable, as a part of those before, and
// near the deadline.
constexpr std::size_t kServersDivisor = 2;
constexpr std::size_t kServersDivisorLate = 4;
// After the deadline, a version without servers is rolled back.
constexpr Duration kMaximumServerWait = std::chrono::seconds(10);
constexpr std::size_t kMaximumHosts = 1024;

Duration Scaled(Duration time, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

double Seconds(Duration time) {
  return static_cast<double>(time.count()) / 1e6;
}

// The row of the state gives the time in milliseconds.
bool IsSameTime(Duration a, Duration b) {
  return std::chrono::abs(a - b) <= milliseconds(1);
}

// Returns the state that operators are told; nothing if it is not known.
std::optional<RolloutState> StateOf(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kUnknown:
      return std::nullopt;
    case RolloutPhase::kCanary:
    case RolloutPhase::kMoving:
      return RolloutState::kRunning;
    case RolloutPhase::kRolledBack:
      return RolloutState::kRolledBack;
    case RolloutPhase::kCompleted:
      return RolloutState::kCompleted;
  }
  return std::nullopt;
}

// Later phases replace earlier ones. What is stored replaces what is not.
int OrderOf(RolloutPhase phase, bool is_stored) {
  switch (phase) {
    case RolloutPhase::kUnknown:
      return 0;
    case RolloutPhase::kCanary:
      return 1;
    case RolloutPhase::kMoving:
      return 2;
    case RolloutPhase::kRolledBack:
    case RolloutPhase::kCompleted:
      return is_stored ? 4 : 3;
  }
  return 0;
}

}  // namespace

std::string_view NameOf(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kUnknown:
      return "unknown";
    case RolloutPhase::kCanary:
      return "canary";
    case RolloutPhase::kMoving:
      return "moving";
    case RolloutPhase::kRolledBack:
      return "rolled_back";
    case RolloutPhase::kCompleted:
      return "completed";
  }
  return "unknown";
}

Rollout::Rollout(const RolloutOrder& order, RowVersion version,
                 const RolloutStart& start, TimePoint now)
    : order_(order),
      first_version_(version),
      order_version_(version),
      start_(start),
      learned_at_(now),
      started_at_(now),
      due_(start.initial_part),
      exposure_(start.bounds) {}

void Rollout::SetHosts(std::span<const HostId> hosts) {
  exposure_.SetHosts(start_.host, hosts,
                     StableHash(order_.to, StableHash(order_.service.value())));
}

std::uint64_t Rollout::total_requests() const {
  std::uint64_t total = ended_requests_ + exposure_.requests();
  for (const auto& [host, evidence] : hosts_) total += evidence.newest.requests;
  return total;
}

std::uint64_t Rollout::total_sent_new() const {
  std::uint64_t total = ended_sent_new_ + exposure_.sent_new();
  for (const auto& [host, evidence] : hosts_) total += evidence.newest.sent_new;
  return total;
}

// --- Sending ----------------------------------------------------------------

Duration Rollout::Age(TimePoint now) const {
  const TimePoint never = now - std::chrono::hours(24);
  return now -
         std::max(heard_at_.value_or(never), status_read_at_.value_or(never));
}

bool Rollout::IsFresh(TimePoint now) const {
  return Age(now) <= Scaled(start_.bounds.rollback_time, kFreshPart);
}

std::uint64_t Rollout::RemainingNew(TimePoint now) const {
  if (phase_ == RolloutPhase::kCompleted)
    return std::numeric_limits<std::uint64_t>::max();
  if (!IsFresh(now)) return 0;
  switch (phase_) {
    case RolloutPhase::kUnknown:
    case RolloutPhase::kRolledBack:
    case RolloutPhase::kCompleted:
      return 0;
    case RolloutPhase::kCanary:
      return exposure_.Remaining();
    case RolloutPhase::kMoving: {
      // After completion all requests go to the version until the deadline.
      const auto reserve = static_cast<std::uint64_t>(
          OwnRequestRate(now) *
          Seconds(std::max(order_.time - std::max(Elapsed(now), CompleteAt()),
                           Duration::zero())));
      return exposure_.Remaining() - std::min(exposure_.Remaining(), reserve);
    }
  }
  return 0;
}

double Rollout::OwnRequestRate(TimePoint now) const {
  return static_cast<double>(exposure_.requests()) /
         std::max(Seconds(Elapsed(now)), Seconds(kMinimumLead));
}

bool Rollout::MayBeCompleted(TimePoint now) const {
  return phase_ == RolloutPhase::kCompleted ||
         (phase_ == RolloutPhase::kMoving &&
          (start_.is_established ||
           Elapsed(now) + kElapsedDifference >= CompleteAt()));
}

bool Rollout::TakesNewCall(std::uint64_t items, TimePoint now) const {
  if (!MaySendNew(items, now)) return false;
  return phase_ != RolloutPhase::kCanary ||
         static_cast<double>(exposure_.sent_new() + items) <=
             share_ * static_cast<double>(exposure_.requests()) +
                 start_.initial_part * static_cast<double>(items);
}

bool Rollout::TakesNew(TimePoint now) {
  if (phase_ == RolloutPhase::kCompleted) return true;
  if (phase_ == RolloutPhase::kMoving) return MaySendNew(1, now);
  if (phase_ != RolloutPhase::kCanary) return false;
  due_ = std::min(due_ + share_, 2.0);
  if (due_ < 1 || !MaySendNew(1, now)) return false;
  due_ -= 1;
  return true;
}

// --- Other hosts and the row of the state -----------------------------------

RolloutReport Rollout::MakeReport(TimePoint now, bool with_evidence) {
  RolloutReport report;
  report.order = order_;
  report.order_version = order_version_;
  report.phase = phase_;
  report.is_stored = is_stored_;
  report.is_written = is_written_;
  report.is_established = start_.is_established;
  report.elapsed = Elapsed(now);
  if (is_decider_) report.share = share_;
  if (with_evidence)
    report.evidence = HostEvidence{start_.host.value(),  start_.incarnation,
                                   ++sequence_,          exposure_.requests(),
                                   exposure_.sent_new(), evidence_.routes()};
  return report;
}

void Rollout::MergeEvidence(const HostEvidence& evidence) {
  if (evidence.host == start_.host.value() &&
      evidence.incarnation == start_.incarnation)
    return;
  const auto found = hosts_.find(evidence.host);
  if (found == hosts_.end() && hosts_.size() >= kMaximumHosts) return;
  auto& [known, ended] =
      found != hosts_.end() ? found->second : hosts_[evidence.host];
  if (std::find(ended.begin(), ended.end(), evidence.incarnation) !=
      ended.end())
    return;
  if (known.incarnation != evidence.incarnation) {
    if (known.incarnation != 0) ended.push_back(known.incarnation);
    ended_requests_ += known.requests;
    ended_sent_new_ += known.sent_new;
    known = HostEvidence{};
  } else if (evidence.sequence <= known.sequence) {
    return;
  }
  const auto added = AddedEvidence(known.routes, evidence.routes);
  if (added) test_.Add(*added);
  known = evidence;
}

void Rollout::SetOrderVersion(RowVersion version) {
  if (version <= order_version_) return;
  order_version_ = version;
  is_written_ = false;
}

void Rollout::OnReport(const RolloutReport& report, TimePoint now) {
  // A sender that has not read the newest order speaks of an earlier one.
  if (report.order != order_ || report.order_version < first_version_) return;
  if (report.evidence) MergeEvidence(*report.evidence);
  if (report.phase == RolloutPhase::kUnknown) return;
  heard_at_ = now;
  start_.is_established |= report.is_established;
  const TimePoint started_at = now - report.elapsed;
  if (phase_ == RolloutPhase::kUnknown)
    Resolve(report.phase, report.is_stored, "told", started_at, now);
  started_at_ = std::min(started_at_, started_at);
  if (report.phase == RolloutPhase::kCanary && report.share > 0 && !is_decider_)
    share_ = report.share;
  if (OrderOf(report.phase, report.is_stored) > OrderOf(phase_, is_stored_))
    Enter(report.phase, report.is_stored, "told");
  if (report.is_written && report.order_version >= order_version_ &&
      StateOf(report.phase) == StateOf(phase_))
    is_written_ = true;
}

void Rollout::OnStatus(const std::optional<RolloutStatus>& status,
                       RowVersion status_version,
                       std::optional<Duration> store_time, bool is_only_version,
                       TimePoint now) {
  status_read_at_ = now;
  // A state older than an order that has appeared since is that of another one.
  // So is one of another time that a host finds with the order; the slack may
  // have been used for it.
  const bool is_same_version = status && status->to == order_.to;
  const bool is_found =
      is_same_version && start_.sight == OrderSight::kFound &&
      IsSameTime(status->time.value_or(order_.time), order_.time);
  const bool is_answer =
      is_same_version && (status_version > first_version_ || is_found);
  if (is_same_version && !is_answer && start_.sight == OrderSight::kFound)
    start_.has_used_slack = true;
  if (!is_answer) {
    if (phase_ != RolloutPhase::kUnknown) return;
    start_.is_established |= is_only_version;
    Resolve(RolloutPhase::kCanary, false, "ordered", learned_at_, now);
    return;
  }
  TimePoint started_at = learned_at_;
  if (status->started && store_time && *store_time >= *status->started)
    started_at = std::min(started_at, now - (*store_time - *status->started));
  if (status->state == RolloutState::kRunning) {
    if (phase_ == RolloutPhase::kUnknown) {
      is_resumed_ = start_.sight == OrderSight::kFound;
      Resolve(RolloutPhase::kCanary, false, "read", started_at, now);
    } else if (start_.sight == OrderSight::kFound) {
      started_at_ = std::min(started_at_, started_at);
    }
  } else {
    const RolloutPhase phase = status->state == RolloutState::kCompleted
                                   ? RolloutPhase::kCompleted
                                   : RolloutPhase::kRolledBack;
    if (phase_ == RolloutPhase::kUnknown)
      Resolve(phase, true, "read", started_at, now);
    else if (phase_ != phase)
      Enter(phase, true, "read");
    is_stored_ = true;
  }
  is_written_ =
      status_version > order_version_ && StateOf(phase_) == status->state;
}

void Rollout::Resolve(RolloutPhase phase, bool is_stored,
                      std::string_view cause, TimePoint started_at,
                      TimePoint now) {
  started_at_ = std::min(started_at_, started_at);
  resolved_at_ = now;
  has_slack_ =
      !start_.has_used_slack && started_at_ >= start_.process_started_at;
  exposure_.SetSlackUse(has_slack_ ? SlackUse::kOwnPart : SlackUse::kNone);
  Enter(phase, is_stored, cause);
  if (phase == RolloutPhase::kCanary && order_.time <= Duration::zero())
    Enter(RolloutPhase::kRolledBack, false, "time_over");
}

void Rollout::Enter(RolloutPhase phase, bool is_stored,
                    std::string_view cause) {
  if (StateOf(phase) != StateOf(phase_)) is_written_ = false;
  phase_ = phase;
  is_stored_ = is_stored;
  cause_ = cause;
}

// --- Decisions --------------------------------------------------------------

Duration Rollout::ReportPeriod() const {
  return start_.bounds.rollback_time / (phase_ == RolloutPhase::kMoving
                                            ? kReportsInRollbackTimeMoving
                                            : kReportsInRollbackTime);
}

Duration Rollout::CompletionLead() const {
  return std::min(
      std::clamp(order_.time / kLeadDivisor, kMinimumLead, kMaximumLead),
      order_.time / kMaximumLeadDivisor);
}

double Rollout::RequestRate(TimePoint now) const {
  return static_cast<double>(total_requests()) /
         std::max(Seconds(Elapsed(now)), 1.0);
}

// Moving and the time from completion to the deadline use what the canary has
// left of the bound.
Duration Rollout::MovingAt(TimePoint now) const {
  const double rate = std::max(RequestRate(now), 1e-3);
  const double allowed = kUsedFraction * (start_.bounds.exposure_share * rate *
                                              std::min(Seconds(Elapsed(now)),
                                                       Seconds(order_.time)) +
                                          start_.bounds.exposure_slack);
  const double left =
      std::max(allowed - static_cast<double>(total_sent_new()), 0.0);
  const double seconds =
      std::min(kMovedFraction * left / rate, Seconds(order_.time));
  const Duration most = std::max(
      std::min(order_.time / kMaximumMovingDivisor, kMaximumMovingTime),
      kMinimumMovingTime);
  const Duration length = std::clamp(
      Duration(static_cast<std::int64_t>(seconds * 1e6)) - CompletionLead(),
      kMinimumMovingTime, most);
  return CompleteAt() - length;
}

double Rollout::TargetShare(TimePoint now) const {
  const double rate = std::max(RequestRate(now), 1e-3);
  const double total = rate * Seconds(order_.time);
  const double allowed = kUsedFraction * (start_.bounds.exposure_share * total +
                                          start_.bounds.exposure_slack);
  const double kept = rate * Seconds(CompletionLead() + kMovingGoal);
  // Where the slack is most of the bound it is the only way to evidence.
  const double least =
      std::min(kMinimumCanaryFraction * allowed / std::max(total, 1.0),
               kMaximumCanaryShare);
  return std::clamp((allowed - kept) / std::max(total, 1.0), least,
                    kMaximumCanaryShare);
}

void Rollout::UpdateShare(TimePoint now) {
  const double part = Seconds(Elapsed(now)) / Seconds(order_.time);
  double fraction = 0;
  for (const ShareStep& step : kShareSteps)
    if (part >= step.after) fraction = step.fraction;
  // The share does not grow while there is doubt.
  const double share = fraction * TargetShare(now);
  if (test_.Evidence() < RolloutTest::kDoubtfulEvidence || share < share_)
    share_ = share;
}

bool Rollout::HasEnoughServers(const RolloutSurroundings& surroundings,
                               TimePoint now) const {
  const std::size_t divisor =
      Elapsed(now) < CompleteAt() ? kServersDivisor : kServersDivisorLate;
  return surroundings.servers_on_trial > 0 &&
         surroundings.servers_on_trial * divisor >= surroundings.servers_before;
}

bool Rollout::HasEnoughEvidence(TimePoint now) const {
  return !is_resumed_ || test_.on_trial().answers >= kAnswersToMove ||
         now - resolved_at_ >= kMaximumEvidenceWait;
}

void Rollout::Update(const RolloutSurroundings& surroundings, TimePoint now) {
  is_decider_ = surroundings.rank < kDeciders;
  test_.SetServers(surroundings.servers_on_trial);
  if (now - period_ended_at_ >= ReportPeriod()) {
    period_ended_at_ = now;
    const auto added = AddedEvidence(counted_, evidence_.routes());
    if (added) test_.Add(*added);
    counted_ = evidence_.routes();
    test_.EndPeriod();
  }
  if (phase_ != RolloutPhase::kCanary && phase_ != RolloutPhase::kMoving)
    return;
  const double evidence = test_.Evidence();
  if (evidence >= RolloutTest::kRollBackEvidence)
    return Enter(RolloutPhase::kRolledBack, false, "evidence");
  // Hosts that do not decide write the state if those that do cannot.
  may_complete_ = HasEnoughServers(surroundings, now);
  if (!is_decider_) return;
  const bool is_doubtful = evidence >= RolloutTest::kDoubtfulEvidence;
  if (phase_ == RolloutPhase::kMoving) {
    if (!may_complete_ && Elapsed(now) >= order_.time + kMaximumServerWait)
      return Enter(RolloutPhase::kRolledBack, false, "no_servers");
    // So early that those who would complete the order are told.
    if (is_doubtful &&
        Elapsed(now) + kDoubtReports * ReportPeriod() >= CompleteAt())
      Enter(RolloutPhase::kRolledBack, false, "doubtful");
    return;
  }
  if (start_.is_established) {
    if (surroundings.servers_on_trial > 0)
      Enter(RolloutPhase::kMoving, false, "established");
    return;
  }
  UpdateShare(now);
  if (Elapsed(now) < MovingAt(now)) return;
  if (is_doubtful) return Enter(RolloutPhase::kRolledBack, false, "doubtful");
  if (HasEnoughServers(surroundings, now) && HasEnoughEvidence(now))
    return Enter(RolloutPhase::kMoving, false, "sound");
  if (Elapsed(now) >= order_.time && !HasEnoughServers(surroundings, now))
    Enter(RolloutPhase::kRolledBack, false, "no_servers");
}

std::optional<RolloutState> Rollout::UnwrittenState(TimePoint now) const {
  if (phase_ == RolloutPhase::kMoving && may_complete_ &&
      (start_.is_established || Elapsed(now) >= CompleteAt()))
    return RolloutState::kCompleted;
  // Operators look for an answer to the newest row of the order.
  return is_written_ ? std::nullopt : StateOf(phase_);
}

std::optional<RolloutState> Rollout::StateToWrite(std::size_t rank,
                                                  TimePoint now) {
  const std::optional<RolloutState> state = UnwrittenState(now);
  if (state != unwritten_state_ || !state) {
    unwritten_state_ = state;
    unwritten_since_ = now;
  }
  if (!state) return std::nullopt;
  const auto delays =
      static_cast<std::int64_t>(std::min(rank, kMaximumRankDelays));
  if (now - *unwritten_since_ < kRankDelay * delays) return std::nullopt;
  return state;
}

bool Rollout::MustReadStatus(const RolloutSurroundings& surroundings,
                             TimePoint now) const {
  if (phase_ == RolloutPhase::kUnknown)
    return now - learned_at_ >=
           kRankDelay * static_cast<std::int64_t>(
                            std::min(surroundings.rank, kMaximumRankDelays));
  if (phase_ != RolloutPhase::kCanary && phase_ != RolloutPhase::kMoving)
    return false;
  const Duration period = Scaled(start_.bounds.rollback_time, kStatusReadPart);
  // Hosts that are not reached may have decided.
  if (surroundings.rank == 0 && !surroundings.reaches_all_hosts)
    return !status_read_at_ || now - *status_read_at_ >= period;
  return Age(now) >= period;
}

bool Rollout::TakeStatusRead(bool is_needed,
                             const RolloutSurroundings& surroundings,
                             TimePoint now) {
  if (status_read_begun_at_ &&
      now - *status_read_begun_at_ < kStatusRetryPeriod)
    return false;
  if (!is_needed && !MustReadStatus(surroundings, now)) return false;
  status_read_begun_at_ = now;
  return true;
}

}  // namespace lovagecleat::routing
