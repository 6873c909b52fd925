#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "policy/commands.h"
#include "policy/events.h"

namespace lovagecleat::policy {

// How a server is chosen. kRoundRobin and kLeastOutstanding are baselines for
// comparison.
enum class PlacementKind { kExpectedFinish, kRoundRobin, kLeastOutstanding };

struct CoreSettings {
  HostId host;
  ZoneId zone;
  std::uint64_t incarnation = 1;  // increases with each start of the host
  std::uint64_t seed = 1;
  PlacementKind placement = PlacementKind::kExpectedFinish;
  std::size_t maximum_requests = 2000;
};

// Makes all decisions of one entry host. It does no I/O and reads no clock:
// each event comes with its time, and Handle returns the commands to carry out.
class Core {
 public:
  Core(const CoreSettings& settings, TimePoint now, WallTime wall_now);
  ~Core();
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  std::vector<Command> Handle(const Event& event, TimePoint now,
                              WallTime wall_now);

  // Returns when the next WakeUp is due at the latest.
  TimePoint NextWakeUp() const;

  std::uint64_t configuration_revision() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace lovagecleat::policy
