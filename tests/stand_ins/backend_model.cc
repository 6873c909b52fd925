#include "tests/stand_ins/backend_model.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>

#include "tests/stand_ins/answers.h"

namespace lovagecleat::stand_ins {

using policy::Warmth;

BackendModel::BackendModel(BackendSettings settings, TimePoint now)
    : settings_(std::move(settings)),
      random_(StableHash(settings_.id.value(), settings_.seed)),
      cache_(settings_.cache),
      cold_counted_from_(now) {
  if (settings_.starts_warm) {
    warmth_ = Warmth::kWarm;
    warm_up_completions_ = settings_.warm_up_calls;
  }
  RecordLoad(now);
}

StartResult BackendModel::Start(const BackendCall& call, TimePoint now) {
  assert(!running_.contains(call.id));
  if (admission_ == Admission::kRefuses) return StartResult::kRefused;
  RunningCall running;
  running.call = call;
  running.start = now;
  running.record_index = runs_.size();
  runs_.push_back(RunRecord{call.request, call.stage, call.attempt,
                            call.idempotency_key, now, now,
                            CallOutcome::kRunning});
  RunningCall& stored =
      running_.emplace(call.id, std::move(running)).first->second;
  UpdateMaximumInFlight(now);
  stored.planned_outcome = DrawOutcome();
  if (!IsEngine()) {
    Schedule(stored, now + StepTime(settings_.call_time));
    return StartResult::kStarted;
  }
  const std::uint32_t max_tokens =
      call.max_tokens == 0 ? settings_.default_tokens : call.max_tokens;
  stored.phase = Phase::kWaiting;
  stored.total_tokens = TokenCount(call.input, max_tokens);
  stored.next_token = call.offset;
  waiting_.emplace(call.priority, ++arrivals_, call.id);
  StartNextPrefill(now);
  return StartResult::kStarted;
}

void BackendModel::Cancel(ModelCallId call, TimePoint now) {
  if (!running_.contains(call)) return;
  Finish(call, CallOutcome::kCancelled, now, nullptr);
}

std::vector<BackendEvent> BackendModel::Advance(TimePoint now) {
  std::vector<BackendEvent> events;
  while (!due_.empty() && due_.begin()->first <= now) {
    Step(due_.begin()->second, events);
  }
  return events;
}

std::optional<TimePoint> BackendModel::NextDue() const {
  if (due_.empty()) return std::nullopt;
  return due_.begin()->first;
}

bool BackendModel::IsEngine() const {
  return settings_.kind == configuration::ServiceKind::kEngine;
}

std::uint32_t BackendModel::in_flight() const {
  return static_cast<std::uint32_t>(running_.size());
}

std::uint32_t BackendModel::Capacity() const {
  if (warmth_ == Warmth::kWarm) return settings_.warm_limit;
  const std::uint32_t rise = settings_.warm_limit - settings_.cold_limit;
  const std::uint32_t calls = std::max(settings_.warm_up_calls, 1U);
  return settings_.cold_limit + rise * warm_up_completions_ / calls;
}

// The time of a step depends on the calls in flight when it starts. This models
// continuous batching: in a larger batch each token of every call takes longer.
Duration BackendModel::StepTime(Duration base) {
  const std::uint32_t calls = std::max(in_flight(), 1U);
  double factor = slow_factor_ * (1.0 + settings_.batch_slope * (calls - 1));
  if (warmth_ == Warmth::kCold) factor *= settings_.cold_factor;
  if (calls > Capacity()) factor *= settings_.overload_factor;
  if (random_.Unit() < settings_.tail_rate) factor *= settings_.tail_factor;
  const auto time =
      static_cast<Duration::rep>(static_cast<double>(base.count()) * factor);
  return std::max(random_.Jitter(Duration(time), settings_.jitter),
                  Duration(1));
}

BackendModel::PlannedOutcome BackendModel::DrawOutcome() {
  const bool is_overloaded = in_flight() > Capacity();
  if (is_overloaded) ++overloads_;
  const double rate = is_overloaded
                          ? std::max(error_rate_, settings_.overload_error_rate)
                          : error_rate_;
  return random_.Unit() < rate ? PlannedOutcome::kFails
                               : PlannedOutcome::kSucceeds;
}

void BackendModel::Schedule(RunningCall& running, TimePoint due) {
  running.due = due;
  due_.emplace(due, running.call.id);
}

void BackendModel::StartNextPrefill(TimePoint now) {
  if (prefilling_ || waiting_.empty()) return;
  const ModelCallId id = std::get<ModelCallId>(*waiting_.begin());
  waiting_.erase(waiting_.begin());
  prefilling_ = id;
  RunningCall& running = running_.at(id);
  running.phase = Phase::kPrefill;
  const CacheResult cache_result =
      cache_.Access(PrefixOf(running.call.input), random_, now);
  Duration time = settings_.call_time;
  if (cache_result == CacheResult::kHit) {
    time = std::chrono::duration_cast<Duration>(time * settings_.cached_factor);
  }
  Schedule(running, now + StepTime(time));
}

void BackendModel::Step(ModelCallId id, std::vector<BackendEvent>& events) {
  RunningCall& running = running_.at(id);
  const TimePoint now = running.due;
  due_.erase({now, id});
  if (running.planned_outcome == PlannedOutcome::kFails) {
    Finish(id, CallOutcome::kFailed, now, &events);
    return;
  }
  if (!IsEngine()) {
    Finish(id, CallOutcome::kCompleted, now, &events);
    return;
  }
  if (running.phase == Phase::kPrefill) {
    running.phase = Phase::kDecoding;
    prefilling_.reset();
    StartNextPrefill(now);
  }
  ProduceToken(running, now, events);
}

void BackendModel::ProduceToken(RunningCall& running, TimePoint now,
                                std::vector<BackendEvent>& events) {
  const ModelCallId id = running.call.id;
  if (running.next_token < running.total_tokens) {
    events.push_back(
        TokenProduced{id, running.next_token,
                      TokenText(running.call.input, running.next_token)});
    ++running.next_token;
  }
  if (running.next_token >= running.total_tokens) {
    Finish(id, CallOutcome::kCompleted, now, &events);
    return;
  }
  Schedule(running, now + StepTime(settings_.token_time));
}

void BackendModel::Finish(ModelCallId id, CallOutcome outcome, TimePoint now,
                          std::vector<BackendEvent>* events) {
  const auto found = running_.find(id);
  const RunningCall& running = found->second;
  RunRecord& record = runs_[running.record_index];
  record.end = now;
  record.outcome = outcome;
  if (events != nullptr) {
    CallFinished finished{id, outcome, {}};
    if (outcome == CallOutcome::kCompleted) {
      const std::string& input = running.call.input;
      finished.output =
          IsEngine()
              ? nlohmann::json{{"text", FullText(input, running.total_tokens)},
                               {"tokens", running.total_tokens}}
                    .dump()
              : NonEngineOutput(settings_.kind, input);
    }
    events->push_back(std::move(finished));
  }
  due_.erase({running.due, id});
  std::erase_if(waiting_, [id](const PrefillKey& key) {
    return std::get<ModelCallId>(key) == id;
  });
  const bool was_prefilling = prefilling_ == id;
  running_.erase(found);
  if (outcome == CallOutcome::kCompleted) CountCompletion();
  RecordLoad(now);
  if (!was_prefilling) return;
  prefilling_.reset();
  StartNextPrefill(now);
}

void BackendModel::CountCompletion() {
  if (warmth_ == Warmth::kWarm) return;
  ++warm_up_completions_;
  if (warm_up_completions_ >= settings_.warm_up_calls) warmth_ = Warmth::kWarm;
}

// Senders can't know of a cold start before it is reported, so only calls that
// start at least generation_report_grace after the report count towards
// maximum_cold_.
void BackendModel::UpdateMaximumInFlight(TimePoint now) {
  RecordLoad(now);
  if (warmth_ == Warmth::kWarm) {
    maximum_warm_ = std::max(maximum_warm_, in_flight());
    return;
  }
  if (!cold_counted_from_ || now < *cold_counted_from_) return;
  const auto counted = std::count_if(
      running_.begin(), running_.end(), [this](const auto& entry) {
        return entry.second.start >= *cold_counted_from_;
      });
  maximum_cold_ = std::max(maximum_cold_, static_cast<std::uint32_t>(counted));
}

policy::ServerReport BackendModel::Report() const {
  return policy::ServerReport{generation_, warmth_, in_flight(), Duration{}};
}

void BackendModel::RecordLoad(TimePoint now) {
  const auto queued = static_cast<std::uint32_t>(waiting_.size());
  load_history_.emplace_back(
      now, LoadReport{generation_, warmth_, in_flight(), queued, Duration{}});
  // Keeps the newest entry that is older than the lag, which Load() returns.
  while (load_history_.size() > 1 &&
         load_history_[1].first <= now - settings_.load_lag) {
    load_history_.pop_front();
  }
}

LoadReport BackendModel::Load(TimePoint now) const {
  const TimePoint reported_at = now - settings_.load_lag;
  LoadReport report = load_history_.front().second;
  for (const auto& [time, entry] : load_history_) {
    if (time > reported_at) break;
    report = entry;
  }
  report.age = settings_.load_lag;
  return report;
}

std::vector<CacheEvent> BackendModel::CacheEvents(std::uint64_t after,
                                                  TimePoint now) const {
  return cache_.EventsAfter(after, now);
}

void BackendModel::RecordGenerationReport(TimePoint now) {
  if (cold_counted_from_) return;
  cold_counted_from_ = now + settings_.generation_report_grace;
}

WeightLoadResult BackendModel::LoadWeights(std::uint64_t fencing_token,
                                           TimePoint now) {
  const bool is_stale = fencing_token < highest_token_;
  if (is_stale &&
      settings_.fencing == configuration::FencingSupport::kChecked) {
    return WeightLoadResult{false, highest_token_};
  }
  highest_token_ = std::max(highest_token_, fencing_token);
  ResetToCold(now);
  return WeightLoadResult{true, highest_token_};
}

void BackendModel::ResetToCold(TimePoint now) {
  ++generation_;
  warmth_ = Warmth::kCold;
  warm_up_completions_ = 0;
  cold_counted_from_.reset();
  cache_.Clear();
  RecordLoad(now);
}

}  // namespace lovagecleat::stand_ins
