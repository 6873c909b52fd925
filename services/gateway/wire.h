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

// What a caller says of its request beside method, path and body.
struct CallerRequest {
  std::string id;  // the caller's; each of its attempts has another
  std::optional<Duration> patience;           // it waits so long for the answer
  std::string key;                            // names the team; empty: none
  std::optional<std::uint64_t> resume_after;  // the last event it has
  routing::PromptShape prompt;
  std::vector<std::size_t> stage_items;  // items of each stage
  std::string stage_key;                 // for items without inputs
};

// What is added to a request for the server that it is sent to.
struct ForwardedCall {
  ServerId server;
  std::string address;
  std::optional<Duration> time_left;
  std::string team;
  std::vector<std::string> inputs;  // results of the request's stages
  int urgency = 5;                  // 0 goes first, 9 last
  std::optional<std::uint64_t> resume_after;
};

// What a server says with a response.
struct ServerAnswer {
  std::string request_id;        // of the request it answers; empty: not told
  bool is_not_run = false;       // the server did not run the request
  bool is_other_server = false;  // the address has another server now
  bool is_sealed = false;        // vouches for a whole body
  bool is_encoded = false;       // the body is not the server's own
  std::optional<routing::ReportedLoad> load;
};

enum class ItemOutcome {
  kMade,
  kLate,       // its time was over before its turn
  kInputLost,  // an input is no longer there
  kNoRoom,     // no room for its result
  kFailed,
};

struct BatchResult {
  ItemOutcome outcome = ItemOutcome::kFailed;
  std::string handle;  // of the result, if made
};

// What a stage server says of itself, some hundred milliseconds old.
struct StageServerReport {
  bool is_idle = false;         // no call at work, none waiting
  std::int64_t free_bytes = 0;  // room for results
};

// Translates between the messages on the wire and the gateway's own types.
// Implemented once for each platform.
class Wire {
 public:
  virtual ~Wire() = default;

  // Nothing if a field cannot be read or stands twice.
  virtual std::optional<CallerRequest> ReadRequest(
      const http::RequestHead& head) const = 0;

  // The whole request head for a server, with the caller's own fields except
  // those that only the system may set.
  virtual std::string WriteRequestHead(const http::RequestHead& head,
                                       const CallerRequest& request,
                                       const ForwardedCall& call,
                                       std::size_t body_bytes) const = 0;

  virtual ServerAnswer ReadAnswer(const http::ResponseHead& head,
                                  TimePoint now) const = 0;

  // Whole requests for batched stage calls, and to give results up.
  virtual std::string WriteBatch(const ForwardedCall& call,
                                 std::span<const routing::WaitingItem> items,
                                 TimePoint now) const = 0;
  virtual std::optional<std::vector<BatchResult>> ReadBatch(
      std::string_view body) const = 0;
  virtual std::string WriteRelease(
      const ForwardedCall& call,
      std::span<const std::string> handles) const = 0;

  // A question to a stage server that takes no place there.
  virtual std::string WriteReportQuestion(const ForwardedCall& call) const = 0;
  virtual std::optional<StageServerReport> ReadReport(
      std::string_view body) const = 0;

  // Rows of the platform's store.
  virtual std::optional<routing::RoutingTable> ReadRouting(
      std::string_view value) const = 0;
  virtual std::optional<routing::ServerEntry> ReadServer(
      std::string_view key, std::string_view value) const = 0;
};

// What a row of the platform's store is about.
struct RowSubject {
  enum class Kind { kRouting, kEvacuation, kServer, kHost, kOther };
  Kind kind = Kind::kOther;
  std::string name;  // of the zone, server or host
};

struct RowsAnswer {
  enum class Status { kRead, kHistoryGone, kUnavailable };
  Status status = Status::kUnavailable;
  std::vector<routing::Row> rows;
  std::uint64_t version = 0;  // the store's newest at the time of reading
};

// Tables of rows at the platform's store. Each call answers once.
class RowSource {
 public:
  using Callback = std::function<void(RowsAnswer)>;
  virtual ~RowSource() = default;

  // The tables to follow: the operators', which changes rarely, first, and the
  // one of hosts last.
  virtual std::vector<std::string> tables() const = 0;
  virtual RowSubject SubjectOf(const routing::Row& row) const = 0;

  virtual void ReadAll(const std::string& table, Callback callback) = 0;

  // Rows changed after `version`; waits up to `wait` for one.
  virtual void Follow(const std::string& table, std::uint64_t version,
                      Duration wait, Callback callback) = 0;

  // Writes this host's own row; true if the store took it.
  virtual void WriteHost(const HostId& host, std::string value,
                         std::function<void(bool)> callback) = 0;
};

}  // namespace lovagecleat::gateway
