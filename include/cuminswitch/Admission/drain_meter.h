/// \file
/// Measures how fast a target's requests end.
#ifndef CUMINSWITCH_ADMISSION_DRAIN_METER_H_
#define CUMINSWITCH_ADMISSION_DRAIN_METER_H_

#include <cstdint>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Smoothed completions per second. A waiting request's estimated wait, and
/// so the `Retry-After` of one that is refused, come from it.
class drain_meter {
 public:
  void OnCompletion(time_point now);
  /// Whether any completion has been seen.
  bool HasMeasured() const { return started_; }
  /// Returns completions per second, at least a small positive number.
  double RatePerSecond(time_point now) const;

 private:
  void Roll(time_point now);

  double rate_ = 0;
  uint32_t count_ = 0;
  time_point window_start_{};
  bool started_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_DRAIN_METER_H_
