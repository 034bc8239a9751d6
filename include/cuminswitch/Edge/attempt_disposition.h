/// \file
/// What an attempt's end means for its request.
#ifndef CUMINSWITCH_EDGE_ATTEMPT_DISPOSITION_H_
#define CUMINSWITCH_EDGE_ATTEMPT_DISPOSITION_H_

#include <cstdint>
#include <string_view>

#include "cuminswitch/Support/outcome.h"

namespace cuminswitch {

/// What came back from an upstream.
enum class attempt_result : uint8_t {
  /// A whole answer of success, signed and for this attempt.
  kSuccess,
  /// A whole, signed answer of failure after a run.
  kFailure,
  /// The upstream states that it did not run the request.
  kRefused,
  /// Another upstream than was meant, or other weights: not run.
  kMismatch,
  /// No connection came about.
  kNotConnected,
  /// The connection broke before the answer was whole.
  kBroken,
  /// Nothing came for so long that this daemon gave the attempt up.
  kStalled,
  /// Something that is no answer to this attempt.
  kUnrelated,
};

/// How much of the answer the caller already has.
enum class response_progress : uint8_t { kNothing, kBegun };

/// What to do about it.
enum class attempt_action : uint8_t {
  /// The caller gets this answer.
  kForward,
  /// Another upstream may be asked; if none can be, the caller gets this
  /// answer.
  kRetryOrForward,
  /// Another upstream may be asked; if none can be, the caller is told what is
  /// known.
  kRetry,
  /// The caller is told that the end is not known.
  kReportUnknown,
  /// The caller's connection ends, so that the answer cannot pass for whole.
  kAbort,
};

struct attempt_disposition {
  outcome result = outcome::kUnknown;
  attempt_action action = attempt_action::kReportUnknown;
};

/// Returns the answer's name as it stands in logs.
std::string_view ToString(attempt_result value);

/// Judges an attempt. \p may_repeat says that the request may run again, for a
/// stream that it may go on elsewhere after its last event.
attempt_disposition ClassifyAttempt(attempt_result answer,
                                    response_progress progress,
                                    bool may_repeat);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_ATTEMPT_DISPOSITION_H_
