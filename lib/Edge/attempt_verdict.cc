#include "cuminswitch/Edge/attempt_verdict.h"

namespace cuminswitch {

std::string_view ToString(attempt_answer value) {
  switch (value) {
    case attempt_answer::kSuccess:
      return "success";
    case attempt_answer::kFailure:
      return "failure";
    case attempt_answer::kRefused:
      return "refused";
    case attempt_answer::kMismatch:
      return "mismatch";
    case attempt_answer::kNotConnected:
      return "not_connected";
    case attempt_answer::kBroken:
      return "broken";
    case attempt_answer::kStalled:
      return "stalled";
    case attempt_answer::kForeign:
      return "foreign";
  }
  return "foreign";
}

attempt_verdict JudgeAttempt(attempt_answer answer,
                             response_progress progress,
                             bool may_repeat) {
  const bool has_begun = progress == response_progress::kBegun;
  switch (answer) {
    case attempt_answer::kSuccess:
      return {.result = outcome::kAnswered, .action = verdict_action::kHandOn};
    case attempt_answer::kFailure:
      // It ran. A failure in the middle of an answer cannot be shown.
      if (may_repeat) {
        return {.result = outcome::kUnknown,
                .action = has_begun ? verdict_action::kPlaceAgain
                                    : verdict_action::kPlaceAgainOrHandOn};
      }
      return {.result = outcome::kAnswered,
              .action = has_begun ? verdict_action::kCutOff
                                  : verdict_action::kHandOn};
    case attempt_answer::kRefused:
    case attempt_answer::kMismatch:
    case attempt_answer::kNotConnected:
      return {.result = outcome::kNotRun,
              .action = verdict_action::kPlaceAgain};
    case attempt_answer::kBroken:
    case attempt_answer::kStalled:
    case attempt_answer::kForeign:
      if (may_repeat) {
        return {.result = outcome::kUnknown,
                .action = verdict_action::kPlaceAgain};
      }
      return {.result = outcome::kUnknown,
              .action = has_begun ? verdict_action::kCutOff
                                  : verdict_action::kTellUnknown};
  }
  return {};
}

}  // namespace cuminswitch
