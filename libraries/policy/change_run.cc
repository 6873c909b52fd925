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
// One transaction brings in a change and the drains that are held beside it.
constexpr std::uint64_t kMaximumStepsOfOneWrite =
    ProvisionalDrains::kMaximumDrains + 1;

const TableRow* FindRow(const TableAnswered& answer, std::string_view key) {
  const auto found =
      std::find_if(answer.rows.begin(), answer.rows.end(),
                   [key](const TableRow& row) { return row.key == key; });
  return found == answer.rows.end() ? nullptr : &*found;
}

}  // namespace

ChangeRun::ChangeRun(ChangeRequest request, const ProvisionalDrains& held,
                     OperationCounter& counter)
    : request_(std::move(request)), held_(&held), counter_(&counter) {}

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
    // While an earlier write may take effect, only the same write again can
    // tell; else what is held by now goes into a new one.
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
  if (operation_) return std::min(operation_bound_, bound_);
  return retry_at_;
}

void ChangeRun::IssueRead(ChangeStep& step, TimePoint now) {
  is_writing_ = false;
  operation_ = counter_->Next();
  operation_bound_ = now + kOperationBound;
  ReadTable read{*operation_, {kConfigurationRowKey}};
  for (std::uint64_t i = 1; i <= kMaximumStepsOfOneWrite; ++i) {
    read.keys.push_back(AuditRowKey(request_.expected_revision + i));
  }
  step.commands.emplace_back(std::move(read));
}

void ChangeRun::IssueWrite(ChangeStep& step, TimePoint now) {
  is_writing_ = true;
  operation_ = counter_->Next();
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
  if (is_writing_) {
    // A refused write shows its own rows alone, and another host may have
    // brought this change in together with other drains.
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

// A change is in the table if one of the rows that a transaction on its
// revision can have written names it. If others took that revision, it can
// never come in.
bool ChangeRun::ConcludeFromAuditRows(ChangeStep& step,
                                      const TableAnswered& answer,
                                      const Configuration& stored) {
  for (std::uint64_t i = 1; i <= kMaximumStepsOfOneWrite; ++i) {
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
                  .other = first->value});
  return true;
}

void ChangeRun::PrepareWrite(ChangeStep& step, std::uint64_t version,
                             const Configuration& stored, TimePoint now) {
  after_ = stored;
  writes_ = {{kConfigurationRowKey, version, ""}};
  configuration::ChangeApplier applier;
  const auto add = [&](const ChangeRequest& request) {
    const std::optional<Configuration> next =
        applier.Apply(after_, request.change);
    if (!next) return false;
    writes_.push_back({AuditRowKey(next->revision), 0,
                       EncodeAuditRow(request, after_, *next)});
    after_ = *next;
    return true;
  };
  for (const ChangeRequest& drain : held_->drains()) {
    const bool is_other = drain.change_id != request_.change_id;
    const bool fits = drain.expected_revision == request_.expected_revision;
    if (is_other && fits && writes_.size() < kMaximumStepsOfOneWrite) {
      add(drain);
    }
  }
  if (!add(request_)) {
    Conclude(step, {.result = ChangeResult::kInvalid,
                    .revision = stored.revision,
                    .problems = applier.problems()});
    return;
  }
  revision_ = after_.revision;
  writes_.front().value = configuration::WriteConfiguration(after_);
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
