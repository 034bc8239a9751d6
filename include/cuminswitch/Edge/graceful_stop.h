/// \file
/// The graceful stop of a daemon.
#ifndef CUMINSWITCH_EDGE_GRACEFUL_STOP_H_
#define CUMINSWITCH_EDGE_GRACEFUL_STOP_H_

#include <cstddef>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Decides which requests a stopping daemon still accepts, and when the process
/// may exit. The daemon's address is no longer advertised from the beginning of
/// the stop, but callers cache addresses for some seconds and still connect.
class graceful_stop {
 public:
  /// \p grace is the time from the stop signal until the process is killed.
  explicit graceful_stop(duration grace) : grace_(grace) {}

  void Begin(time_point now);
  bool HasBegun() const { return has_begun_; }
  /// Whether a request that arrives now is accepted; its caller waits for
  /// \p max_wait at most.
  bool CanAccept(time_point now, duration max_wait) const;
  /// Whether no caller can still have this daemon's address cached.
  bool HasAddressExpired(time_point now) const;
  /// Whether requests without a response must end, before the process exits.
  bool MustEndRequests(time_point now) const;
  /// Whether the process may exit, with \p requests in flight and
  /// \p connections of callers open.
  bool IsComplete(time_point now, size_t requests, size_t connections) const;

 private:
  duration grace_;
  time_point begun_at_{};
  bool has_begun_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_GRACEFUL_STOP_H_
