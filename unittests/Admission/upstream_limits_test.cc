// What is believed of the limits that upstreams name, whichever answer or news
// comes first.
#include "cuminswitch/Admission/upstream_limits.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

using change = upstream_limits::change;
constexpr uint64_t kUpstream = 7;

time_point At(double seconds) {
  return time_point(FromSeconds(1'000 + seconds));
}
limit_notice Named(double rate) {
  return {.kind = notice_kind::kNamed, .rate = rate};
}

TEST(upstream_limits_test, ALimitBeginsChangesAndEnds) {
  upstream_limits limits;
  EXPECT_EQ(limits.OnAnswer(At(0), kUpstream, At(-1), {}), change::kNothing);
  EXPECT_EQ(limits.OnAnswer(At(1), kUpstream, At(0), Named(2)), change::kAdded);
  EXPECT_EQ(limits.OnAnswer(At(2), kUpstream, At(1), Named(2)),
            change::kNothing);
  EXPECT_EQ(limits.OnAnswer(At(3), kUpstream, At(2), Named(0.5)),
            change::kChanged);
  EXPECT_EQ(limits.Find(kUpstream), 0.5);
  EXPECT_EQ(limits.OnAnswer(At(5), kUpstream, At(4), {}), change::kEnded);
  EXPECT_EQ(limits.Find(kUpstream), std::nullopt);
}

// Symptom: an upstream in need gets as much as before for a moment, again and
// again.
// Sequence: two requests are under way; the answer to the later one names a
// limit and overtakes the other, which was made before and names none.
// Cause: the answer that came last was taken for the later one.
TEST(upstream_limits_test, AnAnswerToAnEarlierRequestEndsNoLimit) {
  upstream_limits limits;
  limits.OnAnswer(At(1), kUpstream, At(0.9), Named(1));
  EXPECT_EQ(limits.OnAnswer(At(1.1), kUpstream, At(0.8), {}), change::kNothing);
  EXPECT_EQ(limits.Find(kUpstream), 1);
  EXPECT_EQ(limits.OnAnswer(At(1.3), kUpstream, At(1.2), {}), change::kEnded);
}

TEST(upstream_limits_test, WhatCannotBeReadChangesNothing) {
  upstream_limits limits;
  const limit_notice unreadable{.kind = notice_kind::kUnreadable};
  EXPECT_EQ(limits.OnAnswer(At(0), kUpstream, At(0), unreadable),
            change::kNothing);
  limits.OnAnswer(At(1), kUpstream, At(0), Named(3));
  EXPECT_EQ(limits.OnAnswer(At(3), kUpstream, At(2), unreadable),
            change::kNothing);
  EXPECT_EQ(limits.Find(kUpstream), 3);
}

TEST(upstream_limits_test, TheYoungerNewsOfAPeerCounts) {
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

TEST(upstream_limits_test, OnlyWhatWasHeardFirstHandIsToldOn) {
  upstream_limits limits;
  limits.OnUpdate(At(0), {.upstream = 1, .rate = 4});
  limits.OnAnswer(At(0), 2, At(-1), Named(5));
  const auto news = limits.ListUpdates(At(1));
  ASSERT_EQ(news.size(), 1U);
  EXPECT_EQ(news.front().upstream, 2U);
  EXPECT_EQ(news.front().rate, 5);
  EXPECT_EQ(news.front().age, std::chrono::seconds(1));
}

// Where a daemon beats only some of its peers the others never hear of a limit.
TEST(upstream_limits_test, WhatPeersToldIsPassedOnWithItsAge) {
  upstream_limits limits;
  limits.OnUpdate(At(0),
                  {.upstream = 1, .rate = 4, .age = std::chrono::seconds(2)});
  const auto news = limits.ListUpdates(At(1), true);
  ASSERT_EQ(news.size(), 1U);
  EXPECT_EQ(news.front().rate, 4);
  EXPECT_EQ(news.front().age, std::chrono::seconds(3));
}

TEST(upstream_limits_test, ALimitThatNobodyRenewsEnds) {
  upstream_limits limits;
  limits.OnAnswer(At(0), 1, At(0), Named(5));
  // So small a limit is renewed by few answers.
  limits.OnAnswer(At(0), 2, At(0), Named(0.1));
  limits.OnAnswer(At(0), 3, At(0), Named(0));
  EXPECT_TRUE(limits.TakeExpired(At(9)).empty());
  EXPECT_EQ(limits.TakeExpired(At(11)), std::vector<uint64_t>{1});
  EXPECT_GT(limits.Find(3), 0);
  EXPECT_EQ(limits.TakeExpired(At(31)).size(), 2U);
  EXPECT_EQ(limits.size(), 0U);
}

}  // namespace
}  // namespace cuminswitch
