// Every cell of the table: what came back, how far the caller's answer is, and
// whether the request may run again.
#include "cuminswitch/Edge/attempt_verdict.h"

#include <gtest/gtest.h>

#include <vector>

namespace cuminswitch {
namespace {

struct cell {
  attempt_answer answer;
  response_progress progress;
  bool may_repeat;
  outcome result;
  verdict_action action;
};

TEST(attempt_verdict_test, EveryCell) {
  using enum attempt_answer;
  using enum verdict_action;
  constexpr auto kNone = response_progress::kNothing;
  constexpr auto kSome = response_progress::kBegun;
  const std::vector<cell> table = {
      {kSuccess, kNone, false, outcome::kAnswered, kHandOn},
      {kSuccess, kNone, true, outcome::kAnswered, kHandOn},
      {kSuccess, kSome, false, outcome::kAnswered, kHandOn},
      {kSuccess, kSome, true, outcome::kAnswered, kHandOn},
      {kFailure, kNone, false, outcome::kAnswered, kHandOn},
      {kFailure, kNone, true, outcome::kUnknown, kPlaceAgainOrHandOn},
      {kFailure, kSome, false, outcome::kAnswered, kCutOff},
      {kFailure, kSome, true, outcome::kUnknown, kPlaceAgain},
      {kRefused, kNone, false, outcome::kNotRun, kPlaceAgain},
      {kRefused, kNone, true, outcome::kNotRun, kPlaceAgain},
      {kRefused, kSome, false, outcome::kNotRun, kPlaceAgain},
      {kRefused, kSome, true, outcome::kNotRun, kPlaceAgain},
      {kMismatch, kNone, false, outcome::kNotRun, kPlaceAgain},
      {kMismatch, kNone, true, outcome::kNotRun, kPlaceAgain},
      {kMismatch, kSome, false, outcome::kNotRun, kPlaceAgain},
      {kMismatch, kSome, true, outcome::kNotRun, kPlaceAgain},
      {kNotConnected, kNone, false, outcome::kNotRun, kPlaceAgain},
      {kNotConnected, kNone, true, outcome::kNotRun, kPlaceAgain},
      {kNotConnected, kSome, false, outcome::kNotRun, kPlaceAgain},
      {kNotConnected, kSome, true, outcome::kNotRun, kPlaceAgain},
      {kBroken, kNone, false, outcome::kUnknown, kTellUnknown},
      {kBroken, kNone, true, outcome::kUnknown, kPlaceAgain},
      {kBroken, kSome, false, outcome::kUnknown, kCutOff},
      {kBroken, kSome, true, outcome::kUnknown, kPlaceAgain},
      {kStalled, kNone, false, outcome::kUnknown, kTellUnknown},
      {kStalled, kNone, true, outcome::kUnknown, kPlaceAgain},
      {kStalled, kSome, false, outcome::kUnknown, kCutOff},
      {kStalled, kSome, true, outcome::kUnknown, kPlaceAgain},
      {kForeign, kNone, false, outcome::kUnknown, kTellUnknown},
      {kForeign, kNone, true, outcome::kUnknown, kPlaceAgain},
      {kForeign, kSome, false, outcome::kUnknown, kCutOff},
      {kForeign, kSome, true, outcome::kUnknown, kPlaceAgain},
  };
  EXPECT_EQ(table.size(), 8U * 2 * 2);
  for (const cell& item : table) {
    const attempt_verdict verdict =
        JudgeAttempt(item.answer, item.progress, item.may_repeat);
    const auto where = testing::Message()
                       << "answer " << static_cast<int>(item.answer)
                       << " progress " << static_cast<int>(item.progress)
                       << " may repeat " << item.may_repeat;
    EXPECT_EQ(verdict.result, item.result) << where;
    EXPECT_EQ(verdict.action, item.action) << where;
  }
}

// Symptom: a caller repeats an order that has run.
// Cause: a broken answer was told as "not run".
TEST(attempt_verdict_test, NothingThatMayHaveRunIsToldAsNotRun) {
  using enum attempt_answer;
  for (const attempt_answer answer :
       {kSuccess, kFailure, kBroken, kStalled, kForeign}) {
    for (const bool may_repeat : {false, true}) {
      EXPECT_NE(
          JudgeAttempt(answer, response_progress::kNothing, may_repeat).result,
          outcome::kNotRun);
    }
  }
}

}  // namespace
}  // namespace cuminswitch
