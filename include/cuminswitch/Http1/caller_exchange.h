/// \file
/// One caller's request and the way back to the caller.
#ifndef CUMINSWITCH_HTTP1_CALLER_EXCHANGE_H_
#define CUMINSWITCH_HTTP1_CALLER_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "cuminswitch/Http1/message_head.h"

namespace cuminswitch {

/// Learns what becomes of a caller while its answer is under way.
class caller_listener {
 public:
  virtual ~caller_listener() = default;
  /// The caller closed its connection; the exchange is gone with the return.
  virtual void OnCallerGone() = 0;
  /// The caller has taken all that was sent.
  virtual void OnCallerDrained() = 0;
};

/// How an answer's body is delimited for the caller.
struct response_framing {
  /// Without a length the body goes in chunks.
  std::optional<uint64_t> content_length;
  /// Close the connection after this answer.
  bool close = false;
};

/// A request that was read whole. The answer is sent by one `SendHead`, any
/// number of `SendBody`, and `Finish` or `Abort`, after which the exchange must
/// not be touched again.
class caller_exchange {
 public:
  virtual ~caller_exchange() = default;

  virtual const message_head& Head() const = 0;
  virtual const std::string& Body() const = 0;
  /// The network address that the caller connected from, without its port;
  /// empty where it is not known.
  virtual std::string_view CallerAddress() const { return {}; }

  virtual void SetListener(caller_listener* listener) = 0;
  virtual void SendHead(uint32_t status,
                        const http_headers& headers,
                        const response_framing& framing) = 0;
  virtual void SendBody(std::string_view data) = 0;
  virtual void Finish() = 0;
  /// Ends the connection so that the answer cannot pass for complete.
  virtual void Abort() = 0;
  /// Bytes that the caller has not taken yet.
  virtual size_t PendingBytes() const = 0;
};

/// Sends a whole answer of our own and finishes the exchange.
void Reply(caller_exchange& exchange,
           uint32_t status,
           const http_headers& headers,
           std::string_view body,
           bool close);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_CALLER_EXCHANGE_H_
