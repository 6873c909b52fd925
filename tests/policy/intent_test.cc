#include "policy/intent.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fake_table.h"
#include "property.h"

namespace lovagecleat::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::Choices;
using tests::FakeTable;
using tests::TableFault;

constexpr std::uint64_t kFingerprint = 77;
constexpr Duration kDeadline = seconds(4);

// One attempt at one host, with its unanswered table operations and call.
struct Attempt {
  explicit Attempt(std::string attempt_name, OperationCounter& counter,
                   TimePoint now, std::uint64_t fingerprint = kFingerprint)
      : name(std::move(attempt_name)),
        run({TeamId("team"), "key/1", "dispatch"}, fingerprint, name, counter,
            now + kDeadline) {}

  void Apply(IntentStep step) {
    for (Command& command : step.commands) {
      operations.push_back(std::move(command));
    }
    if (step.send_call == SendCall::kYes) {
      REQUIRE_FALSE(is_call_outstanding);
      is_call_outstanding = true;
    }
    if (step.conclusion) {
      REQUIRE_FALSE(conclusion);
      conclusion = step.conclusion;
    }
  }

  std::string name;
  IntentRun run;
  std::vector<Command> operations;
  bool is_call_outstanding = false;
  int executions = 0;
  std::optional<IntentConclusion> conclusion;
};

// Several hosts that run the same request against one table and one server,
// both with faults.
class Simulation {
 public:
  explicit Simulation(Choices choices) : choices_(std::move(choices)) {}

  void Run() {
    while (!choices_.IsExhausted()) Step();
    CheckFinalState();
  }

 private:
  void Step() {
    switch (choices_.Below(7)) {
      case 0:
        return Start();
      case 1:
      case 2:
        return AnswerTable();
      case 3:
        return ApplyLateWrite();
      case 4:
        return AnswerBackend();
      case 5:
        return AdvanceTime();
      default:
        // Crashes are rarer than other events, so that long sequences occur,
        // too.
        if (choices_.Below(4) == 0) Crash();
        return;
    }
  }

  void Start() {
    if (attempts_.size() >= 6) return;
    attempts_.push_back(std::make_unique<Attempt>(
        "attempt-" + std::to_string(++last_attempt_number_), counter_, now_));
    attempts_.back()->Apply(attempts_.back()->run.Start(now_));
  }

  Attempt* PickAttempt() {
    if (attempts_.empty()) return nullptr;
    const int size = static_cast<int>(attempts_.size());
    return attempts_[static_cast<std::size_t>(choices_.Below(size))].get();
  }

  void AnswerTable() {
    Attempt* attempt = PickAttempt();
    if (attempt == nullptr || attempt->operations.empty()) return;
    const Command command = attempt->operations.front();
    attempt->operations.erase(attempt->operations.begin());
    // Faults and success are equally likely.
    const auto fault =
        static_cast<TableFault>(std::max(choices_.Below(8) - 3, 0));
    const TableAnswered answer =
        std::holds_alternative<WriteTable>(command)
            ? table_.Write(std::get<WriteTable>(command), fault)
            : table_.Read(std::get<ReadTable>(command), fault);
    // A lost answer is sometimes left to the time-out of the run.
    if (answer.outcome == TableOutcome::kUnknown && choices_.Below(2) == 0) {
      return;
    }
    attempt->Apply(attempt->run.HandleTableAnswer(answer, now_));
    CheckConclusion(*attempt);
  }

  void ApplyLateWrite() {
    const int count = static_cast<int>(table_.late_writes());
    if (count == 0) return;
    table_.ApplyLate(static_cast<std::size_t>(choices_.Below(count)));
  }

  void AnswerBackend() {
    Attempt* attempt = PickAttempt();
    if (attempt == nullptr || !attempt->is_call_outstanding) return;
    attempt->is_call_outstanding = false;
    const auto outcome = static_cast<AttemptOutcome>(choices_.Below(8));
    const bool has_run = outcome == AttemptOutcome::kOk ||
                         (!IsKnownNotRun(outcome) && choices_.Below(2) == 0);
    if (has_run) Execute(*attempt);
    attempt->Apply(attempt->run.HandleBackendResult(
        outcome, "\"by " + attempt->name + "\"", now_));
    CheckConclusion(*attempt);
  }

