#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/base.h"
#include "policy/commands.h"
#include "policy/server_table.h"

namespace lovagecleat::policy {

// Polls idle servers for load reports. Busy servers send a report with every
// answer. Rendezvous hashing assigns each server to one host of the zone, which
// polls it.
class LoadPoller {
 public:
  explicit LoadPoller(HostId self) : self_(std::move(self)) {}

  std::vector<Command> Tick(const ServerTable& servers,
                            std::span<const HostId> alive_in_zone,
                            TimePoint now);

  TimePoint NextDue() const { return next_due_; }

 private:
  bool IsAssignedToSelf(const ServerId& server,
                        std::span<const HostId> alive_in_zone) const;

  HostId self_;
  TimePoint next_due_{};
};

}  // namespace lovagecleat::policy
