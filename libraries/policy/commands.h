#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "policy/events.h"
#include "policy/types.h"

// The commands that the core of an entry host returns to its process.
namespace lovagecleat::policy {

// --- To backend servers -----------------------------------------------------

struct StartBackendCall {
  AttemptId attempt;
  ServerId server;
  std::string address;
  RequestId request;
  std::string stage;
  TeamId team;
  std::string input;
  std::uint32_t max_tokens = 0;
  std::uint64_t offset = 0;    // tokens to skip when a stream is resumed
  std::uint32_t priority = 0;  // 0 (most urgent) to 9
  Duration first_byte_timeout{};
  Duration progress_timeout{};  // maximum time between two bytes
  // The process checks this time just before sending and reports kNotSent if it
  // has passed, since the process may have been suspended in between.
  TimePoint send_before{};
  TimePoint deadline{};
  configuration::Idempotency idempotency =
      configuration::Idempotency::kIdempotent;
  std::string idempotency_key;  // for non-idempotent calls
};

// Requests the load of a server. LoadReported follows if the server answers.
struct PollLoad {
  ServerId server;
  std::string address;
};

struct CancelBackendCall {
  AttemptId attempt;
};

// --- To other entry hosts ---------------------------------------------------

struct SendPeerMessage {
  HostId host;
  messages::PeerMessage message;
};

// Sets the hosts to which the process keeps connections.
struct ConnectPeers {
  std::vector<HostInfo> hosts;
};

// --- To the platform --------------------------------------------------------

struct ReadTable {
  OperationId operation;
  std::vector<std::string> keys;
};

// Reads up to `limit` rows whose keys start with `prefix` and are not less than
// `from`.
struct ScanTable {
  OperationId operation;
  std::string prefix;
  std::string from;
  std::uint32_t limit = 0;
};

struct TableWrite {
  std::string key;
  std::uint64_t expected_version = 0;
  std::string value;
};

// Writes all rows atomically, or none.
struct WriteTable {
  OperationId operation;
  std::vector<TableWrite> writes;
};

// --- To callers and operators -----------------------------------------------

struct DeliverToken {
  CallId call;
  std::uint64_t offset = 0;
  std::string text;
};

struct DeliverAnswer {
  CallId call;
  RequestId request;
  std::string output;  // JSON text
  std::vector<StageTrace> trace;
  bool within_target = true;
};

struct DeliverRefusal {
  CallId call;
  RequestId request;  // empty if refused before an id was assigned
  RefusalReason reason = RefusalReason::kMalformed;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  std::string detail;
  std::optional<Duration> retry_after;
  std::vector<StageTrace> trace;
};

struct RespondToOperator {
  CallId call;
  int status = 200;  // HTTP
  std::string body;  // JSON text
};

// --- To this process --------------------------------------------------------

enum class Readiness { kReady, kNotReady };

struct SetReadiness {
  Readiness readiness = Readiness::kNotReady;
  std::string reason;
};

// Records one decision with its inputs for the log and for `explain`.
struct RecordDecision {
  RequestId request;  // empty if it concerns no single request
  std::string part;
  std::string text;
};

struct FinishStop {};

using Command =
    std::variant<StartBackendCall, CancelBackendCall, PollLoad, SendPeerMessage,
                 ConnectPeers, ReadTable, ScanTable, WriteTable, DeliverToken,
                 DeliverAnswer, DeliverRefusal, RespondToOperator, SetReadiness,
                 RecordDecision, FinishStop>;

}  // namespace lovagecleat::policy
