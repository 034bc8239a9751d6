/// \file
/// A call on a connection of an `upstream_pool`.
#ifndef CUMINSWITCH_LIB_HTTP1_POOLED_CALL_H_
#define CUMINSWITCH_LIB_HTTP1_POOLED_CALL_H_

#include <memory>

#include "cuminswitch/Http1/upstream_call.h"

namespace cuminswitch {

class upstream_connection;
class upstream_pool;

/// Owns the connection while the call is in progress.
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
  bool IsOnReusedConnection() const override {
    return is_on_reused_connection_;
  }

  call_end_cause EndCause() const override { return end_cause_; }

  upstream_handler& handler() { return handler_; }
  /// Returns the connection to the pool and reports \p result to the handler.
  void End(upstream_call_result result, call_end_cause cause);

 private:
  upstream_pool& pool_;
  std::unique_ptr<upstream_connection> connection_;
  upstream_handler& handler_;
  bool is_on_reused_connection_ = false;
  call_end_cause end_cause_ = call_end_cause::kFraming;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_LIB_HTTP1_POOLED_CALL_H_
