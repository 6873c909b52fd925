#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/commands.h"
#include "policy/events.h"
#include "policy/intent_row.h"
#include "policy/operation_counter.h"

namespace lovagecleat::policy {

enum class IntentResult {
  kDone,
  kNotRun,             // the call did not happen and will not
  kUnknown,            // it may have happened
  kKeyReused,          // the key stands for another input; this one did not run
  kInFlightElsewhere,  // another attempt holds the key
  kStoreUnavailable,   // not run, since the table did not answer
};

struct IntentConclusion {
  IntentResult result = IntentResult::kUnknown;
  std::string output;  // JSON text, if done
};

enum class SendCall { kNo, kYes };

// What is to be done after an event.
struct IntentStep {
  std::vector<Command> commands;
  SendCall send_call = SendCall::kNo;  // kYes: place and send the call now
  std::optional<IntentConclusion> conclusion;  // given once
};

// Runs one non-idempotent stage of one request at most once over all hosts.
//
// Each kYes of `send_call` is to be answered by one HandleBackend or
// HandleNotPlaced. After the conclusion it is kept, and its events passed on,
// until IsSettled.
class IntentRun {
 public:
  // `attempt_name` is unique over hosts and incarnations; `counter` outlives
  // this.
  IntentRun(const IntentKey& key, std::uint64_t fingerprint,
            std::string attempt_name, OperationCounter& counter,
            TimePoint deadline);

  IntentStep Start(TimePoint now);
  IntentStep HandleTable(const TableAnswered& answer, TimePoint now);
  IntentStep HandleBackend(AttemptOutcome outcome, std::string_view output,
                           TimePoint now);
  // No server could be found for the call, and nothing was sent.
  IntentStep HandleNotPlaced(TimePoint now);
  IntentStep HandleTimer(TimePoint now);

  bool Owns(OperationId operation) const;
  std::optional<TimePoint> NextDue() const;
  bool IsSettled() const { return phase_ == Phase::kSettled; }
  bool IsConcluded() const { return is_concluded_; }

 private:
  enum class Phase { kNew, kClaiming, kCalling, kClosing, kSettled };

  Duration OperationTime(TimePoint now) const;
  void IssueWrite(IntentStep& step, TimePoint now);
  void IssueRead(IntentStep& step, TimePoint now);
  void Issue(IntentStep& step, TimePoint now);
  void Conclude(IntentStep& step, IntentResult result, std::string output = {});
  void Settle();

  void HandleClaimAnswer(IntentStep& step, const TableAnswered& answer,
                         TimePoint now);
  void HandleCloseAnswer(IntentStep& step, const TableAnswered& answer,
                         TimePoint now);
  void HandleFailedOperation(IntentStep& step, TableOutcome outcome,
                             TimePoint now);
  void HandleMissingRow(IntentStep& step, TimePoint now);
  void JudgeRowInClaim(IntentStep& step, const TableRow& row, TimePoint now);
  void JudgeRowOfOther(IntentStep& step, const TableRow& row,
                       const IntentRow& intent, TimePoint now);
  void JudgeRowInClose(IntentStep& step, const TableRow& row, TimePoint now);
  void BeginCall(IntentStep& step, TimePoint now);
  void Close(IntentStep& step, IntentState state, std::string output,
             TimePoint now);
  void GiveUpClaim(IntentStep& step, TimePoint now);
  const TableRow* FindRow(const TableAnswered& answer) const;

  std::string row_key_;
  std::uint64_t fingerprint_;
  std::string attempt_name_;
  OperationCounter& counter_;
  TimePoint deadline_;

  Phase phase_ = Phase::kNew;
  bool is_concluded_ = false;
  bool is_call_outstanding_ = false;
  // A claim may have taken effect, or may yet, without our knowing.
  bool is_claim_uncertain_ = false;
  bool is_reading_ = false;  // the operation reads the row back
  IntentState wanted_state_ = IntentState::kOpen;
  std::string wanted_output_;
  std::uint64_t expected_version_ = 0;  // of the row, for the next write
  std::optional<OperationId> operation_;
  TimePoint operation_bound_{};
  std::optional<TimePoint> retry_at_;
  TimePoint claim_bound_{};
  TimePoint close_bound_{};
  int failures_in_a_row_ = 0;
};

}  // namespace lovagecleat::policy
