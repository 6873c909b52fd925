#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "messages/messages.h"
#include "services/gateway/context.h"

namespace lovagecleat::gateway {

// Carries out operators' orders to move services to new versions: reads their
// rows, exchanges reports with other hosts and writes the states
// (docs/design/rollouts.md). Context::rollouts decides.
class RolloutControl {
 public:
  using ReachableCallback = std::function<bool(const std::string& peer)>;
  using SendCallback = std::function<bool(const std::string& peer,
                                          const messages::RolloutTraffic&)>;

  RolloutControl(Context& context, RowSource& rows,
                 ReachableCallback is_reachable, SendCallback send);
  ~RolloutControl();
  RolloutControl(const RolloutControl&) = delete;
  RolloutControl& operator=(const RolloutControl&) = delete;

  // Begins with no orders, as a process with that incarnation.
  void Start(std::uint64_t incarnation);
  // Applies changed settings.
  void UpdateBounds();
  // `peers` are the addresses of the other hosts' peer links.
  void SetHosts(std::vector<HostId> hosts, std::vector<std::string> peers);

  void ApplyOrder(const std::string& service, const routing::Row& row);
  void OnServer(const routing::ServerEntry& entry);
  void OnTraffic(const std::string& from,
                 const messages::RolloutTraffic& traffic);

 private:
  void LogProblem(const ServiceId& service, const routing::Row& row,
                  routing::RolloutProblem problem);
  void CheckForUnknown(const ServiceId& service, routing::Rollout& rollout);
  routing::ServersByVersion ServersOf(const ServiceId& service);
  routing::RolloutPeers Peers() const;
  void Step();
  void ScheduleStep();
  void LogPhase(const ServiceId& service, const routing::Rollout& rollout);
  void ReadStatus(const ServiceId& service);
  void WriteStatus(const routing::RolloutStatusWrite& write);

  Context& context_;
  RowSource& rows_;
  ReachableCallback is_reachable_;
  SendCallback send_;
  routing::RolloutCoordinator coordinator_;
  std::vector<std::string> peers_;
  std::optional<TimePoint> configured_at_;
  struct LoggedOrder {
    routing::RolloutOrder order;
    routing::RolloutPhase phase = routing::RolloutPhase::kUnknown;
    TimePoint ordered_at{};
    std::set<routing::RolloutProblem> problems;
  };
  std::map<ServiceId, LoggedOrder> logged_;
  TimerId step_timer_;
};

// Returns those of the servers that a request may be sent to, by their
// versions. `takes_new` tells whether it is to go to the version on trial.
std::vector<routing::ServerRecord*> ServersByRollout(
    Context& context, const ServiceId& service, bool takes_new,
    std::vector<routing::ServerRecord*> servers);

// An answer, or its end, as the sender of the request has seen it.
struct RolloutAnswer {
  ServiceId service;
  std::string_view route;
  std::string_view software_version;
  ServerId server;
  bool has_failed = false;
  std::optional<Duration> time;
  std::optional<Duration> gap;
  bool was_counted = false;
};

// Counts what the answer shows of its version. Does nothing without an order.
// Returns whether the answer is bad.
bool CountAnswer(Context& context, const RolloutAnswer& answer);

}  // namespace lovagecleat::gateway
