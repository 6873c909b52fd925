#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"
#include "memory/memory.h"
#include "transport/loop.h"
#include "transport/server_sent_events.h"

namespace lovagecleat::transport {

// One HTTP exchange on the server side. Valid as long as a shared pointer to it
// exists; after the client has disconnected, responding has no effect.
class HttpServerCall {
 public:
  virtual ~HttpServerCall() = default;

  virtual const std::string& method() const = 0;
  virtual const std::string& path() const = 0;
  virtual const std::string& body() const = 0;
  // Returns an empty string for a missing field; `name` is in lower case.
  virtual std::string Header(std::string_view name) const = 0;
  virtual std::string QueryParameter(std::string_view name) const = 0;
  // Returns the number of the connection, equal for all calls on it.
  virtual std::uint64_t connection() const = 0;

  // Sends a complete response. At most once, and not after StartStream.
  virtual void Respond(int status, std::string_view content_type,
                       std::string_view body,
                       const std::map<std::string, std::string>& headers) = 0;

  // Starts a text/event-stream response.
  virtual void StartStream(
      const std::map<std::string, std::string>& headers) = 0;
  virtual void WriteEvent(const ServerSentEvent& event) = 0;
  virtual void EndStream() = 0;

  // Closes the connection without a response (fault injection).
  virtual void Abort() = 0;

  // Runs `callback` once if the client disconnects before the response is
  // complete.
  virtual void OnDisconnected(std::function<void()> callback) = 0;
};

struct HttpServerLimits {
  std::size_t maximum_body_bytes = std::size_t{256} * 1024;   // more: 413
  std::size_t maximum_header_bytes = std::size_t{16} * 1024;  // more: 431
  std::size_t maximum_open_calls = 4000;  // more: 503 with Retry-After
  // Beyond this, one without a call is closed; 0: no limit.
  std::size_t maximum_connections = 0;
  memory::AccountLimits memory = {};  // of all requests together
};

enum class ListenError { kNone, kNotAnIpAddress, kAddressInUse, kOther };

class HttpServer {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpServerCall>)>;

  HttpServer(Loop& loop, const HttpServerLimits& limits);
  ~HttpServer();

  // Adds a handler for calls to `path`. Unknown paths get 404, other methods of
  // a known path 405. A path that ends in '*' matches every path with that
  // prefix.
  void Route(std::string_view method, std::string_view path, Handler handler);

  // Listens on an IP address; port 0 selects any free port. Returns the port,
  // or nothing on failure; see last_error().
  std::optional<std::uint16_t> Listen(std::string_view address,
                                      std::uint16_t port);
  // Stops accepting connections; open calls continue.
  void StopListening();

  ListenError last_error() const;
  std::size_t open_calls() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::transport
