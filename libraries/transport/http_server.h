#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"
#include "transport/loop.h"
#include "transport/server_sent_events.h"

namespace lovagecleat::transport {

// One HTTP exchange at a server. It stays valid while a copy of the shared
// pointer lives; calls after the peer has gone do nothing.
class HttpServerCall {
 public:
  virtual ~HttpServerCall() = default;

  virtual const std::string& method() const = 0;
  virtual const std::string& path() const = 0;
  virtual const std::string& body() const = 0;
  // Empty where there is none; `name` in lower case.
  virtual std::string Header(std::string_view name) const = 0;
  virtual std::string QueryParameter(std::string_view name) const = 0;
  // Equal for calls that come on one connection.
  virtual std::uint64_t connection() const = 0;

  // Sends a whole answer. Once at most, and not after StartStream.
  virtual void Respond(int status, std::string_view content_type,
                       std::string_view body,
                       const std::map<std::string, std::string>& headers) = 0;

  // Starts a text/event-stream answer.
  virtual void StartStream(
      const std::map<std::string, std::string>& headers) = 0;
  virtual void WriteEvent(const ServerSentEvent& event) = 0;
  virtual void EndStream() = 0;

  // Breaks the connection off without an answer (fault injection).
  virtual void Abort() = 0;

  // Called once if the peer goes before the answer is complete.
  virtual void OnDisconnected(std::function<void()> callback) = 0;
};

struct HttpServerLimits {
  std::size_t maximum_body_bytes = std::size_t{256} * 1024;   // more: 413
  std::size_t maximum_header_bytes = std::size_t{16} * 1024;  // more: 431
  std::size_t maximum_open_calls = 4000;  // more: 503 with Retry-After
};

enum class ListenError { kNone, kNotAnIpNumber, kAddressInUse, kOther };

class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpServerCall>)>;

  HttpServer(Loop& loop, const HttpServerLimits& limits);
  ~HttpServer();

  // Handles calls whose path is `path`; all others get 404, and other methods
  // of a known path 405. A path that ends in '*' takes all that start so.
  void Route(std::string_view method, std::string_view path, Handler handler);

  // Port 0 takes any free port; returns the port. See last_error().
  std::optional<std::uint16_t> Listen(std::string_view address,
                                      std::uint16_t port);
  // Accepts no new connections; open calls go on.
  void StopListening();

  ListenError last_error() const;
  std::size_t open_calls() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::transport
