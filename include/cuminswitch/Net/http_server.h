/// \file
/// HTTP server on one event loop, based on libevhtp.
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

/// Receives complete requests.
class http_request_handler {
 public:
  virtual ~http_request_handler() = default;
  virtual void OnRequest(std::shared_ptr<http_exchange> exchange) = 0;
};

/// Accepts connections, reads requests within limits, and passes them to the
/// handler.
class http_server {
 public:
  struct options {
    /// Port 0 selects a free port.
    endpoint listen;
    /// In bytes.
    size_t max_body_size = 4UL << 20;
    /// Of all header fields together, in bytes.
    size_t max_header_size = 16UL << 10;
    /// Longest time without input while a request is awaited or read.
    std::chrono::milliseconds read_timeout{30'000};
    /// Longest time without progress while a response is written.
    std::chrono::milliseconds write_timeout{30'000};
  };

  /// Throws `bind_error` when the address cannot be bound.
  http_server(event_base* base,
              const options& opts,
              http_request_handler& handler);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server();

  /// Returns the address that the server listens on.
  endpoint Address() const;
  /// Stops accepting connections; open ones continue.
  void StopListening();
  /// Writes the rest of the responses that have ended, for at most \p limit.
  /// Runs the event loop, so it must not be called from it.
  void Flush(std::chrono::milliseconds limit);

 private:
  struct hooks;

  /// Sets the write time-out, and the read time-out only if a request is being
  /// read (\p reading).
  void SetTimeouts(evhtp_connection* connection, bool reading);
  std::shared_ptr<http_exchange>& ExchangeOf(evhtp_request* request);
  /// Whether a response that has ended is not completely written.
  bool HasUnwritten() const;

  event_base* base_;
  options options_;
  http_request_handler& handler_;
  evhtp* evhtp_ = nullptr;
  std::unordered_map<evhtp_request*, std::shared_ptr<http_exchange>> exchanges_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_HTTP_SERVER_H_
