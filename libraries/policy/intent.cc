#include "policy/intent.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace lovagecleat::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The outcome of an operation without an answer for this long is unknown.
constexpr Duration kOperationTimeout = milliseconds(500);
// The remaining time of a claim is divided by this for each operation. A larger
// divisor would abandon claims on a table that is only slow.
constexpr int kOperationsPerClaim = 2;
constexpr Duration kMinimumOperationTimeout = milliseconds(50);
constexpr Duration kFirstRetryDelay = milliseconds(25);
constexpr Duration kMaximumClaimRetryDelay = milliseconds(200);
constexpr Duration kMaximumCloseRetryDelay = seconds(5);
// A claim takes at most this long and at most half of the remaining time, so
// that a refused caller still has time to send the request elsewhere.
constexpr Duration kMaximumClaimTimeout = seconds(2);
// After this many consecutive failures the table is down rather than busy.
constexpr int kMaximumClaimFailures = 5;
// How long writes that close the row are retried after the conclusion.
constexpr Duration kCloseTimeout = seconds(60);

Duration RetryDelay(int failures, Duration maximum) {
  Duration delay = kFirstRetryDelay;
  for (int i = 1; i < failures && delay < maximum; ++i) delay *= 2;
  return std::min(delay, maximum);
}

}  // namespace

IntentRun::IntentRun(const IntentKey& key, std::uint64_t fingerprint,
                     std::string attempt_name, OperationCounter& counter,
                     TimePoint deadline)
    : row_key_(IntentRowKey(key)),
      fingerprint_(fingerprint),
      attempt_name_(std::move(attempt_name)),
      counter_(counter),
      deadline_(deadline) {}

IntentStep IntentRun::Start(TimePoint now) {
  assert(phase_ == Phase::kNew);
  IntentStep step;
  if (now >= deadline_) {
    Conclude(step, IntentResult::kNotRun);
    Settle();
    return step;
  }
  phase_ = Phase::kClaiming;
  claim_deadline_ = now + std::min(kMaximumClaimTimeout, (deadline_ - now) / 2);
  IssueWrite(step, now);
  return step;
}

IntentStep IntentRun::HandleTableAnswer(const TableAnswered& answer,
                                        TimePoint now) {
  IntentStep step;
  // Answers to abandoned operations are not needed: a retried write learns from
  // the row whether the earlier one took effect.
  if (!Owns(answer.operation)) return step;
  operation_.reset();
  if (answer.outcome == TableOutcome::kUnavailable ||
      answer.outcome == TableOutcome::kUnknown) {
    HandleFailedOperation(step, answer.outcome, now);
    return step;
  }
  if (phase_ == Phase::kClaiming) {
    HandleClaimAnswer(step, answer, now);
  } else if (phase_ == Phase::kClosing) {
    HandleCloseAnswer(step, answer, now);
  }
  return step;
}

IntentStep IntentRun::HandleBackendResult(AttemptOutcome outcome,
                                          std::string_view output,
                                          TimePoint now) {
  IntentStep step;
  if (!is_call_outstanding_) return step;
  is_call_outstanding_ = false;
  if (outcome == AttemptOutcome::kOk) {
    // The call was made whether or not the row can be updated, so the caller
    // does not wait for the write. A late result still replaces kUnknown there.
    Conclude(step, IntentResult::kDone, std::string(output));
    Close(step, IntentState::kDone, std::string(output), now);
    return step;
  }
  if (!IsKnownNotRun(outcome)) {
    if (is_concluded_) return step;
    Conclude(step, IntentResult::kUnknown);
    Close(step, IntentState::kUnknown, {}, now);
    return step;
  }
  Conclude(step, IntentResult::kNotRun);
  Close(step, IntentState::kNotRun, {}, now);
  return step;
}

IntentStep IntentRun::HandleNotPlaced(TimePoint now) {
  IntentStep step;
  if (!is_call_outstanding_) return step;
  is_call_outstanding_ = false;
  Conclude(step, IntentResult::kNotRun);
  Close(step, IntentState::kNotRun, {}, now);
  return step;
}

