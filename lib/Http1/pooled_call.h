/// \file
/// A call on a connection of a pool.
#ifndef CUMINSWITCH_LIB_HTTP1_POOLED_CALL_H_
#define CUMINSWITCH_LIB_HTTP1_POOLED_CALL_H_

#include <memory>

#include "cuminswitch/Http1/upstream_call.h"

namespace cuminswitch {

class upstream_connection;
class upstream_pool;

/// Owns the connection while the call is under way.
class pooled_call : public upstream_call {
 public:
  pooled_call(upstream_pool& pool,
              std::unique_ptr<upstream_connection> connection,
              upstream_handler& handler);
  pooled_call(const pooled_call&) = delete;
  pooled_call& operator=(const pooled_call&) = delete;
  ~pooled_call() override;

  void PauseReading() override;
  void ResumeReading() override;
  bool IsOnKeptConnection() const override { return is_on_kept_connection_; }

  upstream_handler& handler() { return handler_; }
  /// The call has ended; the connection goes back to the pool.
  void End(upstream_call_result end);

 private:
  upstream_pool& pool_;
  std::unique_ptr<upstream_connection> connection_;
  upstream_handler& handler_;
  bool is_on_kept_connection_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_HTTP1_POOLED_CALL_H_
