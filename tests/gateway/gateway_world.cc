#include "tests/gateway/gateway_world.h"

#include <fcntl.h>

#include <utility>

namespace lovagecleat::gateway {

namespace {

// Log lines are of no interest here, but are written all the same.
int OpenNull() { return open("/dev/null", O_WRONLY | O_CLOEXEC); }

}  // namespace

RowSubject FakeRows::SubjectOf(const routing::Row& row) const {
  if (row.table == "servers") return {RowSubject::Kind::kServer, row.key};
  if (row.table == "hosts") return {RowSubject::Kind::kHost, row.key};
  if (row.key == "config") return {RowSubject::Kind::kRouting, row.key};
  if (row.key.starts_with("evacuate/"))
    return {RowSubject::Kind::kEvacuation, row.key.substr(9)};
  return {};
}

RowsAnswer FakeRows::Answer(const std::string& table,
                            std::uint64_t after) const {
  RowsAnswer answer;
  answer.status =
      table == failing_table ? RowsAnswer::Status::kUnavailable : status;
  answer.version = version_;
  for (const auto& [key, row] : rows_)
    if (row.table == table && row.version > after) answer.rows.push_back(row);
  return answer;
}

void FakeRows::ReadAll(const std::string& table, Callback callback) {
  ++full_reads;
  RowsAnswer answer = Answer(table, 0);
  std::erase_if(answer.rows,
                [](const routing::Row& row) { return row.is_removed; });
  callback(std::move(answer));
}

void FakeRows::Follow(const std::string& table, std::uint64_t version,
                      Duration /*wait*/, Callback callback) {
  ++follows;
  callback(Answer(table, version));
}

void FakeRows::WriteHost(const HostId& /*host*/, std::string /*value*/,
                         std::function<void(bool)> callback) {
  callback(true);
}

void FakeRows::Set(const std::string& table, const std::string& key,
                   const std::string& value) {
  rows_[{table, key}] = {table, key, value, ++version_, false};
}

void FakeRows::Remove(const std::string& table, const std::string& key) {
  rows_[{table, key}] = {table, key, "", ++version_, true};
}

GatewayWorld::GatewayWorld()
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
  settings_.bounds.stop_time = std::chrono::seconds(4);
  gateway = std::make_unique<Gateway>(loop(), wire_, rows, settings_, poller_,
                                      pool_, log_);
}

GatewayWorld::~GatewayWorld() = default;

void GatewayWorld::Start() {
  REQUIRE(gateway->Start() == Gateway::StartError::kNone);
}

void GatewayWorld::KnowHost() {
  rows.Set("hosts", settings_.host.value(),
           R"({"peers":")" + settings_.peers + R"(","zone":"z"})");
}

void GatewayWorld::ForbidRetries() {
  settings_.bounds.retry_ratio = 0;
  settings_.bounds.retry_slack = 0;
  gateway->Reload(settings_);
}

void GatewayWorld::AddServer(const std::string& id, const std::string& service,
                             const std::string& address) {
  rows.Set("servers", id,
           R"({"service":")" + service + R"(","address":")" + address +
               R"(","zone":"z","state":"ready","slots":4,"seq":1})");
}

std::uint16_t GatewayWorld::callers_port() const {
  return configuration::ParseEndpoint(settings_.callers)->port;
}

std::string GatewayWorld::Beside(
    const std::function<std::string(transport::RawClient&)>& client) {
  std::atomic<bool> is_done = false;
  std::string text;
  std::thread thread([&] {
    transport::RawClient raw(callers_port());
    text = client(raw);
    is_done = true;
  });
  // A gateway that stops ends the loop, but not the client's wait.
  while (!is_done) RunUntil([&] { return is_done.load(); });
  thread.join();
  return text;
}

std::string GatewayWorld::Send(const std::string& bytes) {
  return Beside([&](transport::RawClient& raw) {
    raw.Write(bytes);
    return raw.ReadToEnd();
  });
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
