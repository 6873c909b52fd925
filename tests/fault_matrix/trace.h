#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "policy/policy.h"

// What happened in one session, as seen from outside the hosts.
namespace lovagecleat::fault_matrix {

enum class Repeatability { kIdempotent, kNonIdempotent };

// Callers mark each request's input, so that a mixed-up answer shows.
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
// A server runs a call, whatever becomes of its answer.
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
// The server's word of its generation left it.
struct SignSent {
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
  ZoneId zone_out;  // empty: another change
};
// From here on the host is dead, frozen or cut off; its promises are off.
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
struct StopAsked {
  HostId host;
};
struct HostStopped {
  HostId host;
};

using TraceBody =
    std::variant<RequestSent, TokenDelivered, AnswerDelivered, RefusalDelivered,
                 ExecutionStarted, ExecutionEnded, ServerTurnedCold,
                 ServerTurnedWarm, SignSent, ServerLeaves, ServerReturns,
                 RevisionInForce, ChangeAccepted, HostDisturbed, HostRestored,
                 HostStarted, HostDied, StopAsked, HostStopped>;

struct TraceEvent {
  TimePoint at{};
  TraceBody body;
};

using Trace = std::vector<TraceEvent>;

// What the checkers have to know beside the trace.
struct ServerFacts {
  ServerId id;
  ZoneId zone;
  std::uint32_t cold_limit = 1;
  std::uint32_t warm_limit = 1;
};

}  // namespace lovagecleat::fault_matrix
