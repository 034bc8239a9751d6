#include "cuminswitch/Net/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <evhtp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <string>

#include "cuminswitch/Net/bind_error.h"
#include "cuminswitch/Net/http_exchange.h"
#include "cuminswitch/Net/loop_timer.h"
#include "cuminswitch/Support/status_code.h"
#include "timeval.h"

namespace cuminswitch {

static constexpr int kBacklog = 1024;
/// Multiple of a size limit up to which an oversized request is read and
/// discarded, so that its sender gets a response instead of a reset; beyond it
/// the connection is aborted.
static constexpr size_t kDiscardFactor = 8;

/// Callbacks of libevhtp.
struct http_server::hooks {
  static evhtp_res OnHeader(evhtp_request_t* request,
                            evhtp_header_t* header,
                            void* raw) {
    auto* self = static_cast<http_server*>(raw);
    http_exchange& exchange = *self->ExchangeOf(request);
    exchange.header_bytes_ += header->klen + header->vlen;
    const size_t limit = self->options_.max_header_size;
    if (exchange.header_bytes_ > limit) {
      exchange.rejected_ = status_code::kHeadTooLarge;
    }
    return exchange.header_bytes_ > limit * kDiscardFactor ? EVHTP_RES_ERROR
                                                           : EVHTP_RES_OK;
  }

  static evhtp_res OnBody(evhtp_request_t* request, evbuffer* data, void* raw) {
    auto* self = static_cast<http_server*>(raw);
    http_exchange& exchange = *self->ExchangeOf(request);
    exchange.body_bytes_ += evbuffer_get_length(data);
    if (exchange.body_bytes_ > self->options_.max_body_size) {
      exchange.rejected_ = status_code::kPayloadTooLarge;
      evbuffer_drain(data, evbuffer_get_length(data));
      evbuffer_drain(request->buffer_in,
                     evbuffer_get_length(request->buffer_in));
    }
    return EVHTP_RES_OK;
  }

  static evhtp_res OnFinished(evhtp_request_t* request, void* raw) {
    auto* self = static_cast<http_server*>(raw);
    const auto found = self->exchanges_.find(request);
    if (found == self->exchanges_.end()) {
      return EVHTP_RES_OK;
    }
    const std::shared_ptr<http_exchange> exchange = found->second;
    self->exchanges_.erase(found);
    exchange->OnRequestFinished();
    self->SetTimeouts(request->conn, true);
    return EVHTP_RES_OK;
  }

  static evhtp_res OnWritten(evhtp_connection_t* connection, void* raw) {
    auto* self = static_cast<http_server*>(raw);
    const auto found = self->exchanges_.find(connection->request);
    if (found == self->exchanges_.end()) {
      return EVHTP_RES_OK;
    }
    const std::shared_ptr<http_exchange> exchange = found->second;
    if (exchange->on_drained_) {
      exchange->on_drained_();
    }
    return EVHTP_RES_OK;
  }

  static evhtp_res OnAccepted(evhtp_connection_t* connection, void* raw) {
    const auto set = [&](evhtp_hook_type type, auto callback) {
      // libevhtp takes hooks of all signatures as one untyped pointer.
      evhtp_connection_set_hook(
          connection, type,
          reinterpret_cast<evhtp_hook>(reinterpret_cast<void*>(callback)), raw);
    };
    set(evhtp_hook_on_header, &OnHeader);
    set(evhtp_hook_on_read, &OnBody);
    set(evhtp_hook_on_request_fini, &OnFinished);
    set(evhtp_hook_on_write, &OnWritten);
    return EVHTP_RES_OK;
  }

  static void OnRequest(evhtp_request_t* request, void* raw) {
    auto* self = static_cast<http_server*>(raw);
    const std::shared_ptr<http_exchange> exchange = self->ExchangeOf(request);
    exchange->Load();
    // The caller sends nothing while it waits for its response, so the read
    // time-out must not apply.
    self->SetTimeouts(request->conn, false);
    if (exchange->rejected_ != 0) {
      exchange->Reply(exchange->rejected_, "application/json",
                      R"({"error":{"message":"the request is over a limit",)"
                      R"("outcome":"not_run"}})");
      return;
    }
    self->handler_.OnRequest(exchange);
  }
};

http_server::http_server(event_base* base,
                         const options& opts,
                         http_request_handler& handler)
    : base_(base), options_(opts), handler_(handler) {
  evhtp_ = evhtp_new(base, nullptr);
  evhtp_->flags |= EVHTP_FLAG_ENABLE_NODELAY;
  evhtp_set_max_body_size(evhtp_, opts.max_body_size * kDiscardFactor);
  const timeval read = ToTimeval(opts.read_timeout);
  const timeval write = ToTimeval(opts.write_timeout);
  evhtp_set_timeouts(evhtp_, &read, &write);
  evhtp_set_post_accept_cb(evhtp_, &hooks::OnAccepted, this);
  evhtp_set_gencb(evhtp_, &hooks::OnRequest, this);
  if (evhtp_bind_socket(evhtp_, opts.listen.address.c_str(), opts.listen.port,
                        kBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    evhtp_free(evhtp_);
    throw bind_error("cannot listen on " + opts.listen.ToString() + ": " +
                     reason);
  }
}

http_server::~http_server() {
  StopListening();
  // libevhtp frees requests only with their connections; none of them may call
  // back into this object.
  while (!exchanges_.empty()) {
    const auto first = exchanges_.begin();
    evhtp_request* request = first->first;
    const std::shared_ptr<http_exchange> exchange = first->second;
    exchange->on_closed_ = nullptr;
    evhtp_connection_free(request->conn);
    exchanges_.erase(request);
  }
  evhtp_free(evhtp_);
}

void http_server::SetTimeouts(evhtp_connection* connection, bool reading) {
  const timeval read = ToTimeval(options_.read_timeout);
  const timeval write = ToTimeval(options_.write_timeout);
  if (connection->bev != nullptr) {
    bufferevent_set_timeouts(connection->bev, reading ? &read : nullptr,
                             &write);
  }
}

std::shared_ptr<http_exchange>& http_server::ExchangeOf(
    evhtp_request* request) {
  std::shared_ptr<http_exchange>& exchange = exchanges_[request];
  if (exchange == nullptr) {
    exchange = std::make_shared<http_exchange>(request);
  }
  return exchange;
}

endpoint http_server::Address() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evconnlistener_get_fd(evhtp_->server),
              reinterpret_cast<sockaddr*>(&address), &size);
  return {.address = options_.listen.address, .port = ntohs(address.sin_port)};
}

bool http_server::HasUnwritten() const {
  return std::any_of(
      exchanges_.begin(), exchanges_.end(), [](const auto& item) {
        return item.second->has_ended_ && item.second->PendingBytes() > 0;
      });
}

void http_server::Flush(std::chrono::milliseconds limit) {
  bool is_over = false;
  loop_timer timer(base_, [&is_over] { is_over = true; });
  timer.Start(limit);
  while (!is_over && HasUnwritten()) {
    event_base_loop(base_, EVLOOP_ONCE);
  }
}

void http_server::StopListening() {
  if (evhtp_->server != nullptr) {
    evhtp_unbind_socket(evhtp_);
  }
}

}  // namespace cuminswitch
