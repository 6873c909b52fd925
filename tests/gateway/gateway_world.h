#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "platform/platform_wire.h"
#include "services/gateway/gateway.h"
#include "tests/transport/loop_fixture.h"
#include "tests/transport/raw_server.h"

namespace lovagecleat::gateway {

// Rows that a test sets; answers at once.
class FakeRows final : public RowSource {
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

  // What the next calls answer.
  RowsAnswer::Status status = RowsAnswer::Status::kRead;
  std::string failing_table;  // calls for it are not answered well
  int full_reads = 0;
  int follows = 0;

 private:
  RowsAnswer Answer(const std::string& table, std::uint64_t after) const;

  std::map<std::pair<std::string, std::string>, routing::Row> rows_;
  std::uint64_t version_ = 0;
};

// A gateway on a loop of its own, before servers that the test scripts.
class GatewayWorld : public transport::LoopFixture {
 public:
  GatewayWorld();
  ~GatewayWorld();

  void Start();

  // The host stood in the table of hosts before.
  void KnowHost();

  // From now on nothing may be sent a second time.
  void ForbidRetries();

  // Lists a server under the service; the entry is as on the platform.
  void AddServer(const std::string& id, const std::string& service,
                 const std::string& address);

  // Runs the gateway while `client` blocks on sockets in another thread.
  std::string Beside(
      const std::function<std::string(transport::RawClient&)>& client);

  // Sends one request and returns all that comes back.
  std::string Send(const std::string& bytes);

  std::uint16_t callers_port() const;

  FakeRows rows;
  std::unique_ptr<Gateway> gateway;

 private:
  configuration::GatewaySettings settings_;
  platform_adapter::PlatformWire wire_;
  SystemClock clock_;
  logging::EventLog log_;
  http::Poller poller_;
  http::ConnectionPool pool_;
};

// Keeps the requests that reach one scripted server.
class ScriptedServer {
 public:
  // Called with the connection and the request; its return value tells whether
  // to read another one.
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
