#include <catch2/catch.hpp>

#include "policy/policy.h"

namespace lovagecleat::policy {
namespace {

const ServiceId kService("v");

// Guards against retry storms: every first try fails and is retried as often as
// the budget allows.
TEST_CASE("Retries stay within the ratio of first tries and one burst") {
  RetryBudget budget({0.2, 4.0});
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.CountFirstTry(kService);
    while (budget.TakeRetry(kService)) ++retries;
  }
  REQUIRE(retries >= 195);
  REQUIRE(retries <= 204);
}

TEST_CASE("HasRetry takes no retry from the budget") {
  RetryBudget budget({0.0, 1.0});
  for (int i = 0; i < 3; ++i) REQUIRE(budget.HasRetry(kService));
  REQUIRE(budget.TakeRetry(kService));
  REQUIRE_FALSE(budget.HasRetry(kService));
  REQUIRE_FALSE(budget.TakeRetry(kService));
}

}  // namespace
}  // namespace lovagecleat::policy
