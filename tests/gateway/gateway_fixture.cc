#include "tests/gateway/gateway_fixture.h"

#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <utility>

namespace lovagecleat::gateway {

namespace {

// Time for the connections between started gateways.
constexpr auto kConnectTime = std::chrono::milliseconds(500);

}  // namespace

RowSubject FakeRowSource::SubjectOf(const routing::Row& row) const {
  if (row.table == "servers") return {RowSubject::Kind::kServer, row.key};
  if (row.table == "hosts" && row.key.starts_with("part/"))
    return {RowSubject::Kind::kContentBlock, row.key.substr(5)};
  if (row.table == "hosts") return {RowSubject::Kind::kHost, row.key};
  if (row.key == "config") return {RowSubject::Kind::kRouting, row.key};
  if (row.key.starts_with("evacuate/"))
    return {RowSubject::Kind::kEvacuation, row.key.substr(9)};
  if (row.key.starts_with("rollout/"))
    return {RowSubject::Kind::kRollout, row.key.substr(8)};
  return {};
}

RowsResponse FakeRowSource::MakeResponse(const std::string& table,
                                         std::uint64_t after) const {
  RowsResponse response;
  response.status =
      table == failing_table ? RowsResponse::Status::kUnavailable : status;
  response.version = {era_, version_};
  for (const auto& [key, row] : rows_)
    if (row.table == table && row.version.number() > after)
      response.rows.push_back(row);
  return response;
}

void FakeRowSource::ReadAll(const std::string& table, Callback callback) {
  ++full_reads;
  RowsResponse response = MakeResponse(table, 0);
  std::erase_if(response.rows,
                [](const routing::Row& row) { return row.is_removed; });
  callback(std::move(response));
}

void FakeRowSource::Follow(const std::string& table,
                           routing::RowVersion version, Duration /*wait*/,
                           Callback callback) {
  ++follows;
  // As the store does, compares numbers only.
  RowsResponse response = MakeResponse(table, version.number());
  if (version.number() > version_ &&
      response.status == RowsResponse::Status::kRead)
    response = {RowsResponse::Status::kHistoryGone, {}, {}};
  callback(std::move(response));
}

void FakeRowSource::WriteHost(const HostId& host, std::string value,
                              std::function<void(bool)> callback) {
  ++host_writes;
  if (stores_hosts) Set("hosts", host.value(), value);
  callback(true);
}

void FakeRowSource::WriteContentBlock(const std::string& part,
                                      std::string value,
                                      std::function<void(bool)> callback) {
  ++content_block_writes;
  if (stores_content_blocks) Set("hosts", "part/" + part, value);
  callback(stores_content_blocks);
}

void FakeRowSource::RemoveContentBlock(const std::string& part) {
  Remove("hosts", "part/" + part);
}

void FakeRowSource::ReadStreamOrigins(Callback callback) {
  ++stream_origin_reads;
  callback(MakeResponse("origins", 0));
}

void FakeRowSource::WriteStreamOrigins(const HostId& host, std::string value,
                                       std::function<void(bool)> callback) {
  ++stream_origin_writes;
  const bool is_written = status == RowsResponse::Status::kRead;
  if (is_written) Set("origins", host.value(), value);
  callback(is_written);
}

void FakeRowSource::ReadRolloutStatus(
    const ServiceId& service,
    std::function<void(std::optional<RolloutStatusRow>)> callback) {
  ++rollout_reads;
  if (status != RowsResponse::Status::kRead) return callback(std::nullopt);
  callback(rollout_statuses[service]);
}

void FakeRowSource::WriteRolloutStatus(
    const routing::RolloutStatusWrite& write,
    std::function<void(RolloutStatusResult)> callback) {
  if (status != RowsResponse::Status::kRead) return callback({});
  const routing::Row* order = Find("op", "rollout/" + write.service.value());
  RolloutStatusRow& row = rollout_statuses[write.service];
  if (order == nullptr || order->version != write.order_version ||
      row.version != write.status_version) {
    ++rollout_conflicts;
    return callback({routing::StatusWriteResult::kConflict, {}});
  }
  row.status = write.status;
  row.version = routing::RowVersion(era_, ++version_);
  rollout_writes.push_back(write.status);
  callback({routing::StatusWriteResult::kWritten, *row.version});
}

std::optional<Duration> FakeRowSource::StoreTime() const {
  return SystemClock().Now().time_since_epoch();
}

void FakeRowSource::Restore(const Copy& copy) {
  rows_ = copy.rows;
  version_ = copy.version;
  ++era_;
  for (auto& [key, row] : rows_) row.version = {era_, row.version.number()};
}

const routing::Row* FakeRowSource::Find(const std::string& table,
                                        const std::string& key) const {
  const auto found = rows_.find({table, key});
  return found == rows_.end() || found->second.is_removed ? nullptr
                                                          : &found->second;
}

void FakeRowSource::Set(const std::string& table, const std::string& key,
                        const std::string& value) {
  rows_[{table, key}] = {table, key, value, {era_, ++version_}, false};
}

void FakeRowSource::Remove(const std::string& table, const std::string& key) {
  rows_[{table, key}] = {table, key, "", {era_, ++version_}, true};
}

HostRowSource::Callback HostRowSource::Edited(const std::string& table,
                                              Callback callback) const {
  if (table != "servers" || !edit_) return callback;
  return [this, callback = std::move(callback)](RowsResponse response) {
    for (routing::Row& row : response.rows)
      if (!row.is_removed) row.value = edit_(host_, std::move(row.value));
    callback(std::move(response));
  };
}

void HostRowSource::ReadAll(const std::string& table, Callback callback) {
  rows_.ReadAll(table, Edited(table, std::move(callback)));
}

void HostRowSource::Follow(const std::string& table,
                           routing::RowVersion version, Duration wait,
                           Callback callback) {
  rows_.Follow(table, version, wait, Edited(table, std::move(callback)));
}

GatewayFixture::Host::Host(GatewayFixture& fixture, const std::string& name,
                           std::size_t number)
    : log_file(memfd_create("log", MFD_CLOEXEC)),
      log(fixture.clock_, name, log_file),
      rows(fixture.rows, fixture.edit_server_row, number),
      pool(fixture.poller_) {
  settings.host = HostId(name);
  const auto zone = fixture.host_zones.find(number);
  settings.zone = ZoneId(zone == fixture.host_zones.end() ? "z" : zone->second);
  const auto address = [] {
    return "127.0.0.1:" + std::to_string(transport::UnusedPort());
  };
  settings.callers = address();
  settings.readiness = address();
  settings.peers = address();
  settings.store = address();
  settings.limits.shutdown_timeout = std::chrono::seconds(4);
  gateway = std::make_unique<Gateway>(fixture.loop(), fixture.codec_, rows,
                                      settings, fixture.poller_, pool, log);
}

GatewayFixture::Host::~Host() { close(log_file); }

std::string GatewayFixture::LogText(std::size_t host) {
  Host& logging_host = *hosts_.at(host);
  logging_host.log.Flush();
  std::string text;
  char buffer[4096];
  ssize_t count = 0;
  while ((count = pread(logging_host.log_file, buffer, sizeof(buffer),
                        static_cast<off_t>(text.size()))) > 0)
    text.append(buffer, static_cast<std::size_t>(count));
  return text;
}

GatewayFixture::GatewayFixture() : poller_(loop()) {
  hosts_.push_back(std::make_unique<Host>(*this, "host", 0));
  gateway = hosts_.front()->gateway.get();
}

GatewayFixture::~GatewayFixture() = default;

void GatewayFixture::Start() {
  REQUIRE(gateway->Start() == Gateway::StartError::kNone);
}

void GatewayFixture::StartHosts(std::size_t count) {
  while (hosts_.size() < count)
    hosts_.push_back(std::make_unique<Host>(
        *this, "host-" + std::to_string(hosts_.size() + 1), hosts_.size()));
  for (const auto& host : hosts_)
    if (host != nullptr) AddHostRow(*host);
  for (; started_hosts_ < hosts_.size(); ++started_hosts_)
    REQUIRE(hosts_[started_hosts_]->gateway->Start() ==
            Gateway::StartError::kNone);
  RunUntil([&] {
    return std::all_of(hosts_.begin(), hosts_.end(), [](const auto& host) {
      return host == nullptr || host->gateway->is_ready();
    });
  });
  if (count > 1) RunFor(kConnectTime);
}

void GatewayFixture::SetExposure(
    const configuration::ExposureLimits& exposure) {
  for (const auto& host : hosts_) {
    host->settings.limits.exposure = exposure;
    host->gateway->Reload(host->settings);
  }
}

void GatewayFixture::SetRoom(const configuration::RoomSettings& room) {
  for (const auto& host : hosts_) {
    host->settings.room = room;
    host->gateway->Reload(host->settings);
  }
}

void GatewayFixture::KillHost(std::size_t number) {
  if (number == 0) gateway = nullptr;
  hosts_.at(number).reset();
}

void GatewayFixture::RestartHosts(Duration downtime) {
  const std::size_t count = hosts_.size();
  gateway = nullptr;
  hosts_.clear();
  RunFor(downtime);
  hosts_.push_back(std::make_unique<Host>(*this, "host", 0));
  gateway = hosts_.front()->gateway.get();
  started_hosts_ = 0;
  StartHosts(count);
}

void GatewayFixture::AddHostRow(const Host& host) {
  rows.Set("hosts", host.settings.host.value(),
           R"({"peers":")" + host.settings.peers + R"(","callers":")" +
               host.settings.callers + R"(","zone":")" +
               host.settings.zone.value() + R"("})");
}

