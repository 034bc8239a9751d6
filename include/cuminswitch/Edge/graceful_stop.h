/// \file
/// How a daemon that was told to stop comes to its end.
#ifndef CUMINSWITCH_EDGE_GRACEFUL_STOP_H_
#define CUMINSWITCH_EDGE_GRACEFUL_STOP_H_

#include <cstddef>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Decides what a stopping daemon still takes, and when it has nothing left to
/// do. It is out of the address answers at once, but callers keep an answer for
/// some seconds and go on to connect.
class graceful_stop {
 public:
  /// \p grace is the time from the signal to the process's forced end.
  explicit graceful_stop(duration grace) : grace_(grace) {}

  void Begin(time_point now);
  bool HasBegun() const { return has_begun_; }
  /// Whether a request that arrives now can be seen to its end, where its
  /// caller waits for \p patience at most.
  bool CanAccept(time_point now, duration patience) const;
  /// Whether no caller can still hold an address answer that names this daemon.
  bool IsForgotten(time_point now) const;
  /// Whether the process may end, with \p requests under way and
  /// \p connections of callers open.
  bool IsOver(time_point now, size_t requests, size_t connections) const;

 private:
  duration grace_;
  time_point begun_at_{};
  bool has_begun_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_GRACEFUL_STOP_H_
