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
  kInvalid,           // the change cannot be applied to the configuration
  kStoreUnavailable,  // not run: the table did not answer
  kUnknown,           // may have been accepted or may still be
};

struct ChangeConclusion {
  ChangeResult result = ChangeResult::kUnknown;
  std::uint64_t revision = 0;  // of the change if accepted, else the newest
  // Set if the change was accepted and this configuration includes it.
  std::optional<configuration::Configuration> configuration{};
  // With kConflict: the audit row of the other change, empty if unknown.
  std::string conflicting_audit_row{};
  std::vector<configuration::Problem> problems{};
};

struct ChangeStep {
  std::vector<Command> commands;
  std::optional<ChangeConclusion> conclusion;  // set in one step only
};

// Writes one change to the table: the new configuration and its audit row in
// one transaction, by compare-and-set on the revision. The transaction first
// applies the drains held for the same revision, each with a revision and an
// audit row of its own, so that the change does not discard them.
class ChangeRun {
 public:
  // `held_drains` and `counter` must outlive the run.
  ChangeRun(ChangeRequest request, const ProvisionalDrains& held_drains,
            OperationCounter& counter);

  ChangeStep Start(TimePoint now);
  ChangeStep HandleTableAnswer(const TableAnswered& answer, TimePoint now);
  ChangeStep HandleTimer(TimePoint now);

  bool Owns(OperationId operation) const { return operation_ == operation; }
  std::optional<TimePoint> NextDue() const;
  const ChangeRequest& request() const { return request_; }
  // Returns true if a table operation has failed at least once.
  bool HasTableFailed() const { return has_table_failed_; }

 private:
  void IssueRead(ChangeStep& step, TimePoint now);
  void IssueWrite(ChangeStep& step, TimePoint now);
  void HandleFailedOperation(ChangeStep& step, TableOutcome outcome,
                             TimePoint now);
  void HandleRows(ChangeStep& step, const TableAnswered& answer, TimePoint now);
  bool ConcludeFromAuditRows(ChangeStep& step, const TableAnswered& answer,
                             const configuration::Configuration& stored);
  void PrepareWrite(ChangeStep& step, std::uint64_t version,
                    const configuration::Configuration& stored, TimePoint now);
  void Conclude(ChangeStep& step, ChangeConclusion conclusion);

  ChangeRequest request_;
  const ProvisionalDrains* held_drains_;
  OperationCounter* counter_;
  std::optional<OperationId> operation_;
  TimePoint operation_deadline_{};
  std::optional<TimePoint> retry_at_;
  TimePoint deadline_{};
  std::vector<TableWrite> writes_;  // empty before the first write
  configuration::Configuration new_configuration_;
  std::uint64_t revision_ = 0;  // of this change after the write
  bool is_writing_ = false;
  bool is_write_uncertain_ = false;
  bool has_table_failed_ = false;
  bool is_concluded_ = false;
  int consecutive_failures_ = 0;
};

}  // namespace lovagecleat::policy
