#pragma once

#include <atomic>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
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
  void Follow(const std::string& table, routing::RowVersion version,
              Duration wait, Callback callback) override;
  void WriteHost(const HostId& host, std::string value,
                 std::function<void(bool)> callback) override;
  void WriteContentBlock(const std::string& part, std::string value,
                         std::function<void(bool)> callback) override;
  void RemoveContentBlock(const std::string& part) override;
  void ReadStreamOrigins(Callback callback) override;
  void WriteStreamOrigins(const HostId& host, std::string value,
                          std::function<void(bool)> callback) override;
  void ReadRolloutStatus(
      const ServiceId& service,
      std::function<void(std::optional<RolloutStatusRow>)> callback) override;
  void WriteRolloutStatus(
      const routing::RolloutStatusWrite& write,
      std::function<void(RolloutStatusResult)> callback) override;
  std::optional<Duration> StoreTime() const override;

  void Set(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);

  // The content of the store at some time.
  struct Copy {
    std::map<std::pair<std::string, std::string>, routing::Row> rows;
    std::uint64_t version = 0;
  };
  Copy Save() const { return {rows_, version_}; }
  // Returns to an older copy, in a new era.
  void Restore(const Copy& copy);

  const routing::Row* Find(const std::string& table,
                           const std::string& key) const;
  routing::RowVersion newest_version() const { return {era_, version_}; }

  // Status of the next calls.
  RowsResponse::Status status = RowsResponse::Status::kRead;
  std::string failing_table;  // calls for this table return kUnavailable
  int full_reads = 0;
  int follows = 0;
  int host_writes = 0;
  int content_block_writes = 0;
  int stream_origin_reads = 0;
  int stream_origin_writes = 0;
  bool stores_content_blocks = true;  // whether they are accepted
  std::map<ServiceId, RolloutStatusRow> rollout_statuses;
  std::vector<routing::RolloutStatus> rollout_writes;  // that were accepted
  int rollout_conflicts = 0;
  int rollout_reads = 0;
  bool stores_hosts = false;  // whether WriteHost changes the hosts table

 private:
  RowsResponse MakeResponse(const std::string& table,
                            std::uint64_t after) const;

  std::map<std::pair<std::string, std::string>, routing::Row> rows_;
  std::uint64_t era_ = 0;
  std::uint64_t version_ = 0;
};

// The rows as one host reads them.
class HostRowSource final : public RowSource {
 public:
  // Returns the value of a server's row for that host.
  using Edit = std::function<std::string(std::size_t host, std::string value)>;

  HostRowSource(FakeRowSource& rows, const Edit& edit, std::size_t host)
      : rows_(rows), edit_(edit), host_(host) {}

  std::vector<std::string> tables() const override { return rows_.tables(); }
  RowSubject SubjectOf(const routing::Row& row) const override {
    return rows_.SubjectOf(row);
  }
  void ReadAll(const std::string& table, Callback callback) override;
  void Follow(const std::string& table, routing::RowVersion version,
              Duration wait, Callback callback) override;
  void WriteHost(const HostId& host, std::string value,
                 std::function<void(bool)> callback) override {
    rows_.WriteHost(host, std::move(value), std::move(callback));
  }
  void WriteContentBlock(const std::string& content, std::string value,
                         std::function<void(bool)> callback) override {
    rows_.WriteContentBlock(content, std::move(value), std::move(callback));
  }
  void RemoveContentBlock(const std::string& content) override {
    rows_.RemoveContentBlock(content);
  }
  void ReadStreamOrigins(Callback callback) override {
    rows_.ReadStreamOrigins(std::move(callback));
  }
  void WriteStreamOrigins(const HostId& host, std::string value,
                          std::function<void(bool)> callback) override {
    rows_.WriteStreamOrigins(host, std::move(value), std::move(callback));
  }
  void ReadRolloutStatus(
      const ServiceId& service,
      std::function<void(std::optional<RolloutStatusRow>)> callback) override {
    rows_.ReadRolloutStatus(service, std::move(callback));
  }
  void WriteRolloutStatus(
      const routing::RolloutStatusWrite& write,
      std::function<void(RolloutStatusResult)> callback) override {
    rows_.WriteRolloutStatus(write, std::move(callback));
  }
  std::optional<Duration> StoreTime() const override {
    return rows_.StoreTime();
  }

