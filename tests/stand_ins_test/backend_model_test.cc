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

BackendCall CallOf(std::uint64_t number) {
  BackendCall call;
  call.number = CallNumber(number);
  call.request = "r" + std::to_string(number);
  call.input = R"({"marker":"m)" + std::to_string(number) + R"("})";
  call.max_tokens = 12;
  return call;
}

// The finished calls, in order, and the tokens of each.
struct Outcome {
  std::vector<CallFinished> finished;
  std::map<CallNumber, std::string> text;
  std::map<CallNumber, std::uint64_t> first_offset;
};

Outcome RunUntil(BackendModel& model, TimePoint end) {
  Outcome outcome;
  for (const BackendEvent& event : model.Advance(end)) {
    if (const auto* token = std::get_if<TokenProduced>(&event)) {
      outcome.text[token->call] += token->text;
      outcome.first_offset.emplace(token->call, token->offset);
    } else {
      outcome.finished.push_back(std::get<CallFinished>(event));
    }
  }
  return outcome;
}

TEST_CASE("An engine's tokens make up its whole text, also when resumed") {
  BackendModel model(EngineSettings(), kStart);
  model.Start(CallOf(1), kStart);
  BackendCall resumed = CallOf(2);
  resumed.input = CallOf(1).input;
  resumed.offset = 3;
  model.Start(resumed, kStart);
  const Outcome outcome = RunUntil(model, kEnd);
  REQUIRE(outcome.finished.size() == 2);
  const auto whole = nlohmann::json::parse(outcome.finished[1].output);
  const std::string text = whole.at("text");
  REQUIRE(text.starts_with("m1"));
  REQUIRE(outcome.text.at(CallNumber(1)) == text);
  REQUIRE(outcome.first_offset.at(CallNumber(2)) == 3);
  REQUIRE(text.ends_with(outcome.text.at(CallNumber(2))));
  REQUIRE(outcome.text.at(CallNumber(2)).size() < text.size());
}

Duration TimeOfBatch(std::uint64_t calls) {
  BackendModel model(EngineSettings(), kStart);
  for (std::uint64_t i = 1; i <= calls; ++i) {
    BackendCall call = CallOf(i);
    call.input = "{}";
    model.Start(call, kStart);
  }
  model.Advance(kEnd);
  Duration total{};
  for (const RunRecord& run : model.runs()) total += run.end - run.start;
  return total / static_cast<Duration::rep>(calls);
}

TEST_CASE("Each call of a larger batch takes longer") {
  REQUIRE(TimeOfBatch(8) > TimeOfBatch(4));
  REQUIRE(TimeOfBatch(4) > TimeOfBatch(1));
}

TEST_CASE("A cold start carries little and its capacity rises to warm") {
  BackendSettings settings = EngineSettings();
  settings.starts_warm = false;
  settings.warm_up_calls = 4;
  BackendModel model(settings, kStart);
  REQUIRE(model.Carries() == 2);
  TimePoint now = kStart;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    REQUIRE(model.Report().warmth == Warmth::kCold);
    model.Start(CallOf(i), now);
    while (model.in_flight() > 0) {
      now = *model.NextDue();
      model.Advance(now);
    }
  }
  REQUIRE(model.Report().warmth == Warmth::kWarm);
  REQUIRE(model.Carries() == 8);
  REQUIRE(model.maximum_in_flight_cold() == 1);
}

TEST_CASE("More calls than a server carries fail or crawl") {
  BackendSettings settings = EngineSettings();
  settings.starts_warm = false;
  BackendModel model(settings, kStart);
  for (std::uint64_t i = 1; i <= kCalls; ++i) model.Start(CallOf(i), kStart);
  const Outcome outcome = RunUntil(model, kEnd);
  const auto failed = std::count_if(
      outcome.finished.begin(), outcome.finished.end(),
      [](const auto& one) { return one.outcome == CallOutcome::kFailed; });
  REQUIRE(model.overloads() == kCalls - 2);
  REQUIRE(model.maximum_in_flight_cold() == kCalls);
  REQUIRE(failed > 0);
  REQUIRE(failed < static_cast<long>(kCalls));
}

