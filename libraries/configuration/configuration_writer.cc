#include "configuration/document_format.h"

namespace lovagecleat::configuration {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::minutes;

Json ClassesToJson(const Configuration& configuration) {
  Json classes = Json::array();
  for (const RequestClass& item : configuration.classes) {
    classes.push_back({{"id", item.id.value()},
                       {"pipeline", item.pipeline.value()},
                       {"targets", TargetsToJson(item.targets)}});
  }
  return classes;
}

Json PipelinesToJson(const Configuration& configuration) {
  Json pipelines = Json::array();
  for (const Pipeline& pipeline : configuration.pipelines) {
    Json stages = Json::array();
    for (const Stage& stage : pipeline.stages) {
      Json item{{"name", stage.name}, {"service", stage.service.value()}};
      if (stage.max_tokens != 0) item["max_tokens"] = stage.max_tokens;
      stages.push_back(std::move(item));
    }
    pipelines.push_back(
        {{"id", pipeline.id.value()}, {"stages", std::move(stages)}});
  }
  return pipelines;
}

Json ServicesToJson(const Configuration& configuration) {
  Json services = Json::array();
  for (const Service& service : configuration.services) {
    services.push_back(
        {{"id", service.id.value()},
         {"kind", NameOf(kServiceKinds, service.kind)},
         {"idempotent", service.idempotency == Idempotency::kIdempotent},
         {"checks_fencing", service.fencing == FencingSupport::kChecked}});
  }
  return services;
}

}  // namespace

Json TargetsToJson(const std::vector<HourlyTarget>& targets) {
  Json array = Json::array();
  for (const HourlyTarget& target : targets) {
    array.push_back(
        {{"from_hour", target.from_hour},
         {"target_ms", duration_cast<milliseconds>(target.target).count()}});
  }
  return array;
}

Json ConfigurationToJson(const Configuration& configuration) {
  Json zones = Json::array();
  for (const Zone& zone : configuration.zones) {
    zones.push_back(
        {{"id", zone.id.value()}, {"state", NameOf(kZoneStates, zone.state)}});
  }
  Json servers_out = Json::array();
  for (const ServerId& server : configuration.servers_out) {
    servers_out.push_back(server.value());
  }
  return {{"revision", configuration.revision},
          {"utc_offset_minutes",
           duration_cast<minutes>(configuration.utc_offset).count()},
          {"classes", ClassesToJson(configuration)},
          {"pipelines", PipelinesToJson(configuration)},
          {"services", ServicesToJson(configuration)},
          {"zones", std::move(zones)},
          {"servers_out", std::move(servers_out)}};
}

std::string WriteConfiguration(const Configuration& configuration) {
  return ConfigurationToJson(configuration).dump();
}

std::string DescribeProblem(std::string_view file, const Problem& problem) {
  std::string text(file);
  text += ": ";
  text += problem.key.empty() ? "the whole document" : problem.key;
  text += ": found " + problem.value;
  text += ", expected " + problem.expected;
  return text;
}

}  // namespace lovagecleat::configuration
