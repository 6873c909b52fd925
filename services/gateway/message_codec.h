#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "http/http.h"
#include "routing/routing.h"

namespace lovagecleat::gateway {

// What the header fields of a request tell the gateway.
struct CallerRequest {
  std::string id;  // set by the caller; differs between its attempts
  std::optional<Duration> timeout;            // how long the caller waits
  std::string key;                            // API key; empty if none
  std::optional<std::uint64_t> resume_after;  // ID of the last event received
  // Id of the request that received the first event of the stream that this one
  // resumes; empty if the caller names none.
  std::string resumed_stream;
  routing::Prompt prompt;
  std::vector<std::size_t> stage_items;  // number of items of each stage
  std::string stage_key;                 // sent with items without inputs
  bool is_relayed = false;  // another host has passed the request on
};

// What the gateway adds to a request that it sends to a server.
struct ForwardedCall {
  ServerId server;
  std::string address;
  std::optional<Duration> remaining_time;
  std::string team;
  std::vector<std::string> inputs;  // handles of stage results
  int urgency = 5;                  // 0 is the most urgent, 9 the least
  std::optional<std::uint64_t> resume_after;
};

// A header field that could not be read; its default meaning was used.
struct FieldProblem {
  std::string field;
  std::string value;
  std::string_view expected;
};

// What the head of a server's response tells the gateway.
struct ResponseMetadata {
  std::string request_id;   // of the request; empty if the field is missing
  bool is_not_run = false;  // the server did not run the request
  bool is_wrong_server = false;  // another server now has this address
  bool is_sealed = false;        // the server marked the response as complete
  bool is_encoded = false;       // an encoding was applied after the server
  bool is_leaving = false;       // the server is about to exit
  // Set if the server wants no calls from this host for that time.
  std::optional<Duration> quiet_time;
  // Set if the server limits the requests a second of all hosts together.
  std::optional<double> request_limit;
  bool is_limit_unreadable = false;  // it names one, but not as a number
  std::optional<routing::ReportedLoad> load;
  std::vector<FieldProblem> problems;
};

enum class ItemOutcome {
  kCompleted,
  kDeadlinePassed,  // before the item was run
  kInputLost,       // an input is no longer stored
  kNoResultMemory,  // the server lacks memory for the result
  kFailed,
};

struct BatchResult {
  ItemOutcome outcome = ItemOutcome::kFailed;
  std::string handle;  // of the result; empty without one
};

// A stage server's own report of its load, some hundred milliseconds old.
struct StageServerReport {
  bool is_idle = false;         // no call running or queued
  std::int64_t free_bytes = 0;  // memory for results
};

// Translates between the messages on the wire and the gateway's own types.
// Each platform has its own implementation.
class MessageCodec {
 public:
  virtual ~MessageCodec() = default;

  // Returns nothing if a field is malformed or occurs twice.
  virtual std::optional<CallerRequest> ReadRequest(
      const http::RequestHead& head) const = 0;

  // Returns the request head for a server, with the caller's fields except
  // those that only the system may set.
  virtual std::string WriteRequestHead(const http::RequestHead& head,
                                       const CallerRequest& request,
                                       const ForwardedCall& call,
                                       std::size_t body_bytes) const = 0;

  // Returns the request head for another host that handles the request, with
  // all of the caller's fields.
  virtual std::string WriteRelayedRequest(const http::RequestHead& head,
                                          Duration remaining_time,
                                          std::size_t body_bytes) const = 0;

  virtual ResponseMetadata ReadResponseHead(const http::ResponseHead& head,
                                            TimePoint now) const = 0;

  // WriteBatch and WriteRelease return whole requests: to run a batch of stage
  // items, and to free stage results.
  virtual std::string WriteBatch(const ForwardedCall& call,
                                 std::span<const routing::QueuedItem> items,
                                 TimePoint now) const = 0;
  virtual std::optional<std::vector<BatchResult>> ReadBatchResponse(
      std::string_view body) const = 0;
  virtual std::string WriteRelease(
      const ForwardedCall& call,
      std::span<const std::string> handles) const = 0;

