#include "routing/rollouts.h"

#include <algorithm>
#include <utility>

namespace lovagecleat::routing {

namespace {

constexpr std::size_t kMinimumFocus = 2;
// Versions of a service that are remembered as seen.
constexpr std::size_t kMaximumVersions = 256;

}  // namespace

void Rollouts::SetBounds(const std::optional<RolloutBounds>& bounds,
                         Duration new_version_delay) {
  bounds_ = bounds;
  new_version_delay_ = new_version_delay;
}

void Rollouts::SetHosts(std::vector<HostId> hosts) {
  hosts_ = std::move(hosts);
  for (auto& [service, state] : services_)
    if (state.rollout) state.rollout->SetHosts(hosts_);
}

bool Rollouts::HasOthers(const ServiceState& state,
                         const std::string& version) {
  return std::any_of(
      state.listed.begin(), state.listed.end(), [&](const std::string& listed) {
        return listed != version && !state.given_up.contains(listed);
      });
}

OrderChange Rollouts::PutOrder(const RolloutOrder& order, RowVersion version,
                               OrderSight sight, Random& random,
                               TimePoint now) {
  ServiceState& state = services_[order.service];
  const bool is_first = !state.rollout;
  RolloutStart start;
  start.host = self_;
  start.incarnation = incarnation_;
  start.process_started_at = process_started_at_;
  start.bounds = bounds_.value_or(RolloutBounds());
  start.sight = sight;
  start.initial_part = random.Unit();
  if (state.rollout) {
    if (state.rollout->order() == order) {
      state.rollout->SetOrderVersion(version);
      return OrderChange::kRepeated;
    }
    // The host has seen the order before this one.
    start.sight = OrderSight::kAppeared;
    const bool was_completed =
        state.rollout->phase() == RolloutPhase::kCompleted;
    const std::string before = state.rollout->order().to;
    start.has_used_slack = before == order.to;
    if (before != order.to && !was_completed) {
      state.given_up.insert(before);
      start.is_established = state.before.contains(order.to);
    }
    if (was_completed) state.before = {before};
  }
  state.given_up.erase(order.to);
  state.replaced.erase(order.to);
  state.lingering.erase(order.to);
  // The operator goes back to the only version that has not been given up.
  start.is_established &= !HasOthers(state, order.to);
  state.has_completed = false;
  state.rollout.emplace(order, version, start, now);
  state.rollout->SetHosts(hosts_);
  return is_first ? OrderChange::kStarted : OrderChange::kReplaced;
}

void Rollouts::OnUnreadableOrder(const ServiceId& service, RowVersion version) {
  if (Rollout* rollout = Find(service)) rollout->SetOrderVersion(version);
}

bool Rollouts::RemoveOrder(const ServiceId& service) {
  const auto found = services_.find(service);
  if (found == services_.end() || !found->second.rollout) return false;
  ServiceState& state = found->second;
  if (state.rollout->phase() != RolloutPhase::kCompleted)
    state.given_up.insert(state.rollout->order().to);
  state.rollout.reset();
  state.before.clear();
  return true;
}

void Rollouts::OnServer(const ServiceId& service, const std::string& version,
                        TimePoint now) {
  if (!bounds_ && !services_.contains(service)) return;
  ServiceState& state = services_[service];
  const auto known = state.seen.find(version);
  if (known != state.seen.end()) {
    known->second.last = now;
    return;
  }
  // The versions that a host finds when it starts are not new. Entries of one
  // read are applied at nearly the same time.
  if (!state.first_seen) state.first_seen = now;
  const bool is_found = now - *state.first_seen < new_version_delay_;
  const TimePoint seen_at = is_found ? now - new_version_delay_ : now;
  if (state.seen.size() >= kMaximumVersions)
    state.seen.erase(std::min_element(state.seen.begin(), state.seen.end(),
                                      [](const auto& a, const auto& b) {
                                        return a.second.last < b.second.last;
                                      }));
  state.seen.emplace(version, SeenVersion{seen_at, now});
  state.newest_seen = std::max(state.newest_seen, seen_at);
}

bool Rollouts::IsPlain(const ServiceState& state, TimePoint now) const {
  return !state.rollout && state.replaced.empty() && state.lingering.empty() &&
         state.given_up.empty() &&
         now - state.newest_seen >= new_version_delay_;
}

void Rollouts::SetVersions(const ServiceId& service,
                           const std::set<std::string>& versions) {
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  found->second.listed = versions;
  UpdateState(found->second);
}

bool Rollouts::IsListed(const ServiceId& service,
                        const std::string& version) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.listed.contains(version);
}

void Rollouts::UpdateState(ServiceState& state) const {
  const auto is_gone = [&state](const std::string& version) {
    return !state.listed.contains(version);
  };
  const std::string* to = state.rollout ? &state.rollout->order().to : nullptr;
  if (to != nullptr) {
    if (state.rollout->phase() != RolloutPhase::kCompleted) {
      // An order that is found may be completed, with versions that came later.
      const bool is_known = state.rollout->phase() != RolloutPhase::kUnknown ||
                            state.rollout->sight() == OrderSight::kAppeared;
      for (const std::string& version : state.listed)
        if (is_known && version != *to && !state.given_up.contains(version))
          state.before.insert(version);
    } else if (!state.has_completed) {
      state.has_completed = true;
      state.replaced = state.before;
      state.replaced.erase(*to);
      for (const std::string& version : state.listed)
        if (version != *to && !state.replaced.contains(version))
          state.lingering.insert(version);
    }
  }
  std::erase_if(state.replaced, is_gone);
  std::erase_if(state.lingering, is_gone);
  std::erase_if(state.given_up, is_gone);
}

