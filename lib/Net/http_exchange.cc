#include "cuminswitch/Net/http_exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <evhtp.h>
#include <sys/socket.h>

#include <cerrno>
#include <memory>
#include <utility>

#include "cuminswitch/Net/loop_timer.h"

namespace cuminswitch {
namespace {

struct buffer_deleter {
  void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};
using buffer_ptr = std::unique_ptr<evbuffer, buffer_deleter>;

std::string_view MethodName(htp_method method) {
  switch (method) {
    case htp_method_GET:
      return "GET";
    case htp_method_POST:
      return "POST";
    case htp_method_PUT:
      return "PUT";
    case htp_method_DELETE:
      return "DELETE";
    default:
      return "OTHER";
  }
}

}  // namespace

void http_exchange::Load() {
  method_ = MethodName(evhtp_request_get_method(request_));
  const evhtp_uri_t* uri = request_->uri;
  if (uri != nullptr && uri->path != nullptr && uri->path->full != nullptr) {
    path_ = uri->path->full;
  }
  if (uri != nullptr && uri->query_raw != nullptr) {
    query_ = reinterpret_cast<const char*>(uri->query_raw);
  }
  const size_t size = evbuffer_get_length(request_->buffer_in);
  if (size != 0) {
    body_.assign(
        reinterpret_cast<const char*>(evbuffer_pullup(request_->buffer_in, -1)),
        size);
  }
}

std::string http_exchange::Header(std::string_view name) const {
  if (request_ == nullptr) {
    return {};
  }
  const std::string key(name);
  const char* value = evhtp_header_find(request_->headers_in, key.c_str());
  return value == nullptr ? std::string() : std::string(value);
}

std::string http_exchange::Parameter(std::string_view name) const {
  evkeyvalq parameters;
  if (evhttp_parse_query_str(query_.c_str(), &parameters) != 0) {
    return {};
  }
  const std::string key(name);
  const char* value = evhttp_find_header(&parameters, key.c_str());
  std::string result = value == nullptr ? std::string() : std::string(value);
  evhttp_clear_headers(&parameters);
  return result;
}

void http_exchange::AddHeaders(std::string_view content_type,
                               const http_headers& headers) {
  const auto add = [this](const std::string& name, const std::string& value) {
    evhtp_headers_add_header(
        request_->headers_out,
        evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
  };
  add("Content-Type", std::string(content_type));
  for (const http_header& header : headers) {
    add(header.name, header.value);
  }
}

void http_exchange::Reply(uint32_t status,
                          std::string_view content_type,
                          std::string_view body,
                          const http_headers& headers) {
  if (request_ == nullptr || has_begun_) {
    return;
  }
  has_begun_ = true;
  has_ended_ = true;
  AddHeaders(content_type, headers);
  evbuffer_add(request_->buffer_out, body.data(), body.size());
  evhtp_send_reply(request_, static_cast<evhtp_res>(status));
}

void http_exchange::BeginStream(uint32_t status,
                                std::string_view content_type,
                                const http_headers& headers) {
  if (request_ == nullptr || has_begun_) {
    return;
  }
  has_begun_ = true;
  AddHeaders(content_type, headers);
  evhtp_send_reply_chunk_start(request_, static_cast<evhtp_res>(status));
}

void http_exchange::BeginUnframed(uint32_t status,
                                  std::string_view content_type,
                                  const http_headers& headers) {
  if (request_ == nullptr || has_begun_) {
    return;
  }
  has_begun_ = true;
  is_unframed_ = true;
  // libevhtp would add a length.
  std::string head = "HTTP/1.1 " + std::to_string(status) +
                     " Status\r\nConnection: close\r\nContent-Type: ";
  head.append(content_type).append("\r\n");
  for (const http_header& header : headers) {
    head += header.name + ": " + header.value + "\r\n";
  }
  SendChunk(head + "\r\n");
}

void http_exchange::SendChunk(std::string_view data) {
  // An empty chunk would end the stream.
  if (request_ == nullptr || has_ended_ || data.empty()) {
    return;
  }
  const buffer_ptr chunk(evbuffer_new());
  evbuffer_add(chunk.get(), data.data(), data.size());
  if (is_unframed_) {
    evhtp_send_reply_body(request_, chunk.get());
  } else {
    evhtp_send_reply_chunk(request_, chunk.get());
  }
}

void http_exchange::EndStream() {
  if (request_ == nullptr || has_ended_) {
    return;
  }
  has_ended_ = true;
  if (is_unframed_) {
    AbortWhenDrained();
  } else {
    evhtp_send_reply_chunk_end(request_);
  }
}

void http_exchange::Abort() {
  if (request_ == nullptr) {
    return;
  }
  has_ended_ = true;
  // libevhtp continues parsing on this connection after its callback returns.
  CallLater(request_->conn->evbase, [self = shared_from_this()] {
    if (self->request_ != nullptr) {
      evhtp_connection_free(self->request_->conn);
    }
  });
}

void http_exchange::AbortWhenDrained() {
  if (PendingBytes() == 0) {
    Abort();
    return;
  }
  on_drained_ = [this] { Abort(); };
}

bool http_exchange::HasCallerClosed() const {
  if (request_ == nullptr) {
    return true;
  }
  const evutil_socket_t fd = bufferevent_getfd(evhtp_request_get_bev(request_));
  char next = 0;
  const ssize_t count = recv(fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

size_t http_exchange::PendingBytes() const {
  if (request_ == nullptr) {
    return 0;
  }
  bufferevent* stream = evhtp_request_get_bev(request_);
  return evbuffer_get_length(bufferevent_get_output(stream));
}

void http_exchange::SetOnClosed(std::function<void()> callback) {
  on_closed_ = std::move(callback);
}

void http_exchange::SetOnDrained(std::function<void()> callback) {
  on_drained_ = std::move(callback);
}

void http_exchange::OnRequestFinished() {
  request_ = nullptr;
  if (!has_ended_ && on_closed_) {
    std::exchange(on_closed_, nullptr)();
  }
  on_closed_ = nullptr;
  on_drained_ = nullptr;
}

}  // namespace cuminswitch
