#include <nlohmann/json.hpp>
#include <string>

#include "policy/core_state.h"

// The status report for operators.
namespace lovagecleat::policy {

namespace {

using Json = nlohmann::json;

std::string_view ToString(PeerHealth health) {
  switch (health) {
    case PeerHealth::kUnknown:
      return "unknown";
    case PeerHealth::kAlive:
      return "alive";
    case PeerHealth::kSuspected:
      return "suspected";
    case PeerHealth::kDead:
      return "dead";
  }
  return "";
}

Json PendingDrainsJson(const std::vector<ChangeRequest>& drains) {
  Json pending = Json::array();
  for (const ChangeRequest& drain : drains) {
    pending.push_back(
        {{"change_id", drain.change_id},
         {"who", drain.operator_name},
         {"change", Json::parse(configuration::WriteChange(drain.change))}});
  }
  return pending;
}

}  // namespace

std::string Core::State::StatusReport() const {
  Json hosts = Json::array();
  for (const HostInfo& host : membership_.PeersToConnect()) {
    hosts.push_back({{"id", host.id.value()},
                     {"zone", host.zone.value()},
                     {"health", ToString(membership_.Health(host.id))}});
  }
  Json servers = Json::array();
  for (const auto& [id, entry] : servers_.all()) {
    servers.push_back({{"id", id.value()},
                       {"service", entry.info.service.value()},
                       {"in_service", !servers_.IsOut(entry)},
                       {"in_flight", entry.own_in_flight},
                       {"limit", credits_.Limit(id, now_)},
                       {"available", credits_.Available(id, now_)},
                       {"slowness", entry.slowness},
                       {"failures", entry.consecutive_failures}});
  }
  Json zones = Json::array();
  if (configuration_ != nullptr) {
    for (const configuration::Zone& zone : configuration_->content().zones) {
      const bool is_out = zone.state == configuration::ZoneState::kOut;
      zones.push_back(
          {{"id", zone.id.value()}, {"state", is_out ? "out" : "in"}});
    }
  }
  const Json report = {
      {"host", settings_.host.value()},
      {"zone", settings_.zone.value()},
      {"incarnation", settings_.incarnation},
      {"ready", announced_readiness_ == Readiness::kReady},
      {"reason", announced_reason_},
      {"revision", configuration_revision()},
      {"roster_epoch", credits_.epoch()},
      {"open_requests", requests_.open_requests()},
      {"open_jobs", scheduler_.job_count()},
      {"dropped_results", scheduler_.dropped_results()},
      {"hosts", hosts},
      {"servers", servers},
      {"zones", zones},
      {"pending", PendingDrainsJson(operator_changes_.pending_drains())}};
  return report.dump();
}

}  // namespace lovagecleat::policy