void Rollouts::OnStatus(const ServiceId& service,
                        const std::optional<RolloutStatus>& status,
                        RowVersion status_version,
                        std::optional<Duration> store_time, TimePoint now) {
  Rollout* rollout = Find(service);
  if (rollout == nullptr) return;
  ServiceState& state = services_[service];
  const std::string& to = rollout->order().to;
  rollout->OnStatus(status, status_version, store_time,
                    state.listed.contains(to) && !HasOthers(state, to), now);
  UpdateState(state);
}

void Rollouts::OnReport(const RolloutReport& report, TimePoint now) {
  Rollout* rollout = Find(report.order.service);
  if (rollout == nullptr) return;
  rollout->OnReport(report, now);
  UpdateState(services_[report.order.service]);
}

void Rollouts::Update(const ServiceId& service,
                      const RolloutSurroundings& surroundings, TimePoint now) {
  Rollout* rollout = Find(service);
  if (rollout == nullptr) return;
  rollout->Update(surroundings, now);
  UpdateState(services_[service]);
}

Rollout* Rollouts::Find(const ServiceId& service) {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.rollout
             ? &*found->second.rollout
             : nullptr;
}

std::map<ServiceId, Rollout*> Rollouts::All() {
  std::map<ServiceId, Rollout*> all;
  for (auto& [service, state] : services_)
    if (state.rollout) all.emplace(service, &*state.rollout);
  return all;
}

VersionAccess Rollouts::Access(const ServiceId& service,
                               const std::string& version,
                               TimePoint now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return VersionAccess::kOpen;
  const ServiceState& state = found->second;
  if (IsPlain(state, now)) return VersionAccess::kOpen;
  if (state.rollout && state.rollout->order().to == version) {
    const Rollout& rollout = *state.rollout;
    switch (rollout.phase()) {
      case RolloutPhase::kUnknown:
        // Without others, the order was completed, or moves nothing.
        return rollout.is_established() || !HasOthers(state, version)
                   ? VersionAccess::kOpen
                   : VersionAccess::kBarred;
      case RolloutPhase::kCanary:
      case RolloutPhase::kMoving:
        return rollout.is_established() ? VersionAccess::kOpen
                                        : VersionAccess::kOnTrial;
      case RolloutPhase::kRolledBack:
        return VersionAccess::kBarred;
      case RolloutPhase::kCompleted:
        return VersionAccess::kOpen;
    }
  }
  if (state.replaced.contains(version)) return VersionAccess::kBarred;
  if (state.given_up.contains(version))
    return state.rollout ? VersionAccess::kBarred : VersionAccess::kLastResort;
  if (state.lingering.contains(version)) return VersionAccess::kLastResort;
  const auto seen = state.seen.find(version);
  if (bounds_ && seen != state.seen.end() &&
      now - seen->second.first < new_version_delay_)
    return VersionAccess::kLastResort;
  return VersionAccess::kOpen;
}

void Rollouts::Filter(const ServiceId& service, bool takes_new,
                      std::vector<ServerRecord*>& servers,
                      TimePoint now) const {
  const auto state = services_.find(service);
  if (state == services_.end() || IsPlain(state->second, now)) return;
  const std::optional<Rollout>& rollout = state->second.rollout;
  std::vector<ServerRecord*> open;
  std::vector<ServerRecord*> on_trial;
  std::vector<ServerRecord*> last_resort;
  for (ServerRecord* server : servers) {
    switch (Access(service, server->entry.software_version, now)) {
      case VersionAccess::kOpen:
        open.push_back(server);
        break;
      case VersionAccess::kOnTrial:
        on_trial.push_back(server);
        break;
      case VersionAccess::kLastResort:
        last_resort.push_back(server);
        break;
      case VersionAccess::kBarred:
        break;
    }
  }
  const bool has_only_new = open.empty() && last_resort.empty() && rollout &&
                            rollout->MayBeCompleted(now);
  if ((takes_new && !on_trial.empty()) || has_only_new)
    servers = std::move(on_trial);
  else if (!open.empty())
    servers = std::move(open);
  else
    servers = std::move(last_resort);
}

std::size_t FocusSize(double share, std::size_t servers_before) {
  const double fair = share * static_cast<double>(servers_before);
  return std::max(kMinimumFocus, static_cast<std::size_t>(fair + 0.999));
}

void KeepFocus(std::size_t count, std::uint64_t rotation,
               std::vector<ServerRecord*>& servers) {
  if (servers.size() <= count) return;
  std::sort(servers.begin(), servers.end(),
            [rotation](const ServerRecord* a, const ServerRecord* b) {
              return StableHash(a->entry.id.value(), rotation) >
                     StableHash(b->entry.id.value(), rotation);
            });
  servers.resize(count);
}

}  // namespace lovagecleat::routing
