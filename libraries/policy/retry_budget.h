#pragma once

#include <map>

#include "base/base.h"

namespace lovagecleat::policy {

// How many retries a budget allows.
struct RetryAllowance {
  // Tokens added by each first try. Limits the long-term ratio of retries to
  // first tries.
  double retries_per_first_try = 0.1;
  // The largest burst of retries; the capacity of the token bucket.
  double burst = 10.0;
};

// Limits retries to a ratio of first tries with one token bucket for each
// service, so that retries do not add much load to a failing service.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryAllowance& allowance = {})
      : allowance_(allowance) {}

  // Keeps the tokens of existing buckets. A smaller burst limits a bucket at
  // its next first try.
  void SetAllowance(const RetryAllowance& allowance) { allowance_ = allowance; }

  void CountFirstTry(const ServiceId& service);

  // Returns whether TakeRetry would succeed. Takes no token.
  bool HasRetry(const ServiceId& service);

  // Takes one retry from the budget. Returns false if none is left.
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
