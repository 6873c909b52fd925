#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "http/message.h"
#include "http/parser.h"
#include "http/poller.h"

namespace lovagecleat::http {

enum class CallFailure {
  kNotConnected,  // nothing was sent
  kBroken,        // the connection ended before the response did
  kGarbled,       // the response was not HTTP, or answered something else
};

struct CallEnd {
  CallFailure failure = CallFailure::kBroken;
  // The connection had carried a call before, and broke before any response:
  // the server may have closed it just when the request was sent.
  bool was_reused = false;
};

// Told of one call's response. The call may be destroyed from within.
class CallObserver {
 public:
  virtual ~CallObserver() = default;
  // False for a response to some other request; it is skipped.
  virtual bool IsOwnResponse(const ResponseHead& /*head*/) { return true; }
  virtual void OnResponseHead(const ResponseHead& head) = 0;
  virtual void OnResponseBody(std::string_view bytes) = 0;
  virtual void OnResponseComplete() = 0;
  virtual void OnCallFailed(CallEnd end) = 0;
};

// One request on its way; destroying it closes its connection.
class Call {
 public:
  virtual ~Call() = default;
  // Whether a connection was there, so that the server may have the request.
  virtual bool was_sent() const = 0;
};

enum class Reuse {
  kAny,     // any idle connection
  kRecent,  // only one that was in use a moment ago
};

// The two ends of the server that a call goes to.
struct CallTarget {
  std::string server;   // names the incarnation; connections are kept by it
  std::string address;  // "IP:PORT"
};

// Calls to servers over kept connections, one request at a time on each.
class ConnectionPool {
 public:
  explicit ConnectionPool(Poller& poller);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // `bytes` is a whole request. It is never sent twice.
  std::unique_ptr<Call> Start(const CallTarget& target, std::string_view bytes,
                              Reuse reuse, CallObserver& observer);

  // Closes the idle connections to a server.
  void Drop(const std::string& server);

  std::uint64_t opened() const { return opened_; }
  std::size_t idle() const;

 private:
  class Connection;
  class PooledCall;
  struct IdleConnection {
    std::unique_ptr<Connection> connection;
    TimePoint since;
    TimePoint until;
  };
  void KeepIdle(std::unique_ptr<Connection> connection, Duration keep);
  void ForgetIdle(Connection* connection);
  std::unique_ptr<Connection> TakeIdle(const std::string& server, Reuse reuse);

  Poller& poller_;
  std::uint64_t opened_ = 0;
  std::map<std::string, std::vector<IdleConnection>> idle_;
};

}  // namespace lovagecleat::http
