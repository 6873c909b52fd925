#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"

namespace lovagecleat::routing {

// What a version that may be bad is allowed to cost, over all hosts.
struct RolloutBounds {
  // Part of the service's requests between order and deadline that may reach a
  // bad version, and a number of requests beyond it.
  double exposure_share = 0.1;
  double exposure_slack = 50;
  // No request is sent to a bad version for longer than this after its
  // kBadAnswersBound-th bad answer.
  Duration rollback_time = std::chrono::seconds(5);
};

inline constexpr std::uint64_t kBadAnswersBound = 50;

// An operator's order to move the traffic of a service to the servers of one
// version.
struct RolloutOrder {
  ServiceId service;
  std::string to;
  Duration time{};  // zero: over at once

  friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

enum class RolloutProblem {
  kUnreadable,
  kOtherService,    // names another service than its row
  kNoVersion,       // `to` is missing, empty or no text
  kNoTime,          // the time is missing or no finite number
  kTimeOver,        // the time is zero or negative
  kUnknownService,  // no configuration has the service
  kUnknownVersion,  // no server of the version is registered
};

std::string_view NameOf(RolloutProblem problem);

// The fields of an order as its row states them; empty if a field is missing or
// of another type.
struct RolloutOrderFields {
  std::optional<std::string> service;
  std::optional<std::string> to;
  std::optional<double> seconds;
};

struct RolloutOrderReading {
  // Missing if the row names no version. An order without a usable time has the
  // time zero, so that its version gets nothing.
  std::optional<RolloutOrder> order;
  std::optional<RolloutProblem> problem;
};

// Checks the order of the row for `service`.
RolloutOrderReading ReadRolloutOrder(const ServiceId& service,
                                     const RolloutOrderFields& fields);

enum class RolloutState { kRunning, kCompleted, kRolledBack };

// What the system tells operators about an order.
struct RolloutStatus {
  std::string to;
  RolloutState state = RolloutState::kRunning;
  // When the order was learned of, on the store's clock.
  std::optional<Duration> started;
  // The time that the order gives.
  std::optional<Duration> time = std::nullopt;

  friend bool operator==(const RolloutStatus&, const RolloutStatus&) = default;
};

std::string_view NameOf(RolloutState state);

}  // namespace lovagecleat::routing
