/// \file
/// The end of a caller's connection that cut off a response or a request.
#ifndef CUMINSWITCH_HTTP1_CALLER_CONNECTION_END_H_
#define CUMINSWITCH_HTTP1_CALLER_CONNECTION_END_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cuminswitch {

/// Who ended a caller's connection, and why.
enum class caller_end_cause : uint8_t {
  kCallerClosed,
  kCallerReset,
  /// No request began within the idle timeout.
  kIdleTimeout,
  /// The caller did not close a finished connection in time.
  kLingerTimeout,
  /// The response could not be completed.
  kAborted,
  /// A stopping daemon closes its idle connections.
  kDraining,
  /// The daemon exits.
  kStopped,
};

struct caller_connection_end {
  caller_end_cause cause = caller_end_cause::kCallerClosed;
  /// Bytes of responses that were not written to the caller's socket.
  size_t unsent_bytes = 0;
  /// Received bytes that no request was read from.
  size_t unread_bytes = 0;
  /// Whether a request was partially read, or its response is in progress.
  bool is_request_open = false;
  /// See `caller_exchange::SetRequestId`; empty if there was no request.
  std::string_view last_request;
};

/// Returns the name of \p value in the log and the metrics.
constexpr std::string_view ToString(caller_end_cause value) {
  switch (value) {
    case caller_end_cause::kCallerClosed:
      return "caller_closed";
    case caller_end_cause::kCallerReset:
      return "caller_reset";
    case caller_end_cause::kIdleTimeout:
      return "idle_timeout";
    case caller_end_cause::kLingerTimeout:
      return "linger_timeout";
    case caller_end_cause::kAborted:
      return "aborted";
    case caller_end_cause::kDraining:
      return "draining";
    case caller_end_cause::kStopped:
      return "stopped";
  }
  return "stopped";
}

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_CALLER_CONNECTION_END_H_
