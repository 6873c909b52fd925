#include "routing/rollout_coordinator.h"

#include <algorithm>

namespace lovagecleat::routing {

namespace {

// Messages may be lost; hosts that miss both hear of it with their next report.
constexpr int kAnnouncements = 2;
constexpr Duration kAnnouncementInterval = std::chrono::milliseconds(300);

constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(300);
constexpr int kMaximumDoublings = 6;

std::uint64_t RankHash(const ServiceId& service, const std::string& address) {
  return StableHash(address, StableHash(service.value()));
}

// Returns the first hosts for the service, this one excluded.
std::vector<std::string> DecidersOf(const ServiceId& service,
                                    const RolloutPeers& peers) {
  std::vector<std::string> hosts = peers.reachable;
  hosts.push_back(peers.self);
  std::sort(hosts.begin(), hosts.end(),
            [&service](const std::string& a, const std::string& b) {
              return std::pair(RankHash(service, a), a) >
                     std::pair(RankHash(service, b), b);
            });
  hosts.resize(std::min(hosts.size(), Rollout::kDeciders));
  std::erase(hosts, peers.self);
  return hosts;
}

}  // namespace

std::size_t RolloutCoordinator::RankOf(const ServiceId& service,
                                       const RolloutPeers& peers) {
  const auto own = std::pair(RankHash(service, peers.self), peers.self);
  return static_cast<std::size_t>(
      std::count_if(peers.reachable.begin(), peers.reachable.end(),
                    [&](const std::string& peer) {
                      return std::pair(RankHash(service, peer), peer) > own;
                    }));
}

void RolloutCoordinator::StepOrder(const ServiceId& service, Rollout& rollout,
                                   const RolloutPeers& peers,
                                   const ServersByVersion& servers,
                                   std::optional<Duration> store_time,
                                   TimePoint now, RolloutActions& actions) {
  OrderState& state = states_[service];
  if (state.order != rollout.order()) {
    const bool is_calling = state.is_calling;
    state = OrderState{};
    state.order = rollout.order();
    // The result of that call is of the order before.
    state.must_read = is_calling;
    state.is_calling = is_calling;
  }
  // Failures before say nothing of a write for the new row.
  if (state.order_version != rollout.order_version()) {
    state.order_version = rollout.order_version();
    state.failed_writes = 0;
    state.next_write_at = TimePoint{};
  }
  RolloutSurroundings surroundings;
  surroundings.rank = RankOf(service, peers);
  surroundings.reaches_all_hosts = peers.reaches_all;
  for (const auto& [version, count] : servers)
    (version == state.order.to ? surroundings.servers_on_trial
                               : surroundings.servers_before) += count;
  rollouts_.Update(service, surroundings, now);
  KeepStatus(service, state, rollout, surroundings, store_time, now, actions);
  Announce(state, rollout, peers, now, actions);
  Report(state, rollout, peers, now, actions);
}

// Who was told of a phase does not tell it again.
void RolloutCoordinator::Announce(OrderState& state, Rollout& rollout,
                                  const RolloutPeers& peers, TimePoint now,
                                  RolloutActions& actions) {
  const bool is_new = rollout.phase() != state.announced ||
                      (rollout.is_written() && !state.announced_written);
  if (is_new) {
    const bool was_told =
        rollout.phase() != state.announced && rollout.cause() == "told";
    state.announcements = was_told ? 0 : kAnnouncements;
    state.announced = rollout.phase();
    state.announced_written = rollout.is_written();
    state.announced_at.reset();
  }
  if (!rollout.is_written()) state.announced_written = false;
  if (state.announcements == 0 ||
      (state.announced_at && now - *state.announced_at < kAnnouncementInterval))
    return;
  --state.announcements;
  state.announced_at = now;
  const RolloutReport report = rollout.MakeReport(now, false);
  for (const std::string& peer : peers.reachable)
    actions.messages.push_back({peer, report});
}

// The hosts that decide answer, so a host that gets no answers knows that it is
// cut off.
void RolloutCoordinator::Report(OrderState& state, Rollout& rollout,
                                const RolloutPeers& peers, TimePoint now,
                                RolloutActions& actions) {
  const bool is_open = rollout.phase() == RolloutPhase::kUnknown ||
                       rollout.phase() == RolloutPhase::kCanary ||
                       rollout.phase() == RolloutPhase::kMoving;
  if (!is_open ||
      (state.reported_at && now - *state.reported_at < rollout.ReportPeriod()))
    return;
  state.reported_at = now;
  const RolloutReport report = rollout.MakeReport(now, true);
  for (const std::string& peer : DecidersOf(rollout.order().service, peers))
    actions.messages.push_back({peer, report});
}

std::optional<RolloutReport> RolloutCoordinator::OnReport(
    const RolloutReport& report, TimePoint now) {
  rollouts_.OnReport(report, now);
  Rollout* rollout = rollouts_.Find(report.order.service);
  if (rollout == nullptr || !report.evidence) return std::nullopt;
  return rollout->MakeReport(now, false);
}

void RolloutCoordinator::KeepStatus(const ServiceId& service, OrderState& state,
                                    Rollout& rollout,
                                    const RolloutSurroundings& surroundings,
                                    std::optional<Duration> store_time,
                                    TimePoint now, RolloutActions& actions) {
  if (state.is_calling) return;
  const auto to_write = rollout.StateToWrite(surroundings.rank, now);
  if (to_write && state.has_read_status && !state.must_read &&
      now >= state.next_write_at) {
    RolloutStatus status{rollout.order().to, *to_write, std::nullopt,
                         rollout.order().time};
    if (store_time)
      status.started =
          std::max(*store_time - rollout.Elapsed(now), Duration::zero());
    state.is_calling = true;
    actions.status_writes.push_back({service, std::move(status),
                                     rollout.order_version(),
                                     state.status_version});
    return;
  }
  const bool is_needed =
      state.must_read || (to_write && !state.has_read_status);
  if (!rollout.TakeStatusRead(is_needed, surroundings, now)) return;
  state.is_calling = true;
  actions.status_reads.push_back(service);
}

void RolloutCoordinator::OnStatusRead(
    const ServiceId& service, bool is_read,
    const std::optional<RolloutStatus>& status,
    std::optional<RowVersion> version, std::optional<Duration> store_time,
    TimePoint now) {
  const auto found = states_.find(service);
  if (found == states_.end()) return;
  OrderState& state = found->second;
  state.is_calling = false;
  if (!is_read) return;
  state.has_read_status = true;
  state.must_read = false;
  state.status_version = version;
  rollouts_.OnStatus(service, status, version.value_or(RowVersion()),
                     store_time, now);
}

void RolloutCoordinator::OnStatusWritten(const RolloutStatusWrite& write,
                                         StatusWriteResult result,
                                         RowVersion version, TimePoint now) {
  const auto found = states_.find(write.service);
  if (found == states_.end()) return;
  OrderState& state = found->second;
  state.is_calling = false;
  const Rollout* rollout = rollouts_.Find(write.service);
  // After a conflict, or without a response, the row shows what holds.
  if (result != StatusWriteResult::kWritten || rollout == nullptr ||
      rollout->order() != state.order || state.order.to != write.status.to) {
    state.must_read = true;
    // Another host may have written, which the read shows. The next attempts
    // are for a row of the order that this host has not read yet.
    state.failed_writes = std::min(state.failed_writes + 1, kMaximumDoublings);
    state.next_write_at =
        now +
        kWriteRetryDelay * ((std::int64_t{1} << state.failed_writes) / 2 - 1);
    return;
  }
  state.failed_writes = 0;
  state.status_version = version;
  rollouts_.OnStatus(write.service, write.status, version, std::nullopt, now);
}

}  // namespace lovagecleat::routing
