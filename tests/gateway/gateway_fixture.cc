#include "tests/gateway/gateway_fixture.h"

#include <fcntl.h>

#include <cstdio>
#include <utility>

namespace lovagecleat::gateway {

namespace {

// Discards the log lines.
int OpenNull() { return open("/dev/null", O_WRONLY | O_CLOEXEC); }

}  // namespace

RowSubject FakeRowSource::SubjectOf(const routing::Row& row) const {
  if (row.table == "servers") return {RowSubject::Kind::kServer, row.key};
  if (row.table == "hosts") return {RowSubject::Kind::kHost, row.key};
  if (row.key == "config") return {RowSubject::Kind::kRouting, row.key};
  if (row.key.starts_with("evacuate/"))
    return {RowSubject::Kind::kEvacuation, row.key.substr(9)};
  return {};
}

RowsResponse FakeRowSource::MakeResponse(const std::string& table,
                                         std::uint64_t after) const {
  RowsResponse response;
  response.status =
      table == failing_table ? RowsResponse::Status::kUnavailable : status;
  response.version = version_;
  for (const auto& [key, row] : rows_)
    if (row.table == table && row.version > after) response.rows.push_back(row);
  return response;
}

void FakeRowSource::ReadAll(const std::string& table, Callback callback) {
  ++full_reads;
  RowsResponse response = MakeResponse(table, 0);
  std::erase_if(response.rows,
                [](const routing::Row& row) { return row.is_removed; });
  callback(std::move(response));
}

void FakeRowSource::Follow(const std::string& table, std::uint64_t version,
                           Duration /*wait*/, Callback callback) {
  ++follows;
  callback(MakeResponse(table, version));
}

void FakeRowSource::WriteHost(const HostId& /*host*/, std::string /*value*/,
                              std::function<void(bool)> callback) {
  callback(true);
}

void FakeRowSource::Set(const std::string& table, const std::string& key,
                        const std::string& value) {
  rows_[{table, key}] = {table, key, value, ++version_, false};
}

void FakeRowSource::Remove(const std::string& table, const std::string& key) {
  rows_[{table, key}] = {table, key, "", ++version_, true};
}

GatewayFixture::GatewayFixture()
    : log_(clock_, "host", OpenNull()), poller_(loop()), pool_(poller_) {
  settings_.host = HostId("host");
  settings_.zone = ZoneId("z");
  const auto address = [] {
    return "127.0.0.1:" + std::to_string(transport::UnusedPort());
  };
  settings_.callers = address();
  settings_.readiness = address();
  settings_.peers = address();
  settings_.store = address();
  settings_.limits.shutdown_timeout = std::chrono::seconds(4);
  gateway = std::make_unique<Gateway>(loop(), codec_, rows, settings_, poller_,
                                      pool_, log_);
}

GatewayFixture::~GatewayFixture() = default;

void GatewayFixture::Start() {
  REQUIRE(gateway->Start() == Gateway::StartError::kNone);
}

void GatewayFixture::AddOwnHostRow() {
  rows.Set("hosts", settings_.host.value(),
           R"({"peers":")" + settings_.peers + R"(","zone":"z"})");
}

void GatewayFixture::DisableRetries() {
  settings_.limits.retry_ratio = 0;
  settings_.limits.retry_slack = 0;
  gateway->Reload(settings_);
}

void GatewayFixture::AddServer(const std::string& id,
                               const std::string& service,
                               const std::string& address) {
  rows.Set("servers", id,
           R"({"service":")" + service + R"(","address":")" + address +
               R"(","zone":"z","state":"ready","slots":4,"seq":1})");
}

std::uint16_t GatewayFixture::callers_port() const {
  return configuration::ParseEndpoint(settings_.callers)->port;
}

std::string GatewayFixture::RunWithClient(
    const std::function<std::string(transport::RawClient&)>& client) {
  std::atomic<bool> is_done = false;
  std::string text;
  std::thread thread([&] {
    transport::RawClient raw(callers_port());
    text = client(raw);
    is_done = true;
  });
  // A stopping gateway quits the loop before the client is done.
  while (!is_done) RunUntil([&] { return is_done.load(); });
  thread.join();
  return text;
}

std::string GatewayFixture::Send(const std::string& bytes) {
  return RunWithClient([&](transport::RawClient& raw) {
    raw.Write(bytes);
    return raw.ReadToEnd();
  });
}

std::string Join(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts) text.append(part);
  return text;
}

std::string Chunk(std::string_view bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return Join({size, bytes, "\r\n"});
}

ScriptedServer::ScriptedServer(Script script)
    : script_(std::move(script)),
      server_([this](transport::RawConnection& connection) {
        while (const auto request = connection.ReadRequest()) {
          ++requests_;
          {
            const std::lock_guard<std::mutex> lock(mutex_);
            last_request_ = *request;
          }
          if (!script_(connection, *request)) return;
        }
      }) {}

std::string ScriptedServer::last_request() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return last_request_;
}

}  // namespace lovagecleat::gateway