void GatewayFixture::AddOwnHostRow() { AddHostRow(*hosts_.front()); }

void GatewayFixture::DisableRetries() {
  configuration::GatewaySettings& settings = hosts_.front()->settings;
  settings.limits.retry_ratio = 0;
  settings.limits.retry_slack = 0;
  gateway->Reload(settings);
}

void GatewayFixture::AddServer(const std::string& id,
                               const std::string& service,
                               const std::string& address,
                               const std::string& version) {
  rows.Set("servers", id,
           R"({"service":")" + service + R"(","address":")" + address +
               R"(","zone":"z","version":")" + version +
               R"(","state":"ready","slots":4,"seq":1})");
}

void GatewayFixture::RunFor(Duration time) {
  RunUntil([this, until = loop().clock().Now() + time] {
    return loop().clock().Now() >= until;
  });
}

std::uint16_t GatewayFixture::callers_port(std::size_t host) const {
  return configuration::ParseEndpoint(hosts_.at(host)->settings.callers)->port;
}

std::string GatewayFixture::RunWithClient(
    const std::function<std::string(transport::RawClient&)>& client,
    std::size_t host) {
  std::atomic<bool> is_done = false;
  std::string text;
  std::thread thread([&, port = callers_port(host)] {
    transport::RawClient raw(port);
    text = client(raw);
    is_done = true;
  });
  // A stopping gateway quits the loop before the client is done.
  while (!is_done) RunUntil([&] { return is_done.load(); });
  thread.join();
  return text;
}

std::string GatewayFixture::Send(const std::string& bytes, std::size_t host) {
  return RunWithClient(
      [&](transport::RawClient& raw) {
        raw.Write(bytes);
        return raw.ReadToEnd();
      },
      host);
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
        ++connections_;
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