TEST_CASE("Work sent before the sign of a cold start is not counted") {
  BackendModel model(EngineSettings(), kStart);
  for (std::uint64_t i = 1; i <= 6; ++i) model.Start(CallOf(i), kStart);
  model.TurnCold(kStart);
  REQUIRE(model.Report().generation == 2);
  model.Start(CallOf(7), kStart);
  REQUIRE(model.maximum_in_flight_cold() == 0);
  model.NoteSignSent(kStart);
  model.Start(CallOf(8), kStart + model.settings().sign_grace);
  REQUIRE(model.maximum_in_flight_cold() == 1);
  REQUIRE(model.maximum_in_flight_warm() == 6);
}

TEST_CASE("Urgent calls are prefilled first") {
  BackendModel model(EngineSettings(), kStart);
  model.Start(CallOf(1), kStart);
  for (std::uint64_t i = 2; i <= 3; ++i) {
    BackendCall call = CallOf(i);
    call.input = "{}";
    call.max_tokens = 1;
    call.priority = i == 2 ? 9 : 0;
    model.Start(call, kStart);
  }
  const Outcome outcome = RunUntil(model, kEnd);
  REQUIRE(outcome.finished[0].call == CallNumber(3));
  REQUIRE(outcome.finished[1].call == CallNumber(2));
}

TEST_CASE("A cancelled call ends at once and lets others go on") {
  BackendModel model(EngineSettings(), kStart);
  model.Start(CallOf(1), kStart);
  model.Start(CallOf(2), kStart);
  model.Cancel(CallNumber(1), kStart + milliseconds(1));
  REQUIRE(model.in_flight() == 1);
  const Outcome outcome = RunUntil(model, kEnd);
  REQUIRE(outcome.finished.size() == 1);
  REQUIRE(outcome.finished[0].call == CallNumber(2));
  REQUIRE(model.runs()[0].outcome == CallOutcome::kCancelled);
  REQUIRE_FALSE(model.NextDue().has_value());
}

TEST_CASE("Cache events come late and with gaps, and a cached prefix is fast") {
  BackendSettings settings = EngineSettings();
  settings.cache.event_gap_rate = 0.5;
  BackendModel model(settings, kStart);
  TimePoint now = kStart;
  for (std::uint64_t i = 1; i <= kCalls; ++i) {
    BackendCall call = CallOf(i);
    call.max_tokens = 1;
    model.Start(call, now);
    now = *model.NextDue();
    model.Advance(now);
  }
  REQUIRE(model.CacheEvents(0, kStart).empty());
  const auto events = model.CacheEvents(0, now + seconds(1));
  REQUIRE(events.size() < kCalls);
  REQUIRE(!events.empty());
  BackendCall again = CallOf(kCalls + 1);
  again.input = CallOf(kCalls).input;
  model.Start(again, now);
  REQUIRE(*model.NextDue() - now < settings.call_time / 2);
}

TEST_CASE("A load report shows the past") {
  BackendModel model(EngineSettings(), kStart);
  const TimePoint later = kStart + seconds(1);
  model.Start(CallOf(1), later);
  REQUIRE(model.Load(later).in_flight == 0);
  REQUIRE(model.Load(later + model.settings().load_lag).in_flight == 1);
}

TEST_CASE("An old fencing token is refused only where it is checked") {
  for (const auto support :
       {FencingSupport::kChecked, FencingSupport::kIgnored}) {
    BackendSettings settings = EngineSettings();
    settings.fencing = support;
    BackendModel model(settings, kStart);
    REQUIRE(model.LoadWeights(8, kStart).accepted);
    const OrderResult old = model.LoadWeights(7, kStart);
    REQUIRE(old.accepted == (support == FencingSupport::kIgnored));
    REQUIRE(old.highest_token == 8);
  }
}

TEST_CASE("A refusing server runs nothing") {
  BackendModel model(EngineSettings(), kStart);
  model.SetWillingness(BackendModel::Willingness::kRefuses);
  REQUIRE(model.Start(CallOf(1), kStart) == StartResult::kRefused);
  REQUIRE(model.runs().empty());
}

TEST_CASE("Equal seeds give equal sessions, other seeds others") {
  const auto last_end = [](std::uint64_t seed) {
    BackendSettings settings = EngineSettings();
    settings.jitter = 0.2;
    settings.seed = seed;
    BackendModel model(settings, kStart);
    for (std::uint64_t i = 1; i <= 4; ++i) model.Start(CallOf(i), kStart);
    model.Advance(kEnd);
    return model.runs().back().end;
  };
  REQUIRE(last_end(1) == last_end(1));
  REQUIRE(last_end(1) != last_end(2));
}

}  // namespace
}  // namespace lovagecleat::stand_ins
