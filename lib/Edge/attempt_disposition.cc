#include "cuminswitch/Edge/attempt_disposition.h"

namespace cuminswitch {

std::string_view ToString(attempt_result value) {
  switch (value) {
    case attempt_result::kSuccess:
      return "success";
    case attempt_result::kFailure:
      return "failure";
    case attempt_result::kRefused:
      return "refused";
    case attempt_result::kMismatch:
      return "mismatch";
    case attempt_result::kNotReserved:
      return "not_reserved";
    case attempt_result::kNotConnected:
      return "not_connected";
    case attempt_result::kBroken:
      return "broken";
    case attempt_result::kStalled:
      return "stalled";
    case attempt_result::kExpired:
      return "expired";
    case attempt_result::kUnrelated:
      return "foreign";
  }
  return "foreign";
}

attempt_disposition ClassifyAttempt(attempt_result result,
                                    response_progress progress,
                                    bool may_repeat) {
  const bool has_begun = progress == response_progress::kBegun;
  switch (result) {
    case attempt_result::kSuccess:
      return {.result = outcome::kAnswered, .action = attempt_action::kForward};
    case attempt_result::kFailure:
      // The request was executed. After the head of a success response was
      // sent, a failure cannot be reported, so the response is aborted.
      if (may_repeat) {
        return {.result = outcome::kUnknown,
                .action = has_begun ? attempt_action::kRetry
                                    : attempt_action::kRetryOrForward};
      }
      return {.result = outcome::kAnswered,
              .action = has_begun ? attempt_action::kAbort
                                  : attempt_action::kForward};
    case attempt_result::kRefused:
    case attempt_result::kMismatch:
    case attempt_result::kNotReserved:
    case attempt_result::kNotConnected:
      return {.result = outcome::kNotRun, .action = attempt_action::kRetry};
    case attempt_result::kBroken:
    case attempt_result::kStalled:
    case attempt_result::kExpired:
    case attempt_result::kUnrelated:
      if (may_repeat) {
        return {.result = outcome::kUnknown, .action = attempt_action::kRetry};
      }
      return {.result = outcome::kUnknown,
              .action = has_begun ? attempt_action::kAbort
                                  : attempt_action::kReportUnknown};
  }
  return {};
}

}  // namespace cuminswitch
