#pragma once

#include <memory>
#include <string>

#include "base/base.h"
#include "configuration/configuration.h"
#include "http/http.h"
#include "logging/logging.h"
#include "metrics/metrics.h"
#include "policy/policy.h"
#include "routing/routing.h"
#include "services/gateway/message_codec.h"
#include "transport/transport.h"

namespace lovagecleat::gateway {

// State shared by the components of one gateway process, which run on one event
// loop.
struct Context {
  transport::Loop& loop;
  const MessageCodec& codec;
  configuration::GatewaySettings settings;
  logging::EventLog& log;
  metrics::Registry& metrics;
  http::Poller& poller;
  http::ConnectionPool& pool;
  Random random;
  routing::ServerDirectory directory;
  routing::SendLimiter limiter;
  routing::ServerLimits server_limits;
  routing::PromptPlacement placement;
  policy::RetryBudget retry_budget;
  // The newest one known; null until the first has been read.
  std::shared_ptr<const routing::RoutingTable> table;
  std::size_t host_count = 1;  // known hosts, this one included
  // Whether this host learns of changes in the store, from it or from a host
  // that reads it.
  bool is_store_available = false;
  routing::ServerSpeeds speeds{};
  routing::PromptQueues prompt_queues{};
  routing::Rollouts rollouts{HostId(), 0, TimePoint{}};
  routing::ServerProcesses processes{settings.limits.maximum_change_delay};

  TimePoint Now() const { return loop.clock().Now(); }
  routing::SpeedView SpeedsNow() const { return {speeds, Now()}; }

  routing::ColdRateLimit ColdRateLimitOf(const ServiceId& service) const {
    const routing::Service* found =
        table ? table->FindService(service) : nullptr;
    return {found ? found->cold_requests_per_second : 0.0,
            settings.limits.cold_factor, settings.limits.cold_slack};
  }
};

// Returns a time in milliseconds, for a field of the log.
inline double Milliseconds(Duration time) {
  return static_cast<double>(time.count()) / 1000.0;
}

// Kinds of calls to a server.
inline constexpr const char* kRequestCalls = "request";
inline constexpr const char* kStageCalls = "stage";
inline constexpr const char* kReleaseCalls = "release";
inline constexpr const char* kReportCalls = "report";

// Keeps the connections to different incarnations of a server apart: one that
// is about to exit still responds after its successor has registered.
inline http::CallTarget CallTargetOf(const routing::ServerIncarnation& server,
                                     const char* kind) {
  return {server.Key(), server.address, kind};
}

}  // namespace lovagecleat::gateway
