#pragma once

#include <chrono>

#include "base/base.h"

namespace lovagecleat::policy {

// The spans on which the safety of the server limits rests.
struct CreditSettings {
  Duration loan_lease = std::chrono::seconds(2);
  // No call runs longer than this after it was admitted.
  Duration maximum_call_time = std::chrono::seconds(11);
  // For clocks of different speed and the time to end a cancelled call.
  Duration clock_margin = std::chrono::milliseconds(500);
  // A proof that the epoch is current is good for this long.
  Duration roster_confirmation = std::chrono::seconds(6);
  // Mutual confirmation by all hosts of an epoch ends this long after the last
  // proof from the table.
  Duration direct_confirmation = std::chrono::minutes(30);
  // The right to the reserved half ends this long after the last proof.
  Duration reservation = std::chrono::hours(24);
  // A warm sign older than this no longer allows more than the cold limit.
  Duration warm_validity = std::chrono::seconds(5);
};

}  // namespace lovagecleat::policy