  void AdvanceTime() {
    now_ += milliseconds(1 << choices_.Below(12));
    for (const auto& attempt : attempts_) {
      attempt->Apply(attempt->run.HandleTimer(now_));
      CheckConclusion(*attempt);
    }
  }

  // Crashes a host, whose sent writes and call may still take effect.
  void Crash() {
    if (attempts_.empty()) return;
    has_crashed_ = true;
    const int size = static_cast<int>(attempts_.size());
    const auto index = attempts_.begin() + choices_.Below(size);
    for (const Command& command : (*index)->operations) {
      if (std::holds_alternative<WriteTable>(command)) {
        table_.Write(std::get<WriteTable>(command),
                     TableFault::kLostThenApplied);
      }
    }
    if ((*index)->is_call_outstanding && choices_.Below(2) == 0) {
      Execute(**index);
    }
    attempts_.erase(index);
  }

  void Execute(Attempt& attempt) {
    ++executions_;
    ++attempt.executions;
    output_ = "\"by " + attempt.name + "\"";
    RC_ASSERT(executions_ <= 1);
    RC_ASSERT(!HasConcludedNotRun(attempt));
  }

  static bool HasConcludedNotRun(const Attempt& attempt) {
    return attempt.conclusion &&
           (attempt.conclusion->result == IntentResult::kNotRun ||
            attempt.conclusion->result == IntentResult::kStoreUnavailable);
  }

  void CheckConclusion(const Attempt& attempt) {
    if (!attempt.conclusion) return;
    if (HasConcludedNotRun(attempt)) {
      RC_ASSERT(attempt.executions == 0);
      RC_ASSERT(!attempt.is_call_outstanding);
    }
    if (attempt.conclusion->result == IntentResult::kDone) {
      RC_ASSERT(executions_ == 1);
      RC_ASSERT(attempt.conclusion->output == output_);
    }
  }

  // Checks that without further faults every run settles and that the
  // conclusion of a new request agrees with the calls that were made.
  void CheckFinalState() {
    while (table_.late_writes() > 0) table_.ApplyLate(0);
    const bool must_run_now =
        executions_ == 0 && !has_crashed_ && now_ < TimePoint{} + seconds(60);
    bool has_unknown = false;
    for (int i = 0; i < 400; ++i) {
      now_ += seconds(1);
      for (const auto& attempt : attempts_) AnswerWithoutFaults(*attempt);
    }
    for (const auto& attempt : attempts_) {
      RC_ASSERT(attempt->run.IsSettled());
      RC_ASSERT(attempt->conclusion.has_value());
      has_unknown |= attempt->conclusion->result == IntentResult::kUnknown;
    }
    Attempt last("last", counter_, now_);
    last.Apply(last.run.Start(now_));
    for (int i = 0; i < 10 && !last.conclusion; ++i) AnswerWithoutFaults(last);
    RC_ASSERT(last.conclusion.has_value());
    CheckConclusion(last);
    // Refused attempts leave no row that blocks the key.
    if (must_run_now && !has_unknown) RC_ASSERT(executions_ == 1);
  }

  void AnswerWithoutFaults(Attempt& attempt) {
    for (const Command& command : std::exchange(attempt.operations, {})) {
      const TableAnswered answer =
          std::holds_alternative<WriteTable>(command)
              ? table_.Write(std::get<WriteTable>(command))
              : table_.Read(std::get<ReadTable>(command));
      attempt.Apply(attempt.run.HandleTableAnswer(answer, now_));
    }
    if (std::exchange(attempt.is_call_outstanding, false)) {
      Execute(attempt);
      attempt.Apply(attempt.run.HandleBackendResult(
          AttemptOutcome::kOk, "\"by " + attempt.name + "\"", now_));
    }
    attempt.Apply(attempt.run.HandleTimer(now_));
    CheckConclusion(attempt);
  }

  Choices choices_;
  OperationCounter counter_;
  FakeTable table_;
  TimePoint now_{};
  std::vector<std::unique_ptr<Attempt>> attempts_;
  int last_attempt_number_ = 0;
  int executions_ = 0;
  bool has_crashed_ = false;
  std::string output_;
};

TEST_CASE("A non-idempotent stage runs at most once under any faults") {
  tests::RequireProperty({.seed = 11, .count = 3000, .maximum_size = 300}, [] {
    Simulation(Choices(*tests::AnyChoices())).Run();
  });
}

