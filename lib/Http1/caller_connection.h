/// \file
/// A connection from a caller.
#ifndef CUMINSWITCH_LIB_HTTP1_CALLER_CONNECTION_H_
#define CUMINSWITCH_LIB_HTTP1_CALLER_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "cuminswitch/Http1/caller_exchange.h"
#include "cuminswitch/Http1/message_reader.h"
#include "cuminswitch/Net/loop_timer.h"

struct bufferevent;

namespace cuminswitch {

class caller_server;
class counted_stream;
enum class caller_end_cause : uint8_t;

/// Reads requests one at a time; pipelined requests stay in the input buffer.
class caller_connection : public caller_exchange, private message_sink {
 public:
  caller_connection(caller_server& server, int fd, std::string from);
  ~caller_connection() override;

  const message_head& Head() const override { return head_; }
  const std::string& Body() const override { return body_; }
  std::string_view CallerAddress() const override { return from_; }
  void SetRequestId(std::string_view id) override { last_request_ = id; }
  void SetListener(caller_listener* listener) override { listener_ = listener; }
  void SendHead(uint32_t status,
                const http_headers& headers,
                const response_framing& framing) override;
  void SendBody(std::string_view data) override;
  void Finish() override;
  void Abort() override;
  size_t PendingBytes() const override;

  /// Closes the connection unless a request has arrived or is being answered.
  void CloseIfIdle(caller_end_cause cause);
  /// Reports to the handler if an end of the connection now cuts off a response
  /// or a request.
  void ReportCut(caller_end_cause cause);

 private:
  enum class stage : uint8_t { kIdle, kReading, kResponding, kClosing };

  void OnHead(message_head head) override;
  void OnBody(std::string_view data) override;

  void OnReadable();
  void OnWritten();
  void OnEvent(short what);
  void OnTimeout();
  void ReadRequests();
  void OnRequestRead();
  /// Responds with \p status to input that is not a valid request, and closes.
  void Reject(uint32_t status);
  /// Rejects the request being read if the memory limit is reached; returns
  /// whether it did.
  bool RejectIfOverMemoryLimit();
  void ClearBody();
  /// Whether bytes of the next request have arrived, read or not.
  bool HasInput() const;
  /// Bytes that the caller's host has not acknowledged. `PendingBytes` alone
  /// shrinks only each time a large part of the kernel's buffer has been sent.
  size_t UnacknowledgedBytes() const;
  /// Closes once all output is written and the caller has closed its side, or
  /// `kLingerTime` after the former. A caller that reads nothing for the idle
  /// timeout is dropped.
  void CloseGracefully();
  void CloseNow(caller_end_cause cause);
  /// Bytes that were received and that no request was read from.
  size_t UnreadBytes() const;
  void BecomeIdle();

  caller_server& server_;
  std::string from_;
  bufferevent* stream_ = nullptr;
  std::unique_ptr<counted_stream> counted_;
  message_reader reader_;
  loop_timer timer_;
  stage stage_ = stage::kIdle;
  message_head head_;
  std::string body_;
  std::string last_request_;
  /// Bytes that were received after the last response and dropped.
  size_t dropped_bytes_ = 0;
  caller_listener* listener_ = nullptr;
  /// `UnacknowledgedBytes()` when `timer_` was last started while closing.
  size_t unacknowledged_bytes_ = 0;
  bool is_chunked_ = false;
  bool close_after_ = false;
  bool is_dropped_ = false;
  /// Whether the last request was rejected here; bytes that follow belong to
  /// it.
  bool is_rejected_ = false;
  /// Whether `ReadRequests` is on the stack.
  bool is_reading_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_HTTP1_CALLER_CONNECTION_H_
