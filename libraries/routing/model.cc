#include "routing/model.h"

namespace lovagecleat::routing {

const Route* RoutingTable::FindRoute(std::string_view host,
                                     std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host != host || !path.starts_with(route.prefix)) continue;
    if (best == nullptr || route.prefix.size() > best->prefix.size())
      best = &route;
  }
  return best;
}

const Service* RoutingTable::FindService(const ServiceId& id) const {
  const auto found = services.find(id);
  return found == services.end() ? nullptr : &found->second;
}

std::string ServerIncarnation::Key() const {
  return id.value() + '@' + address + '@' + std::to_string(started_unix_ms) +
         '@' + software_version;
}

}  // namespace lovagecleat::routing
