#include "cuminswitch/Net/http_call.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>
#include <sys/socket.h>

#include <string>
#include <utility>

#include "timeval.h"

namespace cuminswitch {

/// Largest head of a response, in bytes.
static constexpr ev_ssize_t kMaxResponseHead = 64 << 10;
/// Largest chunk of a response whose body has no limit, in bytes: evhttp passes
/// on whole chunks only.
static constexpr size_t kMaxChunk = 16UL << 20;
/// The value with which evhttp limits nothing.
static constexpr ev_ssize_t kNoLimit = -1;

static evhttp_cmd_type ToCommand(http_method method) {
  switch (method) {
    case http_method::kGet:
      return EVHTTP_REQ_GET;
    case http_method::kPost:
      return EVHTTP_REQ_POST;
    case http_method::kPut:
      return EVHTTP_REQ_PUT;
    case http_method::kDelete:
      return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

http_call::http_call(http_client& client,
                     const http_call_options& opts,
                     http_call_handler& handler)
    : client_(client),
      handler_(handler),
      to_(opts.to),
      fresh_(opts.fresh_connection),
      connect_timer_(client.base_, [this] { OnConnectTimer(); }),
      total_timer_(client.base_, [this] { OnTotalTimeout(); }) {
  connection_ = client_.Acquire(opts);
  const timeval idle = ToTimeval(opts.idle_timeout);
  evhttp_connection_set_timeout_tv(connection_, &idle);
  evhttp_connection_set_max_headers_size(connection_, kMaxResponseHead);
  evhttp_connection_set_max_body_size(
      connection_, opts.max_body_size == 0
                       ? kNoLimit
                       : static_cast<ev_ssize_t>(opts.max_body_size));
  // evhttp does not limit the line with the size of a chunk.
  const size_t max_chunk =
      opts.max_body_size == 0 ? kMaxChunk : opts.max_body_size;
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(connection_),
                           EV_READ, 0, max_chunk + kMaxResponseHead);
  Send(opts);
  connect_timer_.Start(opts.connect_timeout);
  if (opts.total_timeout.count() > 0) {
    total_timer_.Start(opts.total_timeout);
  }
}

http_call::~http_call() {
  if (ended_) {
    return;
  }
  ended_ = true;
  evhttp_cancel_request(request_);
  client_.ReturnToPool(to_, connection_, false);
}

void http_call::Send(const http_call_options& opts) {
  const auto on_done = [](evhttp_request* request, void* raw) {
    auto* self = static_cast<http_call*>(raw);
    const bool whole =
        request != nullptr && evhttp_request_get_response_code(request) != 0;
    if (whole && !self->failed_after_connect_) {
      self->Finish(http_result::kComplete);
      return;
    }
    self->Finish(!self->failed_after_connect_ ? http_result::kNotConnected
                 : self->is_too_large_        ? http_result::kTooLarge
                                              : http_result::kBroken);
  };
  const auto on_header = [](evhttp_request* request, void* raw) {
    static_cast<http_call*>(raw)->OnHeaderEvent(request);
    return 0;
  };
  const auto on_chunk = [](evhttp_request* request, void* raw) {
    static_cast<http_call*>(raw)->OnChunkEvent(request);
  };
  // evhttp calls this only for a request on an established connection; a
  // failure to connect calls only `on_done`. `kNotConnected` and the outcome
  // "not run" rely on this difference.
  const auto on_error = [](evhttp_request_error error, void* raw) {
    auto* self = static_cast<http_call*>(raw);
    self->failed_after_connect_ = true;
    self->is_too_large_ = error == EVREQ_HTTP_DATA_TOO_LONG;
  };
  request_ = evhttp_request_new(on_done, this);
  evhttp_request_set_header_cb(request_, on_header);
  evhttp_request_set_chunked_cb(request_, on_chunk);
  evhttp_request_set_error_cb(request_, on_error);
  evkeyvalq* headers = evhttp_request_get_output_headers(request_);
  for (const http_header& header : opts.headers) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  if (evhttp_find_header(headers, "Host") == nullptr) {
    evhttp_add_header(headers, "Host", opts.to.ToString().c_str());
  }
  if (fresh_) {
    evhttp_add_header(headers, "Connection", "close");
  }
  evbuffer_add(evhttp_request_get_output_buffer(request_), opts.body.data(),
               opts.body.size());
  evhttp_make_request(connection_, request_, ToCommand(opts.method),
                      opts.path.c_str());
}

void http_call::OnHeaderEvent(evhttp_request* request) {
  http_response_head head{.status = static_cast<uint32_t>(
                              evhttp_request_get_response_code(request)),
                          .headers = {}};
  const evkeyvalq* fields = evhttp_request_get_input_headers(request);
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    head.headers.push_back({.name = field->key, .value = field->value});
  }
  close_announced_ =
      strcasecmp(std::string(head.Find("Connection")).c_str(), "close") == 0;
  handler_.OnHeaders(head);
}

void http_call::OnChunkEvent(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  const size_t size = evbuffer_get_length(input);
  if (size == 0 || ended_) {
    return;
  }
  const auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  handler_.OnData({data, size});
}

bool http_call::IsConnected() const {
  bufferevent* stream = evhttp_connection_get_bufferevent(connection_);
  const evutil_socket_t fd = bufferevent_getfd(stream);
  sockaddr_storage address;
  socklen_t size = sizeof(address);
  return fd >= 0 &&
         getpeername(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
}

void http_call::OnConnectTimer() {
  if (ended_ || IsConnected()) {
    return;
  }
  // evhttp writes only after it has connected, so nothing was sent.
  Cancel(http_result::kNotConnected);
}

void http_call::OnTotalTimeout() {
  // A call that could not connect has ended before.
  if (!ended_) {
    Cancel(http_result::kBroken);
  }
}

void http_call::Cancel(http_result result) {
  evhttp_cancel_request(std::exchange(request_, nullptr));
  ended_ = true;
  connect_timer_.Cancel();
  total_timer_.Cancel();
  client_.ReturnToPool(to_, connection_, false);
  handler_.OnEnd(result);
}

void http_call::Finish(http_result result) {
  if (ended_) {
    return;
  }
  ended_ = true;
  connect_timer_.Cancel();
  total_timer_.Cancel();
  const bool keep =
      result == http_result::kComplete && !fresh_ && !close_announced_;
  client_.ReturnToPool(to_, connection_, keep);
  handler_.OnEnd(result);
}

void http_call::PauseReading() {
  bufferevent_disable(evhttp_connection_get_bufferevent(connection_), EV_READ);
}

void http_call::ResumeReading() {
  if (!ended_) {
    bufferevent_enable(evhttp_connection_get_bufferevent(connection_), EV_READ);
  }
}

}  // namespace cuminswitch
