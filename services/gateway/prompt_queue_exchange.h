#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "messages/messages.h"
#include "services/gateway/context.h"
#include "services/gateway/stage_router.h"

namespace lovagecleat::gateway {

// Lets the hosts know which servers have many prompts to read. Each host
// reports its own prompts to the host that adds them up for the server, which
// tells all others when the queue is long.
class PromptQueueExchange {
 public:
  using ReachableCallback = std::function<bool(const std::string& peer)>;
  // Returns false if the message cannot be sent now.
  using SendCallback = std::function<bool(
      const std::string& peer, const messages::PromptQueues& queues)>;

  PromptQueueExchange(Context& context, ReachableCallback is_reachable,
                      SendCallback send);
  ~PromptQueueExchange();
  PromptQueueExchange(const PromptQueueExchange&) = delete;
  PromptQueueExchange& operator=(const PromptQueueExchange&) = delete;

  void SetHosts(std::vector<PeerHost> others);

  void OnMessage(const std::string& sender,
                 const messages::PromptQueues& queues);

 private:
  // Returns the address of the host that adds up for that server.
  std::string KeeperOf(const routing::ServerEntry& server) const;
  void ScheduleReport();
  void Report();
  void Repeat();
  void ScheduleTell();
  void Tell();

  Context& context_;
  ReachableCallback is_reachable_;
  SendCallback send_;
  std::vector<PeerHost> others_;
  routing::PromptQueueSums sums_;
  std::set<ServerId> open_;  // where prompts of this host wait
  TimerId report_timer_;
  TimerId repeat_timer_;
  TimerId tell_timer_;
};

}  // namespace lovagecleat::gateway
