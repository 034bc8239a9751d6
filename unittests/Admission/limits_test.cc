#include <gtest/gtest.h>

#include "cuminswitch/Admission/drain_meter.h"
#include "cuminswitch/Admission/retry_budget.h"
#include "cuminswitch/Admission/workspace_limiter.h"

namespace cuminswitch {
namespace {

time_point At(int millis) {
  return time_point(std::chrono::milliseconds(millis));
}

TEST(WorkspaceLimiterTest, OtherDaemonsRequestsCount) {
  workspace_limiter limiter;
  limiter.OnStart(1);
  limiter.OnPeerUsage(At(0), "h2", {{.workspace_hash = 1, .in_flight = 3}});
  EXPECT_TRUE(limiter.HasRoom(At(0), 1, 5));
  EXPECT_FALSE(limiter.HasRoom(At(0), 1, 4));
  EXPECT_TRUE(limiter.HasRoom(At(0), 2, 1));
}

// Symptom: a workspace stays limited although nothing of it runs.
// Cause: the last report of a daemon that died is believed for ever.
TEST(WorkspaceLimiterTest, OldReportIsForgotten) {
  workspace_limiter limiter;
  limiter.OnPeerUsage(At(0), "h2", {{.workspace_hash = 1, .in_flight = 9}});
  EXPECT_FALSE(limiter.HasRoom(At(1000), 1, 5));
  EXPECT_TRUE(limiter.HasRoom(At(4000), 1, 5));
}

TEST(WorkspaceLimiterTest, EndedRequestsMakeRoom) {
  workspace_limiter limiter;
  limiter.OnStart(1);
  EXPECT_FALSE(limiter.HasRoom(At(0), 1, 1));
  limiter.OnEnd(1);
  EXPECT_TRUE(limiter.HasRoom(At(0), 1, 1));
  EXPECT_TRUE(limiter.ListUsage().empty());
}

TEST(RetryBudgetTest, RetriesAreAShareOfTheTraffic) {
  retry_budget budget({.share = 0.1, .burst = 2});
  EXPECT_TRUE(budget.TrySpend());
  EXPECT_TRUE(budget.TrySpend());
  EXPECT_FALSE(budget.TrySpend());
  int spent = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    spent += budget.TrySpend() ? 1 : 0;
  }
  EXPECT_NEAR(spent, 100, 2);
}

TEST(DrainMeterTest, MeasuresCompletionsPerSecond) {
  drain_meter meter;
  for (int millis = 0; millis < 20'000; millis += 20) {
    meter.OnCompletion(At(millis));
  }
  EXPECT_NEAR(meter.RatePerSecond(At(20'000)), 50, 5);
}

TEST(DrainMeterTest, KnowsAPositiveRateFromTheStart) {
  EXPECT_GT(drain_meter().RatePerSecond(At(0)), 0);
}

}  // namespace
}  // namespace cuminswitch
