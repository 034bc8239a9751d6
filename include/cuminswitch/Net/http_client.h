/// \file
/// HTTP client based on evhttp, with streamed responses, pooled connections,
/// and a result that says whether the request may have reached the server.
#ifndef CUMINSWITCH_NET_HTTP_CLIENT_H_
#define CUMINSWITCH_NET_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Net/http_header.h"
#include "cuminswitch/Support/endpoint.h"

struct event_base;
struct evhttp_connection;

namespace cuminswitch {

class http_call;

enum class http_method : uint8_t { kGet, kPost, kPut, kDelete };

/// A request to make.
struct http_call_options {
  endpoint to;
  http_method method = http_method::kGet;
  std::string path = "/";
  http_headers headers;
  std::string body;
  std::chrono::milliseconds connect_timeout{1000};
  /// Longest time without progress on the connection.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Longest time until the response is complete, greater than the time-out to
  /// connect; 0 if there is no limit.
  std::chrono::milliseconds total_timeout{0};
  /// Largest response body, in bytes; 0 if the handler bounds what it keeps.
  size_t max_body_size = 0;
  /// Use a new connection and close it afterwards.
  bool fresh_connection = false;
};

/// How a call ended.
enum class http_result : uint8_t {
  kComplete,
  /// The connection could not be established: no byte of the request was sent.
  kNotConnected,
  /// The connection was lost or timed out after bytes may have been sent, or
  /// the response is not valid.
  kBroken,
  /// The response's body exceeds the limit.
  kTooLarge,
};

/// Receives a call's events, on the event loop's thread. A handler may cancel
/// the call or destroy itself in `OnEnd` only.
class http_call_handler {
 public:
  virtual ~http_call_handler() = default;
  virtual void OnHeaders(const http_response_head& head) = 0;
  virtual void OnData(std::string_view data) = 0;
  virtual void OnEnd(http_result result) = 0;
};

/// Makes calls on one event loop and pools idle connections.
class http_client {
 public:
  explicit http_client(event_base* base);
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  ~http_client();

  /// Begins a call; \p handler must live until `OnEnd` or the returned call's
  /// destruction, which cancels it without a further event.
  std::unique_ptr<http_call> Start(const http_call_options& opts,
                                   http_call_handler& handler);

 private:
  friend class http_call;

  evhttp_connection* Acquire(const http_call_options& opts);
  void ReturnToPool(const endpoint& to,
                    evhttp_connection* connection,
                    bool keep);

  event_base* base_;
  std::map<endpoint, std::vector<evhttp_connection*>> idle_;
  /// False once the client is destroyed, so that deferred callbacks do not use
  /// it.
  std::shared_ptr<bool> alive_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_NET_HTTP_CLIENT_H_
