#include "policy/retry_budget.h"

#include <algorithm>

namespace lovagecleat::policy {

RetryBudget::Bucket& RetryBudget::BucketOf(const ServiceId& service) {
  // The configuration limits the number of services, so the map needs no
  // eviction.
  return buckets_.try_emplace(service, Bucket{allowance_.burst}).first->second;
}

void RetryBudget::CountFirstTry(const ServiceId& service) {
  Bucket& bucket = BucketOf(service);
  bucket.tokens = std::min(allowance_.burst,
                           bucket.tokens + allowance_.retries_per_first_try);
}

bool RetryBudget::HasRetry(const ServiceId& service) {
  return BucketOf(service).tokens >= 1.0;
}

bool RetryBudget::TakeRetry(const ServiceId& service) {
  if (!HasRetry(service)) return false;
  BucketOf(service).tokens -= 1.0;
  return true;
}

}  // namespace lovagecleat::policy
