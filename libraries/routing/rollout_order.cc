#include "routing/rollout_order.h"

#include <algorithm>
#include <cmath>

namespace lovagecleat::routing {

namespace {

// Longer times mean the same.
constexpr double kMaximumSeconds = 24 * 3600;

}  // namespace

std::string_view NameOf(RolloutProblem problem) {
  switch (problem) {
    case RolloutProblem::kUnreadable:
      return "unreadable";
    case RolloutProblem::kOtherService:
      return "other_service";
    case RolloutProblem::kNoVersion:
      return "no_version";
    case RolloutProblem::kNoTime:
      return "no_time";
    case RolloutProblem::kTimeOver:
      return "time_over";
    case RolloutProblem::kUnknownService:
      return "unknown_service";
    case RolloutProblem::kUnknownVersion:
      return "unknown_version";
  }
  return "unreadable";
}

std::string_view NameOf(RolloutState state) {
  switch (state) {
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kCompleted:
      return "completed";
    case RolloutState::kRolledBack:
      return "rolled_back";
  }
  return "running";
}

RolloutOrderReading ReadRolloutOrder(const ServiceId& service,
                                     const RolloutOrderFields& fields) {
  if (fields.service && *fields.service != service.value())
    return {std::nullopt, RolloutProblem::kOtherService};
  if (!fields.to || fields.to->empty())
    return {std::nullopt, RolloutProblem::kNoVersion};
  RolloutOrderReading reading;
  reading.order = RolloutOrder{service, *fields.to, Duration::zero()};
  if (!fields.seconds || !std::isfinite(*fields.seconds)) {
    reading.problem = RolloutProblem::kNoTime;
  } else if (*fields.seconds <= 0) {
    reading.problem = RolloutProblem::kTimeOver;
  } else {
    reading.order->time =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            std::min(*fields.seconds, kMaximumSeconds)));
  }
  return reading;
}

}  // namespace lovagecleat::routing
