#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "messages/messages.h"
#include "policy/types.h"

// The events that the process of an entry host passes to its core.
namespace lovagecleat::policy {

enum class Delivery { kSingleResponse, kStream };

// --- From callers -----------------------------------------------------------

struct CallerRequestArrived {
  CallId call;
  ClassId request_class;
  TeamId team;
  std::string idempotency_key;       // empty if none
  std::string input;                 // JSON text
  std::optional<Duration> deadline;  // from arrival; limits the class's target
  Delivery delivery = Delivery::kSingleResponse;
};

struct CallerDisconnected {
  CallId call;
};

// --- From backend servers ---------------------------------------------------

struct BackendToken {
  AttemptId attempt;
  std::uint64_t offset = 0;
  std::string text;
};

struct BackendFinished {
  AttemptId attempt;
  AttemptOutcome outcome = AttemptOutcome::kOk;
  std::string output;  // JSON text if kOk
  std::optional<ServerReport> report;
};

struct LoadReported {
  ServerId server;
  ServerReport report;
};

// --- From other entry hosts -------------------------------------------------

struct PeerMessageArrived {
  messages::PeerMessage message;
};

// --- From the platform ------------------------------------------------------

struct InventoryArrived {
  Inventory inventory;
};

// One row of the table. Version 0 means that the row does not exist.
struct TableRow {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
};

enum class TableOutcome {
  kOk,
  kConflict,     // nothing was written; `rows` holds the current rows
  kUnavailable,  // known not to have been carried out
  kUnknown,      // no answer: a write may take effect, or have done so
};

struct TableAnswered {
  OperationId operation;
  TableOutcome outcome = TableOutcome::kOk;
  std::vector<TableRow> rows;
};

// --- From operators ---------------------------------------------------------

struct OperatorChangeSubmitted {
  CallId call;
  std::string change_id;  // chosen by the operator's tool, unique
  std::string operator_name;
  std::uint64_t expected_revision = 0;
  configuration::Change change;
};

enum class OperatorQueryKind { kStatus, kConfiguration, kAudit, kExplain };

struct OperatorQueryArrived {
  CallId call;
  OperatorQueryKind kind = OperatorQueryKind::kStatus;
  std::string argument;  // kExplain: the request; kAudit: the last revision
};

// --- From this process ------------------------------------------------------

struct WakeUp {};

struct StopRequested {};

using Event =
    std::variant<CallerRequestArrived, CallerDisconnected, BackendToken,
                 BackendFinished, LoadReported, PeerMessageArrived,
                 InventoryArrived, TableAnswered, OperatorChangeSubmitted,
                 OperatorQueryArrived, WakeUp, StopRequested>;

}  // namespace lovagecleat::policy
