#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "base/base.h"
#include "policy/policy.h"
#include "tests/stand_ins/cache_model.h"

// Model of one backend server. It does no I/O, takes the time as a parameter
// and draws from a seeded generator, so that stand-in processes and
// virtual-time tests share it.
namespace lovagecleat::stand_ins {

struct BackendSettings {
  ServerId id;
  configuration::ServiceKind kind = configuration::ServiceKind::kPlain;
  configuration::FencingSupport fencing =
      configuration::FencingSupport::kIgnored;
  std::uint32_t cold_limit = 1;  // concurrent calls without overload, cold
  std::uint32_t warm_limit = 4;  // concurrent calls without overload, warm
  Duration call_time = std::chrono::milliseconds(5);   // engines: prefill
  Duration token_time = std::chrono::milliseconds(5);  // engines, batch size 1
  double batch_slope = 0.05;   // relative time added by each other call
  double jitter = 0.1;         // relative variation of times, plus or minus
  double tail_rate = 0.0;      // share of steps slowed by tail_factor
  double tail_factor = 4.0;    // slowdown of these steps
  double cold_factor = 2.0;    // slowdown of a cold server
  double cached_factor = 0.2;  // factor on prefill time for a cached prefix
  std::uint32_t warm_up_calls = 10;   // completions until the server is warm
  double overload_factor = 8.0;       // slowdown under overload
  double overload_error_rate = 0.5;   // share of calls that fail under overload
  std::uint32_t default_tokens = 16;  // engines, where max_tokens is 0
  CacheSettings cache;                // engines
  Duration load_lag = std::chrono::milliseconds(200);
  // The delay of one message between hosts: until then senders may not know of
  // a cold start.
  Duration generation_report_grace = std::chrono::milliseconds(50);
  bool starts_warm = false;
  std::uint64_t seed = 1;
};

// Identifies a call at one backend server; the user of the model assigns it.
using ModelCallId = NumberId<struct ModelCallTag>;

struct BackendCall {
  ModelCallId id;
  std::string request;
  std::string stage;
  std::string attempt;
  std::string idempotency_key;
  std::string input;  // JSON text
  std::uint32_t max_tokens = 0;
  std::uint64_t offset = 0;
  std::uint32_t priority = 0;
};

enum class StartResult { kStarted, kRefused };
enum class CallOutcome { kRunning, kCompleted, kFailed, kCancelled };

struct TokenProduced {
  ModelCallId call;
  std::uint64_t offset = 0;
  std::string text;
};

struct CallFinished {
  ModelCallId call;
  CallOutcome outcome = CallOutcome::kCompleted;
  std::string output;  // JSON text, for kCompleted only
};

using BackendEvent = std::variant<TokenProduced, CallFinished>;

// An execution, recorded for the checks of tests.
struct RunRecord {
  std::string request;
  std::string stage;
  std::string attempt;
  std::string idempotency_key;
  TimePoint start{};
  TimePoint end{};
  CallOutcome outcome = CallOutcome::kRunning;
};

struct LoadReport {
  std::uint64_t generation = 0;
  policy::Warmth warmth = policy::Warmth::kCold;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  Duration age{};
};

struct WeightLoadResult {
  bool accepted = true;
  std::uint64_t highest_token = 0;
};

class BackendModel {
 public:
  BackendModel(BackendSettings settings, TimePoint now);

  // --- Calls ---
  StartResult Start(const BackendCall& call, TimePoint now);
  void Cancel(ModelCallId call, TimePoint now);
  // Returns the events up to `now` in order of time.
  std::vector<BackendEvent> Advance(TimePoint now);
  std::optional<TimePoint> NextDue() const;

  // --- Reports ---
  policy::ServerReport Report() const;
  LoadReport Load(TimePoint now) const;
  std::vector<CacheEvent> CacheEvents(std::uint64_t after, TimePoint now) const;
  // Must be called when a report of the current generation leaves the server.
  void RecordGenerationReport(TimePoint now);
  WeightLoadResult LoadWeights(std::uint64_t fencing_token, TimePoint now);

  // --- Faults ---
  void ResetToCold(TimePoint now);
  void SetSlowFactor(double factor) { slow_factor_ = factor; }
  void SetErrorRate(double rate) { error_rate_ = rate; }
  enum class Admission { kAccepts, kRefuses };
  void SetAdmission(Admission admission) { admission_ = admission; }

  // --- Records ---
  const std::vector<RunRecord>& runs() const { return runs_; }
  std::uint32_t in_flight() const;
  std::uint32_t maximum_in_flight_cold() const { return maximum_cold_; }
  std::uint32_t maximum_in_flight_warm() const { return maximum_warm_; }
  std::uint64_t overloads() const { return overloads_; }
  // Returns the number of concurrent calls that the server currently serves
  // without overload.
  std::uint32_t Capacity() const;
  const BackendSettings& settings() const { return settings_; }

 private:
  enum class PlannedOutcome { kSucceeds, kFails };
  enum class Phase { kWaiting, kPrefill, kDecoding, kServing };
  struct RunningCall {
    BackendCall call;
    Phase phase = Phase::kServing;
    PlannedOutcome planned_outcome = PlannedOutcome::kSucceeds;
    std::uint64_t next_token = 0;
    std::uint64_t total_tokens = 0;
    std::size_t record_index = 0;
    TimePoint start{};
    TimePoint due{};
  };
  // Calls are prefilled in ascending order of `priority`, then of arrival.
  using PrefillKey = std::tuple<std::uint32_t, std::uint64_t, ModelCallId>;

  Duration StepTime(Duration base);
  PlannedOutcome DrawOutcome();
  bool IsEngine() const;
  void Schedule(RunningCall& running, TimePoint due);
  void StartNextPrefill(TimePoint now);
  void Step(ModelCallId id, std::vector<BackendEvent>& events);
  void ProduceToken(RunningCall& running, TimePoint now,
                    std::vector<BackendEvent>& events);
  void Finish(ModelCallId id, CallOutcome outcome, TimePoint now,
              std::vector<BackendEvent>* events);
  void CountCompletion();
  void UpdateMaximumInFlight(TimePoint now);
  void RecordLoad(TimePoint now);

  BackendSettings settings_;
  Random random_;
  CacheModel cache_;
  std::map<ModelCallId, RunningCall> running_;
  std::set<std::pair<TimePoint, ModelCallId>> due_;
  std::set<PrefillKey> waiting_;
  std::optional<ModelCallId> prefilling_;
  std::uint64_t arrivals_ = 0;
  std::uint64_t generation_ = 1;
  std::uint32_t warm_up_completions_ = 0;
  policy::Warmth warmth_ = policy::Warmth::kCold;
  // Calls started at or after this time count towards maximum_cold_. Empty
  // until the cold start is reported.
  std::optional<TimePoint> cold_counted_from_;
  std::deque<std::pair<TimePoint, LoadReport>> load_history_;
  std::uint64_t highest_token_ = 0;
  double slow_factor_ = 1.0;
  double error_rate_ = 0.0;
  Admission admission_ = Admission::kAccepts;
  std::vector<RunRecord> runs_;
  std::uint32_t maximum_cold_ = 0;
  std::uint32_t maximum_warm_ = 0;
  std::uint64_t overloads_ = 0;
};

}  // namespace lovagecleat::stand_ins
