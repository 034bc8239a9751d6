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

TEST(QuotaBucket, AdmitsTheBurstAndThenTheRate) {
  quota_bucket bucket = MakeBucket(100, 50, 50);
  int admitted = 0;
  for (int i = 0; i < 5'000; ++i) {
    const quota_bucket::request item{.weight = 1,
                                     .digest = static_cast<uint64_t>(i) + 1};
    admitted += bucket.Decide(At(i * 0.002), item).is_admitted ? 1 : 0;
  }
  EXPECT_GE(admitted, 50 + 100 * 10 - 2);
  EXPECT_LE(admitted, 50 + 100 * 10 + 2);
}

TEST(QuotaBucket, AdmitsARequestLargerThanTheBurstAndPaysTheDebt) {
  quota_bucket bucket = MakeBucket(100, 50, 50);
  EXPECT_TRUE(bucket.Decide(At(0), {.weight = 250, .digest = 1}).is_admitted);
  const auto refused = bucket.Decide(At(0), {.weight = 1, .digest = 2});
  EXPECT_FALSE(refused.is_admitted);
  EXPECT_NEAR(ToSeconds(refused.retry_after), 2, 0.001);
}

// Guards against a caller that observes its Retry-After and is refused again,
// because requests that arrived meanwhile used up the refilled units.
TEST(QuotaBucket, ReservesUnitsForRefusedRequests) {
  quota_bucket bucket = MakeBucket(100, 100, -50);
  const duration max_wait = std::chrono::seconds(2);
  const auto first =
      bucket.Decide(At(0), {.weight = 30, .digest = 1, .max_wait = max_wait});
  const auto second =
      bucket.Decide(At(0), {.weight = 30, .digest = 2, .max_wait = max_wait});
  ASSERT_FALSE(first.is_admitted);
  ASSERT_FALSE(second.is_admitted);
  EXPECT_LT(first.retry_after, second.retry_after);
  // New requests arrive all the time.
  for (int i = 1; i < 50; ++i) {
    const auto newcomer = bucket.Decide(
        At(i * 0.01),
        {.weight = 30, .digest = 100U + static_cast<uint64_t>(i)});
    EXPECT_FALSE(newcomer.is_admitted) << i;
  }
  EXPECT_TRUE(bucket
                  .Decide(At(0) + first.retry_after,
                          {.weight = 30, .digest = 1, .max_wait = max_wait})
                  .is_admitted);
  EXPECT_TRUE(bucket
                  .Decide(At(0) + second.retry_after,
                          {.weight = 30, .digest = 2, .max_wait = max_wait})
                  .is_admitted);
}

// Guards against a workspace that stays far over its limit and gets less than
// the limit: refused callers don't return, and their reservations never expire.
TEST(QuotaBucket, ReleasesReservationsOfCallersThatDoNotReturn) {
  quota_bucket bucket = MakeBucket(100, 100, 0);
  double admitted = 0;
  for (int i = 0; i < 10'000; ++i) {
    const quota_bucket::request item{.weight = 10,
                                     .digest = static_cast<uint64_t>(i) + 1,
                                     .max_wait = std::chrono::seconds(1)};
    admitted +=
        bucket.Decide(At(i * 0.002), item).is_admitted ? item.weight : 0;
  }
  // 20 s at 100 units per second.
  EXPECT_GE(admitted, 1'900);
  EXPECT_LT(admitted, 2'120);
}

TEST(QuotaBucket, ReturnsUnusedUnitsUpToTheBurst) {
  quota_bucket bucket = MakeBucket(100, 100, 10);
  EXPECT_TRUE(bucket.Decide(At(0), {.weight = 60, .digest = 1}).is_admitted);
  EXPECT_FALSE(bucket.Decide(At(0), {.weight = 60, .digest = 2}).is_admitted);
  bucket.Charge(At(0), -60);
  EXPECT_TRUE(bucket.Decide(At(0), {.weight = 60, .digest = 3}).is_admitted);
  bucket.Charge(At(0), -1e9);
  EXPECT_EQ(bucket.Level(At(0)), 100);
}

TEST(QuotaBucket, AppliesALowerLimitAtOnce) {
  quota_bucket bucket = MakeBucket(100, 100, 100);
  bucket.SetLimit(At(0), 10, 5);
  EXPECT_EQ(bucket.Level(At(0)), 5);
  EXPECT_NEAR(bucket.Level(At(0.2)), 5, 1e-9);
}

}  // namespace
}  // namespace cuminswitch
