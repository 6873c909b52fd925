#pragma once

#include <atomic>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "platform/platform_message_codec.h"
#include "services/gateway/gateway.h"
#include "tests/transport/loop_fixture.h"
#include "tests/transport/raw_server.h"

namespace lovagecleat::gateway {

// Serves rows that a test sets. Completes each call before it returns.
class FakeRowSource final : public RowSource {
 public:
  std::vector<std::string> tables() const override {
    return {"op", "servers", "hosts"};
  }
  RowSubject SubjectOf(const routing::Row& row) const override;
  void ReadAll(const std::string& table, Callback callback) override;
  void Follow(const std::string& table, std::uint64_t version, Duration wait,
              Callback callback) override;
  void WriteHost(const HostId& host, std::string value,
                 std::function<void(bool)> callback) override;

  void Set(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);

  // Status of the next calls.
  RowsResponse::Status status = RowsResponse::Status::kRead;
  std::string failing_table;  // calls for this table return kUnavailable
  int full_reads = 0;
  int follows = 0;

 private:
  RowsResponse MakeResponse(const std::string& table,
                            std::uint64_t after) const;

  std::map<std::pair<std::string, std::string>, routing::Row> rows_;
  std::uint64_t version_ = 0;
};

// Runs a gateway on its own loop, with servers scripted by the test.
class GatewayFixture : public transport::LoopFixture {
 public:
  GatewayFixture();
  ~GatewayFixture();

  void Start();

  // Adds this host's row to the hosts table, as after an earlier start.
  void AddOwnHostRow();

  // Sets the retry budget to zero.
  void DisableRetries();

  // Adds a server's row in the platform's format.
  void AddServer(const std::string& id, const std::string& service,
                 const std::string& address);

  // Runs the gateway while `client` runs in another thread, where it may block
  // on sockets. Returns its result.
  std::string RunWithClient(
      const std::function<std::string(transport::RawClient&)>& client);

  // Sends one request and returns all bytes received until the connection ends.
  std::string Send(const std::string& bytes);

  std::uint16_t callers_port() const;

  FakeRowSource rows;
  std::unique_ptr<Gateway> gateway;

 private:
  configuration::GatewaySettings settings_;
  platform_adapter::PlatformMessageCodec codec_;
  SystemClock clock_;
  logging::EventLog log_;
  http::Poller poller_;
  http::ConnectionPool pool_;
};

inline constexpr const char* kSeal = "X-Lovagecleat-Response-Seal: s\r\n";
inline constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nX-Lovagecleat-Request-Id: id1\r\n"
    "X-Lovagecleat-Response-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline constexpr std::string_view kStreamEnd = "0\r\n\r\n";

std::string Join(std::initializer_list<std::string_view> parts);
// Returns `bytes` as one chunk of a chunked body.
std::string Chunk(std::string_view bytes);

// Runs a script for each request to a server, counts the requests and keeps the
// last one.
class ScriptedServer {
 public:
  // Called with the connection and the request; returns whether to read another
  // request.
  using Script =
      std::function<bool(transport::RawConnection&, const std::string&)>;

  explicit ScriptedServer(Script script);
  std::string address() const { return server_.address(); }
  int requests() const { return requests_; }
  std::string last_request();

 private:
  std::atomic<int> requests_ = 0;
  std::mutex mutex_;
  std::string last_request_;
  Script script_;
  transport::RawServer server_;
};

}  // namespace lovagecleat::gateway
