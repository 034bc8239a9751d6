#include "caller_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <utility>

#include "cuminswitch/Http1/caller_connection_end.h"
#include "cuminswitch/Http1/caller_server.h"
#include "cuminswitch/Net/counted_stream.h"
#include "cuminswitch/Support/status_code.h"
#include "read_front.h"
#include "status_text.h"

namespace cuminswitch {

/// Input bytes buffered while a response is being sent; more stay in the
/// kernel's socket buffer.
static constexpr size_t kMaxReadAhead = 64UL << 10;
/// How long input is discarded after the whole response was written before the
/// connection is closed. Closing a socket with unread bytes resets the
/// connection, and the response can be lost with it.
static constexpr std::chrono::milliseconds kLingerTime{500};
/// Largest body, in bytes, that is still accepted while large ones are refused
/// because of the memory limit.
static constexpr size_t kSmallBodySize = 16UL << 10;
/// `Retry-After`, in seconds, of a request refused because of the memory limit.
/// Slow callers occupy memory for seconds, but other hosts may have capacity.
static constexpr char kMemoryRetryAfter[] = "1";

caller_connection::caller_connection(caller_server& server,
                                     int fd,
                                     std::string from)
    : server_(server),
      from_(std::move(from)),
      reader_({.reads = message_reader::kind::kRequest}, *this),
      timer_(server.base_, [this] { OnTimeout(); }) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  stream_ = bufferevent_socket_new(server.base_, fd, BEV_OPT_CLOSE_ON_FREE);
  const auto on_read = [](bufferevent* /*stream*/, void* raw) {
    static_cast<caller_connection*>(raw)->OnReadable();
  };
  const auto on_write = [](bufferevent* /*stream*/, void* raw) {
    static_cast<caller_connection*>(raw)->OnWritten();
  };
  const auto on_event = [](bufferevent* /*stream*/, short what, void* raw) {
    static_cast<caller_connection*>(raw)->OnEvent(what);
  };
  bufferevent_setcb(stream_, on_read, on_write, on_event, this);
  counted_ = std::make_unique<counted_stream>(stream_, server.account_);
  bufferevent_setwatermark(stream_, EV_READ, 0, kMaxReadAhead);
  bufferevent_enable(stream_, EV_READ | EV_WRITE);
  BecomeIdle();
}

caller_connection::~caller_connection() {
  ClearBody();
  counted_.reset();
  bufferevent_free(stream_);
}

void caller_connection::ClearBody() {
  server_.account_.Remove(body_.size());
  // An assignment would keep the allocated memory.
  std::string().swap(body_);
}

void caller_connection::BecomeIdle() {
  stage_ = stage::kIdle;
  head_ = {};
  ClearBody();
  listener_ = nullptr;
  timer_.Start(server_.limits_.idle_timeout);
}

void caller_connection::OnHead(message_head head) {
  head_ = std::move(head);
  if (IsSameFieldName(head_.Find("Expect"), "100-continue")) {
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    bufferevent_write(stream_, kContinue.data(), kContinue.size());
  }
  timer_.Start(server_.limits_.request_timeout);
}

void caller_connection::OnBody(std::string_view data) {
  body_.append(data);
  server_.account_.Add(data.size());
}

