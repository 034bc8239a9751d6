/// \file
/// Pool of connections to upstreams.
#ifndef CUMINSWITCH_HTTP1_UPSTREAM_POOL_H_
#define CUMINSWITCH_HTTP1_UPSTREAM_POOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "cuminswitch/Http1/upstream_call.h"
#include "cuminswitch/Net/byte_account.h"

struct event_base;

namespace cuminswitch {

class host_prober;
class upstream_connection;

/// Makes calls on one event loop. Each connection carries one request at a
/// time and stays in the pool for four fifths of the time that its upstream
/// announced in `Keep-Alive`.
class upstream_pool {
 public:
  /// Bytes that connections buffer are counted in \p account, which must
  /// outlive the pool; without an account there is no limit.
  explicit upstream_pool(event_base* base, byte_account* account = nullptr);
  upstream_pool(const upstream_pool&) = delete;
  upstream_pool& operator=(const upstream_pool&) = delete;
  ~upstream_pool();

  std::unique_ptr<upstream_call> Start(const upstream_request& request,
                                       upstream_handler& handler);
  /// Closes the idle connections to \p to, whose upstream was removed.
  void Forget(const endpoint& to);
  /// Returns how many idle connections to an upstream may be pooled, or nothing
  /// if that is unknown.
  using idle_limit = std::function<std::optional<size_t>(const endpoint& to)>;

  /// Sets the function that limits idle connections per upstream. Where
  /// \p limit returns nothing, a default limit applies.
  void SetIdleLimit(idle_limit limit) { idle_limit_ = std::move(limit); }
  /// Closes the idle connections in excess of the limits, after these changed.
  void TrimIdle();
  uint64_t opened_count() const { return opened_; }
  byte_account& account() { return account_; }

 private:
  friend class upstream_connection;
  friend class pooled_call;

  std::unique_ptr<upstream_connection> Acquire(const upstream_request& request);
  void ReturnToPool(std::unique_ptr<upstream_connection> connection);
  size_t IdleLimit(const endpoint& to) const;
  void DropIdle(upstream_connection* connection);
  /// Destroys the connection from the event loop, since it may be on the stack.
  void Release(std::unique_ptr<upstream_connection> connection);

  event_base* base_;
  byte_account own_account_;
  byte_account& account_;
  std::map<endpoint, std::vector<std::unique_ptr<upstream_connection>>> idle_;
  idle_limit idle_limit_;
  std::unique_ptr<host_prober> prober_;
  uint64_t opened_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_UPSTREAM_POOL_H_
