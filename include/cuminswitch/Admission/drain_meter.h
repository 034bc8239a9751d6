/// \file
/// Measures the rate at which a target's requests complete.
#ifndef CUMINSWITCH_ADMISSION_DRAIN_METER_H_
#define CUMINSWITCH_ADMISSION_DRAIN_METER_H_

#include <cstdint>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Moving average of completions per second. The estimated wait of a queued
/// request and the `Retry-After` of a refused one are derived from it.
class drain_meter {
 public:
  void OnCompletion(time_point now);
  /// Whether any completion has been recorded.
  bool HasMeasured() const { return has_samples_; }
  /// Returns completions per second, at least 0.1.
  double RatePerSecond(time_point now) const;

 private:
  /// Starts a new sample window once the current one has ended.
  void UpdateWindow(time_point now);

  double rate_ = 0;
  uint32_t count_ = 0;
  time_point window_start_{};
  bool has_samples_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_DRAIN_METER_H_
