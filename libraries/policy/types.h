#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "configuration/configuration.h"

namespace lovagecleat::policy {

enum class MemberState { kActive, kLeaving };

// One entry host in the platform's inventory.
struct HostInfo {
  HostId id;
  ZoneId zone;
  std::string peer_address;  // "127.0.0.1:7101"
  MemberState state = MemberState::kActive;
};

// One backend server in the platform's inventory.
struct ServerInfo {
  ServerId id;
  ServiceId service;
  ZoneId zone;
  std::string address;  // "127.0.0.1:8101"
  MemberState state = MemberState::kActive;
  std::uint32_t cold_limit = 1;  // concurrent calls during a cold start
  std::uint32_t warm_limit = 1;  // concurrent calls when warm
};

// The platform's list of hosts and servers, which lags behind.
struct Inventory {
  std::uint64_t sequence = 0;
  std::vector<HostInfo> hosts;
  std::vector<ServerInfo> servers;
};

enum class Warmth { kCold, kWarm };

// The state that a backend server reports with a response or in a load report.
struct ServerReport {
  std::uint64_t generation = 0;  // higher after each restart or warmth loss
  Warmth warmth = Warmth::kCold;
  std::uint32_t in_flight = 0;  // calls of all senders when reported
  Duration age{};               // time since a load report was made
};

// How one attempt of one stage ended.
enum class AttemptOutcome {
  kOk,
  kNotSent,          // no byte reached a server
  kRefused,          // the server responded that it did not run the call
  kServerError,      // the server responded that it failed
  kConnectionLost,   // sent; the connection closed before the end
  kNoProgress,       // sent; nothing arrived within the timeout
  kDeadlineReached,  // abandoned at the deadline
  kCancelled,
};

// Returns whether the server cannot have run the attempt.
bool IsKnownNotRun(AttemptOutcome outcome);

// Why a request was not served.
enum class RefusalReason {
  kMalformed,
  kBodyTooLarge,
  kUnknownClass,
  kDeadlineOutOfRange,
  kMissingIdempotencyKey,
  kDuplicateInFlight,
  kTooManyCalls,
  kCannotMeetDeadline,
  kNoServer,
  kNotConfigured,
  kStopping,
  kStoreUnavailable,
  kStageFailed,
  kDeadlinePassed,
  kKeyReusedForOtherRequest,
};

// What is known about the execution of a request that got no answer.
enum class RequestOutcome { kDone, kNotRun, kUnknown, kFailed };

// One stage of one request in the trace for the caller.
struct StageTrace {
  std::string stage;
  ServerId server;
  ZoneId zone;
  std::uint32_t attempts = 0;
  Duration queued{};
  Duration served{};
};

std::string_view ToString(AttemptOutcome outcome);
std::string_view ToString(RefusalReason reason);
std::string_view ToString(RequestOutcome outcome);

}  // namespace lovagecleat::policy
