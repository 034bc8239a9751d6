/// \file
/// One request of a caller and its response.
#ifndef CUMINSWITCH_HTTP1_CALLER_EXCHANGE_H_
#define CUMINSWITCH_HTTP1_CALLER_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "cuminswitch/Http1/message_head.h"

namespace cuminswitch {

/// Receives the events of a caller's connection while its response is being
/// sent.
class caller_listener {
 public:
  virtual ~caller_listener() = default;
  /// The caller closed its connection. The exchange must not be used after this
  /// call returns.
  virtual void OnCallerDisconnected() = 0;
  /// All buffered output was written to the caller's socket.
  virtual void OnCallerDrained() = 0;
};

/// How a response body is delimited.
struct response_framing {
  /// Without a length the body is sent in chunks.
  std::optional<uint64_t> content_length;
  /// Close the connection after this response.
  bool close = false;
};

/// A completely received request. The response is sent by one `SendHead`, any
/// number of `SendBody`, and `Finish` or `Abort`, after which the exchange must
/// not be used.
class caller_exchange {
 public:
  virtual ~caller_exchange() = default;

  virtual const message_head& Head() const = 0;
  virtual const std::string& Body() const = 0;
  /// The network address that the caller connected from, without its port;
  /// empty if unknown.
  virtual std::string_view CallerAddress() const { return {}; }

  /// Sets the identifier by which the handler reports the request.
  virtual void SetRequestId(std::string_view /*id*/) {}
  virtual void SetListener(caller_listener* listener) = 0;
  virtual void SendHead(uint32_t status,
                        const http_headers& headers,
                        const response_framing& framing) = 0;
  virtual void SendBody(std::string_view data) = 0;
  virtual void Finish() = 0;
  /// Ends the connection such that the caller cannot take the response for
  /// complete.
  virtual void Abort() = 0;
  /// Bytes buffered and not yet written to the caller's socket.
  virtual size_t PendingBytes() const = 0;
};

/// Sends a complete response with \p body and finishes the exchange.
void Reply(caller_exchange& exchange,
           uint32_t status,
           const http_headers& headers,
           std::string_view body,
           bool close);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_CALLER_EXCHANGE_H_
