#include "policy/change_run.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "policy/configuration_follower.h"

namespace lovagecleat::policy {
namespace {

using configuration::Configuration;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kOperationTimeout = milliseconds(600);
constexpr Duration kRetryDelay = milliseconds(100);
// An operator waits at most this long for the conclusion.
constexpr Duration kChangeTimeout = seconds(3);
// After this many consecutive failures the table is down rather than busy.
constexpr int kMaximumFailures = 5;
// One transaction writes a change and the drains held for the same revision.
constexpr std::uint64_t kMaximumChangesPerWrite =
    ProvisionalDrains::kMaximumDrains + 1;

const TableRow* FindRow(const TableAnswered& answer, std::string_view key) {
  const auto found =
      std::find_if(answer.rows.begin(), answer.rows.end(),
                   [key](const TableRow& row) { return row.key == key; });
  return found == answer.rows.end() ? nullptr : &*found;
}

}  // namespace

ChangeRun::ChangeRun(ChangeRequest request,
                     const ProvisionalDrains& held_drains,
                     OperationCounter& counter)
    : request_(std::move(request)),
      held_drains_(&held_drains),
      counter_(&counter) {}

ChangeStep ChangeRun::Start(TimePoint now) {
  ChangeStep step;
  deadline_ = now + kChangeTimeout;
  IssueRead(step, now);
  return step;
}

ChangeStep ChangeRun::HandleTableAnswer(const TableAnswered& answer,
                                        TimePoint now) {
  ChangeStep step;
  // Answers to abandoned operations are not needed: a retried write learns from
  // the audit row whether the earlier one took effect.
  if (is_concluded_ || !Owns(answer.operation)) return step;
  operation_.reset();
  if (answer.outcome == TableOutcome::kUnavailable ||
      answer.outcome == TableOutcome::kUnknown) {
    HandleFailedOperation(step, answer.outcome, now);
    return step;
  }
  consecutive_failures_ = 0;
  if (is_writing_ && answer.outcome == TableOutcome::kOk) {
    Conclude(step, {.result = ChangeResult::kAccepted,
                    .revision = new_configuration_.revision,
                    .configuration = new_configuration_});
    return step;
  }
  HandleRows(step, answer, now);
  return step;
}

ChangeStep ChangeRun::HandleTimer(TimePoint now) {
  ChangeStep step;
  if (is_concluded_) return step;
  if (operation_ && now >= std::min(operation_deadline_, deadline_)) {
    operation_.reset();
    HandleFailedOperation(step, TableOutcome::kUnknown, now);
    return step;
  }
  if (retry_at_ && now >= *retry_at_) {
    retry_at_.reset();
    // While an earlier write may still take effect, only repeating the same
    // write shows its outcome. Otherwise a new write includes the drains that
    // are held by now.
    if (is_write_uncertain_) {
      IssueWrite(step, now);
    } else {
      IssueRead(step, now);
    }
  }
  return step;
}

std::optional<TimePoint> ChangeRun::NextDue() const {
  if (is_concluded_) return std::nullopt;
  if (operation_) return std::min(operation_deadline_, deadline_);
  return retry_at_;
}

void ChangeRun::IssueRead(ChangeStep& step, TimePoint now) {
  is_writing_ = false;
  operation_ = counter_->Next();
  operation_deadline_ = now + kOperationTimeout;
  ReadTable read{*operation_, {kConfigurationRowKey}};
  for (std::uint64_t i = 1; i <= kMaximumChangesPerWrite; ++i) {
    read.keys.push_back(AuditRowKey(request_.expected_revision + i));
  }
  step.commands.emplace_back(std::move(read));
}

void ChangeRun::IssueWrite(ChangeStep& step, TimePoint now) {
  is_writing_ = true;
  operation_ = counter_->Next();
  operation_deadline_ = now + kOperationTimeout;
  step.commands.emplace_back(WriteTable{*operation_, writes_});
}

void ChangeRun::HandleFailedOperation(ChangeStep& step, TableOutcome outcome,
                                      TimePoint now) {
  has_table_failed_ = true;
  ++consecutive_failures_;
  if (is_writing_ && outcome == TableOutcome::kUnknown) {
    is_write_uncertain_ = true;
  }
  const bool is_down =
      consecutive_failures_ >= kMaximumFailures && !is_write_uncertain_;
  if (now + kRetryDelay < deadline_ && !is_down) {
    retry_at_ = now + kRetryDelay;
    return;
  }
  Conclude(step,
           {.result = is_write_uncertain_ ? ChangeResult::kUnknown
                                          : ChangeResult::kStoreUnavailable});
}

void ChangeRun::HandleRows(ChangeStep& step, const TableAnswered& answer,
                           TimePoint now) {
  if (is_writing_) {
    // A rejected write returns only its own rows, and another host may have
    // written this change together with other drains.
    IssueRead(step, now);
    return;
  }
  const TableRow* current = FindRow(answer, kConfigurationRowKey);
  if (current == nullptr) {
    HandleFailedOperation(step, TableOutcome::kUnavailable, now);
    return;
  }
  Configuration stored;
  if (current->version != 0) {
    configuration::ConfigurationReader reader;
    const std::optional<Configuration> read = reader.Read(current->value);
    if (!read) {
      Conclude(step, {.result = ChangeResult::kInvalid,
                      .problems = reader.problems()});
      return;
    }
    stored = *read;
  }
  if (ConcludeFromAuditRows(step, answer, stored)) return;
  if (stored.revision != request_.expected_revision) {
    Conclude(step,
             {.result = ChangeResult::kConflict, .revision = stored.revision});
    return;
  }
  PrepareWrite(step, current->version, stored, now);
}

// The change is in the table if one of the audit rows that a transaction on its
// expected revision can have written contains its id. If another change has
// taken that revision, this one can never be accepted.
bool ChangeRun::ConcludeFromAuditRows(ChangeStep& step,
                                      const TableAnswered& answer,
                                      const Configuration& stored) {
  for (std::uint64_t i = 1; i <= kMaximumChangesPerWrite; ++i) {
    const std::uint64_t revision = request_.expected_revision + i;
    const TableRow* audit = FindRow(answer, AuditRowKey(revision));
    if (audit == nullptr ||
        ReadAuditChangeId(audit->value) != request_.change_id) {
      continue;
    }
    ChangeConclusion conclusion{.result = ChangeResult::kAccepted,
                                .revision = revision};
    if (stored.revision >= revision) conclusion.configuration = stored;
    Conclude(step, std::move(conclusion));
    return true;
  }
  const TableRow* first =
      FindRow(answer, AuditRowKey(request_.expected_revision + 1));
  if (first == nullptr || first->version == 0) return false;
  Conclude(step, {.result = ChangeResult::kConflict,
                  .revision = stored.revision,
                  .conflicting_audit_row = first->value});
  return true;
}

void ChangeRun::PrepareWrite(ChangeStep& step, std::uint64_t version,
                             const Configuration& stored, TimePoint now) {
  new_configuration_ = stored;
  writes_ = {{kConfigurationRowKey, version, ""}};
  configuration::ChangeApplier applier;
  const auto append = [&](const ChangeRequest& request) {
    const std::optional<Configuration> next =
        applier.Apply(new_configuration_, request.change);
    if (!next) return false;
    writes_.push_back({AuditRowKey(next->revision), 0,
                       EncodeAuditRow(request, new_configuration_, *next)});
    new_configuration_ = *next;
    return true;
  };
  for (const ChangeRequest& drain : held_drains_->drains()) {
    const bool is_other = drain.change_id != request_.change_id;
    const bool has_same_base =
        drain.expected_revision == request_.expected_revision;
    if (is_other && has_same_base && writes_.size() < kMaximumChangesPerWrite) {
      append(drain);
    }
  }
  if (!append(request_)) {
    Conclude(step, {.result = ChangeResult::kInvalid,
                    .revision = stored.revision,
                    .problems = applier.problems()});
    return;
  }
  revision_ = new_configuration_.revision;
  writes_.front().value = configuration::WriteConfiguration(new_configuration_);
  IssueWrite(step, now);
}

void ChangeRun::Conclude(ChangeStep& step, ChangeConclusion conclusion) {
  assert(!is_concluded_);
  is_concluded_ = true;
  operation_.reset();
  retry_at_.reset();
  step.conclusion = std::move(conclusion);
}

}  // namespace lovagecleat::policy
