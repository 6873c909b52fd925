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

// A job for a request that this host accepted from a caller.
struct LocalOrigin {
  RequestId request;
};

// A job that another entry host handed over.
struct PeerOrigin {
  HostId host;
  std::uint64_t incarnation = 0;
  std::uint64_t attempt = 0;  // the other host's number
};

using JobOrigin = std::variant<LocalOrigin, PeerOrigin>;

// What a stage needs in order to run.
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
  // When the whole answer is due, and when this stage must end for it.
  TimePoint deadline{};
  TimePoint stage_deadline{};
  std::uint64_t first_offset = 0;  // tokens that are not wanted any more

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
  TimePoint end_before{};  // the server gives up on the call by then
};

// Handed to a host of another zone.
struct JobOnPeer {
  AttemptId attempt;
  HostId host;
  ZoneId zone;
  TimePoint started{};
  ServerId server;  // known from the result
};

using JobState = std::variant<JobQueued, JobOnServer, JobOnPeer>;

// One stage of one request, over all its tries.
struct StageJob {
  JobId id;
  JobOrigin origin;
  StageWork work;
  JobState state;
  std::uint32_t attempts = 0;
  Duration queued{};
  std::uint64_t next_offset = 0;
  bool may_have_run = false;  // by any server, over all tries
  std::set<ServerId> failed_servers;
  std::set<HostId> failed_hosts;
};

// Whether the job is of a request that this host accepted itself.
inline bool IsLocal(const StageJob& job) {
  return std::holds_alternative<LocalOrigin>(job.origin);
}

}  // namespace lovagecleat::policy
