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
  kNotConnected,       // no byte of the request was sent
  kSendWindowExpired,  // `send_before` had passed; no byte was sent
  kConnectionLost,     // sent at least in part; lost before the response ended
  kNoProgress,         // sent; no byte received within the timeout
  kDeadlineReached,
  kCancelled,
  kTooLarge,  // the response body or an event exceeds `maximum_body_bytes`
  kInvalidResponse,  // the response is not valid HTTP
};

// Whether an idle connection may be reused; kFresh opens a new one.
enum class ConnectionChoice { kAny, kFresh };

struct HttpRequest {
  std::string method = "POST";
  std::string address;  // IP address and port: "127.0.0.1:8101"
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
  int status = 0;                              // 0 without a response
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;                            // empty for event streams
};

// Asynchronous HTTP client on the loop. Use POST for conditional writes and
// non-idempotent calls: libsoup never sends a POST twice, but may repeat other
// methods (tests/transport). libsoup reports a chunked response that breaks off
// between two chunks as complete, so each format must mark its own end: a
// stream by its last event, JSON by its closing brace.
class HttpClient {
 public:
  using EventCallback = std::function<void(const ServerSentEvent&)>;
  using FinishedCallback = std::function<void(const HttpResponse&)>;

  explicit HttpClient(Loop& loop);
  ~HttpClient();

  // Runs `on_finished` exactly once, never before Start returns. Runs
  // `on_event` for each event of a text/event-stream response, before
  // `on_finished`.
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
