#include "tests/stand_ins/settings.h"

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace lovagecleat::stand_ins {

namespace {

using Json = nlohmann::json;
using configuration::FencingSupport;
using configuration::ServiceKind;
using policy::MemberState;

constexpr double kMicrosecondsPerMillisecond = 1000.0;

std::optional<Json> ReadFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) return std::nullopt;
  std::ostringstream text;
  text << stream.rdbuf();
  Json json = Json::parse(text.str(), nullptr, false);
  if (json.is_discarded()) return std::nullopt;
  return json;
}

Duration Milliseconds(const Json& json, const char* key,
                      Duration default_value) {
  const auto found = json.find(key);
  if (found == json.end()) return default_value;
  return Duration(static_cast<Duration::rep>(found->get<double>() *
                                             kMicrosecondsPerMillisecond));
}

ServiceKind ParseKind(const std::string& name) {
  if (name == "engine") return ServiceKind::kEngine;
  if (name == "encoder") return ServiceKind::kEncoder;
  if (name == "retriever") return ServiceKind::kRetriever;
  if (name == "reranker") return ServiceKind::kReranker;
  return ServiceKind::kPlain;
}

MemberState ReadState(const Json& json) {
  return json.value("state", "live") == "leaving" ? MemberState::kLeaving
                                                  : MemberState::kActive;
}

configuration::Endpoint ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  configuration::Endpoint endpoint;
  if (colon == std::string::npos) return endpoint;
  endpoint.address = address.substr(0, colon);
  const std::string port = address.substr(colon + 1);
  std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  return endpoint;
}

BackendSettings ReadBackend(const Json& json) {
  BackendSettings settings;
  settings.kind = ParseKind(json.value("kind", "plain"));
  settings.fencing = json.value("checks_fencing", false)
                         ? FencingSupport::kChecked
                         : FencingSupport::kIgnored;
  settings.call_time = Milliseconds(json, "call_ms", settings.call_time);
  settings.token_time = Milliseconds(json, "token_ms", settings.token_time);
  settings.batch_slope = json.value("batch_slope", settings.batch_slope);
  settings.jitter = json.value("jitter", settings.jitter);
  settings.tail_rate = json.value("tail_rate", settings.tail_rate);
  settings.tail_factor = json.value("tail_factor", settings.tail_factor);
  settings.cold_factor = json.value("cold_factor", settings.cold_factor);
  settings.cached_factor = json.value("cached_factor", settings.cached_factor);
  settings.warm_up_calls = json.value("warm_up_calls", settings.warm_up_calls);
  settings.load_lag = Milliseconds(json, "load_lag_ms", settings.load_lag);
  settings.starts_warm = json.value("starts_warm", settings.starts_warm);
  settings.cache.maximum_prefixes =
      json.value("cache_prefixes", settings.cache.maximum_prefixes);
  return settings;
}

PlatformSettings ReadPlatform(const Json& json) {
  PlatformSettings settings;
  settings.endpoint = ParseEndpoint(json.at("address").get<std::string>());
  settings.inventory_lag = Milliseconds(json, "inventory_lag_ms", Duration{});
  settings.read_time = Milliseconds(json, "read_ms", Duration{});
  settings.write_time = Milliseconds(json, "write_ms", Duration{});
  settings.weights_per_second = json.value("weights_per_second", 1.0);
  return settings;
}

policy::Inventory ReadInventory(const Json& json) {
  policy::Inventory inventory;
  inventory.sequence = 1;
  for (const Json& host : json.at("hosts")) {
    inventory.hosts.push_back(policy::HostInfo{
        HostId(host.at("id").get<std::string>()),
        ZoneId(host.at("zone").get<std::string>()),
        host.at("peer_address").get<std::string>(), ReadState(host)});
  }
  for (const Json& server : json.at("servers")) {
    inventory.servers.push_back(policy::ServerInfo{
        ServerId(server.at("id").get<std::string>()),
        ServiceId(server.at("service").get<std::string>()),
        ZoneId(server.at("zone").get<std::string>()),
        server.at("address").get<std::string>(), ReadState(server),
        server.at("cold_limit").get<std::uint32_t>(),
        server.at("warm_limit").get<std::uint32_t>()});
  }
  return inventory;
}

std::vector<BackendServer> ReadServers(const Json& json,
                                       const policy::Inventory& inventory) {
  std::vector<BackendServer> servers;
  for (const policy::ServerInfo& info : inventory.servers) {
    BackendServer server;
    server.settings = ReadBackend(json.at("services").at(info.service.value()));
    server.settings.id = info.id;
    server.settings.cold_limit = info.cold_limit;
    server.settings.warm_limit = info.warm_limit;
    server.settings.seed = json.value("seed", std::uint64_t{1});
    server.zone = info.zone;
    server.endpoint = ParseEndpoint(info.address);
    servers.push_back(std::move(server));
  }
  return servers;
}

}  // namespace

std::optional<PlatformSettings> SettingsLoader::LoadPlatform(
    const std::string& file) {
  const std::optional<Json> json = ReadFile(file);
  last_error_ = SettingsError::kUnreadable;
  if (!json) return std::nullopt;
  try {
    PlatformSettings settings = ReadPlatform(json->at("platform"));
    last_error_ = SettingsError::kNone;
    return settings;
  } catch (const Json::exception&) {
    last_error_ = SettingsError::kMalformed;
    return std::nullopt;
  }
}

std::optional<policy::Inventory> SettingsLoader::LoadInventory(
    const std::string& file) {
  const std::optional<Json> json = ReadFile(file);
  last_error_ = SettingsError::kUnreadable;
  if (!json) return std::nullopt;
  try {
    policy::Inventory inventory = ReadInventory(*json);
    last_error_ = SettingsError::kNone;
    return inventory;
  } catch (const Json::exception&) {
    last_error_ = SettingsError::kMalformed;
    return std::nullopt;
  }
}

std::optional<std::vector<BackendServer>> SettingsLoader::LoadServers(
    const std::string& file, const policy::Inventory& inventory) {
  const std::optional<Json> json = ReadFile(file);
  last_error_ = SettingsError::kUnreadable;
  if (!json) return std::nullopt;
  try {
    std::vector<BackendServer> servers = ReadServers(*json, inventory);
    last_error_ = SettingsError::kNone;
    return servers;
  } catch (const Json::exception&) {
    last_error_ = SettingsError::kMalformed;
    return std::nullopt;
  }
}

}  // namespace lovagecleat::stand_ins
