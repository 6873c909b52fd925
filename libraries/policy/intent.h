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
  kNotRun,             // the call was not made and will not be
  kUnknown,            // the call may have been made
  kKeyReused,          // not run: the key was used for another input
  kInFlightElsewhere,  // another attempt holds the key
  kStoreUnavailable,   // not run: the table did not answer
};

struct IntentConclusion {
  IntentResult result = IntentResult::kUnknown;
  std::string output;  // JSON text, set only with kDone
};

enum class SendCall { kNo, kYes };

// The actions that follow from one event.
struct IntentStep {
  std::vector<Command> commands;
  SendCall send_call = SendCall::kNo;  // kYes: place and send the call now
  std::optional<IntentConclusion> conclusion;  // set in one step only
};

// Runs one non-idempotent stage of one request at most once across all hosts.
//
// The caller answers each `send_call` of kYes with one HandleBackendResult or
// HandleNotPlaced. After the conclusion it keeps the run and passes on events
// until IsSettled.
class IntentRun {
 public:
  // `attempt_name` must be unique across hosts and incarnations, and `counter`
  // must outlive the run.
  IntentRun(const IntentKey& key, std::uint64_t fingerprint,
            std::string attempt_name, OperationCounter& counter,
            TimePoint deadline);

  IntentStep Start(TimePoint now);
  IntentStep HandleTableAnswer(const TableAnswered& answer, TimePoint now);
  IntentStep HandleBackendResult(AttemptOutcome outcome,
                                 std::string_view output, TimePoint now);
  // Handles a call that was not sent because no server was available.
  IntentStep HandleNotPlaced(TimePoint now);
  IntentStep HandleTimer(TimePoint now);

  bool Owns(OperationId operation) const;
  std::optional<TimePoint> NextDue() const;
  bool IsSettled() const { return phase_ == Phase::kSettled; }
  bool IsConcluded() const { return is_concluded_; }

 private:
  enum class Phase { kNew, kClaiming, kCalling, kClosing, kSettled };

  Duration OperationTimeout(TimePoint now) const;
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
  void HandleClaimRow(IntentStep& step, const TableRow& row, TimePoint now);
  void HandleRowOfOtherAttempt(IntentStep& step, const TableRow& row,
                               const IntentRow& intent, TimePoint now);
  void HandleCloseRow(IntentStep& step, const TableRow& row, TimePoint now);
  void BeginCall(IntentStep& step, TimePoint now);
  void Close(IntentStep& step, IntentState state, std::string output,
             TimePoint now);
  void AbandonClaim(IntentStep& step, TimePoint now);
  const TableRow* FindRow(const TableAnswered& answer) const;

  std::string row_key_;
  std::uint64_t fingerprint_;
  std::string attempt_name_;
  OperationCounter& counter_;
  TimePoint deadline_;

  Phase phase_ = Phase::kNew;
  bool is_concluded_ = false;
  bool is_call_outstanding_ = false;
  // A claim without an answer may have taken effect or may still do so.
  bool is_claim_uncertain_ = false;
  bool is_reading_ = false;  // the current operation is a read of the row
  IntentState target_state_ = IntentState::kOpen;
  std::string target_output_;
  std::uint64_t expected_version_ = 0;  // of the row, for the next write
  std::optional<OperationId> operation_;
  TimePoint operation_deadline_{};
  std::optional<TimePoint> retry_at_;
  TimePoint claim_deadline_{};
  TimePoint close_deadline_{};
  int consecutive_failures_ = 0;
};

}  // namespace lovagecleat::policy