IntentStep IntentRun::HandleTimer(TimePoint now) {
  IntentStep step;
  if (phase_ == Phase::kClaiming && now >= claim_deadline_) {
    AbandonClaim(step, now);
    return step;
  }
  if (phase_ == Phase::kCalling && now >= deadline_) {
    Conclude(step, IntentResult::kUnknown);
    Close(step, IntentState::kUnknown, {}, now);
    return step;
  }
  if (operation_ && now >= operation_deadline_) {
    operation_.reset();
    HandleFailedOperation(step, TableOutcome::kUnknown, now);
    return step;
  }
  if (retry_at_ && now >= *retry_at_) {
    retry_at_.reset();
    Issue(step, now);
  }
  return step;
}

bool IntentRun::Owns(OperationId operation) const {
  return operation_ == operation;
}

std::optional<TimePoint> IntentRun::NextDue() const {
  std::optional<TimePoint> due;
  const auto consider = [&due](TimePoint instant) {
    due = due ? std::min(*due, instant) : instant;
  };
  if (operation_) consider(operation_deadline_);
  if (retry_at_) consider(*retry_at_);
  if (phase_ == Phase::kClaiming) consider(claim_deadline_);
  if (phase_ == Phase::kCalling) consider(deadline_);
  return due;
}

// After a lost answer a second operation finds out what happened, so the first
// one may take only a part of the time of the claim.
Duration IntentRun::OperationTimeout(TimePoint now) const {
  if (phase_ != Phase::kClaiming) return kOperationTimeout;
  const Duration share = (claim_deadline_ - now) / kOperationsPerClaim;
  return std::clamp(share, kMinimumOperationTimeout, kOperationTimeout);
}

void IntentRun::IssueWrite(IntentStep& step, TimePoint now) {
  is_reading_ = false;
  operation_ = counter_.Next();
  operation_deadline_ = now + OperationTimeout(now);
  const IntentRow row{attempt_name_, target_state_, fingerprint_,
                      target_output_};
  step.commands.emplace_back(WriteTable{
      *operation_, {{row_key_, expected_version_, EncodeIntentRow(row)}}});
}

void IntentRun::IssueRead(IntentStep& step, TimePoint now) {
  is_reading_ = true;
  operation_ = counter_.Next();
  operation_deadline_ = now + OperationTimeout(now);
  step.commands.emplace_back(ReadTable{*operation_, {row_key_}});
}

void IntentRun::Issue(IntentStep& step, TimePoint now) {
  if (is_reading_) {
    IssueRead(step, now);
  } else {
    IssueWrite(step, now);
  }
}

void IntentRun::Conclude(IntentStep& step, IntentResult result,
                         std::string output) {
  if (is_concluded_) return;
  is_concluded_ = true;
  step.conclusion = IntentConclusion{result, std::move(output)};
}

void IntentRun::Settle() {
  phase_ = Phase::kSettled;
  operation_.reset();
  retry_at_.reset();
}

void IntentRun::HandleFailedOperation(IntentStep& step, TableOutcome outcome,
                                      TimePoint now) {
  ++consecutive_failures_;
  if (outcome == TableOutcome::kUnknown && !is_reading_) {
    is_claim_uncertain_ = true;
  }
  if (phase_ == Phase::kClaiming &&
      (now >= claim_deadline_ ||
       consecutive_failures_ >= kMaximumClaimFailures)) {
    AbandonClaim(step, now);
    return;
  }
  if (phase_ == Phase::kClosing && now >= close_deadline_) {
    Settle();
    return;
  }
  const Duration maximum = phase_ == Phase::kClaiming ? kMaximumClaimRetryDelay
                                                      : kMaximumCloseRetryDelay;
  retry_at_ = now + RetryDelay(consecutive_failures_, maximum);
}

// Some tables do not return the row that a rejected write conflicts with.
void IntentRun::HandleMissingRow(IntentStep& step, TimePoint now) {
  if (is_reading_) {
    HandleFailedOperation(step, TableOutcome::kUnavailable, now);
    return;
  }
  IssueRead(step, now);
}

void IntentRun::HandleClaimAnswer(IntentStep& step, const TableAnswered& answer,
                                  TimePoint now) {
  if (answer.outcome == TableOutcome::kOk && !is_reading_) {
    ++expected_version_;
    BeginCall(step, now);
    return;
  }
  const TableRow* row = FindRow(answer);
  if (row == nullptr) {
    HandleMissingRow(step, now);
    return;
  }
  HandleClaimRow(step, *row, now);
}

