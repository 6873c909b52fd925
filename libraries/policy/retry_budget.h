#pragma once

#include <map>

#include "base/base.h"

namespace lovagecleat::policy {

// Bounds retries to a share of first tries, for each service on its own, so
// that a failing service is not loaded further by retries.
class RetryBudget {
 public:
  void CountFirstTry(const ServiceId& service);

  // Takes one retry from the budget; false where none is left.
  bool TakeRetry(const ServiceId& service);

 private:
  struct Bucket {
    double tokens = 0.0;
  };
  Bucket& BucketOf(const ServiceId& service);

  std::map<ServiceId, Bucket> buckets_;
};

}  // namespace lovagecleat::policy
