#include "cuminswitch/Admission/quota_bucket.h"

#include <gtest/gtest.h>

#include <vector>

namespace cuminswitch {
namespace {

time_point At(double seconds) {
  return time_point(FromSeconds(100 + seconds));
}

quota_bucket MakeBucket(double rate, double burst, double level) {
  quota_bucket bucket(At(0), level);
  bucket.SetLimit(At(0), rate, burst);
  return bucket;
}

TEST(QuotaBucket, TakesTheBurstAndThenTheRate) {
  quota_bucket bucket = MakeBucket(100, 50, 50);
  int taken = 0;
  for (int i = 0; i < 5'000; ++i) {
    const quota_bucket::request item{.weight = 1,
                                     .digest = static_cast<uint64_t>(i) + 1};
    taken += bucket.Decide(At(i * 0.002), item).is_admitted ? 1 : 0;
  }
  EXPECT_GE(taken, 50 + 100 * 10 - 2);
  EXPECT_LE(taken, 50 + 100 * 10 + 2);
}

TEST(QuotaBucket, TakesARequestThatIsLargerThanTheBurstAndPaysForIt) {
  quota_bucket bucket = MakeBucket(100, 50, 50);
  EXPECT_TRUE(bucket.Decide(At(0), {.weight = 250, .digest = 1}).is_admitted);
  const auto refused = bucket.Decide(At(0), {.weight = 1, .digest = 2});
  EXPECT_FALSE(refused.is_admitted);
  EXPECT_NEAR(ToSeconds(refused.retry_after), 2, 0.001);
}

// Symptom: a caller comes back when it was told to and is refused again, while
// requests that came in between were taken.
// Cause: what the bucket gained by then went to whoever came first.
TEST(QuotaBucket, KeepsAPlaceForThoseThatWereToldToComeBack) {
  quota_bucket bucket = MakeBucket(100, 100, -50);
  const duration patience = std::chrono::seconds(2);
  const auto first =
      bucket.Decide(At(0), {.weight = 30, .digest = 1, .max_wait = patience});
  const auto second =
      bucket.Decide(At(0), {.weight = 30, .digest = 2, .max_wait = patience});
  ASSERT_FALSE(first.is_admitted);
  ASSERT_FALSE(second.is_admitted);
  EXPECT_LT(first.retry_after, second.retry_after);
  // Newcomers all the time.
  for (int i = 1; i < 50; ++i) {
    const auto newcomer = bucket.Decide(
        At(i * 0.01),
        {.weight = 30, .digest = 100U + static_cast<uint64_t>(i)});
    EXPECT_FALSE(newcomer.is_admitted) << i;
  }
  EXPECT_TRUE(bucket
                  .Decide(At(0) + first.retry_after,
                          {.weight = 30, .digest = 1, .max_wait = patience})
                  .is_admitted);
  EXPECT_TRUE(bucket
                  .Decide(At(0) + second.retry_after,
                          {.weight = 30, .digest = 2, .max_wait = patience})
                  .is_admitted);
}

// Symptom: a workspace that stays far over its limit gets less than the limit.
// Sequence: callers are refused and told to come back, and do not.
// Cause: their places are kept for ever.
TEST(QuotaBucket, GivesAwayThePlacesOfThoseThatDoNotComeBack) {
  quota_bucket bucket = MakeBucket(100, 100, 0);
  double taken = 0;
  for (int i = 0; i < 10'000; ++i) {
    const quota_bucket::request item{.weight = 10,
                                     .digest = static_cast<uint64_t>(i) + 1,
                                     .max_wait = std::chrono::seconds(1)};
    taken += bucket.Decide(At(i * 0.002), item).is_admitted ? item.weight : 0;
  }
  // 20 s at 100 a second.
  EXPECT_GE(taken, 1'900);
  EXPECT_LT(taken, 2'120);
}

TEST(QuotaBucket, GivesBackWhatDidNotRun) {
  quota_bucket bucket = MakeBucket(100, 100, 10);
  EXPECT_TRUE(bucket.Decide(At(0), {.weight = 60, .digest = 1}).is_admitted);
  EXPECT_FALSE(bucket.Decide(At(0), {.weight = 60, .digest = 2}).is_admitted);
  bucket.Charge(At(0), -60);
  EXPECT_TRUE(bucket.Decide(At(0), {.weight = 60, .digest = 3}).is_admitted);
  bucket.Charge(At(0), -1e9);
  EXPECT_EQ(bucket.Level(At(0)), 100);
}

TEST(QuotaBucket, KeepsToALowerLimitAtOnce) {
  quota_bucket bucket = MakeBucket(100, 100, 100);
  bucket.SetLimit(At(0), 10, 5);
  EXPECT_EQ(bucket.Level(At(0)), 5);
  EXPECT_NEAR(bucket.Level(At(0.2)), 5, 1e-9);
}

}  // namespace
}  // namespace cuminswitch