void caller_connection::OnReadable() {
  evbuffer* input = bufferevent_get_input(stream_);
  if (stage_ == stage::kClosing) {
    dropped_bytes_ += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  ReadRequests();
}

void caller_connection::ReadRequests() {
  if (is_reading_) {
    return;
  }
  is_reading_ = true;
  evbuffer* input = bufferevent_get_input(stream_);
  while (!is_dropped_ && evbuffer_get_length(input) > 0 &&
         (stage_ == stage::kIdle || stage_ == stage::kReading)) {
    if (stage_ == stage::kIdle) {
      stage_ = stage::kReading;
      reader_.SetLimits(server_.limits_.max_head_size,
                        server_.limits_.max_body_size);
      timer_.Start(server_.limits_.request_timeout);
    }
    switch (ReadFront(reader_, input)) {
      case read_result::kNeedMore:
        if (reader_.IsInBody()) {
          timer_.Start(server_.limits_.request_timeout);
          RejectIfOverMemoryLimit();
        }
        break;
      case read_result::kMessageDone:
        if (!RejectIfOverMemoryLimit()) {
          OnRequestRead();
        }
        break;
      case read_result::kMalformed:
        Reject(status_code::kBadRequest);
        break;
      case read_result::kHeadTooLarge:
        Reject(status_code::kHeadTooLarge);
        break;
      case read_result::kBodyTooLarge:
        Reject(status_code::kPayloadTooLarge);
        break;
    }
  }
  is_reading_ = false;
}

void caller_connection::OnRequestRead() {
  stage_ = stage::kResponding;
  timer_.Cancel();
  close_after_ = !head_.keep_alive;
  server_.handler_.OnRequest(*this);
}

void caller_connection::Reject(uint32_t status) {
  stage_ = stage::kResponding;
  is_rejected_ = true;
  close_after_ = true;
  timer_.Cancel();
  Reply(*this, status, {}, {}, true);
}

bool caller_connection::RejectIfOverMemoryLimit() {
  const byte_account& account = server_.account_;
  const bool is_large = body_.size() > kSmallBodySize;
  if (!account.IsOver() && !(is_large && account.IsFull())) {
    return false;
  }
  ++server_.refused_;
  ClearBody();
  is_rejected_ = true;
  stage_ = stage::kResponding;
  timer_.Cancel();
  Reply(*this, status_code::kUnavailable,
        {{.name = "Retry-After", .value = kMemoryRetryAfter}}, {}, true);
  return true;
}

void caller_connection::SendHead(uint32_t status,
                                 const http_headers& headers,
                                 const response_framing& framing) {
  close_after_ = close_after_ || framing.close || server_.IsDraining();
  // Neither field is allowed there.
  const bool has_framing = status != status_code::kNoContent;
  is_chunked_ = has_framing && !framing.content_length.has_value();
  std::string text =
      "HTTP/1.1 " + std::to_string(status) + " " + StatusText(status) + "\r\n";
  for (const http_header& item : headers) {
    text.append(item.name).append(": ").append(item.value).append("\r\n");
  }
  if (is_chunked_) {
    text += "Transfer-Encoding: chunked\r\n";
  } else if (has_framing) {
    text +=
        "Content-Length: " + std::to_string(*framing.content_length) + "\r\n";
  }
  if (close_after_) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  bufferevent_write(stream_, text.data(), text.size());
}

void caller_connection::SendBody(std::string_view data) {
  if (data.empty()) {
    return;
  }
  if (!is_chunked_) {
    bufferevent_write(stream_, data.data(), data.size());
    return;
  }
  std::array<char, 24> size_line{};
  const int size =
      std::snprintf(size_line.data(), size_line.size(), "%zx\r\n", data.size());
  bufferevent_write(stream_, size_line.data(), static_cast<size_t>(size));
  bufferevent_write(stream_, data.data(), data.size());
  bufferevent_write(stream_, "\r\n", 2);
}

void caller_connection::Finish() {
  if (is_chunked_) {
    static constexpr std::string_view kLastChunk = "0\r\n\r\n";
    bufferevent_write(stream_, kLastChunk.data(), kLastChunk.size());
  }
  listener_ = nullptr;
  // A head sent before the drain began did not announce the close; the
  // connection is closed nevertheless, unless the caller has already sent
  // another request. The response to that one announces it.
  if (close_after_ || (server_.IsDraining() && !HasInput())) {
    CloseGracefully();
    return;
  }
  BecomeIdle();
  ReadRequests();
}

void caller_connection::Abort() {
  listener_ = nullptr;
  // Events read together with the upstream's failure are still delivered, so
  // that the caller can resume after them. The missing last chunk shows that
  // the response is incomplete.
  if (is_chunked_ && PendingBytes() > 0) {
    CloseGracefully();
  } else {
    CloseNow(caller_end_cause::kAborted);
  }
}

size_t caller_connection::PendingBytes() const {
  return evbuffer_get_length(bufferevent_get_output(stream_));
}

size_t caller_connection::UnacknowledgedBytes() const {
  int in_kernel = 0;
  ioctl(bufferevent_getfd(stream_), SIOCOUTQ, &in_kernel);
  return PendingBytes() + static_cast<size_t>(in_kernel);
}

void caller_connection::CloseGracefully() {
  stage_ = stage::kClosing;
  unacknowledged_bytes_ = UnacknowledgedBytes();
  timer_.Start(server_.limits_.idle_timeout);
  OnWritten();
}

void caller_connection::OnWritten() {
  if (stage_ == stage::kResponding && listener_ != nullptr) {
    listener_->OnCallerDrained();
    return;
  }
  if (stage_ == stage::kClosing && PendingBytes() == 0 && !is_dropped_) {
    timer_.Start(kLingerTime);
    shutdown(bufferevent_getfd(stream_), SHUT_WR);
  }
}

void caller_connection::OnEvent(short what) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    CloseNow((what & BEV_EVENT_EOF) != 0 ? caller_end_cause::kCallerClosed
                                         : caller_end_cause::kCallerReset);
  }
}

