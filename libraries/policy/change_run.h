#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "policy/change_request.h"
#include "policy/commands.h"
#include "policy/events.h"
#include "policy/operation_counter.h"
#include "policy/provisional_drains.h"

namespace lovagecleat::policy {

enum class ChangeResult {
  kAccepted,
  kConflict,          // another change took the revision
  kInvalid,           // it does not fit the configuration
  kStoreUnavailable,  // not run, since the table did not answer
  kUnknown,           // it may have been accepted, or may yet be
};

struct ChangeConclusion {
  ChangeResult result = ChangeResult::kUnknown;
  std::uint64_t revision = 0;  // accepted, or what stands in its way
  // Set if accepted and the newest.
  std::optional<configuration::Configuration> configuration{};
  std::string other{};  // conflict: the audit row of the other change, if known
  std::vector<configuration::Problem> problems{};
};

struct ChangeStep {
  std::vector<Command> commands;
  std::optional<ChangeConclusion> conclusion;  // given once
};

// Brings one change into the table: the configuration and its audit row in one
// transaction, by compare-and-set on the revision. The drains that are held for
// the same revision go before it in the same transaction, each with a revision
// and an audit row of its own, so that the change does not end them.
class ChangeRun {
 public:
  // `held` and `counter` outlive this.
  ChangeRun(ChangeRequest request, const ProvisionalDrains& held,
            OperationCounter& counter);

  ChangeStep Start(TimePoint now);
  ChangeStep HandleTable(const TableAnswered& answer, TimePoint now);
  ChangeStep HandleTimer(TimePoint now);

  bool Owns(OperationId operation) const { return operation_ == operation; }
  std::optional<TimePoint> NextDue() const;
  const ChangeRequest& request() const { return request_; }
  // The table failed to answer at least once.
  bool HasMetFailure() const { return has_met_failure_; }

 private:
  void IssueRead(ChangeStep& step, TimePoint now);
  void IssueWrite(ChangeStep& step, TimePoint now);
  void HandleFailedOperation(ChangeStep& step, TableOutcome outcome,
                             TimePoint now);
  void Judge(ChangeStep& step, const TableAnswered& answer, TimePoint now);
  bool ConcludeFromAuditRows(ChangeStep& step, const TableAnswered& answer,
                             const configuration::Configuration& stored);
  void PrepareWrite(ChangeStep& step, std::uint64_t version,
                    const configuration::Configuration& stored, TimePoint now);
  void Conclude(ChangeStep& step, ChangeConclusion conclusion);

  ChangeRequest request_;
  const ProvisionalDrains* held_;
  OperationCounter* counter_;
  std::optional<OperationId> operation_;
  TimePoint operation_bound_{};
  std::optional<TimePoint> retry_at_;
  TimePoint bound_{};
  std::vector<TableWrite> writes_;  // empty before the first write
  configuration::Configuration after_;
  std::uint64_t revision_ = 0;  // that the write gives to this change
  bool is_writing_ = false;
  bool is_write_uncertain_ = false;
  bool has_met_failure_ = false;
  bool is_concluded_ = false;
  int failures_in_a_row_ = 0;
};

}  // namespace lovagecleat::policy
