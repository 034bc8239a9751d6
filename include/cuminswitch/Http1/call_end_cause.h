/// \file
/// What ended a call to an upstream.
#ifndef CUMINSWITCH_HTTP1_CALL_END_CAUSE_H_
#define CUMINSWITCH_HTTP1_CALL_END_CAUSE_H_

#include <cstdint>
#include <string_view>

namespace cuminswitch {

/// What ended a call, for the log; decisions use `upstream_call_result`.
enum class call_end_cause : uint8_t {
  /// The response's framing.
  kFraming,
  /// The upstream closed the connection in an orderly way.
  kUpstreamClosed,
  /// The upstream's host reset or refused the connection.
  kUpstreamReset,
  /// Sent bytes stayed unacknowledged: the kernel's `TCP_USER_TIMEOUT`, or
  /// this daemon for a large request, from what the kernel reports.
  kUserTimeout,
  /// This daemon: a large request made no progress, and the upstream's host
  /// accepted no connection.
  kHostLost,
  kConnectTimeout,
  /// This daemon, since no byte arrived within the stall timeout.
  kStallTimeout,
  /// This daemon, since the bytes received are no valid response.
  kMalformed,
  /// This daemon, since the response is larger than it may buffer.
  kTooLarge,
  kOtherError,
};

/// Returns the name of \p value in the log.
constexpr std::string_view ToString(call_end_cause value) {
  switch (value) {
    case call_end_cause::kFraming:
      return "framing";
    case call_end_cause::kUpstreamClosed:
      return "upstream_closed";
    case call_end_cause::kUpstreamReset:
      return "upstream_reset";
    case call_end_cause::kUserTimeout:
      return "user_timeout";
    case call_end_cause::kHostLost:
      return "host_lost";
    case call_end_cause::kConnectTimeout:
      return "connect_timeout";
    case call_end_cause::kStallTimeout:
      return "stall_timeout";
    case call_end_cause::kMalformed:
      return "malformed";
    case call_end_cause::kTooLarge:
      return "too_large";
    case call_end_cause::kOtherError:
      return "other_error";
  }
  return "other_error";
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_CALL_END_CAUSE_H_
