#pragma once

#include <chrono>

#include "base/base.h"

namespace lovagecleat::policy {

// The durations on which the enforcement of the server limits depends.
struct CreditSettings {
  // A borrowed credit admits calls for at most this long.
  Duration loan_lease = std::chrono::seconds(2);
  // The caller cancels a call that still runs this long after its admission.
  Duration maximum_call_time = std::chrono::seconds(11);
  // Covers clock drift between hosts and the time to end a cancelled call.
  Duration clock_margin = std::chrono::milliseconds(500);
  // A confirmation that the epoch is current is valid for this long.
  Duration confirmation_validity = std::chrono::seconds(6);
  // All hosts of an epoch may confirm each other until this long after the last
  // confirmation from the table.
  Duration mutual_confirmation = std::chrono::minutes(30);
  // A host without confirmation may use the reserved half of its share until
  // this long after the last confirmation.
  Duration reservation_validity = std::chrono::hours(24);
  // Without a newer report that the server is warm, the cold limit applies
  // again after this time.
  Duration warm_validity = std::chrono::seconds(5);
};

}  // namespace lovagecleat::policy
