/// \file
/// Interface of one request to an upstream.
#ifndef CUMINSWITCH_HTTP1_UPSTREAM_CALL_H_
#define CUMINSWITCH_HTTP1_UPSTREAM_CALL_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cuminswitch/Http1/call_end_cause.h"
#include "cuminswitch/Http1/message_head.h"
#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// A request to send. It gets a `Content-Length`, except a GET without a body.
struct upstream_request {
  endpoint to;
  std::string method;
  std::string target;
  http_headers headers;
  std::string_view body;
  std::chrono::milliseconds connect_timeout{1'000};
  /// Reuse a pooled connection only if it has been idle for less than this;
  /// zero opens a new connection.
  std::chrono::milliseconds max_idle{0};
};

/// How a call ended.
enum class upstream_call_result : uint8_t {
  /// The response is complete.
  kComplete,
  /// The connection could not be established: no byte of the request was sent.
  kNotConnected,
  /// The connection was lost after bytes may have been sent.
  kBroken,
  /// The response is not valid HTTP or exceeds a size limit.
  kMalformed,
};

/// The call that a response responds to.
enum class response_owner : uint8_t {
  kThisCall,
  /// This call, but a second copy of the response could not be told from the
  /// response to a later call, so its connection is not reused.
  kUnstated,
  /// An earlier call on the same connection.
  kOtherCall,
};

/// Receives a call's events. It may destroy the call in any of them but
/// `OnOtherResponse`.
class upstream_handler {
 public:
  virtual ~upstream_handler() = default;
  /// Returns the call that the response with \p head responds to.
  virtual response_owner OwnerOf(const message_head& /*head*/) const {
    return response_owner::kThisCall;
  }
  /// A response with \p head that belongs to another call is skipped.
  virtual void OnOtherResponse(const message_head& /*head*/) {}
  virtual void OnResponseHead(const message_head& head) = 0;
  virtual void OnResponseBody(std::string_view data) = 0;
  virtual void OnCallEnd(upstream_call_result end) = 0;
};

/// A call in progress; destroying it cancels it by closing its connection.
class upstream_call {
 public:
  virtual ~upstream_call() = default;
  /// Pauses and resumes reading, to bound the bytes that are buffered.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
  /// Whether the request was sent on a connection that had carried earlier
  /// requests.
  virtual bool IsOnReusedConnection() const = 0;
  /// What ended the call; only valid once `OnCallEnd` was called.
  virtual call_end_cause EndCause() const = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_UPSTREAM_CALL_H_
