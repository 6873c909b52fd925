#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "policy/credits.h"
#include "policy/stage_times.h"
#include "policy/types.h"

namespace lovagecleat::policy {

using JobId = NumberId<struct JobIdTag>;

// Attempts of one job, over all servers and zones.
inline constexpr std::uint32_t kMaximumAttempts = 3;

// A job for a request that this host accepted from a caller.
struct LocalOrigin {
  RequestId request;
};

// A job that another host forwarded to this one.
struct PeerOrigin {
  HostId host;
  std::uint64_t incarnation = 0;
  std::uint64_t attempt = 0;  // as numbered by the other host
};

using JobOrigin = std::variant<LocalOrigin, PeerOrigin>;

// The input, identity and deadlines of one stage of a request.
struct StageWork {
  RequestId request;
  std::string stage;
  ServiceId service;
  configuration::Idempotency idempotency =
      configuration::Idempotency::kIdempotent;
  ClassId request_class;
  TeamId team;
  std::string input;
  std::uint32_t max_tokens = 0;
  std::string idempotency_key;
  // The deadline of the whole request, and the time by which this stage must
  // end for the request to meet it.
  TimePoint deadline{};
  TimePoint stage_deadline{};
  std::uint64_t first_offset = 0;  // of the first token to return

  StageShape Shape() const { return {service, max_tokens}; }
};

struct JobQueued {
  TimePoint since{};
};

// Running on a server of this zone.
struct JobOnServer {
  AttemptId attempt;
  ServerId server;
  CreditId credit;
  TimePoint started{};
  TimePoint end_before{};  // the server stops the call by then
};

// Forwarded to a host of another zone.
struct JobOnPeer {
  AttemptId attempt;
  HostId host;
  ZoneId zone;
  TimePoint started{};
  ServerId server;  // set from the result
};

using JobState = std::variant<JobQueued, JobOnServer, JobOnPeer>;

// One stage of one request, over all its attempts.
struct StageJob {
  JobId id;
  JobOrigin origin;
  StageWork work;
  JobState state;
  std::uint32_t attempts = 0;
  Duration queued{};
  std::uint64_t next_offset = 0;
  bool may_have_run = false;  // on any server, in any attempt
  std::set<ServerId> failed_servers;
  std::set<HostId> failed_hosts;
};

// Returns whether the job belongs to a request that this host accepted itself.
inline bool IsLocal(const StageJob& job) {
  return std::holds_alternative<LocalOrigin>(job.origin);
}

}  // namespace lovagecleat::policy
