// Which notices of an upstream's answer count.
#include "cuminswitch/Edge/upstream_feedback.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

constexpr char kAttempt[] = "a1";
constexpr backoff_notice kRest{.kind = notice_kind::kNamed,
                               .time = std::chrono::seconds(3)};

response_attributes Refusal() {
  return {.attempt = kAttempt, .was_not_run = true, .backoff = kRest};
}

TEST(upstream_feedback_test, ARefusalAsksForRest) {
  const auto notices = SelectFeedback(Refusal(), kAttempt);
  ASSERT_TRUE(notices.backoff);
  EXPECT_EQ(notices.backoff->time, kRest.time);
  EXPECT_FALSE(notices.limit);
  EXPECT_FALSE(notices.has_run);
}

// A run that failed asks the caller to come back, and its upstream for nothing.
TEST(upstream_feedback_test, OnlyARefusalAsksForRest) {
  response_attributes said = Refusal();
  said.was_not_run = false;
  said.is_signed = true;
  EXPECT_FALSE(SelectFeedback(said, kAttempt).backoff);
}

TEST(upstream_feedback_test, AnyAnswerTellsThatItsUpstreamLeaves) {
  response_attributes said = Refusal();
  said.is_leaving = true;
  EXPECT_TRUE(SelectFeedback(said, kAttempt).is_leaving);
  said = {.attempt = kAttempt, .is_signed = true, .is_leaving = true};
  EXPECT_TRUE(SelectFeedback(said, kAttempt).is_leaving);
  EXPECT_TRUE(SelectFeedback(said, kAttempt).has_run);
}

// The address of an upstream that is gone may be another's.
TEST(upstream_feedback_test, AnAnswerOfAnotherUpstreamSaysNothing) {
  response_attributes said = Refusal();
  said.is_leaving = true;
  said.is_mismatch = true;
  const auto notices = SelectFeedback(said, kAttempt);
  EXPECT_FALSE(notices.backoff);
  EXPECT_FALSE(notices.is_leaving);
}

TEST(upstream_feedback_test, ALateAnswerToAnotherAttemptSaysNothing) {
  response_attributes said = Refusal();
  said.is_leaving = true;
  const auto notices = SelectFeedback(said, "a2");
  EXPECT_FALSE(notices.backoff);
  EXPECT_FALSE(notices.is_leaving);
}

}  // namespace
}  // namespace cuminswitch