  // Returns a request for a stage server's load, which takes no queue slot
  // there.
  virtual std::string WriteReportRequest(const ForwardedCall& call) const = 0;
  virtual std::optional<StageServerReport> ReadReport(
      std::string_view body) const = 0;

  // Parse rows of the platform's store; nothing if a row is malformed.
  virtual std::optional<routing::RoutingTable> ReadRouting(
      std::string_view value) const = 0;
  virtual std::optional<routing::ServerEntry> ReadServer(
      std::string_view key, std::string_view value) const = 0;
  // Fields that are missing or of another type are left empty.
  virtual std::optional<routing::RolloutOrderFields> ReadRolloutOrder(
      std::string_view value) const = 0;
};

// What a row of the platform's store describes.
struct RowSubject {
  enum class Kind {
    kRouting,
    kEvacuation,
    kServer,
    kHost,
    kContentBlock,
    kRollout,
    kOther
  };
  Kind kind = Kind::kOther;
  std::string name;  // of the zone, server, host, prompt part or service
};

// The row that tells operators the state of an order to roll a version out.
struct RolloutStatusRow {
  // Nothing if there is no row, or none that can be read.
  std::optional<routing::RolloutStatus> status;
  std::optional<routing::RowVersion> version;  // nothing if there is no row
};

struct RolloutStatusResult {
  routing::StatusWriteResult result = routing::StatusWriteResult::kNoResponse;
  routing::RowVersion version;  // of the row if it was written
};

struct RowsResponse {
  enum class Status { kRead, kHistoryGone, kUnavailable };
  Status status = Status::kUnavailable;
  std::vector<routing::Row> rows;
  routing::RowVersion version;  // the store's newest when it was read
};

// Reads and writes tables of the platform's store. Each call runs its callback
// once.
class RowSource {
 public:
  using Callback = std::function<void(RowsResponse)>;
  virtual ~RowSource() = default;

  // The tables to follow, in order: the operators' table, which changes rarely,
  // is first, and the table of hosts is last.
  virtual std::vector<std::string> tables() const = 0;
  virtual RowSubject SubjectOf(const routing::Row& row) const = 0;

  virtual void ReadAll(const std::string& table, Callback callback) = 0;

  // Reads the rows changed after `version`; waits up to `wait` for a change.
  // The response may be of another era than `version`: its rows are then not
  // all that changed.
  virtual void Follow(const std::string& table, routing::RowVersion version,
                      Duration wait, Callback callback) = 0;

  // Writes this host's own row; the callback gets whether the store accepted
  // it.
  virtual void WriteHost(const HostId& host, std::string value,
                         std::function<void(bool)> callback) = 0;

  // Write and remove the row of a prompt part in the table of hosts. The
  // callback gets whether the store accepted the row.
  virtual void WriteContentBlock(const std::string& part, std::string value,
                                 std::function<void(bool)> callback) = 0;
  virtual void RemoveContentBlock(const std::string& part) = 0;

  // Read all rows of the table of stream origins, which hosts do not follow,
  // and write this host's row in it. The callback gets whether the store
  // accepted the row.
  virtual void ReadStreamOrigins(Callback callback) = 0;
  virtual void WriteStreamOrigins(const HostId& host, std::string value,
                                  std::function<void(bool)> callback) = 0;

  // Read and write the state of the service's order. The callback of the first
  // gets nothing if the store did not respond. The second writes only if the
  // versions are those of the rows of the order and of the state.
  virtual void ReadRolloutStatus(
      const ServiceId& service,
      std::function<void(std::optional<RolloutStatusRow>)> callback) = 0;
  virtual void WriteRolloutStatus(
      const routing::RolloutStatusWrite& write,
      std::function<void(RolloutStatusResult)> callback) = 0;

  // Returns the time on the store's steady clock, by its newest response;
  // nothing before the first one.
  virtual std::optional<Duration> StoreTime() const = 0;
};

}  // namespace lovagecleat::gateway
