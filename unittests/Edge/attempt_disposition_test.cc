// Tests ClassifyAttempt for every combination of an attempt's result, the
// progress of the caller's response, and whether the request may be repeated.
#include "cuminswitch/Edge/attempt_disposition.h"

#include <gtest/gtest.h>

#include <vector>

namespace cuminswitch {
namespace {

struct combination {
  attempt_result attempt;
  response_progress progress;
  bool may_repeat;
  outcome result;
  attempt_action action;
};

TEST(attempt_disposition_test, ClassifiesEveryCombination) {
  using enum attempt_result;
  using enum attempt_action;
  constexpr auto kNone = response_progress::kNothing;
  constexpr auto kSome = response_progress::kBegun;
  const std::vector<combination> table = {
      {kSuccess, kNone, false, outcome::kAnswered, kForward},
      {kSuccess, kNone, true, outcome::kAnswered, kForward},
      {kSuccess, kSome, false, outcome::kAnswered, kForward},
      {kSuccess, kSome, true, outcome::kAnswered, kForward},
      {kFailure, kNone, false, outcome::kAnswered, kForward},
      {kFailure, kNone, true, outcome::kUnknown, kRetryOrForward},
      {kFailure, kSome, false, outcome::kAnswered, kAbort},
      {kFailure, kSome, true, outcome::kUnknown, kRetry},
      {kRefused, kNone, false, outcome::kNotRun, kRetry},
      {kRefused, kNone, true, outcome::kNotRun, kRetry},
      {kRefused, kSome, false, outcome::kNotRun, kRetry},
      {kRefused, kSome, true, outcome::kNotRun, kRetry},
      {kMismatch, kNone, false, outcome::kNotRun, kRetry},
      {kMismatch, kNone, true, outcome::kNotRun, kRetry},
      {kMismatch, kSome, false, outcome::kNotRun, kRetry},
      {kMismatch, kSome, true, outcome::kNotRun, kRetry},
      {kNotConnected, kNone, false, outcome::kNotRun, kRetry},
      {kNotConnected, kNone, true, outcome::kNotRun, kRetry},
      {kNotConnected, kSome, false, outcome::kNotRun, kRetry},
      {kNotConnected, kSome, true, outcome::kNotRun, kRetry},
      {kBroken, kNone, false, outcome::kUnknown, kReportUnknown},
      {kBroken, kNone, true, outcome::kUnknown, kRetry},
      {kBroken, kSome, false, outcome::kUnknown, kAbort},
      {kBroken, kSome, true, outcome::kUnknown, kRetry},
      {kStalled, kNone, false, outcome::kUnknown, kReportUnknown},
      {kStalled, kNone, true, outcome::kUnknown, kRetry},
      {kStalled, kSome, false, outcome::kUnknown, kAbort},
      {kStalled, kSome, true, outcome::kUnknown, kRetry},
      {kUnrelated, kNone, false, outcome::kUnknown, kReportUnknown},
      {kUnrelated, kNone, true, outcome::kUnknown, kRetry},
      {kUnrelated, kSome, false, outcome::kUnknown, kAbort},
      {kUnrelated, kSome, true, outcome::kUnknown, kRetry},
  };
  EXPECT_EQ(table.size(), 8U * 2 * 2);
  for (const combination& item : table) {
    const attempt_disposition disposition =
        ClassifyAttempt(item.attempt, item.progress, item.may_repeat);
    const auto where = testing::Message()
                       << "result " << static_cast<int>(item.attempt)
                       << " progress " << static_cast<int>(item.progress)
                       << " may repeat " << item.may_repeat;
    EXPECT_EQ(disposition.result, item.result) << where;
    EXPECT_EQ(disposition.action, item.action) << where;
  }
}

// Symptom: a caller repeats an order that was already executed.
// Cause: a truncated response was reported as "not run".
TEST(attempt_disposition_test, NeverReportsPossiblyExecutedRequestAsNotRun) {
  using enum attempt_result;
  for (const attempt_result result :
       {kSuccess, kFailure, kBroken, kStalled, kUnrelated}) {
    for (const bool may_repeat : {false, true}) {
      EXPECT_NE(ClassifyAttempt(result, response_progress::kNothing, may_repeat)
                    .result,
                outcome::kNotRun);
    }
  }
}

}  // namespace
}  // namespace cuminswitch
