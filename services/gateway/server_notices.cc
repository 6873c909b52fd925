#include "services/gateway/server_notices.h"

#include <algorithm>
#include <span>
#include <utility>

#include "services/gateway/quiet_servers.h"

namespace lovagecleat::gateway {

namespace {

// Notices within this time share a message.
constexpr Duration kBatchDelay = std::chrono::milliseconds(10);
// Messages to a host that cannot be connected to for the second time are
// dropped.
constexpr Duration kSendRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kSendTimeout = std::chrono::milliseconds(2000);
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
                             SendCallback send)
    : context_(context),
      is_reachable_(std::move(is_reachable)),
      send_(std::move(send)) {}

ServerNotices::~ServerNotices() {
  context_.loop.Cancel(flush_timer_);
  context_.loop.Cancel(ask_timer_);
}

void ServerNotices::SetHosts(std::vector<std::string> others) {
  hosts_ = std::move(others);
  if (has_asked_ || hosts_.empty()) return;
  has_asked_ = true;
  ask_timer_ = context_.loop.After(kAskDelay, [this] { AskOtherHosts(); });
}

void ServerNotices::AskOtherHosts() {
  std::vector<std::string> asked = hosts_;
  std::erase_if(asked,
                [this](const auto& peer) { return !is_reachable_(peer); });
  while (asked.size() > kAskedHosts)
    asked.erase(asked.begin() + static_cast<std::ptrdiff_t>(
                                    context_.random.Below(asked.size())));
  for (const std::string& peer : asked)
    OutgoingTo(peer).set_requests_notices(true);
  ScheduleFlush(Duration::zero());
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
      WriteServer(server, *OutgoingTo(peer).add_leaving());
  ScheduleFlush(kBatchDelay);
}

void ServerNotices::OnMessage(const std::string& from,
                              const messages::ServerNotices& notices) {
  for (const messages::LeavingServer& server : notices.leaving())
    Record({ServerId(server.server()), server.address(),
            server.software_version(), server.started_unix_ms()},
           "peer");
  const auto& known = context_.directory.leaving();
  if (!notices.requests_notices() || known.empty()) return;
  messages::ServerNotices& answer = OutgoingTo(from);
  answer.clear_leaving();
  for (const routing::ServerIncarnation& server : known)
    WriteServer(server, *answer.add_leaving());
  ScheduleFlush(Duration::zero());
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

messages::ServerNotices& ServerNotices::OutgoingTo(const std::string& peer) {
  return outgoing_.try_emplace(peer, Outgoing{{}, context_.Now()})
      .first->second.notices;
}

void ServerNotices::ScheduleFlush(Duration delay) {
  if (outgoing_.empty() || flush_timer_.value() != 0) return;
  flush_timer_ = context_.loop.After(delay, [this] {
    flush_timer_ = TimerId{};
    Flush();
  });
}

void ServerNotices::Flush() {
  const TimePoint now = context_.Now();
  std::erase_if(outgoing_, [&](const auto& item) {
    const auto& [peer, outgoing] = item;
    return send_(peer, outgoing.notices) ||
           now - outgoing.added_at >= kSendTimeout;
  });
  ScheduleFlush(kSendRetryDelay);
}

}  // namespace lovagecleat::gateway
