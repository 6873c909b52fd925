#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "policy/events.h"
#include "policy/types.h"

// Everything that the decisions of an entry host can ask of its process.
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
  std::uint64_t offset = 0;    // resume a stream after this many tokens
  std::uint32_t priority = 0;  // 0 most urgent, to 9
  Duration first_byte_bound{};
  Duration progress_bound{};  // between two bytes
  // The process checks this at the point of sending and reports kNotSent if
  // it has passed, since the process may have been frozen in between.
  TimePoint send_before{};
  TimePoint deadline{};
  configuration::Idempotency idempotency =
      configuration::Idempotency::kIdempotent;
  std::string idempotency_key;  // for non-idempotent calls
};

// Asks a server for its load; answered by LoadReported, or by nothing.
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

// Which other hosts the process keeps connections to.
struct ConnectPeers {
  std::vector<HostInfo> hosts;
};

// --- To the platform --------------------------------------------------------

struct ReadTable {
  OperationId operation;
  std::vector<std::string> keys;
};

// Reads up to `limit` rows with keys from `from` on that start with `prefix`.
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

// All writes take effect together, or none.
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
  RequestId request;  // empty if refused before it got one
  RefusalReason reason = RefusalReason::kMalformed;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  std::string detail;
  std::optional<Duration> retry_after;
  std::vector<StageTrace> trace;
};

struct AnswerOperator {
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

// One decision with its inputs, for the log and for `explain`.
struct RecordDecision {
  RequestId request;  // empty if of no single request
  std::string part;
  std::string text;
};

struct FinishStop {};

using Command =
    std::variant<StartBackendCall, CancelBackendCall, PollLoad, SendPeerMessage,
                 ConnectPeers, ReadTable, ScanTable, WriteTable, DeliverToken,
                 DeliverAnswer, DeliverRefusal, AnswerOperator, SetReadiness,
                 RecordDecision, FinishStop>;

}  // namespace lovagecleat::policy
