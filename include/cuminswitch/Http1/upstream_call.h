/// \file
/// One request to an upstream.
#ifndef CUMINSWITCH_HTTP1_UPSTREAM_CALL_H_
#define CUMINSWITCH_HTTP1_UPSTREAM_CALL_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cuminswitch/Http1/message_head.h"
#include "cuminswitch/Support/endpoint.h"

namespace cuminswitch {

/// A request to send. It is sent with a length.
struct upstream_request {
  endpoint to;
  std::string method;
  std::string target;
  http_headers headers;
  std::string_view body;
  std::chrono::milliseconds connect_timeout{1'000};
  /// Use only a kept connection that has been idle for less than this; zero
  /// opens a new one.
  std::chrono::milliseconds max_idle{0};
};

/// How a call ended.
enum class upstream_call_result : uint8_t {
  /// The answer is whole.
  kComplete,
  /// No connection came about: not one byte was sent.
  kNotConnected,
  /// The connection broke after bytes may have been sent.
  kBroken,
  /// What came back is not HTTP.
  kMalformed,
};

/// Takes a call's events. It may destroy the call in any of them.
class upstream_handler {
 public:
  virtual ~upstream_handler() = default;
  virtual void OnResponseHead(const message_head& head) = 0;
  virtual void OnResponseBody(std::string_view data) = 0;
  virtual void OnCallEnd(upstream_call_result end) = 0;
};

/// A call under way; destroying it cancels it by closing its connection.
class upstream_call {
 public:
  virtual ~upstream_call() = default;
  /// Stops and resumes reading, to bound what is buffered.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
  /// Whether the request went over a connection that had served others.
  virtual bool IsOnKeptConnection() const = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_UPSTREAM_CALL_H_
