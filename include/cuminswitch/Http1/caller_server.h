/// \file
/// HTTP/1.1 server for callers.
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
struct caller_connection_end;

/// Receives complete requests and the ends of connections, on the event loop's
/// thread.
class caller_handler {
 public:
  virtual ~caller_handler() = default;
  virtual void OnRequest(caller_exchange& exchange) = 0;
  /// A connection ended with a response not completely written or a request
  /// not completely read. Not called if the listener of a response in progress
  /// is told.
  virtual void OnConnectionCut(const caller_connection_end& /*end*/) {}
};

/// Limits on the size and duration of callers' requests. Sizes are in bytes.
struct caller_limits {
  size_t max_head_size = 16UL << 10;
  size_t max_body_size = 4UL << 20;
  /// Longest time from a request's first byte to the end of its head, and
  /// between two reads of its body.
  std::chrono::milliseconds request_timeout{3'000};
  /// Longest time that a connection may stay open without a request.
  std::chrono::milliseconds idle_timeout{15'000};
};

/// Accepts connections, parses requests strictly, and passes each connection's
/// requests to the handler one at a time.
class caller_server {
 public:
  /// Throws `bind_error` when \p listen cannot be bound. Bytes that connections
  /// buffer are counted in \p account, which must outlive the server. While
  /// `account->IsFull()` large requests are refused, and while
  /// `account->IsOver()` all requests. Without an account there is no limit.
  caller_server(event_base* base,
                const endpoint& listen,
                caller_handler& handler,
                byte_account* account = nullptr);
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;
  ~caller_server();

  void SetLimits(const caller_limits& limits) { limits_ = limits; }
  const caller_limits& limits() const { return limits_; }
  /// From now on responses carry `Connection: close`.
  void BeginDrain() { is_draining_ = true; }
  /// Accepts the connections that wait, and refuses further ones at once.
  void StopListening();
  /// Closes the connections without a request.
  void CloseIdle();
  /// Reports the connections that an exit of the process now would cut off.
  void ReportOpen();
  bool IsDraining() const { return is_draining_; }
  size_t connection_count() const { return connections_.size(); }
  uint64_t accepted_count() const { return accepted_; }
  /// Requests that were refused because of the memory limit.
  uint64_t refused_count() const { return refused_; }
  /// The address it listens at; not valid after `StopListening`.
  endpoint Address() const;

 private:
  friend class caller_connection;

  void Accept(int fd, std::string from);
  /// Destroys the connection from the event loop, since it may be on the stack.
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
  std::unordered_map<caller_connection*, std::unique_ptr<caller_connection>>
      connections_;
  /// False once the server is destroyed, so that deferred callbacks do not use
  /// it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_CALLER_SERVER_H_
