#include "policy/operator_changes.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "policy/operator_responses.h"

namespace lovagecleat::policy {
namespace {

using configuration::Configuration;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaximumActiveChanges = 32;
constexpr std::size_t kMaximumAuditQueries = 32;
constexpr std::uint64_t kAuditPageSize = 20;
constexpr Duration kAuditTimeout = seconds(2);
constexpr Duration kDrainResendInterval = seconds(2);
// The host that received a drain from the operator writes it to the table; the
// others retry less often, in case that host is down.
constexpr Duration kOwnDrainRetryDelay = seconds(1);
constexpr Duration kOtherDrainRetryDelay = seconds(10);
constexpr std::uint64_t kOtherDrainRetryJitterMs = 20000;
// The receiving host sends a drain to all its peers; each forwards it to these
// many.
constexpr std::size_t kForwardedCopies = 8;

RecordDecision Record(std::string_view change_id, std::string_view text) {
  return {RequestId(), "operator",
          "change " + std::string(change_id) + ": " + std::string(text)};
}

std::optional<std::uint64_t> ReadRevision(std::string_view text) {
  std::uint64_t revision = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, revision);
  if (error != std::errc() || rest != end) return std::nullopt;
  return revision;
}

std::string_view Describe(ChangeResult result) {
  switch (result) {
    case ChangeResult::kAccepted:
      return "accepted";
    case ChangeResult::kConflict:
      return "refused, another change took the revision";
    case ChangeResult::kInvalid:
      return "refused, it does not fit the configuration";
    case ChangeResult::kStoreUnavailable:
      return "not run, the table does not answer";
    case ChangeResult::kUnknown:
      break;
  }
  return "unknown, the table does not answer";
}

bool IsUnsettled(ChangeResult result) {
  return result == ChangeResult::kStoreUnavailable ||
         result == ChangeResult::kUnknown;
}

}  // namespace

OperatorChanges::OperatorChanges(HostId self, OperationCounter& counter)
    : self_(std::move(self)), counter_(counter) {}

std::vector<Command> OperatorChanges::Submit(
    const OperatorChangeSubmitted& submitted, TimePoint now,
    WallTime wall_now) {
  const ChangeRequest request{submitted.change_id,
                              submitted.operator_name,
                              submitted.expected_revision,
                              submitted.change,
                              wall_now,
                              self_};
  if (drains_.Find(request.change_id) != nullptr) {
    return {RespondPending(submitted.call, request)};
  }
  if (active_changes_.size() >= kMaximumActiveChanges) {
    return {RespondNotRun(submitted.call, request, "too many changes at once")};
  }
  std::vector<Command> commands;
  StartChange(request, submitted.call, now, commands);
  return commands;
}

std::vector<Command> OperatorChanges::Query(const OperatorQueryArrived& query,
                                            TimePoint now) {
  if (query.kind != OperatorQueryKind::kAudit) {
    return {RespondWithConfiguration(query.call, drains_.current(),
                                     drains_.drains())};
  }
  if (audit_queries_.size() >= kMaximumAuditQueries) {
    return {RespondAuditUnavailable(query.call)};
  }
  const std::optional<std::uint64_t> until = ReadRevision(query.argument);
  const std::uint64_t newest =
      std::max<std::uint64_t>(until.value_or(drains_.current().revision), 1);
  const std::uint64_t from =
      newest < kAuditPageSize ? 1 : newest - kAuditPageSize + 1;
  // Without `until`, newer rows that this host has not read yet are included.
  const std::uint64_t limit = until ? newest - from + 1 : kAuditPageSize;
  const OperationId operation = counter_.Next();
  audit_queries_[operation] = {query.call, now + kAuditTimeout};
  return {ScanTable{operation, std::string(kAuditRowPrefix), AuditRowKey(from),
                    static_cast<std::uint32_t>(limit)}};
}

