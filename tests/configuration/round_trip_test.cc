#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "configuration/configuration.h"

// Property tests: any valid configuration or change is unchanged after being
// written and read back.
namespace lovagecleat::configuration {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

template <typename Property>
bool CheckWithFixedSeed(const std::string& description, Property property) {
  // RapidCheck reads its seed only once, at the first check of the process.
  setenv("RC_PARAMS", "seed=20261203 max_success=200", 1);
  return rc::check(description, property);
}

std::string Numbered(const char* prefix, int number) {
  return prefix + std::to_string(number);
}

std::vector<HourlyTarget> ArbitraryTargets() {
  std::vector<HourlyTarget> targets;
  for (int hour = 0; hour < 24; ++hour) {
    const bool needs_target = hour == 23 && targets.empty();
    if (!needs_target && !*rc::gen::arbitrary<bool>()) continue;
    targets.push_back({hour, milliseconds(*rc::gen::inRange(50, 10001))});
  }
  return targets;
}

Stage ArbitraryStage(const Configuration& configuration, int number) {
  const Service& service = *rc::gen::elementOf(configuration.services);
  Stage stage{Numbered("stage-", number), service.id, 0};
  if (service.kind == ServiceKind::kEngine) {
    stage.max_tokens = *rc::gen::inRange<std::uint32_t>(0, 32769);
  }
  return stage;
}

Configuration ArbitraryConfiguration() {
  Configuration configuration;
  configuration.revision = *rc::gen::inRange<std::uint64_t>(0, 1ULL << 62);
  configuration.utc_offset = minutes(*rc::gen::inRange(-720, 841));
  const int services = *rc::gen::inRange(1, 8);
  for (int i = 0; i < services; ++i) {
    Service service{ServiceId(Numbered("service-", i))};
    service.kind = *rc::gen::element(
        ServiceKind::kEngine, ServiceKind::kEncoder, ServiceKind::kRetriever,
        ServiceKind::kReranker, ServiceKind::kPlain);
    service.idempotency = *rc::gen::element(Idempotency::kIdempotent,
                                            Idempotency::kNonIdempotent);
    service.fencing =
        *rc::gen::element(FencingSupport::kChecked, FencingSupport::kIgnored);
    configuration.services.push_back(service);
  }
  const int pipelines = *rc::gen::inRange(1, 8);
  for (int i = 0; i < pipelines; ++i) {
    Pipeline pipeline{PipelineId(Numbered("pipeline-", i)), {}};
    const int stages = *rc::gen::inRange(1, 7);
    for (int j = 0; j < stages; ++j) {
      pipeline.stages.push_back(ArbitraryStage(configuration, j));
    }
    configuration.pipelines.push_back(pipeline);
  }
  const int classes = *rc::gen::inRange(1, 8);
  for (int i = 0; i < classes; ++i) {
    configuration.classes.push_back(
        {ClassId(Numbered("class-", i)),
         (*rc::gen::elementOf(configuration.pipelines)).id,
         ArbitraryTargets()});
  }
  const int zones = *rc::gen::inRange(1, 8);
  for (int i = 0; i < zones; ++i) {
    configuration.zones.push_back(
        {ZoneId(Numbered("zone-", i)),
         *rc::gen::element(ZoneState::kIn, ZoneState::kOut)});
  }
  const int servers_out = *rc::gen::inRange(0, 5);
  for (int i = 0; i < servers_out; ++i) {
    configuration.servers_out.emplace(Numbered("server-", i));
  }
  return configuration;
}

bool IsSameChange(const Change& left, const Change& right) {
  return WriteChange(left) == WriteChange(right) &&
         left.index() == right.index();
}

TEST_CASE("Configurations are unchanged after writing and reading") {
  CHECK(CheckWithFixedSeed("configuration", [] {
    const Configuration written = ArbitraryConfiguration();
    ConfigurationReader reader;
    const auto read = reader.Read(WriteConfiguration(written));
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == written);
  }));
}

