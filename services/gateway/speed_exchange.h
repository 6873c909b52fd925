#pragma once

#include <functional>
#include <string>
#include <vector>

#include "messages/messages.h"
#include "services/gateway/context.h"
#include "services/gateway/peer_outbox.h"

namespace lovagecleat::gateway {

// Tells the other hosts of the zone how fast this host saw backend servers
// work, and takes over what they saw. Shows the estimates in logs and metrics.
class SpeedExchange {
 public:
  using ReachableCallback = std::function<bool(const std::string& peer)>;
  using Outbox = PeerOutbox<messages::ServerSpeeds>;

  SpeedExchange(Context& context, ReachableCallback is_reachable,
                Outbox::SendCallback send);
  ~SpeedExchange();
  SpeedExchange(const SpeedExchange&) = delete;
  SpeedExchange& operator=(const SpeedExchange&) = delete;

  // Sets the addresses of the other hosts of the zone.
  void SetHosts(std::vector<std::string> others_in_zone);

  void OnMessage(const messages::ServerSpeeds& speeds);

 private:
  void Tick();
  void Send();
  void ShowEstimates();

  Context& context_;
  ReachableCallback is_reachable_;
  Outbox outbox_;
  std::vector<std::string> hosts_in_zone_;
  TimePoint shown_at_{};
  TimerId timer_;
};

}  // namespace lovagecleat::gateway
