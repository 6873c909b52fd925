#include "services/gateway/server_notices.h"

namespace lovagecleat::gateway {

void ServerNotices::OnResponse(const routing::ServerIncarnation& server,
                               const ResponseMetadata& response) {
  // Another server that now has this address speaks for itself.
  if (!response.is_leaving || response.is_wrong_server) return;
  Record(server, "response");
}

bool ServerNotices::Record(const routing::ServerIncarnation& server,
                           std::string_view source) {
  if (!context_.directory.SetLeaving(server)) return false;
  context_.metrics.Count("lovagecleat_server_notices_total",
                         {{"source", std::string(source)}});
  context_.log.Write("server_leaving", "",
                     {{"server", server.id.value()},
                      {"address", server.address},
                      {"started_unix_ms", server.started_unix_ms},
                      {"software_version", server.software_version},
                      {"source", source}});
  return true;
}

}  // namespace lovagecleat::gateway
