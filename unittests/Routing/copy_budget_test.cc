// What daemons ask of a cache store's link together.
#include "cuminswitch/Routing/copy_budget.h"

#include <gtest/gtest.h>

#include <vector>

#include "cuminswitch/Config/configuration.h"

namespace cuminswitch {
namespace {

constexpr time_point kStart{std::chrono::seconds(100)};
const cache_store_spec kStore{.address = {"10.0.0.9", 9},
                              .failure_domain = "x",
                              .copy_rate = 300'000};

/// Tokens that \p daemons get copied in ten seconds when each asks for 6,000
/// tokens ten times a second.
double CopiedIn10Seconds(size_t daemons, bool is_near) {
  std::vector<copy_budget> budgets(daemons);
  double copied = 0;
  for (copy_budget& budget : budgets) {
    budget.SetFleetSize(daemons);
    for (int i = 0; i < 100; ++i) {
      const time_point now = kStart + std::chrono::milliseconds(100 * i);
      copied += budget.TrySpend(now, kStore, is_near, 6'000) ? 6'000 : 0;
    }
  }
  return copied;
}

// Symptom: each contract review waits two seconds, on a day without trouble.
// Sequence: 60 engines lose their caches; 63 daemons have all prefixes copied
// from three stores; the links are full from then on. Cause: no daemon knew
// what the others asked for.
TEST(copy_budget_test, TheFleetTogetherKeepsToABound) {
  // Ten seconds, and two that were saved up, at five times the rate; and one
  // copy more for each daemon, which is made from a small rest.
  const double bound = 12 * 5 * kStore.copy_rate + 63 * 6'000;
  EXPECT_LE(CopiedIn10Seconds(63, true), bound);
  EXPECT_GE(CopiedIn10Seconds(63, true), 0.3 * bound);
}

TEST(copy_budget_test, FarCopiesTakeTheLinkForTwiceAsLong) {
  constexpr size_t kDaemons = 400;
  const double far = CopiedIn10Seconds(kDaemons, false);
  EXPECT_NEAR(far, CopiedIn10Seconds(kDaemons, true) / 2, 0.2 * far);
}

TEST(copy_budget_test, AnUnknownRateIsNotBounded) {
  copy_budget budget;
  const cache_store_spec unknown{.address = {"10.0.0.9", 9}};
  for (int i = 0; i < 1'000; ++i) {
    EXPECT_TRUE(budget.TrySpend(kStart, unknown, true, 1e6));
  }
}

TEST(copy_budget_test, HasPlentyOnlyWhileHalfIsLeft) {
  copy_budget budget;
  EXPECT_TRUE(budget.HasPlenty(kStart, kStore));
  budget.TrySpend(kStart, kStore, true, 6 * kStore.copy_rate);
  EXPECT_FALSE(budget.HasPlenty(kStart, kStore));
  EXPECT_TRUE(budget.HasPlenty(kStart + std::chrono::seconds(2), kStore));
}

}  // namespace
}  // namespace cuminswitch
