#include "policy/intent.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace lovagecleat::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An operation without an answer for this long counts as unknown.
constexpr Duration kOperationBound = milliseconds(500);
// The first operation may take this part of the time of a claim. More parts
// would give up on a store that is merely slow.
constexpr int kOperationsOfClaim = 2;
constexpr Duration kMinimumOperationTime = milliseconds(50);
constexpr Duration kFirstRetryDelay = milliseconds(25);
constexpr Duration kMaximumClaimRetryDelay = milliseconds(200);
constexpr Duration kMaximumCloseRetryDelay = seconds(5);
// A claim takes at most this long, and at most half of the time that is left,
// so that a refusal comes while the caller can still go elsewhere.
constexpr Duration kMaximumClaimTime = seconds(2);
// A table that refuses this often in a row is down, not busy.
constexpr int kMaximumClaimRefusals = 5;
// How long the row is tried to be closed after the conclusion.
constexpr Duration kCloseTime = seconds(60);

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
  claim_bound_ = now + std::min(kMaximumClaimTime, (deadline_ - now) / 2);
  IssueWrite(step, now);
  return step;
}

IntentStep IntentRun::HandleTable(const TableAnswered& answer, TimePoint now) {
  IntentStep step;
  // Answers to operations that were given up are not needed: a write tried
  // again finds in the row whether the earlier one took effect.
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

IntentStep IntentRun::HandleBackend(AttemptOutcome outcome,
                                    std::string_view output, TimePoint now) {
  IntentStep step;
  if (!is_call_outstanding_) return step;
  is_call_outstanding_ = false;
  if (outcome == AttemptOutcome::kOk) {
    // The call has happened, whatever becomes of the row, so the caller does
    // not wait for the row. A late result still replaces an unknown one there.
    Conclude(step, IntentResult::kDone, std::string(output));
    Close(step, IntentState::kDone, std::string(output), now);
    return step;
  }
  if (!IsSurelyNotRun(outcome)) {
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
  if (phase_ == Phase::kClaiming && now >= claim_bound_) {
    GiveUpClaim(step, now);
    return step;
  }
  if (phase_ == Phase::kCalling && now >= deadline_) {
    Conclude(step, IntentResult::kUnknown);
    Close(step, IntentState::kUnknown, {}, now);
    return step;
  }
  if (operation_ && now >= operation_bound_) {
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
  if (operation_) consider(operation_bound_);
  if (retry_at_) consider(*retry_at_);
  if (phase_ == Phase::kClaiming) consider(claim_bound_);
  if (phase_ == Phase::kCalling) consider(deadline_);
  return due;
}

// A lost answer is settled by a second operation, so the first one may take
// only a part of the time that the claim has.
Duration IntentRun::OperationTime(TimePoint now) const {
  if (phase_ != Phase::kClaiming) return kOperationBound;
  const Duration part = (claim_bound_ - now) / kOperationsOfClaim;
  return std::clamp(part, kMinimumOperationTime, kOperationBound);
}

void IntentRun::IssueWrite(IntentStep& step, TimePoint now) {
  is_reading_ = false;
  operation_ = counter_.Next();
  operation_bound_ = now + OperationTime(now);
  const IntentRow row{attempt_name_, wanted_state_, fingerprint_,
                      wanted_output_};
  step.commands.emplace_back(WriteTable{
      *operation_, {{row_key_, expected_version_, EncodeIntentRow(row)}}});
}

void IntentRun::IssueRead(IntentStep& step, TimePoint now) {
  is_reading_ = true;
  operation_ = counter_.Next();
  operation_bound_ = now + OperationTime(now);
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
  ++failures_in_a_row_;
  if (outcome == TableOutcome::kUnknown && !is_reading_) {
    is_claim_uncertain_ = true;
  }
  if (phase_ == Phase::kClaiming &&
      (now >= claim_bound_ || failures_in_a_row_ >= kMaximumClaimRefusals)) {
    GiveUpClaim(step, now);
    return;
  }
  if (phase_ == Phase::kClosing && now >= close_bound_) {
    Settle();
    return;
  }
  const Duration maximum = phase_ == Phase::kClaiming ? kMaximumClaimRetryDelay
                                                      : kMaximumCloseRetryDelay;
  retry_at_ = now + RetryDelay(failures_in_a_row_, maximum);
}

// Some tables do not name the row that stands in the way of a write.
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
  JudgeRowInClaim(step, *row, now);
}

void IntentRun::JudgeRowInClaim(IntentStep& step, const TableRow& row,
                                TimePoint now) {
  if (row.version == 0) {
    expected_version_ = 0;
    IssueWrite(step, now);
    return;
  }
  const std::optional<IntentRow> intent = DecodeIntentRow(row.value);
  if (!intent) {
    // Nobody can say what an unreadable row stands for.
    Conclude(step, IntentResult::kUnknown);
    Settle();
    return;
  }
  if (intent->attempt != attempt_name_) {
    JudgeRowOfOther(step, row, *intent, now);
    return;
  }
  // An earlier try of the same claim took effect, and its answer was lost.
  assert(intent->state == IntentState::kOpen);
  expected_version_ = row.version;
  BeginCall(step, now);
}

void IntentRun::JudgeRowOfOther(IntentStep& step, const TableRow& row,
                                const IntentRow& intent, TimePoint now) {
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
  // Our own claims expect a lower version, so none can take effect any more.
  Settle();
}

void IntentRun::BeginCall(IntentStep& step, TimePoint now) {
  if (now >= deadline_) {
    // The process may have been frozen since the claim was written.
    Conclude(step, IntentResult::kNotRun);
    Close(step, IntentState::kNotRun, {}, now);
    return;
  }
  phase_ = Phase::kCalling;
  is_claim_uncertain_ = false;
  failures_in_a_row_ = 0;
  is_call_outstanding_ = true;
  step.send_call = SendCall::kYes;
}

void IntentRun::Close(IntentStep& step, IntentState state, std::string output,
                      TimePoint now) {
  phase_ = Phase::kClosing;
  wanted_state_ = state;
  wanted_output_ = std::move(output);
  close_bound_ = now + kCloseTime;
  failures_in_a_row_ = 0;
  retry_at_.reset();
  IssueWrite(step, now);
}

void IntentRun::GiveUpClaim(IntentStep& step, TimePoint now) {
  Conclude(step, IntentResult::kStoreUnavailable);
  const bool may_take_effect =
      is_claim_uncertain_ || (operation_ && !is_reading_);
  if (!may_take_effect) {
    Settle();
    return;
  }
  // A claim that takes effect late would block the key, though nothing runs
  // under it. The closing write expects the same version as the claim: if it
  // comes first, the claim can never take effect; if not, it finds our row.
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
  JudgeRowInClose(step, *row, now);
}

void IntentRun::JudgeRowInClose(IntentStep& step, const TableRow& row,
                                TimePoint now) {
  const std::optional<IntentRow> intent = DecodeIntentRow(row.value);
  const bool is_ours = intent && intent->attempt == attempt_name_;
  if (row.version != 0 && !is_ours) {
    // Only a claim that never took effect can meet the row of another attempt.
    Settle();
    return;
  }
  expected_version_ = row.version;
  if (is_ours && intent->state == wanted_state_) {
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
