#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"
#include "http/message.h"
#include "http/parser.h"
#include "http/poller.h"
#include "http/tcp_stream.h"
#include "memory/memory.h"

namespace lovagecleat::http {

// Limits the size of requests, the time a client may take, and the number of
// connections.
struct ServerLimits {
  MessageLimits message;
  Duration head_timeout =
      std::chrono::seconds(3);  // first byte to complete head
  Duration idle_timeout =
      std::chrono::seconds(15);  // between requests, in a body
  // Beyond this, a new connection displaces the one that has been idle for
  // longest, or is closed.
  std::size_t connections = 3000;
};

// Receives the event that the client of an exchange closed its connection. The
// exchange is destroyed after the call.
class ExchangeObserver {
 public:
  virtual ~ExchangeObserver() = default;
  virtual void OnClientDisconnected() = 0;
};

class ServerConnection;

// A complete request and the response to it. It ends with Respond,
// FinishResponse, Abort or OnClientDisconnected and must not be used after
// that.
class Exchange {
 public:
  Exchange(ServerConnection& connection, RequestHead head, std::string body,
           TimePoint arrived_at)
      : connection_(connection),
        head_(std::move(head)),
        body_(std::move(body)),
        arrived_at_(arrived_at) {}

  const RequestHead& head() const { return head_; }
  const std::string& body() const { return body_; }
  TimePoint arrived_at() const { return arrived_at_; }  // of the first byte

  void SetObserver(ExchangeObserver* observer) { observer_ = observer; }
  ExchangeObserver* observer() const { return observer_; }

  // Sends a complete response.
  void Respond(int status, const HeaderFields& fields, std::string_view body);

  // Send a response in parts, with chunked coding if no length is given.
  void BeginResponse(int status, const HeaderFields& fields,
                     std::optional<std::uint64_t> length);
  void SendBody(std::string_view bytes);
  void FinishResponse();

  // Resets the connection, so that the client cannot take an incomplete
  // response for a complete one.
  void Abort();

  bool has_begun() const { return has_begun_; }

 private:
  friend class ServerConnection;
  ServerConnection& connection_;
  RequestHead head_;
  std::string body_;
  TimePoint arrived_at_;
  ExchangeObserver* observer_ = nullptr;
  bool has_begun_ = false;
  BodyFraming framing_ = BodyFraming::kNone;
};

class ExchangeHandler {
 public:
  virtual ~ExchangeHandler() = default;
  virtual void OnExchange(Exchange& exchange) = 0;
};

// Serves HTTP/1.1 on one address, one request at a time on each connection,
// with strict framing and within ServerLimits.
class Server {
 public:
  Server(Poller& poller, ExchangeHandler& handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Listen(std::string_view address);
  void SetLimits(const ServerLimits& limits) { limits_ = limits; }
  const ServerLimits& limits() const { return limits_; }

  // Adds "Connection: close" to every response from now on.
  void StartDraining() { is_draining_ = true; }

  // Stops accepting connections; open ones stay open.
  void StopListening() { listener_.reset(); }

  // Closes the connections on which no request is being read or served.
  void CloseIdleConnections();

  // Returns whether bytes of responses wait for clients to read.
  bool HasUnsentBytes() const;

  std::size_t connections() const { return connections_.size(); }
  std::size_t active_exchanges() const { return active_exchanges_; }
  std::uint16_t port() const;

  // Returns the number of requests that the server itself rejected, by status:
  // 400, 408, 413, 431 and 503.
  const std::map<int, std::uint64_t>& rejections() const { return rejections_; }
  // Returns the number of connections closed to accept others, and of those
  // closed at once since there was none to displace.
  std::uint64_t displaced_connections() const { return displaced_; }
  std::uint64_t rejected_connections() const { return rejected_; }

 private:
  friend class ServerConnection;
  void Accept(int descriptor);
  bool DisplaceConnection(TimePoint now);
  void Remove(ServerConnection* connection);
  void Sweep();

  Poller& poller_;
  ExchangeHandler& handler_;
  ServerLimits limits_;
  std::unique_ptr<TcpListener> listener_;
  std::map<ServerConnection*, std::unique_ptr<ServerConnection>> connections_;
  std::size_t active_exchanges_ = 0;
  bool is_draining_ = false;
  std::map<int, std::uint64_t> rejections_;
  std::uint64_t displaced_ = 0;
  std::uint64_t rejected_ = 0;
  // No connection can be displaced before.
  TimePoint displace_after_{};
  TimerId sweep_timer_;
};

}  // namespace lovagecleat::http
