/// \file
/// Classifies how an attempt ended and what follows for its request.
#ifndef CUMINSWITCH_EDGE_ATTEMPT_DISPOSITION_H_
#define CUMINSWITCH_EDGE_ATTEMPT_DISPOSITION_H_

#include <cstdint>
#include <string_view>

#include "cuminswitch/Support/outcome.h"

namespace cuminswitch {

/// How an attempt at an upstream ended.
enum class attempt_result : uint8_t {
  /// A complete success response, signed and for this attempt.
  kSuccess,
  /// A complete failure response after the upstream executed the request.
  kFailure,
  /// The upstream states that it did not execute the request.
  kRefused,
  /// The upstream is not the intended one, or has other weights; it did not
  /// execute the request.
  kMismatch,
  /// The upstream granted no reservation, so the request was not sent.
  kNotReserved,
  /// No connection was established.
  kNotConnected,
  /// The response ended before it was complete: the connection was lost, or a
  /// stream ended inside an event.
  kBroken,
  /// No bytes arrived within the stall timeout, so this daemon ended the
  /// attempt.
  kStalled,
  /// The response ended before it was complete, at or after the request's
  /// deadline, at which an upstream stops.
  kExpired,
  /// The bytes received are not a response to this attempt.
  kUnrelated,
};

/// Whether the caller has already received a part of the response.
enum class response_progress : uint8_t { kNothing, kBegun };

/// How to proceed after an attempt.
enum class attempt_action : uint8_t {
  /// Send this response to the caller.
  kForward,
  /// Retry at another upstream; if none is available, send this response to the
  /// caller.
  kRetryOrForward,
  /// Retry at another upstream; if none is available, report the known outcome
  /// to the caller.
  kRetry,
  /// Report to the caller that the outcome is unknown.
  kReportUnknown,
  /// Close the caller's connection, so that the caller does not take a
  /// truncated response for a complete one.
  kAbort,
};

struct attempt_disposition {
  outcome result = outcome::kUnknown;
  attempt_action action = attempt_action::kReportUnknown;
};

/// Returns the name of \p value in the log.
std::string_view ToString(attempt_result value);

/// Classifies an attempt that ended with \p result. \p may_repeat states that
/// the request may be executed again; for a stream, that another upstream may
/// resume it after its last event.
attempt_disposition ClassifyAttempt(attempt_result result,
                                    response_progress progress,
                                    bool may_repeat);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_ATTEMPT_DISPOSITION_H_
