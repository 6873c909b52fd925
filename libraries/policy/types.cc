#include "policy/types.h"

#include <cassert>

namespace lovagecleat::policy {

bool IsKnownNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kRefused;
}

std::string_view ToString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kOk:
      return "ok";
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kRefused:
      return "refused";
    case AttemptOutcome::kServerError:
      return "server_error";
    case AttemptOutcome::kConnectionLost:
      return "connection_lost";
    case AttemptOutcome::kNoProgress:
      return "no_progress";
    case AttemptOutcome::kDeadlineReached:
      return "deadline_reached";
    case AttemptOutcome::kCancelled:
      return "cancelled";
  }
  assert(false);
  return "";
}

std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kMalformed:
      return "malformed";
    case RefusalReason::kBodyTooLarge:
      return "body_too_large";
    case RefusalReason::kUnknownClass:
      return "unknown_class";
    case RefusalReason::kDeadlineOutOfRange:
      return "deadline_out_of_range";
    case RefusalReason::kMissingIdempotencyKey:
      return "missing_idempotency_key";
    case RefusalReason::kDuplicateInFlight:
      return "duplicate_in_flight";
    case RefusalReason::kTooManyCalls:
      return "too_many_calls";
    case RefusalReason::kCannotMeetDeadline:
      return "cannot_meet_deadline";
    case RefusalReason::kNoServer:
      return "no_server";
    case RefusalReason::kNotConfigured:
      return "not_configured";
    case RefusalReason::kStopping:
      return "stopping";
    case RefusalReason::kStoreUnavailable:
      return "store_unavailable";
    case RefusalReason::kStageFailed:
      return "stage_failed";
    case RefusalReason::kDeadlinePassed:
      return "deadline_passed";
    case RefusalReason::kKeyReusedForOtherRequest:
      return "key_reused_for_other_request";
  }
  assert(false);
  return "";
}

std::string_view ToString(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kDone:
      return "done";
    case RequestOutcome::kNotRun:
      return "not_run";
    case RequestOutcome::kUnknown:
      return "unknown";
    case RequestOutcome::kFailed:
      return "failed";
  }
  assert(false);
  return "";
}

}  // namespace lovagecleat::policy
