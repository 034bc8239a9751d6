#include "cuminswitch/Fleet/suspension_tracker.h"

namespace cuminswitch {

/// A process that did not run for this long was suspended.
static constexpr duration kMinSuspension = std::chrono::milliseconds(500);
/// Time in which a resumed process handles the messages that waited.
static constexpr duration kDrainTime = std::chrono::milliseconds(500);

void suspension_tracker::OnRunning(time_point now) {
  if (last_run_ != time_point() && now - last_run_ >= kMinSuspension) {
    // Messages of an earlier suspension may wait still.
    if (last_run_ - resumed_at_ >= kDrainTime) {
      suspended_at_ = last_run_;
    }
    resumed_at_ = now;
  }
  last_run_ = now;
}

time_point suspension_tracker::ArrivedAfter(time_point now) const {
  const bool has_just_resumed =
      resumed_at_ != time_point() && now - resumed_at_ < kDrainTime;
  return has_just_resumed ? suspended_at_ : now;
}

}  // namespace cuminswitch
