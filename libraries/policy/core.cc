#include "policy/core.h"

#include "policy/core_state.h"

namespace lovagecleat::policy {

Core::Core(const CoreSettings& settings, TimePoint now, WallTime wall_now)
    : state_(std::make_unique<State>(settings, now, wall_now)) {}

Core::~Core() = default;

std::vector<Command> Core::Handle(const Event& event, TimePoint now,
                                  WallTime wall_now) {
  return state_->Handle(event, now, wall_now);
}

TimePoint Core::NextWakeUp() const { return state_->NextWakeUp(); }

std::uint64_t Core::configuration_revision() const {
  return state_->configuration_revision();
}

}  // namespace lovagecleat::policy
