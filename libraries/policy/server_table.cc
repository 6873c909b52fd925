#include "policy/server_table.h"

#include <algorithm>
#include <cassert>

namespace lovagecleat::policy {

namespace {

constexpr double kSlownessWeight = 0.1;
constexpr double kMaximumSlownessRatio = 20.0;

// A single failure may be caused by the connection. Only a second consecutive
// one, on another connection, starts a backoff for the server.
constexpr std::uint32_t kFailuresBeforeBackoff = 2;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaximumBackoffDoublings = 4;

}  // namespace

std::vector<ServerId> ServerTable::ApplyInventory(
    std::span<const ServerInfo> servers) {
  std::set<ServerId> listed;
  for (const ServerInfo& info : servers) {
    if (info.zone != zone_) continue;
    listed.insert(info.id);
    servers_[info.id].info = info;
  }
  std::vector<ServerId> removed;
  for (const auto& [id, entry] : servers_) {
    if (!listed.contains(id)) removed.push_back(id);
  }
  for (const ServerId& id : removed) servers_.erase(id);
  IndexByService();
  return removed;
}

void ServerTable::IndexByService() {
  by_service_.clear();
  for (const auto& [id, entry] : servers_) {
    by_service_[entry.info.service].push_back(&entry);
  }
}

void ServerTable::ApplyConfiguration(
    const configuration::Configuration& configuration) {
  zone_out_ = configuration.IsZoneOut(zone_);
  servers_out_ = configuration.servers_out;
}

void ServerTable::SetProvisionallyOut(bool zone_out,
                                      std::set<ServerId> servers_out) {
  zone_provisionally_out_ = zone_out;
  servers_provisionally_out_ = std::move(servers_out);
}

void ServerTable::CountCallStart(const ServerId& server) {
  const auto found = servers_.find(server);
  if (found != servers_.end()) ++found->second.own_in_flight;
}

void ServerTable::CountCallEnd(const ServerId& server) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  // A server that was removed and listed again starts at zero, while calls from
  // before its removal may still end.
  if (found->second.own_in_flight > 0) --found->second.own_in_flight;
}

void ServerTable::ObserveSuccess(const ServerId& server, double ratio) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  ServerEntry& entry = found->second;
  entry.consecutive_failures = 0;
  entry.backoff_until = TimePoint{};
  const double bounded = std::min(ratio, kMaximumSlownessRatio);
  entry.slowness += kSlownessWeight * (bounded - entry.slowness);
}

void ServerTable::ObserveFailure(const ServerId& server, TimePoint now) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  ServerEntry& entry = found->second;
  ++entry.consecutive_failures;
  if (entry.consecutive_failures < kFailuresBeforeBackoff) return;
  const std::uint32_t doublings =
      std::min(entry.consecutive_failures - kFailuresBeforeBackoff,
               kMaximumBackoffDoublings);
  entry.backoff_until = now + kInitialBackoff * (1U << doublings);
}

void ServerTable::ObserveReport(const ServerId& server,
                                const ServerReport& report, TimePoint now) {
  const auto found = servers_.find(server);
  if (found == servers_.end()) return;
  found->second.report = report;
  found->second.report_at = now - report.age;
}

const ServerEntry* ServerTable::Find(const ServerId& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? nullptr : &found->second;
}

bool ServerTable::IsOut(const ServerEntry& entry) const {
  if (IsZoneOut()) return true;
  if (entry.info.state == MemberState::kLeaving) return true;
  if (servers_out_.contains(entry.info.id)) return true;
  return servers_provisionally_out_.contains(entry.info.id);
}

std::span<const ServerEntry* const> ServerTable::OfService(
    const ServiceId& service) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return {};
  return found->second;
}

bool ServerTable::IsEligible(const ServerEntry& entry, TimePoint now) const {
  return entry.backoff_until <= now && !IsOut(entry);
}

std::vector<const ServerEntry*> ServerTable::Eligible(const ServiceId& service,
                                                      TimePoint now) const {
  std::vector<const ServerEntry*> eligible;
  for (const ServerEntry* entry : OfService(service)) {
    if (IsEligible(*entry, now)) eligible.push_back(entry);
  }
  return eligible;
}

bool ServerTable::HasUsable(const ServiceId& service) const {
  const auto pool = OfService(service);
  return std::any_of(
      pool.begin(), pool.end(),
      [this](const ServerEntry* entry) { return !IsOut(*entry); });
}

}  // namespace lovagecleat::policy
