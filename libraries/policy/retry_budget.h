#pragma once

#include <map>

#include "base/base.h"

namespace lovagecleat::policy {

// How many retries a budget allows.
struct RetryAllowance {
  // Retries add at most this share to the offered work.
  double per_first_try = 0.1;
  // So many retries may come at once after a quiet time.
  double at_once = 10.0;
};

// Bounds retries to a share of first tries, for each service on its own, so
// that a failing service is not loaded further by retries.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryAllowance& allowance = {})
      : allowance_(allowance) {}

  // Takes effect for each service as its budget fills up or is used.
  void SetAllowance(const RetryAllowance& allowance) { allowance_ = allowance; }

  void CountFirstTry(const ServiceId& service);

  // Whether TakeRetry would give one.
  bool HasRetry(const ServiceId& service);

  // Takes one retry from the budget; false where none is left.
  bool TakeRetry(const ServiceId& service);

 private:
  struct Bucket {
    double tokens = 0.0;
  };
  Bucket& BucketOf(const ServiceId& service);

  RetryAllowance allowance_;
  std::map<ServiceId, Bucket> buckets_;
};

}  // namespace lovagecleat::policy
