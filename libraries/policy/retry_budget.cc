#include "policy/retry_budget.h"

#include <algorithm>

namespace lovagecleat::policy {

namespace {
// Retries add at most this share to the offered work.
constexpr double kRetriesPerFirstTry = 0.1;
// So many retries may come at once after a quiet time.
constexpr double kMaximumTokens = 10.0;
}  // namespace

RetryBudget::Bucket& RetryBudget::BucketOf(const ServiceId& service) {
  // The configuration bounds the services, so the map needs no eviction.
  return buckets_.try_emplace(service, Bucket{kMaximumTokens}).first->second;
}

void RetryBudget::CountFirstTry(const ServiceId& service) {
  Bucket& bucket = BucketOf(service);
  bucket.tokens = std::min(kMaximumTokens, bucket.tokens + kRetriesPerFirstTry);
}

bool RetryBudget::TakeRetry(const ServiceId& service) {
  Bucket& bucket = BucketOf(service);
  if (bucket.tokens < 1.0) return false;
  bucket.tokens -= 1.0;
  return true;
}

}  // namespace lovagecleat::policy
