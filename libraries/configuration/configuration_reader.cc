#include <set>
#include <utility>

#include "configuration/document_format.h"

namespace lovagecleat::configuration {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

template <typename Id>
Id ReadId(ObjectReader& object, std::string_view key) {
  return Id(object.ReadName(key, Presence::kRequired).value_or(""));
}

HourlyTarget ReadTarget(const Element& element,
                        std::vector<Problem>& problems) {
  ObjectReader object(element.value, element.pointer, problems);
  HourlyTarget target;
  target.from_hour = static_cast<int>(
      object.ReadInteger("from_hour", kHours, Presence::kRequired).value_or(0));
  target.target = milliseconds(
      object.ReadInteger("target_ms", kTargetMilliseconds, Presence::kRequired)
          .value_or(kTargetMilliseconds.maximum));
  object.ReportUnknownKeys();
  return target;
}

RequestClass ReadClass(const Element& element, std::vector<Problem>& problems) {
  ObjectReader object(element.value, element.pointer, problems);
  RequestClass request_class;
  request_class.id = ReadId<ClassId>(object, "id");
  request_class.pipeline = ReadId<PipelineId>(object, "pipeline");
  request_class.targets = ReadTargets(object, "targets", problems);
  object.ReportUnknownKeys();
  return request_class;
}

Stage ReadStage(const Element& element, std::vector<Problem>& problems) {
  ObjectReader object(element.value, element.pointer, problems);
  Stage stage;
  stage.name = object.ReadName("name", Presence::kRequired).value_or("");
  stage.service = ReadId<ServiceId>(object, "service");
  stage.max_tokens = static_cast<std::uint32_t>(
      object.ReadInteger("max_tokens", kTokens, Presence::kOptional)
          .value_or(0));
  object.ReportUnknownKeys();
  return stage;
}

Pipeline ReadPipeline(const Element& element, std::vector<Problem>& problems) {
  ObjectReader object(element.value, element.pointer, problems);
  Pipeline pipeline;
  pipeline.id = ReadId<PipelineId>(object, "id");
  for (const Element& stage :
       object.ReadArray("stages", kStageCount, Presence::kRequired)) {
    pipeline.stages.push_back(ReadStage(stage, problems));
  }
  object.ReportUnknownKeys();
  return pipeline;
}

Service ReadService(const Element& element, std::vector<Problem>& problems) {
  ObjectReader object(element.value, element.pointer, problems);
  Service service;
  service.id = ReadId<ServiceId>(object, "id");
  service.kind = object.ReadChoice("kind", kServiceKinds, Presence::kRequired)
                     .value_or(ServiceKind::kPlain);
  const bool idempotent =
      object.ReadBoolean("idempotent", Presence::kRequired).value_or(false);
  service.idempotency =
      idempotent ? Idempotency::kIdempotent : Idempotency::kNonIdempotent;
  const bool checks_fencing =
      object.ReadBoolean("checks_fencing", Presence::kOptional).value_or(false);
  service.fencing =
      checks_fencing ? FencingSupport::kChecked : FencingSupport::kIgnored;
  object.ReportUnknownKeys();
  return service;
}

Zone ReadZone(const Element& element, std::vector<Problem>& problems) {
  ObjectReader object(element.value, element.pointer, problems);
  Zone zone;
  zone.id = ReadId<ZoneId>(object, "id");
  zone.state = object.ReadChoice("state", kZoneStates, Presence::kRequired)
                   .value_or(ZoneState::kIn);
  object.ReportUnknownKeys();
  return zone;
}

// Validates uniqueness and references across lists. Skips ids that could not be
// read, since a problem has been reported for each.
class ReferenceValidator {
 public:
  explicit ReferenceValidator(std::vector<Problem>& problems)
      : problems_(problems) {}

  void Run(const Configuration& configuration) {
    CheckUnique(configuration.classes, "/classes");
    CheckUnique(configuration.pipelines, "/pipelines");
    CheckUnique(configuration.services, "/services");
    CheckUnique(configuration.zones, "/zones");
    CheckClasses(configuration);
    for (std::size_t i = 0; i < configuration.pipelines.size(); ++i) {
      CheckStages(configuration, configuration.pipelines[i],
                  PointerTo(PointerTo("/pipelines", i), "stages"));
    }
  }

 private:
  template <typename Item>
  void CheckUnique(const std::vector<Item>& items, std::string_view pointer) {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
      const std::string& id = items[i].id.value();
      if (id.empty() || seen.insert(id).second) continue;
      Report(ProblemKind::kDuplicate, PointerTo(PointerTo(pointer, i), "id"),
             id, "an id that no other entry has");
    }
  }

  void CheckClasses(const Configuration& configuration) {
    for (std::size_t i = 0; i < configuration.classes.size(); ++i) {
      const PipelineId& pipeline = configuration.classes[i].pipeline;
      if (pipeline.empty() || configuration.FindPipeline(pipeline) != nullptr) {
        continue;
      }
      Report(ProblemKind::kUnknownReference,
             PointerTo(PointerTo("/classes", i), "pipeline"), pipeline.value(),
             "the id of a pipeline in /pipelines");
    }
  }

