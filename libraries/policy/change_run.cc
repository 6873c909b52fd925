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

constexpr Duration kOperationBound = milliseconds(600);
constexpr Duration kRetryDelay = milliseconds(100);
// An operator waits this long at most.
constexpr Duration kChangeBound = seconds(3);
// A table that refuses this often in a row is down, not busy.
constexpr int kMaximumRefusals = 5;

const TableRow* FindRow(const TableAnswered& answer, std::string_view key) {
  const auto found =
      std::find_if(answer.rows.begin(), answer.rows.end(),
                   [key](const TableRow& row) { return row.key == key; });
  return found == answer.rows.end() ? nullptr : &*found;
}

}  // namespace

ChangeRun::ChangeRun(ChangeRequest request, OperationCounter& counter)
    : request_(std::move(request)), counter_(counter) {}

ChangeStep ChangeRun::Start(TimePoint now) {
  ChangeStep step;
  bound_ = now + kChangeBound;
  IssueRead(step, now);
  return step;
}

ChangeStep ChangeRun::HandleTable(const TableAnswered& answer, TimePoint now) {
  ChangeStep step;
  // Late answers to given-up operations are not needed: a write tried again
  // finds in the audit row whether the earlier one took effect.
  if (is_concluded_ || !Owns(answer.operation)) return step;
  operation_.reset();
  if (answer.outcome == TableOutcome::kUnavailable ||
      answer.outcome == TableOutcome::kUnknown) {
    HandleFailedOperation(step, answer.outcome, now);
    return step;
  }
  failures_in_a_row_ = 0;
  if (is_writing_ && answer.outcome == TableOutcome::kOk) {
    Conclude(step, {.result = ChangeResult::kAccepted,
                    .revision = after_.revision,
                    .configuration = after_});
    return step;
  }
  Judge(step, answer, now);
  return step;
}

ChangeStep ChangeRun::HandleTimer(TimePoint now) {
  ChangeStep step;
  if (is_concluded_) return step;
  if (operation_ && now >= std::min(operation_bound_, bound_)) {
    operation_.reset();
    HandleFailedOperation(step, TableOutcome::kUnknown, now);
    return step;
  }
  if (retry_at_ && now >= *retry_at_) {
    retry_at_.reset();
    if (is_writing_) {
      IssueWrite(step, now);
    } else {
      IssueRead(step, now);
    }
  }
  return step;
}

std::optional<TimePoint> ChangeRun::NextDue() const {
  if (is_concluded_) return std::nullopt;
  if (operation_) return std::min(operation_bound_, bound_);
  return retry_at_;
}

void ChangeRun::IssueRead(ChangeStep& step, TimePoint now) {
  is_writing_ = false;
  operation_ = counter_.Next();
  operation_bound_ = now + kOperationBound;
  step.commands.emplace_back(ReadTable{
      *operation_,
      {kConfigurationRowKey, AuditRowKey(request_.expected_revision + 1)}});
}

void ChangeRun::IssueWrite(ChangeStep& step, TimePoint now) {
  is_writing_ = true;
  operation_ = counter_.Next();
  operation_bound_ = now + kOperationBound;
  step.commands.emplace_back(WriteTable{*operation_, writes_});
}

void ChangeRun::HandleFailedOperation(ChangeStep& step, TableOutcome outcome,
                                      TimePoint now) {
  has_met_failure_ = true;
  ++failures_in_a_row_;
  if (is_writing_ && outcome == TableOutcome::kUnknown) {
    is_write_uncertain_ = true;
  }
  const bool is_down =
      failures_in_a_row_ >= kMaximumRefusals && !is_write_uncertain_;
  if (now + kRetryDelay < bound_ && !is_down) {
    retry_at_ = now + kRetryDelay;
    return;
  }
  Conclude(step,
           {.result = is_write_uncertain_ ? ChangeResult::kUnknown
                                          : ChangeResult::kStoreUnavailable});
}

void ChangeRun::Judge(ChangeStep& step, const TableAnswered& answer,
                      TimePoint now) {
  const TableRow* current = FindRow(answer, kConfigurationRowKey);
  const TableRow* audit =
      FindRow(answer, AuditRowKey(request_.expected_revision + 1));
  if (current == nullptr || audit == nullptr) {
    JudgeMissingRows(step, now);
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
  if (audit->version != 0) {
    JudgeAuditRow(step, *audit, stored);
    return;
  }
  if (stored.revision != request_.expected_revision) {
    Conclude(step,
             {.result = ChangeResult::kConflict, .revision = stored.revision});
    return;
  }
  PrepareWrite(step, current->version, stored, now);
}

// Some tables name only the rows that stand in the way of a write.
void ChangeRun::JudgeMissingRows(ChangeStep& step, TimePoint now) {
  if (is_writing_) {
    IssueRead(step, now);
    return;
  }
  HandleFailedOperation(step, TableOutcome::kUnavailable, now);
}

void ChangeRun::JudgeAuditRow(ChangeStep& step, const TableRow& audit,
                              const Configuration& stored) {
  ChangeConclusion conclusion;
  if (ReadAuditChangeId(audit.value) != request_.change_id) {
    conclusion.result = ChangeResult::kConflict;
    conclusion.revision = stored.revision;
    conclusion.other = audit.value;
    Conclude(step, std::move(conclusion));
    return;
  }
  conclusion.result = ChangeResult::kAccepted;
  conclusion.revision = request_.expected_revision + 1;
  if (stored.revision == conclusion.revision) conclusion.configuration = stored;
  Conclude(step, std::move(conclusion));
}

void ChangeRun::PrepareWrite(ChangeStep& step, std::uint64_t version,
                             const Configuration& stored, TimePoint now) {
  configuration::ChangeApplier applier;
  const std::optional<Configuration> after =
      applier.Apply(stored, request_.change);
  if (!after) {
    Conclude(step, {.result = ChangeResult::kInvalid,
                    .revision = stored.revision,
                    .problems = applier.problems()});
    return;
  }
  after_ = *after;
  writes_ = {{kConfigurationRowKey, version,
              configuration::WriteConfiguration(after_)},
             {AuditRowKey(after_.revision), 0,
              EncodeAuditRow(request_, stored, after_)}};
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