std::vector<Command> OperatorChanges::HandleTableAnswer(
    const TableAnswered& answer, TimePoint now) {
  std::vector<Command> commands;
  const auto query = audit_queries_.find(answer.operation);
  if (query != audit_queries_.end()) {
    commands.emplace_back(
        answer.outcome == TableOutcome::kOk
            ? RespondWithAudit(query->second.call, answer.rows, kAuditPageSize)
            : RespondAuditUnavailable(query->second.call));
    audit_queries_.erase(query);
    return commands;
  }
  const auto found = std::find_if(
      active_changes_.begin(), active_changes_.end(), [&](const auto& entry) {
        return entry.second.run.Owns(answer.operation);
      });
  if (found == active_changes_.end()) return commands;
  HandleStep(found->first, found->second.run.HandleTableAnswer(answer, now),
             now, commands);
  return commands;
}

std::vector<Command> OperatorChanges::HandleProvisionalDrains(
    const messages::ProvisionalDrains& message, TimePoint now) {
  std::vector<Command> commands;
  for (const messages::ProvisionalDrain& item : message.drains()) {
    const std::optional<ChangeRequest> drain = ReadDrain(item);
    if (drain) HoldIfDrain(*drain, now, commands);
  }
  return commands;
}

std::vector<Command> OperatorChanges::HandleTimer(TimePoint now) {
  std::vector<Command> commands;
  std::vector<std::uint64_t> due;
  for (const auto& [id, active] : active_changes_) {
    const std::optional<TimePoint> at = active.run.NextDue();
    if (at && *at <= now) due.push_back(id);
  }
  for (const std::uint64_t id : due) {
    HandleStep(id, active_changes_.at(id).run.HandleTimer(now), now, commands);
  }
  std::erase_if(audit_queries_, [&](const auto& entry) {
    if (now < entry.second.deadline) return false;
    commands.emplace_back(RespondAuditUnavailable(entry.second.call));
    return true;
  });
  RetryDrains(now, commands);
  ResendDrains(now);
  return commands;
}

std::vector<Command> OperatorChanges::ObserveConfiguration(
    const Configuration& configuration) {
  std::vector<Command> commands;
  for (const ChangeRequest& drain :
       drains_.ObserveConfiguration(configuration)) {
    drain_retries_.erase(drain.change_id);
    commands.emplace_back(
        Record(drain.change_id, "no longer pending, revision " +
                                    std::to_string(configuration.revision) +
                                    " is in force"));
  }
  return commands;
}

bool OperatorChanges::Owns(OperationId operation) const {
  return audit_queries_.contains(operation) ||
         std::any_of(active_changes_.begin(), active_changes_.end(),
                     [operation](const auto& entry) {
                       return entry.second.run.Owns(operation);
                     });
}

std::optional<TimePoint> OperatorChanges::NextDue() const {
  std::optional<TimePoint> due;
  const auto consider = [&due](std::optional<TimePoint> instant) {
    if (instant) due = due ? std::min(*due, *instant) : *instant;
  };
  for (const auto& [id, active] : active_changes_) {
    consider(active.run.NextDue());
  }
  for (const auto& [id, query] : audit_queries_) consider(query.deadline);
  for (const auto& [change_id, at] : drain_retries_) {
    if (!IsActive(change_id)) consider(at);
  }
  if (!drains_.drains().empty()) consider(resend_at_);
  return due;
}

std::vector<OutgoingMessage> OperatorChanges::TakeOutgoing() {
  return std::exchange(outgoing_, {});
}

std::optional<Configuration> OperatorChanges::TakeAcceptedConfiguration() {
  return std::exchange(accepted_, std::nullopt);
}

void OperatorChanges::StartChange(const ChangeRequest& request,
                                  std::optional<CallId> call, TimePoint now,
                                  std::vector<Command>& commands) {
  const std::uint64_t id = ++last_run_id_;
  const auto [entry, inserted] = active_changes_.emplace(
      id, ActiveChange{ChangeRun(request, drains_, counter_), call, false});
  HandleStep(id, entry->second.run.Start(now), now, commands);
}

