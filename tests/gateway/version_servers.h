#pragma once

#include <atomic>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

#include "tests/gateway/gateway_fixture.h"

namespace lovagecleat::gateway {

inline constexpr std::string_view kLastEventName = "Last-Event-Id: ";
inline constexpr std::string_view kRequestIdName = "X-Lovagecleat-Request-Id: ";

// Returns the value of a header field, empty if it is missing.
std::string FieldOf(const std::string& request, std::string_view name);

// Returns a request for a stream or a safe request, by its path, of a client
// that waits for five seconds.
std::string MakeRequest(const std::string& path, const std::string& id,
                        const std::string& extra = "");

// Returns the request of a client that takes a stream up after event `last`.
// `begun_by` is the id of the attempt that brought the first event.
std::string TakeUp(const std::string& id, const std::string& begun_by,
                   int last = 1);

// A server whose events name its version. A stream has three events.
class VersionServer {
 public:
  // What the server does after the first event that it sends in a response.
  enum class After { kContinue, kBreak, kWaitForClose };

  VersionServer(std::string version, After after_begin,
                After after_take_up = After::kContinue);

  const std::string& version() const { return version_; }
  std::string address() const { return server_.address(); }
  int begun() const { return begun_; }
  int taken_up() const { return taken_up_; }
  int requests() const { return server_.requests(); }
  std::string last_request() { return server_.last_request(); }

 private:
  bool Serve(transport::RawConnection& connection, const std::string& request);
  std::string MakeEvent(int number) const;

  std::string version_;
  After after_begin_;
  After after_take_up_;
  std::atomic<int> begun_ = 0;
  std::atomic<int> taken_up_ = 0;
  ScriptedServer server_;
};

// Checks that the response is a whole stream with events of that version only.
void CheckWholeStream(const std::string& response, const std::string& version);

// Runs gateways and servers of several versions, mostly of the service "plain".
class StreamVersionsFixture : public GatewayFixture {
 public:
  using After = VersionServer::After;

  // Adds a server, with the id "sN" in order.
  VersionServer& Add(const std::string& version, After after_begin,
                     After after_take_up = After::kContinue,
                     const std::string& service = "plain");

  // Starts hosts with that configuration.
  void StartWith(std::size_t hosts, const char* routing);

  // Sends the request and runs the loop until event `number` has reached the
  // client; the connection stays open. Returns the event's version.
  std::string ReadUntilEvent(const transport::RawClient& client,
                             const std::string& request, int number = 1);

  // Begins a stream at a host and closes the client's connection after the
  // first event. Returns the version that began the stream.
  std::string BeginAndClose(const std::string& id, std::size_t host = 0);

  // Returns how many streams were taken up at all servers.
  int taken_up() const;

  // Checks that the request is refused at once and reaches no server.
  void RequireRefused(const std::string& request, std::size_t host = 0);

  std::deque<VersionServer> servers;
};

}  // namespace lovagecleat::gateway
