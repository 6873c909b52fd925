#include "tests/stand_ins/platform/platform_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>

namespace lovagecleat::stand_ins {

namespace {

using Json = nlohmann::json;
using policy::MemberState;

constexpr std::string_view kJsonType = "application/json";
constexpr std::string_view kBytesType = "application/octet-stream";
constexpr std::size_t kMaximumObjectBytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t kMaximumScanRows = 1000;
constexpr std::size_t kWeightsBytes = std::size_t{64} * 1024;
constexpr std::size_t kDefaultScanRows = 100;
constexpr std::string_view kObjectsPath = "/v1/objects/";

using Call = std::shared_ptr<transport::HttpServerCall>;

void Respond(const Call& call, int status, const Json& body) {
  call->Respond(status, kJsonType, body.dump(), {});
}

// Runs `handler` with the parsed body; responds with 400 if the body is not
// JSON or lacks a key or has a value of the wrong type.
void WithParsedBody(const Call& call,
                    const std::function<void(const Json&)>& handler) {
  try {
    handler(Json::parse(call->body()));
  } catch (const Json::exception& error) {
    Respond(call, 400, Json{{"error", error.what()}});
  }
}

std::string_view NameOf(MemberState state) {
  return state == MemberState::kActive ? "live" : "leaving";
}

MemberState ParseState(const std::string& name) {
  return name == "leaving" ? MemberState::kLeaving : MemberState::kActive;
}

Json RowsOf(const TableReply& reply) {
  Json rows = Json::array();
  for (const policy::TableRow& row : reply.rows) {
    rows.push_back(
        {{"key", row.key}, {"version", row.version}, {"value", row.value}});
  }
  return Json{{"rows", rows}};
}

Json ToJson(const policy::Inventory& inventory) {
  Json hosts = Json::array();
  for (const policy::HostInfo& host : inventory.hosts) {
    hosts.push_back({{"id", host.id.value()},
                     {"zone", host.zone.value()},
                     {"peer_address", host.peer_address},
                     {"state", NameOf(host.state)}});
  }
  Json servers = Json::array();
  for (const policy::ServerInfo& server : inventory.servers) {
    servers.push_back({{"id", server.id.value()},
                       {"service", server.service.value()},
                       {"zone", server.zone.value()},
                       {"address", server.address},
                       {"state", NameOf(server.state)},
                       {"cold_limit", server.cold_limit},
                       {"warm_limit", server.warm_limit}});
  }
  return Json{
      {"sequence", inventory.sequence}, {"hosts", hosts}, {"servers", servers}};
}

transport::HttpServerLimits Limits() {
  transport::HttpServerLimits limits;
  limits.maximum_body_bytes = kMaximumObjectBytes;
  return limits;
}

}  // namespace

PlatformServer::PlatformServer(transport::Loop& loop,
                               const PlatformSettings& settings,
                               policy::Inventory inventory)
    : loop_(loop), settings_(settings), server_(loop, Limits()) {
  // The first inventory is visible at once, whatever the lag.
  inventories_.emplace_back(TimePoint::min(), std::move(inventory));
  RouteTable();
  RouteObjects();
  server_.Route("GET", "/v1/inventory",
                [this](const Call& call) { HandleInventory(call); });
  server_.Route("POST", "/control",
                [this](const Call& call) { HandleControl(call); });
  server_.Route("GET", "/records", [this](const Call& call) {
    Respond(call, 200,
            Json{{"reads", table_.reads()}, {"writes", table_.writes()}});
  });
}

bool PlatformServer::Listen() {
  const configuration::Endpoint& endpoint = settings_.endpoint;
  return server_.Listen(endpoint.address, endpoint.port).has_value();
}

void PlatformServer::RouteTable() {
  server_.Route("POST", "/v1/table/read",
                [this](const Call& call) { HandleRead(call); });
  server_.Route("POST", "/v1/table/scan",
                [this](const Call& call) { HandleScan(call); });
  server_.Route("POST", "/v1/table/write",
                [this](const Call& call) { HandleWrite(call); });
}

void PlatformServer::RouteObjects() {
  server_.Route("GET", "/v1/objects/*",
                [this](const Call& call) { HandleGetObject(call); });
  server_.Route("PUT", "/v1/objects/*",
                [this](const Call& call) { HandlePutObject(call); });
  server_.Route("GET", "/v1/weights/*",
                [this](const Call& call) { HandleWeights(call); });
}

void PlatformServer::HandleRead(const Call& call) {
  WithParsedBody(call, [&](const Json& body) {
    const auto keys = body.at("keys").get<std::vector<std::string>>();
    SendReply(call, table_.Read(keys), Operation::kRead);
  });
}

void PlatformServer::HandleScan(const Call& call) {
  WithParsedBody(call, [&](const Json& body) {
    const auto prefix = body.at("prefix").get<std::string>();
    const auto from = body.value("from", std::string());
    const std::size_t limit =
        std::min(body.value("limit", kDefaultScanRows), kMaximumScanRows);
    SendReply(call, table_.Scan(prefix, from, limit), Operation::kRead);
  });
}

void PlatformServer::HandleWrite(const Call& call) {
  WithParsedBody(call, [&](const Json& body) {
    std::vector<policy::TableWrite> writes;
    for (const Json& write : body.at("writes")) {
      writes.push_back(
          policy::TableWrite{write.at("key").get<std::string>(),
                             write.at("expected_version").get<std::uint64_t>(),
                             write.at("value").get<std::string>()});
    }
    SendReply(call, table_.Write(writes), Operation::kWrite);
  });
}

Duration PlatformServer::ReserveTable(Operation operation) {
  const TimePoint now = loop_.clock().Now();
  const Duration time = operation == Operation::kRead ? settings_.read_time
                                                      : settings_.write_time;
  table_busy_until_ = std::max(table_busy_until_, now) + time;
  return table_busy_until_ - now;
}

void PlatformServer::SendReply(const Call& call, const TableReply& reply,
                               Operation operation) {
  switch (reply.kind) {
    case TableReplyKind::kNoResponse:
      unanswered_.push_back(call);
      return;
    case TableReplyKind::kUnavailable:
      Respond(call, 503, Json{{"error", "outage"}});
      return;
    case TableReplyKind::kSuccess:
    case TableReplyKind::kConflict:
      break;
  }
  const int status = reply.kind == TableReplyKind::kConflict ? 409 : 200;
  const Duration delay = reply.delay + ReserveTable(operation);
  loop_.After(delay, [call, status, body = RowsOf(reply)] {
    Respond(call, status, body);
  });
}

bool PlatformServer::ApplyFault(const Call& call) {
  if (health_ == TableHealth::kAvailable) return false;
  if (health_ == TableHealth::kOutage) {
    Respond(call, 503, Json{{"error", "outage"}});
  } else {
    unanswered_.push_back(call);
  }
  return true;
}

void PlatformServer::HandleInventory(const Call& call) {
  if (ApplyFault(call)) return;
  loop_.After(delay_, [call, body = ToJson(VisibleInventory())] {
    Respond(call, 200, body);
  });
}

void PlatformServer::HandleGetObject(const Call& call) {
  if (ApplyFault(call)) return;
  const auto found = objects_.find(call->path().substr(kObjectsPath.size()));
  if (found == objects_.end()) {
    Respond(call, 404, Json{{"error", "no such object"}});
    return;
  }
  call->Respond(200, kBytesType, found->second, {});
}

void PlatformServer::HandlePutObject(const Call& call) {
  if (ApplyFault(call)) return;
  objects_[call->path().substr(kObjectsPath.size())] = call->body();
  Respond(call, 200, Json::object());
}

void PlatformServer::HandleWeights(const Call& call) {
  if (ApplyFault(call)) return;
  const TimePoint now = loop_.clock().Now();
  if (now < next_weights_at_) {
    call->Respond(429, kJsonType, "{}", {{"Retry-After", "1"}});
    return;
  }
  const double interval = 1e6 / settings_.weights_per_second;
  next_weights_at_ = now + Duration(static_cast<Duration::rep>(interval));
  call->Respond(200, kBytesType, std::string(kWeightsBytes, 'w'), {});
}

void PlatformServer::HandleControl(const Call& call) {
  WithParsedBody(call, [&](const Json& body) {
    if (body.contains("outage") || body.contains("silent")) {
      health_ = TableHealth::kAvailable;
      if (body.value("outage", false)) health_ = TableHealth::kOutage;
      if (body.value("silent", false)) health_ = TableHealth::kSilent;
      table_.SetHealth(health_);
    }
    if (body.contains("delay_ms")) {
      delay_ = std::chrono::milliseconds(body.at("delay_ms").get<int>());
      table_.SetDelay(delay_);
    }
    if (body.contains("lose_answers")) {
      table_.DropResponses(body.at("lose_answers").get<std::uint32_t>());
    }
    if (body.contains("inventory_lag_ms")) {
      settings_.inventory_lag =
          std::chrono::milliseconds(body.at("inventory_lag_ms").get<int>());
    }
    if (body.contains("set_server_state")) {
      const Json& set = body.at("set_server_state");
      const ServerId id(set.at("id").get<std::string>());
      const MemberState state = ParseState(set.at("state").get<std::string>());
      ChangeInventory([&](policy::Inventory& inventory) {
        for (auto& server : inventory.servers) {
          if (server.id == id) server.state = state;
        }
      });
    }
    if (body.contains("set_host_state")) {
      const Json& set = body.at("set_host_state");
      const HostId id(set.at("id").get<std::string>());
      const MemberState state = ParseState(set.at("state").get<std::string>());
      ChangeInventory([&](policy::Inventory& inventory) {
        for (auto& host : inventory.hosts) {
          if (host.id == id) host.state = state;
        }
      });
    }
    if (body.contains("remove_host")) {
      const HostId id(body.at("remove_host").get<std::string>());
      ChangeInventory([&](policy::Inventory& inventory) {
        std::erase_if(inventory.hosts,
                      [&](const auto& host) { return host.id == id; });
      });
    }
    Respond(call, 200, Json::object());
  });
}

void PlatformServer::ChangeInventory(
    const std::function<void(policy::Inventory&)>& change) {
  policy::Inventory changed = inventories_.back().second;
  change(changed);
  ++changed.sequence;
  inventories_.emplace_back(loop_.clock().Now(), std::move(changed));
}

const policy::Inventory& PlatformServer::VisibleInventory() const {
  const TimePoint visible_until = loop_.clock().Now() - settings_.inventory_lag;
  const auto newer = std::find_if(inventories_.begin() + 1, inventories_.end(),
                                  [visible_until](const auto& entry) {
                                    return entry.first > visible_until;
                                  });
  return std::prev(newer)->second;
}

}  // namespace lovagecleat::stand_ins
