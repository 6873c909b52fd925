#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "transport/loop.h"
#include "transport/server_sent_events.h"

namespace lovagecleat::transport {

using HttpCallId = NumberId<struct HttpCallIdTag>;

enum class HttpFailure {
  kNone,
  kNotConnected,    // no byte of the request was sent
  kSendWindowOver,  // `send_before` had passed; no byte was sent
  kConnectionLost,  // sent, at least in part; broke before the end
  kNoProgress,      // sent; nothing came for the bound
  kDeadlineReached,
  kCancelled,
  kTooLarge,   // the answer exceeds `maximum_body_bytes`
  kMalformed,  // not HTTP, or not server-sent events where those were due
};

// Whether an open connection may be used again.
enum class ConnectionChoice { kAny, kFresh };

struct HttpRequest {
  std::string method = "POST";
  std::string address;  // "127.0.0.1:8101", an IP number
  std::string path = "/";
  std::map<std::string, std::string> headers;
  std::string body;
  ConnectionChoice connection = ConnectionChoice::kAny;
  Duration first_byte_timeout = std::chrono::seconds(5);
  Duration progress_timeout = std::chrono::seconds(5);
  std::optional<TimePoint> send_before;
  std::optional<TimePoint> deadline;
  std::size_t maximum_body_bytes = std::size_t{4} * 1024 * 1024;
};

struct HttpResponse {
  HttpFailure failure = HttpFailure::kNone;
  int status = 0;                              // 0 if there was no answer
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;                            // empty for event streams
};

// HTTP calls on the loop. Conditional writes and non-idempotent calls go by
// POST, which the library never sends twice (tests/transport). libsoup takes an
// answer in chunks that breaks off between two chunks for whole, so formats
// mark their own end: a stream its last event, JSON its last brace.
class HttpClient {
 public:
  using EventCallback = std::function<void(const ServerSentEvent&)>;
  using FinishedCallback = std::function<void(const HttpResponse&)>;

  explicit HttpClient(Loop& loop);
  ~HttpClient();

  // `on_finished` runs exactly once, never before Start returns. `on_event`
  // runs for each event of a text/event-stream answer, before it.
  HttpCallId Start(HttpRequest request, FinishedCallback on_finished,
                   EventCallback on_event = nullptr);

  // Ends the call with kCancelled and closes its connection.
  void Cancel(HttpCallId call);

  const Clock& clock() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::transport
