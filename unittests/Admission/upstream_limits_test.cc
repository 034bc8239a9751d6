// Tracking of advertised limits, in whichever order responses and updates from
// peers arrive.
#include "cuminswitch/Admission/upstream_limits.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

using change = upstream_limits::change;
constexpr uint64_t kUpstream = 7;

time_point At(double seconds) {
  return time_point(FromSeconds(1'000 + seconds));
}
limit_notice Advertised(double rate) {
  return {.kind = notice_kind::kValid, .rate = rate};
}

TEST(upstream_limits_test, AddsChangesAndEndsALimit) {
  upstream_limits limits;
  EXPECT_EQ(limits.OnResponse(At(0), kUpstream, At(-1), {}), change::kNothing);
  EXPECT_EQ(limits.OnResponse(At(1), kUpstream, At(0), Advertised(2)),
            change::kAdded);
  EXPECT_EQ(limits.OnResponse(At(2), kUpstream, At(1), Advertised(2)),
            change::kNothing);
  EXPECT_EQ(limits.OnResponse(At(3), kUpstream, At(2), Advertised(0.5)),
            change::kChanged);
  EXPECT_EQ(limits.Find(kUpstream), 0.5);
  EXPECT_EQ(limits.OnResponse(At(5), kUpstream, At(4), {}), change::kEnded);
  EXPECT_EQ(limits.Find(kUpstream), std::nullopt);
}

// Guards against an overloaded upstream that repeatedly gets its full load for
// a moment. Of two requests in flight, the response to the later one advertises
// a limit and overtakes the earlier response without one, which was taken for
// the newer.
TEST(upstream_limits_test, ResponseToAnEarlierRequestDoesNotEndALimit) {
  upstream_limits limits;
  limits.OnResponse(At(1), kUpstream, At(0.9), Advertised(1));
  EXPECT_EQ(limits.OnResponse(At(1.1), kUpstream, At(0.8), {}),
            change::kNothing);
  EXPECT_EQ(limits.Find(kUpstream), 1);
  EXPECT_EQ(limits.OnResponse(At(1.3), kUpstream, At(1.2), {}), change::kEnded);
}

TEST(upstream_limits_test, IgnoresUnreadableLimits) {
  upstream_limits limits;
  const limit_notice unreadable{.kind = notice_kind::kUnreadable};
  EXPECT_EQ(limits.OnResponse(At(0), kUpstream, At(0), unreadable),
            change::kNothing);
  limits.OnResponse(At(1), kUpstream, At(0), Advertised(3));
  EXPECT_EQ(limits.OnResponse(At(3), kUpstream, At(2), unreadable),
            change::kNothing);
  EXPECT_EQ(limits.Find(kUpstream), 3);
}

TEST(upstream_limits_test, AppliesTheMostRecentUpdateOfPeers) {
  upstream_limits limits;
  EXPECT_EQ(limits.OnUpdate(At(2), {.upstream = kUpstream,
                                    .rate = 4,
                                    .age = std::chrono::seconds(1)}),
            change::kAdded);
  EXPECT_EQ(limits.OnUpdate(At(2), {.upstream = kUpstream,
                                    .has_ended = true,
                                    .age = std::chrono::seconds(2)}),
            change::kNothing);
  EXPECT_EQ(limits.OnUpdate(At(2), {.upstream = kUpstream,
                                    .rate = 9,
                                    .age = std::chrono::seconds(3)}),
            change::kNothing);
  EXPECT_EQ(limits.Find(kUpstream), 4);
  EXPECT_EQ(limits.OnUpdate(At(3), {.upstream = kUpstream,
                                    .has_ended = true,
                                    .age = std::chrono::milliseconds(100)}),
            change::kEnded);
}

TEST(upstream_limits_test, ListsOnlyLimitsLearntFromUpstreams) {
  upstream_limits limits;
  limits.OnUpdate(At(0), {.upstream = 1, .rate = 4});
  limits.OnResponse(At(0), 2, At(-1), Advertised(5));
  const auto updates = limits.ListUpdates(At(1));
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_EQ(updates.front().upstream, 2U);
  EXPECT_EQ(updates.front().rate, 5);
  EXPECT_EQ(updates.front().age, std::chrono::seconds(1));
}

// Without relaying, a limit doesn't reach peers that get no heartbeats from the
// daemon that learnt it.
TEST(upstream_limits_test, RelaysUpdatesOfPeersWithTheirAge) {
  upstream_limits limits;
  limits.OnUpdate(At(0),
                  {.upstream = 1, .rate = 4, .age = std::chrono::seconds(2)});
  const auto updates = limits.ListUpdates(At(1), true);
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_EQ(updates.front().rate, 4);
  EXPECT_EQ(updates.front().age, std::chrono::seconds(3));
}

TEST(upstream_limits_test, EndsLimitsThatAreNotRenewed) {
  upstream_limits limits;
  limits.OnResponse(At(0), 1, At(0), Advertised(5));
  // Such a small limit is renewed by few responses.
  limits.OnResponse(At(0), 2, At(0), Advertised(0.1));
  limits.OnResponse(At(0), 3, At(0), Advertised(0));
  EXPECT_TRUE(limits.TakeExpired(At(9)).empty());
  EXPECT_EQ(limits.TakeExpired(At(11)), std::vector<uint64_t>{1});
  EXPECT_GT(limits.Find(3), 0);
  EXPECT_EQ(limits.TakeExpired(At(31)).size(), 2U);
  EXPECT_EQ(limits.size(), 0U);
}

}  // namespace
}  // namespace cuminswitch
