#include "services/gateway/server_notices.h"

#include <algorithm>
#include <utility>

#include "services/gateway/quiet_servers.h"

namespace lovagecleat::gateway {

namespace {

// A starting host asks this many others, so that one that is lost does not
// matter, once it has had time to read the rows of all hosts.
constexpr std::size_t kAskedHosts = 3;
constexpr Duration kAskDelay = std::chrono::milliseconds(100);

// Limit on the time spans in messages, which another version may send.
constexpr std::int64_t kMaximumAgeUs = std::int64_t{3600} * 1000 * 1000;

// Logged for a limit that has ended.
constexpr double kNoLimit = -1;

// Longest part of a value that is logged.
constexpr std::size_t kLoggedValueBytes = 128;
// A server may send an unreadable field with each response, so this many are
// logged in a period.
constexpr int kLoggedProblems = 10;
constexpr Duration kLogPeriod = std::chrono::seconds(1);

void WriteServer(const routing::ServerIncarnation& server,
                 messages::LeavingServer& copy) {
  copy.set_server(server.id.value());
  copy.set_address(server.address);
  copy.set_started_unix_ms(server.started_unix_ms);
  copy.set_software_version(server.software_version);
}

routing::ServerIncarnation ReadServer(const messages::LeavingServer& copy) {
  return {ServerId(copy.server()), copy.address(), copy.software_version(),
          copy.started_unix_ms()};
}

void WriteLimit(const routing::ServerIncarnation& server,
                const routing::LimitStatement& statement, TimePoint now,
                messages::ServerLimit& copy) {
  WriteServer(server, *copy.mutable_server());
  if (statement.requests_per_second)
    copy.set_requests_per_second(*statement.requests_per_second);
  copy.set_age_us((now - statement.at).count());
}

}  // namespace

ServerNotices::ServerNotices(Context& context, ReachableCallback is_reachable,
                             Outbox::SendCallback send)
    : context_(context),
      is_reachable_(std::move(is_reachable)),
      outbox_(context.loop, is_reachable_, std::move(send),
              [this](messages::ServerNotices& all) { return WriteAll(all); }) {}

ServerNotices::~ServerNotices() { context_.loop.Cancel(ask_timer_); }

void ServerNotices::SetHosts(std::vector<std::string> others_in_zone,
                             std::vector<std::string> others) {
  hosts_in_zone_ = std::move(others_in_zone);
  hosts_ = std::move(others);
  outbox_.SetPeers(hosts_);
  if (has_asked_ || hosts_in_zone_.empty()) return;
  has_asked_ = true;
  ask_timer_ = context_.loop.After(kAskDelay, [this] { AskOtherHosts(); });
}

void ServerNotices::AskOtherHosts() {
  for (const std::string& peer : ChooseReachable(hosts_in_zone_, is_reachable_,
                                                 kAskedHosts, context_.random))
    outbox_.To(peer).set_requests_notices(true);
  outbox_.FlushNow();
}

void ServerNotices::LogFieldProblems(const ServerId& server,
                                     std::span<const FieldProblem> problems) {
  if (problems.empty()) return;
  context_.metrics.Count("lovagecleat_unreadable_fields_total", {},
                         problems.size());
  const TimePoint now = context_.Now();
  if (now - logged_since_ >= kLogPeriod) {
    logged_since_ = now;
    logged_problems_ = 0;
  }
  for (const FieldProblem& problem : problems) {
    if (++logged_problems_ > kLoggedProblems) return;
    context_.log.Write("field_unreadable", "",
                       {{"server", server.value()},
                        {"field", problem.field},
                        {"value", problem.value.substr(0, kLoggedValueBytes)},
                        {"expected", problem.expected}});
  }
}

void ServerNotices::OnResponse(const routing::ServerIncarnation& server,
                               const ResponseMetadata& response,
                               Audience audience) {
  LogFieldProblems(server.id, response.problems);
  // Another server that now has this address speaks for itself.
  if (response.is_wrong_server) return;
  if (response.quiet_time && *response.quiet_time > Duration::zero())
    StartQuietPeriod(context_, server, *response.quiet_time);
  RecordLimit(server, response);
  if (!response.is_leaving) return;
  const bool is_new = Record(server, "response");
  // The hosts of other zones have not been told of a known one.
  if (!is_new && audience == Audience::kZone) return;
  outbox_.ToAll(audience == Audience::kZone ? hosts_in_zone_ : hosts_,
                [&server](messages::ServerNotices& notices) {
                  WriteServer(server, *notices.add_leaving());
                });
}

void ServerNotices::RecordLimit(const routing::ServerIncarnation& server,
                                const ResponseMetadata& response) {
  // What was known stays in force if the server says something unreadable.
  if (response.is_limit_unreadable && !response.request_limit) return;
  if (!response.request_limit && !context_.server_limits.IsLimited(server))
    return;
  const routing::LimitStatement statement{response.request_limit,
                                          context_.Now()};
  if (!SetLimit(server, statement, "response")) return;
  outbox_.ToAll(hosts_, [&](messages::ServerNotices& notices) {
    WriteLimit(server, statement, context_.Now(), *notices.add_limits());
  });
}

bool ServerNotices::SetLimit(const routing::ServerIncarnation& server,
                             const routing::LimitStatement& statement,
                             std::string_view source) {
  if (!context_.server_limits.Set(server, statement)) return false;
  context_.metrics.Count("lovagecleat_server_limits_total",
                         {{"source", std::string(source)}});
  context_.log.Write(
      "server_limit", "",
      {{"server", server.id.value()},
       {"address", server.address},
       {"per_second", statement.requests_per_second.value_or(kNoLimit)},
       {"source", source}});
  return true;
}

void ServerNotices::ReadLimits(const messages::ServerNotices& notices) {
  for (const messages::ServerLimit& limit : notices.limits()) {
    routing::LimitStatement statement;
    if (limit.has_requests_per_second()) {
      // Another version may send anything.
      if (!(limit.requests_per_second() >= 0)) continue;
      statement.requests_per_second = limit.requests_per_second();
    }
    statement.at = context_.Now() - Duration(std::clamp<std::int64_t>(
                                        limit.age_us(), 0, kMaximumAgeUs));
    SetLimit(ReadServer(limit.server()), statement, "peer");
  }
}

void ServerNotices::OnMessage(const std::string& from,
                              const messages::ServerNotices& notices) {
  for (const messages::LeavingServer& server : notices.leaving())
    Record(ReadServer(server), "peer");
  ReadLimits(notices);
  messages::ServerNotices all;
  if (!notices.requests_notices() || !WriteAll(all)) return;
  messages::ServerNotices& answer = outbox_.To(from);
  answer.clear_leaving();
  answer.MergeFrom(all);
  outbox_.FlushNow();
}

bool ServerNotices::WriteAll(messages::ServerNotices& notices) const {
  const auto& known = context_.directory.leaving();
  const auto& limits = context_.server_limits.limits();
  for (const routing::ServerIncarnation& server : known)
    WriteServer(server, *notices.add_leaving());
  for (const auto& [id, limit] : limits)
    WriteLimit(limit.server, {limit.requests_per_second, limit.named_at},
               context_.Now(), *notices.add_limits());
  return !known.empty() || !limits.empty();
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
