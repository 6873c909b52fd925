#include "services/gateway/rollout_messages.h"

#include <algorithm>

namespace lovagecleat::gateway {

namespace {

// No order lasts longer; sums of longer times could overflow.
constexpr Duration kMaximumTime = std::chrono::hours(24 * 365);

void WriteEvidence(const routing::HostEvidence& evidence,
                   messages::RolloutEvidence& message) {
  message.set_host(evidence.host);
  message.set_incarnation(evidence.incarnation);
  message.set_sequence(evidence.sequence);
  message.set_requests(evidence.requests);
  message.set_sent_new(evidence.sent_new);
  for (const auto& [route, counts] : evidence.routes) {
    messages::RolloutRoute& added = *message.add_routes();
    added.set_route(route);
    added.set_answers_before(counts.before.answers);
    added.set_bad_before(counts.before.bad);
    added.set_answers(counts.on_trial.answers);
    added.set_bad(counts.on_trial.bad);
    for (const auto& [server, bad] : counts.bad_by_server) {
      messages::RolloutServer& bad_server = *added.add_servers();
      bad_server.set_server(server.value());
      bad_server.set_bad(bad);
    }
  }
}

routing::HostEvidence ReadEvidence(const messages::RolloutEvidence& message) {
  routing::HostEvidence evidence;
  evidence.host = message.host();
  evidence.incarnation = message.incarnation();
  evidence.sequence = message.sequence();
  evidence.requests = message.requests();
  evidence.sent_new = message.sent_new();
  for (const messages::RolloutRoute& route : message.routes()) {
    routing::RouteEvidence& counts = evidence.routes[route.route()];
    counts.before = {route.answers_before(), route.bad_before()};
    counts.on_trial = {route.answers(), route.bad()};
    for (const messages::RolloutServer& server : route.servers())
      counts.bad_by_server[ServerId(server.server())] = server.bad();
  }
  return evidence;
}

}  // namespace

messages::RolloutReport WriteRolloutReport(
    const routing::RolloutReport& report) {
  messages::RolloutReport message;
  message.set_service(report.order.service.value());
  message.set_version(report.order.to);
  message.set_time_us(report.order.time.count());
  message.set_order_number(report.order_version.number());
  message.set_order_era(report.order_version.era());
  message.set_phase(static_cast<std::uint32_t>(report.phase));
  message.set_is_stored(report.is_stored);
  message.set_is_written(report.is_written);
  message.set_is_established(report.is_established);
  message.set_elapsed_us(report.elapsed.count());
  message.set_share(report.share);
  if (report.evidence)
    WriteEvidence(*report.evidence, *message.mutable_evidence());
  return message;
}

std::optional<routing::RolloutReport> ReadRolloutReport(
    const messages::RolloutReport& message) {
  if (message.phase() >
      static_cast<std::uint32_t>(routing::RolloutPhase::kCompleted))
    return std::nullopt;
  routing::RolloutReport report;
  report.order = {ServiceId(message.service()), message.version(),
                  Duration(message.time_us())};
  report.order_version =
      routing::RowVersion(message.order_era(), message.order_number());
  report.phase = static_cast<routing::RolloutPhase>(message.phase());
  report.is_stored = message.is_stored();
  report.is_written = message.is_written();
  report.is_established = message.is_established();
  report.elapsed = std::clamp(Duration(message.elapsed_us()), Duration::zero(),
                              kMaximumTime);
  report.share = std::clamp(message.share(), 0.0, 1.0);
  if (message.has_evidence())
    report.evidence = ReadEvidence(message.evidence());
  return report;
}

}  // namespace lovagecleat::gateway