 private:
  Callback Edited(const std::string& table, Callback callback) const;

  FakeRowSource& rows_;
  const Edit& edit_;
  std::size_t host_;
};

// Runs one or several gateways on one loop, with servers scripted by the test.
// The gateways share `rows` as their store; the first one is number 0.
class GatewayFixture : public transport::LoopFixture {
 public:
  GatewayFixture();
  ~GatewayFixture();

  // Starts the first gateway.
  void Start();

  // Adds gateways until there are `count`, each with its own host, addresses
  // and row in the hosts table, starts the new ones and waits until all are
  // ready and had time to connect to each other.
  void StartHosts(std::size_t count);

  // Sets the bounds on versions that are rolled out, for hosts that exist.
  void SetExposure(const configuration::ExposureLimits& exposure);

  // Turns the decision on room on, for hosts that exist.
  void SetRoom(const configuration::RoomSettings& room);

  // Destroys a gateway with its connections, as if its process were killed. Its
  // row in the hosts table stays.
  void KillHost(std::size_t number);

  // Ends all hosts as KillHost does and starts as many with the same names,
  // after `downtime`.
  void RestartHosts(Duration downtime);

  // Adds the first host's row to the hosts table, as after an earlier start.
  void AddOwnHostRow();

  // Sets the retry budget to zero.
  void DisableRetries();

  // Adds a server's row in the platform's format. `version` is that of the
  // server's software.
  void AddServer(const std::string& id, const std::string& service,
                 const std::string& address, const std::string& version = "v1");

  // Runs the loop for that time.
  void RunFor(Duration time);

  // Runs the gateways while `client`, which is connected to one of them, runs
  // in another thread, where it may block on sockets. Returns its result.
  std::string RunWithClient(
      const std::function<std::string(transport::RawClient&)>& client,
      std::size_t host = 0);

  // Sends one request and returns all bytes received until the connection ends.
  std::string Send(const std::string& bytes, std::size_t host = 0);

  std::uint16_t callers_port(std::size_t host = 0) const;

  // Returns the log lines that a gateway has written.
  std::string LogText(std::size_t host = 0);

  FakeRowSource rows;
  // Zones other than "z" of hosts that StartHosts adds, by number.
  std::map<std::size_t, std::string> host_zones;
  // Set it before hosts start if they reach servers at addresses of their own.
  HostRowSource::Edit edit_server_row;
  Gateway* gateway = nullptr;  // the first one; null once killed

 private:
  // What one gateway process has for itself.
  struct Host {
    Host(GatewayFixture& fixture, const std::string& name, std::size_t number);
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    int log_file;
    configuration::GatewaySettings settings;
    logging::EventLog log;
    HostRowSource rows;
    http::ConnectionPool pool;
    std::unique_ptr<Gateway> gateway;
  };

  void AddHostRow(const Host& host);

  platform_adapter::PlatformMessageCodec codec_;
  SystemClock clock_;
  http::Poller poller_;
  std::vector<std::unique_ptr<Host>> hosts_;  // null once killed
  std::size_t started_hosts_ = 0;             // by StartHosts
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
  transport::RawServer& server() { return server_; }
  int requests() const { return requests_; }
  int connections() const { return connections_; }
  std::string last_request();

 private:
  std::atomic<int> requests_ = 0;
  std::atomic<int> connections_ = 0;
  std::mutex mutex_;
  std::string last_request_;
  Script script_;
  transport::RawServer server_;
};

}  // namespace lovagecleat::gateway
