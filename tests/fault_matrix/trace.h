#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "policy/policy.h"

// Events of one session, as observed from outside the hosts.
namespace lovagecleat::fault_matrix {

enum class Repeatability { kIdempotent, kNonIdempotent };

// The input of each request contains a unique marker, so that an answer to
// another request is detected.
struct RequestSent {
  CallId call;
  HostId host;
  std::string marker;
  std::string key;
};
struct TokenDelivered {
  CallId call;
  std::uint64_t offset = 0;
  std::string text;
};
struct AnswerDelivered {
  CallId call;
  std::string output;
};
struct RefusalDelivered {
  CallId call;
  policy::RequestOutcome outcome = policy::RequestOutcome::kNotRun;
};
// A server starts to run a call, also if its answer is lost later.
struct ExecutionStarted {
  ServerId server;
  HostId host;
  std::uint64_t execution = 0;
  std::string marker;
  std::string key;
  Repeatability repeatability = Repeatability::kIdempotent;
};
struct ExecutionEnded {
  ServerId server;
  std::uint64_t execution = 0;
};
struct ServerTurnedCold {
  ServerId server;
};
struct ServerTurnedWarm {
  ServerId server;
};
// The server sent a report of its current generation.
struct GenerationReported {
  ServerId server;
};
struct ServerLeaves {
  ServerId server;
};
struct ServerReturns {
  ServerId server;
};
struct RevisionInForce {
  HostId host;
  std::uint64_t revision = 0;
};
struct ChangeAccepted {
  std::uint64_t revision = 0;
  ZoneId zone_out;  // empty for other changes
};
// The host is dead, frozen or cut off from now on; checks that need a working
// host do not apply to it.
struct HostDisturbed {
  HostId host;
};
struct HostRestored {
  HostId host;
};
struct HostStarted {
  HostId host;
};
struct HostDied {
  HostId host;
};
struct HostStopRequested {
  HostId host;
};
struct HostStopped {
  HostId host;
};

using TraceBody =
    std::variant<RequestSent, TokenDelivered, AnswerDelivered, RefusalDelivered,
                 ExecutionStarted, ExecutionEnded, ServerTurnedCold,
                 ServerTurnedWarm, GenerationReported, ServerLeaves,
                 ServerReturns, RevisionInForce, ChangeAccepted, HostDisturbed,
                 HostRestored, HostStarted, HostDied, HostStopRequested,
                 HostStopped>;

struct TraceEvent {
  TimePoint at{};
  TraceBody body;
};

using Trace = std::vector<TraceEvent>;

// Properties of a server that the checkers need in addition to the trace.
struct ServerFacts {
  ServerId id;
  ZoneId zone;
  std::uint32_t cold_limit = 1;
  std::uint32_t warm_limit = 1;
};

}  // namespace lovagecleat::fault_matrix