  void CheckStages(const Configuration& configuration, const Pipeline& pipeline,
                   const std::string& pointer) {
    std::set<std::string> names;
    for (std::size_t i = 0; i < pipeline.stages.size(); ++i) {
      const Stage& stage = pipeline.stages[i];
      const std::string stage_pointer = PointerTo(pointer, i);
      if (!stage.name.empty() && !names.insert(stage.name).second) {
        Report(ProblemKind::kDuplicate, PointerTo(stage_pointer, "name"),
               stage.name, "a name that no other stage of the pipeline has");
      }
      if (!stage.service.empty())
        CheckStage(configuration, stage, stage_pointer);
    }
  }

  void CheckStage(const Configuration& configuration, const Stage& stage,
                  const std::string& pointer) {
    const Service* service = configuration.FindService(stage.service);
    if (service == nullptr) {
      Report(ProblemKind::kUnknownReference, PointerTo(pointer, "service"),
             stage.service.value(), "the id of a service in /services");
      return;
    }
    if (stage.max_tokens == 0 || service->kind == ServiceKind::kEngine) return;
    problems_.push_back({ProblemKind::kUnknownKey,
                         PointerTo(pointer, "max_tokens"),
                         std::to_string(stage.max_tokens),
                         "this key only where the service is an engine"});
  }

  void Report(ProblemKind kind, std::string pointer, const std::string& found,
              std::string expected) {
    problems_.push_back({kind, std::move(pointer), ShowValue(Json(found)),
                         std::move(expected)});
  }

  std::vector<Problem>& problems_;
};

}  // namespace

std::vector<HourlyTarget> ReadTargets(ObjectReader& object,
                                      std::string_view key,
                                      std::vector<Problem>& problems) {
  std::vector<HourlyTarget> targets;
  for (const Element& element :
       object.ReadArray(key, kTargetCount, Presence::kRequired)) {
    const std::size_t problem_count_before = problems.size();
    const HourlyTarget target = ReadTarget(element, problems);
    const bool valid = problems.size() == problem_count_before;
    if (valid && !targets.empty() &&
        target.from_hour <= targets.back().from_hour) {
      problems.push_back(
          {ProblemKind::kOutOfRange, PointerTo(element.pointer, "from_hour"),
           std::to_string(target.from_hour),
           "an hour after " + std::to_string(targets.back().from_hour) +
               ", that of the entry before"});
    }
    if (valid) targets.push_back(target);
  }
  return targets;
}

Configuration ReadConfigurationValue(const Element& element,
                                     std::vector<Problem>& problems) {
  std::vector<Problem> found;
  // Pointers are relative to the configuration until the prefix is added below.
  ObjectReader object(element.value, "", found);
  Configuration configuration;
  configuration.revision = static_cast<std::uint64_t>(
      object.ReadInteger("revision", kRevisions, Presence::kOptional)
          .value_or(0));
  configuration.utc_offset =
      minutes(object
                  .ReadInteger("utc_offset_minutes", kUtcOffsetMinutes,
                               Presence::kRequired)
                  .value_or(0));
  for (const Element& item :
       object.ReadArray("classes", kClassCount, Presence::kRequired)) {
    configuration.classes.push_back(ReadClass(item, found));
  }
  for (const Element& item :
       object.ReadArray("pipelines", kPipelineCount, Presence::kRequired)) {
    configuration.pipelines.push_back(ReadPipeline(item, found));
  }
  for (const Element& item :
       object.ReadArray("services", kServiceCount, Presence::kRequired)) {
    configuration.services.push_back(ReadService(item, found));
  }
  for (const Element& item :
       object.ReadArray("zones", kZoneCount, Presence::kRequired)) {
    configuration.zones.push_back(ReadZone(item, found));
  }
  for (const Element& item :
       object.ReadArray("servers_out", kServersOutCount, Presence::kOptional)) {
    const std::optional<std::string> name = ReadNameElement(item, found);
    if (!name) continue;
    if (configuration.servers_out.emplace(*name).second) continue;
    found.push_back({ProblemKind::kDuplicate, item.pointer,
                     ShowValue(item.value), "each server once"});
  }
  object.ReportUnknownKeys();
  if (element.value.is_object()) ReferenceValidator(found).Run(configuration);
  for (Problem& problem : found) {
    problem.key = element.pointer + problem.key;
    problems.push_back(std::move(problem));
  }
  return configuration;
}

std::optional<Configuration> ConfigurationReader::Read(std::string_view json) {
  problems_.clear();
  const std::optional<Json> value = ParseJson(json, problems_);
  if (!value) return std::nullopt;
  Configuration configuration = ReadConfigurationValue({*value, ""}, problems_);
  if (!problems_.empty()) return std::nullopt;
  return configuration;
}

}  // namespace lovagecleat::configuration
