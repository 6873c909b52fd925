#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/base.h"
#include "policy/commands.h"
#include "policy/server_table.h"

namespace lovagecleat::policy {

// Asks idle servers how they are. Busy servers tell with every answer, and the
// hosts of a zone divide the idle ones between them by rendezvous hashing.
class LoadPolling {
 public:
  explicit LoadPolling(HostId self) : self_(std::move(self)) {}

  std::vector<Command> Tick(const ServerTable& servers,
                            std::span<const HostId> alive_in_zone,
                            TimePoint now);

  TimePoint NextDue() const { return next_due_; }

 private:
  bool IsOwn(const ServerId& server,
             std::span<const HostId> alive_in_zone) const;

  HostId self_;
  TimePoint next_due_{};
};

}  // namespace lovagecleat::policy
