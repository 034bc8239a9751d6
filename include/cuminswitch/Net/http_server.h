/// \file
/// An HTTP server on one event loop, with libevhtp.
#ifndef CUMINSWITCH_NET_HTTP_SERVER_H_
#define CUMINSWITCH_NET_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "cuminswitch/Support/endpoint.h"

struct event_base;
struct evhtp;
struct evhtp_connection;
struct evhtp_request;

namespace cuminswitch {

class http_exchange;

/// Takes requests that have been read whole.
class http_request_handler {
 public:
  virtual ~http_request_handler() = default;
  virtual void OnRequest(std::shared_ptr<http_exchange> exchange) = 0;
};

/// Listens, reads requests within limits, and hands them on.
class http_server {
 public:
  struct options {
    /// Port 0 takes a free one.
    endpoint listen;
    size_t max_body_size = 4UL << 20;
    size_t max_header_size = 16UL << 10;
    /// Longest time to wait for a caller's bytes.
    std::chrono::milliseconds read_timeout{30'000};
    /// Longest time for a caller to take bytes.
    std::chrono::milliseconds write_timeout{30'000};
  };

  /// Throws `bind_error` when the address cannot be had.
  http_server(event_base* base,
              const options& opts,
              http_request_handler& handler);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server();

  /// Where it listens.
  endpoint Address() const;
  /// Stops to accept connections; those open go on.
  void StopListening();

 private:
  struct hooks;

  /// Bounds the wait for the peer's bytes only while \p reading a request.
  void SetTimeouts(evhtp_connection* connection, bool reading);
  std::shared_ptr<http_exchange>& ExchangeOf(evhtp_request* request);

  options options_;
  http_request_handler& handler_;
  evhtp* evhtp_ = nullptr;
  std::unordered_map<evhtp_request*, std::shared_ptr<http_exchange>> exchanges_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_HTTP_SERVER_H_