TEST_CASE(
    "Changes are unchanged after writing and reading, and increment the "
    "revision") {
  CHECK(CheckWithFixedSeed("change", [] {
    Configuration before = ArbitraryConfiguration();
    const ClassId request_class = (*rc::gen::elementOf(before.classes)).id;
    const ZoneId zone = (*rc::gen::elementOf(before.zones)).id;
    const Change change = *rc::gen::element<Change>(
        SetTargets{request_class, ArbitraryTargets()},
        SetZoneState{zone, ZoneState::kOut},
        SetServerState{ServerId("server-1"), ServerAvailability::kOut},
        SetServerState{ServerId("server-1"), ServerAvailability::kIn},
        ReplaceConfiguration{ArbitraryConfiguration()});
    ChangeReader reader;
    const auto read = reader.Read(WriteChange(change));
    RC_ASSERT(read.has_value());
    RC_ASSERT(IsSameChange(*read, change));
    ChangeApplier applier;
    const auto after = applier.Apply(before, *read);
    RC_ASSERT(after.has_value());
    RC_ASSERT(after->revision == before.revision + 1);
  }));
}

TEST_CASE("A change modifies only what it names") {
  Configuration before;
  before.services = {{ServiceId("llm"), ServiceKind::kEngine}};
  before.pipelines = {{PipelineId("p"), {{"s", ServiceId("llm"), 0}}}};
  before.classes = {{ClassId("a"), PipelineId("p"), {{0, milliseconds(100)}}},
                    {ClassId("b"), PipelineId("p"), {{0, milliseconds(100)}}}};
  before.zones = {{ZoneId("x")}, {ZoneId("y")}};
  ChangeApplier applier;

  Configuration expected = before;
  expected.revision = 1;
  expected.classes[1].targets = {{5, milliseconds(200)}};
  CHECK(applier.Apply(before,
                      SetTargets{ClassId("b"), {{5, milliseconds(200)}}}) ==
        expected);

  expected = before;
  expected.revision = 1;
  expected.zones[0].state = ZoneState::kOut;
  CHECK(applier.Apply(before, SetZoneState{ZoneId("x"), ZoneState::kOut}) ==
        expected);

  expected = before;
  expected.revision = 1;
  expected.servers_out = {ServerId("llm-3")};
  const auto out = applier.Apply(
      before, SetServerState{ServerId("llm-3"), ServerAvailability::kOut});
  CHECK(out == expected);
  expected.revision = 2;
  expected.servers_out.clear();
  CHECK(applier.Apply(
            *out, SetServerState{ServerId("llm-3"), ServerAvailability::kIn}) ==
        expected);
}

TEST_CASE("A change that would make the configuration invalid is rejected") {
  Configuration before;
  before.services = {{ServiceId("llm"), ServiceKind::kEngine}};
  before.pipelines = {{PipelineId("p"), {{"s", ServiceId("llm"), 0}}}};
  before.classes = {{ClassId("a"), PipelineId("p"), {{0, milliseconds(100)}}}};
  before.zones = {{ZoneId("x")}};
  ChangeApplier applier;
  const auto rejected_with = [&](const Change& change, ProblemKind kind) {
    return !applier.Apply(before, change).has_value() &&
           applier.problems().size() == 1 &&
           applier.problems().front().kind == kind;
  };
  CHECK(rejected_with(SetTargets{ClassId("b"), {{0, milliseconds(100)}}},
                      ProblemKind::kUnknownReference));
  CHECK(rejected_with(SetZoneState{ZoneId("y"), ZoneState::kOut},
                      ProblemKind::kUnknownReference));
  CHECK(rejected_with(SetTargets{ClassId("a"), {}}, ProblemKind::kEmpty));
  CHECK(rejected_with(SetTargets{ClassId("a"), {{0, milliseconds(49)}}},
                      ProblemKind::kOutOfRange));
}

}  // namespace
}  // namespace lovagecleat::configuration
