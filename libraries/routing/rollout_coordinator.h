#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"
#include "routing/rollouts.h"

namespace lovagecleat::routing {

// Other hosts, by the addresses of their peer links.
struct RolloutPeers {
  std::string self;
  std::vector<std::string> reachable;
  bool reaches_all = true;
};

// Servers of a service that may get requests, by version.
using ServersByVersion = std::map<std::string, std::size_t>;

// A write of the row of the state, on the condition that neither that row nor
// the row of the order has changed.
struct RolloutStatusWrite {
  ServiceId service;
  RolloutStatus status;
  RowVersion order_version;
  // Nothing if the row must not exist.
  std::optional<RowVersion> status_version;
};

struct RolloutMessage {
  std::string to;
  RolloutReport report;
};

// What a host has to do for its orders.
struct RolloutActions {
  std::vector<RolloutMessage> messages;
  std::vector<ServiceId> status_reads;
  std::vector<RolloutStatusWrite> status_writes;
};

enum class StatusWriteResult { kWritten, kConflict, kNoResponse };

// Exchanges what hosts know of the orders: reports evidence to the hosts that
// decide, announces decisions to all, and keeps the rows of the states.
class RolloutCoordinator {
 public:
  explicit RolloutCoordinator(Rollouts& rollouts) : rollouts_(rollouts) {}

  // Call it several times in Rollout::ReportPeriod. `servers` returns those of
  // a service, `store_time` is the time on the store's clock.
  template <typename Servers>
  RolloutActions Step(const RolloutPeers& peers, const Servers& servers,
                      std::optional<Duration> store_time, TimePoint now) {
    RolloutActions actions;
    for (const auto& [service, rollout] : rollouts_.All())
      StepOrder(service, *rollout, peers, servers(service), store_time, now,
                actions);
    return actions;
  }

  // Returns the answer to the sender, if there is one.
  std::optional<RolloutReport> OnReport(const RolloutReport& report,
                                        TimePoint now);

  // Call them once for each read and write. The status is nothing if there is
  // no row; `is_read` is false if the store did not respond.
  void OnStatusRead(const ServiceId& service, bool is_read,
                    const std::optional<RolloutStatus>& status,
                    std::optional<RowVersion> version,
                    std::optional<Duration> store_time, TimePoint now);
  void OnStatusWritten(const RolloutStatusWrite& write,
                       StatusWriteResult result, RowVersion version,
                       TimePoint now);

  // Returns this host's rank among the hosts that may decide for the service.
  static std::size_t RankOf(const ServiceId& service,
                            const RolloutPeers& peers);

 private:
  struct OrderState {
    RolloutOrder order;
    RowVersion order_version;
    std::optional<TimePoint> reported_at;
    RolloutPhase announced = RolloutPhase::kUnknown;
    bool announced_written = false;
    int announcements = 0;  // still to be sent
    std::optional<TimePoint> announced_at;
    // Version of the row of the state; nothing if it was not read.
    bool has_read_status = false;
    std::optional<RowVersion> status_version;
    bool is_calling = false;  // a read or a write is in progress
    bool must_read = false;
    int failed_writes = 0;  // since the last one that was accepted
    TimePoint next_write_at{};
  };

  void StepOrder(const ServiceId& service, Rollout& rollout,
                 const RolloutPeers& peers, const ServersByVersion& servers,
                 std::optional<Duration> store_time, TimePoint now,
                 RolloutActions& actions);
  void Announce(OrderState& state, Rollout& rollout, const RolloutPeers& peers,
                TimePoint now, RolloutActions& actions);
  void Report(OrderState& state, Rollout& rollout, const RolloutPeers& peers,
              TimePoint now, RolloutActions& actions);
  void KeepStatus(const ServiceId& service, OrderState& state, Rollout& rollout,
                  const RolloutSurroundings& surroundings,
                  std::optional<Duration> store_time, TimePoint now,
                  RolloutActions& actions);

  Rollouts& rollouts_;
  std::map<ServiceId, OrderState> states_;
};

}  // namespace lovagecleat::routing
