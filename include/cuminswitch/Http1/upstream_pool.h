/// \file
/// Kept connections to upstreams.
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

class upstream_connection;

/// Makes calls on one event loop. Each connection carries one request at a
/// time and is kept for as long as its upstream announced.
class upstream_pool {
 public:
  /// What connections hold is counted in \p account, which outlives the pool;
  /// without one it is not limited.
  explicit upstream_pool(event_base* base, byte_account* account = nullptr);
  upstream_pool(const upstream_pool&) = delete;
  upstream_pool& operator=(const upstream_pool&) = delete;
  ~upstream_pool();

  std::unique_ptr<upstream_call> Start(const upstream_request& request,
                                       upstream_handler& handler);
  /// Closes the idle connections to \p to, whose upstream is gone.
  void Forget(const endpoint& to);
  /// How many idle connections may be kept to an upstream; nothing where that
  /// is not known.
  using idle_limit = std::function<std::optional<size_t>(const endpoint& to)>;

  /// Sets what is asked when a connection could be kept. Where \p limit knows
  /// nothing a few are kept.
  void SetIdleLimit(idle_limit limit) { idle_limit_ = std::move(limit); }
  /// Closes what is kept beyond the limits, which have changed.
  void TrimIdle();
  uint64_t opened_count() const { return opened_; }
  const byte_account& account() const { return account_; }

 private:
  friend class upstream_connection;
  friend class pooled_call;

  std::unique_ptr<upstream_connection> Acquire(const upstream_request& request);
  void GiveBack(std::unique_ptr<upstream_connection> connection);
  size_t IdleLimit(const endpoint& to) const;
  void DropIdle(upstream_connection* connection);
  /// Destroys a connection that may be on the stack, from the loop.
  void Release(std::unique_ptr<upstream_connection> connection);

  event_base* base_;
  byte_account own_account_;
  byte_account& account_;
  std::map<endpoint, std::vector<std::unique_ptr<upstream_connection>>> idle_;
  idle_limit idle_limit_;
  uint64_t opened_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_HTTP1_UPSTREAM_POOL_H_
