/// \file
/// Listens for callers.
#ifndef CUMINSWITCH_HTTP1_CALLER_SERVER_H_
#define CUMINSWITCH_HTTP1_CALLER_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "cuminswitch/Net/byte_account.h"
#include "cuminswitch/Support/endpoint.h"

struct event_base;
struct evconnlistener;

namespace cuminswitch {

class caller_connection;
class caller_exchange;

/// Takes requests that were read whole, in the loop's thread.
class caller_handler {
 public:
  virtual ~caller_handler() = default;
  virtual void OnRequest(caller_exchange& exchange) = 0;
};

/// What a caller may send, and how long it may take.
struct caller_limits {
  size_t max_head_size = 16UL << 10;
  size_t max_body_size = 4UL << 20;
  /// From a request's first byte to the end of its head, and the longest
  /// silence within its body.
  std::chrono::milliseconds request_timeout{3'000};
  /// How long a connection may stay without a request.
  std::chrono::milliseconds idle_timeout{15'000};
};

/// Accepts connections, reads requests strictly, and hands them on one by one.
class caller_server {
 public:
  /// Throws `bind_error` when \p listen cannot be had. What connections hold is
  /// counted in \p account, which outlives the server; while that is full,
  /// large requests are refused, and beyond that all. Without one there is no
  /// limit.
  caller_server(event_base* base,
                const endpoint& listen,
                caller_handler& handler,
                byte_account* account = nullptr);
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;
  ~caller_server();

  void SetLimits(const caller_limits& limits) { limits_ = limits; }
  const caller_limits& limits() const { return limits_; }
  /// From now on answers announce the end of their connection.
  void BeginDrain() { is_draining_ = true; }
  /// Stops to accept, and closes connections that carry no request.
  void CloseIdle();
  bool IsDraining() const { return is_draining_; }
  size_t connection_count() const { return connections_.size(); }
  uint64_t accepted_count() const { return accepted_; }
  /// Requests that were refused because too much was held.
  uint64_t refused_count() const { return refused_; }
  endpoint Address() const;

 private:
  friend class caller_connection;

  void Accept(int fd, std::string from);
  /// Destroys the connection, from the loop.
  void Drop(caller_connection* connection);

  event_base* base_;
  caller_handler& handler_;
  caller_limits limits_;
  evconnlistener* listener_ = nullptr;
  endpoint listen_;
  byte_account own_account_;
  byte_account& account_;
  uint64_t accepted_ = 0;
  uint64_t refused_ = 0;
  bool is_draining_ = false;
  bool is_closed_ = false;
  std::unordered_map<caller_connection*, std::unique_ptr<caller_connection>>
      connections_;
  /// Cleared when the server dies, so that late releases touch nothing.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_CALLER_SERVER_H_
