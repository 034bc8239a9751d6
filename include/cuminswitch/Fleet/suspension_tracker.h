/// \file
/// Detects that this process was suspended.
#ifndef CUMINSWITCH_FLEET_SUSPENSION_TRACKER_H_
#define CUMINSWITCH_FLEET_SUSPENSION_TRACKER_H_

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Bounds the age of messages. A suspended process receives nothing, and after
/// it resumes it handles messages that waited in its sockets, which say what
/// held when they were sent.
class suspension_tracker {
 public:
  /// Records that the process runs at \p now. Must be called several times a
  /// second.
  void OnRunning(time_point now);
  /// Returns the time before which no message that is handled at \p now arrived
  /// at this host: \p now itself, or the start of a suspension that has just
  /// ended.
  time_point ArrivedAfter(time_point now) const;

 private:
  time_point last_run_{};
  time_point suspended_at_{};
  time_point resumed_at_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_SUSPENSION_TRACKER_H_