void OperatorChanges::HandleStep(std::uint64_t id, ChangeStep step,
                                 TimePoint now,
                                 std::vector<Command>& commands) {
  for (Command& command : step.commands) {
    commands.push_back(std::move(command));
  }
  ActiveChange& active = active_changes_.at(id);
  // A drain takes effect at the first table failure, before its outcome in the
  // table is known: operators take a zone out because it causes harm now.
  if (active.run.HasTableFailed()) {
    HoldIfDrain(active.run.request(), now, commands);
    active.was_held |= drains_.Find(active.run.request().change_id) != nullptr;
  }
  if (!step.conclusion) return;
  // Another host may have written a drain that this one had sent to it.
  if (active.was_held &&
      step.conclusion->result == ChangeResult::kStoreUnavailable) {
    step.conclusion->result = ChangeResult::kUnknown;
  }
  const ActiveChange finished = active;
  active_changes_.erase(id);
  Finish(finished, *step.conclusion, now, commands);
}

void OperatorChanges::Finish(const ActiveChange& active,
                             const ChangeConclusion& conclusion, TimePoint now,
                             std::vector<Command>& commands) {
  const ChangeRequest& request = active.run.request();
  const bool is_held = drains_.Find(request.change_id) != nullptr;
  if (is_held && IsUnsettled(conclusion.result)) {
    drain_retries_[request.change_id] = now + RetryDelay(request);
    if (active.call) {
      commands.emplace_back(RespondPending(*active.call, request));
    }
    return;
  }
  commands.emplace_back(Record(request.change_id, Describe(conclusion.result)));
  if (active.call) {
    commands.emplace_back(RespondToChange(*active.call, request, conclusion));
  }
  drain_retries_.erase(request.change_id);
  if (conclusion.configuration) {
    // Held drains are dropped when this configuration comes into force.
    accepted_ = conclusion.configuration;
    return;
  }
  drains_.Drop(request.change_id);
}

void OperatorChanges::HoldIfDrain(const ChangeRequest& request, TimePoint now,
                                  std::vector<Command>& commands) {
  if (drains_.Hold(request) != ProvisionalDrains::HoldResult::kHeld) return;
  commands.emplace_back(
      Record(request.change_id, "held provisionally, the table is down"));
  drain_retries_[request.change_id] = now + RetryDelay(request);
  resend_at_ = now + kDrainResendInterval;
  const bool is_origin = request.host == self_;
  SendDrains(is_origin ? peers_.size() : kForwardedCopies);
}

void OperatorChanges::SendDrains(std::size_t copies) {
  for (std::size_t i = 0; i < std::min(copies, peers_.size()); ++i) {
    const HostId& peer = peers_[next_peer_++ % peers_.size()];
    outgoing_.push_back({peer, drains_.ToMessage()});
  }
}

void OperatorChanges::RetryDrains(TimePoint now,
                                  std::vector<Command>& commands) {
  std::vector<ChangeRequest> due;
  for (const ChangeRequest& drain : drains_.drains()) {
    const auto retry = drain_retries_.find(drain.change_id);
    if (retry != drain_retries_.end() && retry->second <= now &&
        !IsActive(drain.change_id)) {
      due.push_back(drain);
    }
  }
  for (const ChangeRequest& drain : due) {
    drain_retries_[drain.change_id] = now + RetryDelay(drain);
    StartChange(drain, std::nullopt, now, commands);
  }
}

// Sends the drains to one peer per interval, in rotation, so that hosts that
// were starting or unreachable at the first sending receive them, too.
void OperatorChanges::ResendDrains(TimePoint now) {
  if (drains_.drains().empty() || !resend_at_ || now < *resend_at_) return;
  resend_at_ = now + kDrainResendInterval;
  SendDrains(1);
}

bool OperatorChanges::IsActive(const std::string& change_id) const {
  return std::any_of(active_changes_.begin(), active_changes_.end(),
                     [&](const auto& entry) {
                       return entry.second.run.request().change_id == change_id;
                     });
}

Duration OperatorChanges::RetryDelay(const ChangeRequest& drain) const {
  if (drain.host == self_) return kOwnDrainRetryDelay;
  const std::uint64_t jitter_ms =
      StableHash(self_.value() + drain.change_id) % kOtherDrainRetryJitterMs;
  return kOtherDrainRetryDelay + milliseconds(jitter_ms);
}

}  // namespace lovagecleat::policy