// Starts an attempt and answers its operations without faults until it sends
// its call or concludes.
Attempt& Claim(Attempt& attempt, FakeTable& table, TimePoint now) {
  attempt.Apply(attempt.run.Start(now));
  while (!attempt.operations.empty() && !attempt.is_call_outstanding &&
         !attempt.conclusion) {
    const Command command = attempt.operations.front();
    attempt.operations.clear();
    attempt.Apply(attempt.run.HandleTableAnswer(
        table.Write(std::get<WriteTable>(command)), now));
  }
  return attempt;
}

TEST_CASE("A repeated request gets the stored output of the first one") {
  OperationCounter counter;
  FakeTable table;
  const TimePoint now{};
  Attempt first("first", counter, now);
  Claim(first, table, now);
  REQUIRE(first.is_call_outstanding);
  first.Apply(
      first.run.HandleBackendResult(AttemptOutcome::kOk, "{\"id\":5}", now));
  REQUIRE(first.conclusion->result == IntentResult::kDone);
  table.Write(std::get<WriteTable>(first.operations.front()));

  Attempt second("second", counter, now);
  Claim(second, table, now);
  REQUIRE(second.conclusion->result == IntentResult::kDone);
  REQUIRE(second.conclusion->output == "{\"id\":5}");

  Attempt other_input("other", counter, now, kFingerprint + 1);
  Claim(other_input, table, now);
  REQUIRE(other_input.conclusion->result == IntentResult::kKeyReused);
}

TEST_CASE("A request does not run while another attempt holds its key") {
  OperationCounter counter;
  FakeTable table;
  const TimePoint now{};
  Attempt first("first", counter, now);
  Claim(first, table, now);
  Attempt second("second", counter, now);
  Claim(second, table, now);
  REQUIRE(second.conclusion->result == IntentResult::kInFlightElsewhere);
  REQUIRE_FALSE(second.is_call_outstanding);
}

TEST_CASE(
    "A call that was not placed leaves the key free for the next request") {
  OperationCounter counter;
  FakeTable table;
  const TimePoint now{};
  Attempt first("first", counter, now);
  Claim(first, table, now);
  first.Apply(first.run.HandleNotPlaced(now));
  REQUIRE(first.conclusion->result == IntentResult::kNotRun);
  table.Write(std::get<WriteTable>(first.operations.front()));
  Attempt second("second", counter, now);
  Claim(second, table, now);
  REQUIRE(second.is_call_outstanding);
}

TEST_CASE("Refusals by the table end the claim well before the deadline") {
  OperationCounter counter;
  TimePoint now{};
  Attempt attempt("only", counter, now);
  attempt.Apply(attempt.run.Start(now));
  while (!attempt.conclusion) {
    if (!attempt.operations.empty()) {
      const auto write = std::get<WriteTable>(attempt.operations.front());
      attempt.operations.clear();
      attempt.Apply(attempt.run.HandleTableAnswer(
          {write.operation, TableOutcome::kUnavailable, {}}, now));
      continue;
    }
    now = *attempt.run.NextDue();
    attempt.Apply(attempt.run.HandleTimer(now));
  }
  REQUIRE(attempt.conclusion->result == IntentResult::kStoreUnavailable);
  REQUIRE(now < TimePoint{} + kDeadline / 4);
  REQUIRE(attempt.run.IsSettled());
}

TEST_CASE("Without answers of the table the claim ends within half the time") {
  OperationCounter counter;
  TimePoint now{};
  Attempt attempt("only", counter, now);
  attempt.Apply(attempt.run.Start(now));
  while (!attempt.conclusion) {
    now = *attempt.run.NextDue();
    attempt.Apply(attempt.run.HandleTimer(now));
  }
  REQUIRE(attempt.conclusion->result == IntentResult::kStoreUnavailable);
  REQUIRE(now <= TimePoint{} + kDeadline / 2);
}

TEST_CASE("Intents whose parts contain slashes get different row keys") {
  REQUIRE(IntentRowKey({TeamId("a"), "b/c", "d"}) !=
          IntentRowKey({TeamId("a/b"), "c", "d"}));
}

}  // namespace
}  // namespace lovagecleat::policy
