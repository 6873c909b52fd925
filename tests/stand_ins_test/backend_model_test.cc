#include "tests/stand_ins/backend_model.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/stand_ins/answers.h"

namespace lovagecleat::stand_ins {
namespace {

using configuration::FencingSupport;
using configuration::ServiceKind;
using policy::Warmth;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kCalls = 20;
constexpr TimePoint kStart{};
constexpr TimePoint kEnd = kStart + std::chrono::hours(1);

BackendSettings EngineSettings() {
  BackendSettings settings;
  settings.id = ServerId("llm-1");
  settings.kind = ServiceKind::kEngine;
  settings.cold_limit = 2;
  settings.warm_limit = 8;
  settings.jitter = 0.0;
  settings.call_time = milliseconds(20);
  settings.starts_warm = true;
  return settings;
}

BackendCall MakeCall(std::uint64_t id) {
  BackendCall call;
  call.id = ModelCallId(id);
  call.request = "r" + std::to_string(id);
  call.input = R"({"marker":"m)" + std::to_string(id) + R"("})";
  call.max_tokens = 12;
  return call;
}

// The finished calls in order of time, and the streamed text of each.
struct RunResult {
  std::vector<CallFinished> finished;
  std::map<ModelCallId, std::string> text;
  std::map<ModelCallId, std::uint64_t> first_offset;
};

RunResult RunUntil(BackendModel& model, TimePoint end) {
  RunResult result;
  for (const BackendEvent& event : model.Advance(end)) {
    if (const auto* token = std::get_if<TokenProduced>(&event)) {
      result.text[token->call] += token->text;
      result.first_offset.emplace(token->call, token->offset);
    } else {
      result.finished.push_back(std::get<CallFinished>(event));
    }
  }
  return result;
}

TEST_CASE("An engine's tokens add up to its full text, also after a resume") {
  BackendModel model(EngineSettings(), kStart);
  model.Start(MakeCall(1), kStart);
  BackendCall resumed = MakeCall(2);
  resumed.input = MakeCall(1).input;
  resumed.offset = 3;
  model.Start(resumed, kStart);
  const RunResult result = RunUntil(model, kEnd);
  REQUIRE(result.finished.size() == 2);
  const auto output = nlohmann::json::parse(result.finished[1].output);
  const std::string text = output.at("text");
  REQUIRE(text.starts_with("m1"));
  REQUIRE(result.text.at(ModelCallId(1)) == text);
  REQUIRE(result.first_offset.at(ModelCallId(2)) == 3);
  REQUIRE(text.ends_with(result.text.at(ModelCallId(2))));
  REQUIRE(result.text.at(ModelCallId(2)).size() < text.size());
}

Duration MeanCallTime(std::uint64_t calls) {
  BackendModel model(EngineSettings(), kStart);
  for (std::uint64_t i = 1; i <= calls; ++i) {
    BackendCall call = MakeCall(i);
    call.input = "{}";
    model.Start(call, kStart);
  }
  model.Advance(kEnd);
  Duration total{};
  for (const RunRecord& run : model.runs()) total += run.end - run.start;
  return total / static_cast<Duration::rep>(calls);
}

TEST_CASE("Calls take longer in a larger batch") {
  REQUIRE(MeanCallTime(8) > MeanCallTime(4));
  REQUIRE(MeanCallTime(4) > MeanCallTime(1));
}

TEST_CASE("Capacity rises from the cold to the warm limit during warm-up") {
  BackendSettings settings = EngineSettings();
  settings.starts_warm = false;
  settings.warm_up_calls = 4;
  BackendModel model(settings, kStart);
  REQUIRE(model.Capacity() == 2);
  TimePoint now = kStart;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    REQUIRE(model.Report().warmth == Warmth::kCold);
    model.Start(MakeCall(i), now);
    while (model.in_flight() > 0) {
      now = *model.NextDue();
      model.Advance(now);
    }
  }
  REQUIRE(model.Report().warmth == Warmth::kWarm);
  REQUIRE(model.Capacity() == 8);
  REQUIRE(model.maximum_in_flight_cold() == 1);
}

TEST_CASE("Calls above the capacity count as overloads and some of them fail") {
  BackendSettings settings = EngineSettings();
  settings.starts_warm = false;
  BackendModel model(settings, kStart);
  for (std::uint64_t i = 1; i <= kCalls; ++i) model.Start(MakeCall(i), kStart);
  const RunResult result = RunUntil(model, kEnd);
  const auto failed = std::count_if(
      result.finished.begin(), result.finished.end(),
      [](const auto& call) { return call.outcome == CallOutcome::kFailed; });
  REQUIRE(model.overloads() == kCalls - 2);
  REQUIRE(model.maximum_in_flight_cold() == kCalls);
  REQUIRE(failed > 0);
  REQUIRE(failed < static_cast<long>(kCalls));
}

TEST_CASE(
    "Calls started before a cold start is reported are not counted as cold") {
  BackendModel model(EngineSettings(), kStart);
  for (std::uint64_t i = 1; i <= 6; ++i) model.Start(MakeCall(i), kStart);
  model.ResetToCold(kStart);
  REQUIRE(model.Report().generation == 2);
  model.Start(MakeCall(7), kStart);
  REQUIRE(model.maximum_in_flight_cold() == 0);
  model.RecordGenerationReport(kStart);
  model.Start(MakeCall(8), kStart + model.settings().generation_report_grace);
  REQUIRE(model.maximum_in_flight_cold() == 1);
  REQUIRE(model.maximum_in_flight_warm() == 6);
}

TEST_CASE("Calls with a lower priority number are prefilled first") {
  BackendModel model(EngineSettings(), kStart);
  model.Start(MakeCall(1), kStart);
  for (std::uint64_t i = 2; i <= 3; ++i) {
    BackendCall call = MakeCall(i);
    call.input = "{}";
    call.max_tokens = 1;
    call.priority = i == 2 ? 9 : 0;
    model.Start(call, kStart);
  }
  const RunResult result = RunUntil(model, kEnd);
  REQUIRE(result.finished[0].call == ModelCallId(3));
  REQUIRE(result.finished[1].call == ModelCallId(2));
}

TEST_CASE("A cancelled call ends at once and other calls continue") {
  BackendModel model(EngineSettings(), kStart);
  model.Start(MakeCall(1), kStart);
  model.Start(MakeCall(2), kStart);
  model.Cancel(ModelCallId(1), kStart + milliseconds(1));
  REQUIRE(model.in_flight() == 1);
  const RunResult result = RunUntil(model, kEnd);
  REQUIRE(result.finished.size() == 1);
  REQUIRE(result.finished[0].call == ModelCallId(2));
  REQUIRE(model.runs()[0].outcome == CallOutcome::kCancelled);
  REQUIRE_FALSE(model.NextDue().has_value());
}

TEST_CASE(
    "Cache events are delayed and incomplete, and a cached prefix is faster") {
  BackendSettings settings = EngineSettings();
  settings.cache.event_gap_rate = 0.5;
  BackendModel model(settings, kStart);
  TimePoint now = kStart;
  for (std::uint64_t i = 1; i <= kCalls; ++i) {
    BackendCall call = MakeCall(i);
    call.max_tokens = 1;
    model.Start(call, now);
    now = *model.NextDue();
    model.Advance(now);
  }
  REQUIRE(model.CacheEvents(0, kStart).empty());
  const auto events = model.CacheEvents(0, now + seconds(1));
  REQUIRE(events.size() < kCalls);
  REQUIRE(!events.empty());
  BackendCall again = MakeCall(kCalls + 1);
  again.input = MakeCall(kCalls).input;
  model.Start(again, now);
  REQUIRE(*model.NextDue() - now < settings.call_time / 2);
}

TEST_CASE("A load report shows the load before the lag") {
  BackendModel model(EngineSettings(), kStart);
  const TimePoint later = kStart + seconds(1);
  model.Start(MakeCall(1), later);
  REQUIRE(model.Load(later).in_flight == 0);
  REQUIRE(model.Load(later + model.settings().load_lag).in_flight == 1);
}

TEST_CASE("A stale fencing token is rejected only if the server checks it") {
  for (const auto support :
       {FencingSupport::kChecked, FencingSupport::kIgnored}) {
    BackendSettings settings = EngineSettings();
    settings.fencing = support;
    BackendModel model(settings, kStart);
    REQUIRE(model.LoadWeights(8, kStart).accepted);
    const WeightLoadResult old = model.LoadWeights(7, kStart);
    REQUIRE(old.accepted == (support == FencingSupport::kIgnored));
    REQUIRE(old.highest_token == 8);
  }
}

TEST_CASE("A server that refuses calls executes none") {
  BackendModel model(EngineSettings(), kStart);
  model.SetAdmission(BackendModel::Admission::kRefuses);
  REQUIRE(model.Start(MakeCall(1), kStart) == StartResult::kRefused);
  REQUIRE(model.runs().empty());
}

TEST_CASE("Equal seeds give equal runs and different seeds different runs") {
  const auto last_end = [](std::uint64_t seed) {
    BackendSettings settings = EngineSettings();
    settings.jitter = 0.2;
    settings.seed = seed;
    BackendModel model(settings, kStart);
    for (std::uint64_t i = 1; i <= 4; ++i) model.Start(MakeCall(i), kStart);
    model.Advance(kEnd);
    return model.runs().back().end;
  };
  REQUIRE(last_end(1) == last_end(1));
  REQUIRE(last_end(1) != last_end(2));
}

}  // namespace
}  // namespace lovagecleat::stand_ins