void caller_connection::OnTimeout() {
  if (stage_ == stage::kReading) {
    Reject(status_code::kRequestTimeout);
    return;
  }
  if (const size_t left = UnacknowledgedBytes(); stage_ == stage::kClosing &&
                                                 PendingBytes() > 0 &&
                                                 left < unacknowledged_bytes_) {
    unacknowledged_bytes_ = left;
    timer_.Start(server_.limits_.idle_timeout);
    return;
  }
  if (stage_ == stage::kIdle) {
    CloseIfIdle(caller_end_cause::kIdleTimeout);
    return;
  }
  CloseNow(caller_end_cause::kLingerTimeout);
}

bool caller_connection::HasInput() const {
  int in_kernel = 0;
  ioctl(bufferevent_getfd(stream_), FIONREAD, &in_kernel);
  return in_kernel > 0 ||
         evbuffer_get_length(bufferevent_get_input(stream_)) > 0;
}

void caller_connection::CloseIfIdle(caller_end_cause cause) {
  if (stage_ != stage::kIdle || HasInput()) {
    return;
  }
  // The end of the last response may still be in the output buffer.
  if (PendingBytes() > 0) {
    CloseGracefully();
  } else {
    CloseNow(cause);
  }
}

size_t caller_connection::UnreadBytes() const {
  if (is_rejected_) {
    return 0;
  }
  int queued = 0;
  ioctl(bufferevent_getfd(stream_), FIONREAD, &queued);
  return dropped_bytes_ + evbuffer_get_length(bufferevent_get_input(stream_)) +
         static_cast<size_t>(queued);
}

void caller_connection::ReportCut(caller_end_cause cause) {
  if (is_dropped_) {
    return;
  }
  const caller_connection_end end{
      .cause = cause,
      .unsent_bytes = PendingBytes(),
      .unread_bytes = UnreadBytes(),
      .is_request_open = stage_ == stage::kReading || listener_ != nullptr,
      .last_request = last_request_};
  if (end.unsent_bytes > 0 || end.unread_bytes > 0 || end.is_request_open) {
    server_.handler_.OnConnectionCut(end);
  }
}

void caller_connection::CloseNow(caller_end_cause cause) {
  if (listener_ == nullptr) {
    ReportCut(cause);
  }
  if (is_dropped_) {
    return;
  }
  is_dropped_ = true;
  timer_.Cancel();
  bufferevent_disable(stream_, EV_READ | EV_WRITE);
  if (caller_listener* listener = std::exchange(listener_, nullptr)) {
    listener->OnCallerDisconnected();
  }
  server_.Drop(this);
}

void Reply(caller_exchange& exchange,
           uint32_t status,
           const http_headers& headers,
           std::string_view body,
           bool close) {
  exchange.SendHead(status, headers,
                    {.content_length = body.size(), .close = close});
  exchange.SendBody(body);
  exchange.Finish();
}

}  // namespace cuminswitch
