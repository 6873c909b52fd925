#include "services/gateway/server_notices.h"

#include <algorithm>
#include <span>
#include <utility>

#include "services/gateway/quiet_servers.h"

namespace lovagecleat::gateway {

namespace {

// A starting host asks this many others, so that one that is lost does not
// matter, once it has had time to read the rows of all hosts.
constexpr std::size_t kAskedHosts = 3;
constexpr Duration kAskDelay = std::chrono::milliseconds(100);

// Longest part of a value that is logged.
constexpr std::size_t kLoggedValueBytes = 128;

void LogFieldProblems(Context& context, const ServerId& server,
                      std::span<const FieldProblem> problems) {
  for (const FieldProblem& problem : problems)
    context.log.Write("field_unreadable", "",
                      {{"server", server.value()},
                       {"field", problem.field},
                       {"value", problem.value.substr(0, kLoggedValueBytes)},
                       {"expected", problem.expected}});
}

void WriteServer(const routing::ServerIncarnation& server,
                 messages::LeavingServer& copy) {
  copy.set_server(server.id.value());
  copy.set_address(server.address);
  copy.set_started_unix_ms(server.started_unix_ms);
  copy.set_software_version(server.software_version);
}

}  // namespace

ServerNotices::ServerNotices(Context& context, ReachableCallback is_reachable,
                             Outbox::SendCallback send)
    : context_(context),
      is_reachable_(std::move(is_reachable)),
      outbox_(context.loop, std::move(send)) {}

ServerNotices::~ServerNotices() { context_.loop.Cancel(ask_timer_); }

void ServerNotices::SetHosts(std::vector<std::string> others) {
  hosts_ = std::move(others);
  if (has_asked_ || hosts_.empty()) return;
  has_asked_ = true;
  ask_timer_ = context_.loop.After(kAskDelay, [this] { AskOtherHosts(); });
}

void ServerNotices::AskOtherHosts() {
  for (const std::string& peer :
       ChooseReachable(hosts_, is_reachable_, kAskedHosts, context_.random))
    outbox_.To(peer).set_requests_notices(true);
  outbox_.FlushNow();
}

void ServerNotices::OnResponse(const routing::ServerIncarnation& server,
                               const ResponseMetadata& response) {
  LogFieldProblems(context_, server.id, response.problems);
  // Another server that now has this address speaks for itself.
  if (response.is_wrong_server) return;
  if (response.quiet_time && *response.quiet_time > Duration::zero())
    StartQuietPeriod(context_, server, *response.quiet_time);
  if (!response.is_leaving) return;
  if (!Record(server, "response")) return;
  for (const std::string& peer : hosts_)
    if (is_reachable_(peer))
      WriteServer(server, *outbox_.To(peer).add_leaving());
  outbox_.FlushSoon();
}

void ServerNotices::OnMessage(const std::string& from,
                              const messages::ServerNotices& notices) {
  for (const messages::LeavingServer& server : notices.leaving())
    Record({ServerId(server.server()), server.address(),
            server.software_version(), server.started_unix_ms()},
           "peer");
  const auto& known = context_.directory.leaving();
  if (!notices.requests_notices() || known.empty()) return;
  messages::ServerNotices& answer = outbox_.To(from);
  answer.clear_leaving();
  for (const routing::ServerIncarnation& server : known)
    WriteServer(server, *answer.add_leaving());
  outbox_.FlushNow();
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