void IntentRun::HandleClaimRow(IntentStep& step, const TableRow& row,
                               TimePoint now) {
  if (row.version == 0) {
    expected_version_ = 0;
    IssueWrite(step, now);
    return;
  }
  const std::optional<IntentRow> intent = DecodeIntentRow(row.value);
  if (!intent) {
    // An unreadable row does not show whether the call was made.
    Conclude(step, IntentResult::kUnknown);
    Settle();
    return;
  }
  if (intent->attempt != attempt_name_) {
    HandleRowOfOtherAttempt(step, row, *intent, now);
    return;
  }
  // An earlier write of the same claim took effect, but its answer was lost.
  assert(intent->state == IntentState::kOpen);
  expected_version_ = row.version;
  BeginCall(step, now);
}

void IntentRun::HandleRowOfOtherAttempt(IntentStep& step, const TableRow& row,
                                        const IntentRow& intent,
                                        TimePoint now) {
  const bool is_same_input = intent.fingerprint == fingerprint_;
  if (is_same_input && intent.state == IntentState::kNotRun) {
    expected_version_ = row.version;
    IssueWrite(step, now);
    return;
  }
  if (!is_same_input) {
    Conclude(step, IntentResult::kKeyReused);
  } else if (intent.state == IntentState::kDone) {
    Conclude(step, IntentResult::kDone, intent.output);
  } else if (intent.state == IntentState::kOpen) {
    Conclude(step, IntentResult::kInFlightElsewhere);
  } else {
    Conclude(step, IntentResult::kUnknown);
  }
  // Claims of this run expect a lower version, so none can take effect later.
  Settle();
}

void IntentRun::BeginCall(IntentStep& step, TimePoint now) {
  if (now >= deadline_) {
    // The process may have been suspended since the claim was written.
    Conclude(step, IntentResult::kNotRun);
    Close(step, IntentState::kNotRun, {}, now);
    return;
  }
  phase_ = Phase::kCalling;
  is_claim_uncertain_ = false;
  consecutive_failures_ = 0;
  is_call_outstanding_ = true;
  step.send_call = SendCall::kYes;
}

void IntentRun::Close(IntentStep& step, IntentState state, std::string output,
                      TimePoint now) {
  phase_ = Phase::kClosing;
  target_state_ = state;
  target_output_ = std::move(output);
  close_deadline_ = now + kCloseTimeout;
  consecutive_failures_ = 0;
  retry_at_.reset();
  IssueWrite(step, now);
}

void IntentRun::AbandonClaim(IntentStep& step, TimePoint now) {
  Conclude(step, IntentResult::kStoreUnavailable);
  const bool may_take_effect =
      is_claim_uncertain_ || (operation_ && !is_reading_);
  if (!may_take_effect) {
    Settle();
    return;
  }
  // A claim that takes effect late would block the key although no call runs.
  // The closing write expects the same version as the claim: if it is applied
  // first, the claim can never take effect; if not, it finds this run's row.
  Close(step, IntentState::kNotRun, {}, now);
}

void IntentRun::HandleCloseAnswer(IntentStep& step, const TableAnswered& answer,
                                  TimePoint now) {
  if (answer.outcome == TableOutcome::kOk && !is_reading_) {
    ++expected_version_;
    Settle();
    return;
  }
  const TableRow* row = FindRow(answer);
  if (row == nullptr) {
    HandleMissingRow(step, now);
    return;
  }
  HandleCloseRow(step, *row, now);
}

void IntentRun::HandleCloseRow(IntentStep& step, const TableRow& row,
                               TimePoint now) {
  const std::optional<IntentRow> intent = DecodeIntentRow(row.value);
  const bool is_ours = intent && intent->attempt == attempt_name_;
  if (row.version != 0 && !is_ours) {
    // The row belongs to another attempt only if this claim never took effect.
    Settle();
    return;
  }
  expected_version_ = row.version;
  if (is_ours && intent->state == target_state_) {
    Settle();
    return;
  }
  IssueWrite(step, now);
}

const TableRow* IntentRun::FindRow(const TableAnswered& answer) const {
  const auto found =
      std::find_if(answer.rows.begin(), answer.rows.end(),
                   [this](const TableRow& row) { return row.key == row_key_; });
  return found == answer.rows.end() ? nullptr : &*found;
}

}  // namespace lovagecleat::policy
