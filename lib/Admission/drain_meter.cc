#include "cuminswitch/Admission/drain_meter.h"

#include <algorithm>

namespace cuminswitch {

/// Shortest time over which one sample of the rate is taken.
static constexpr duration kSampleWindow = std::chrono::milliseconds(500);
/// Weight of the newest sample in the moving average.
static constexpr double kNewestSampleWeight = 0.3;
/// Lower bound of the reported rate, so that callers can divide by it.
static constexpr double kMinRatePerSecond = 0.1;

void drain_meter::UpdateWindow(time_point now) {
  if (!has_samples_) {
    has_samples_ = true;
    window_start_ = now;
    return;
  }
  const duration elapsed = now - window_start_;
  if (elapsed < kSampleWindow) {
    return;
  }
  const double sample = count_ / ToSeconds(elapsed);
  rate_ = rate_ == 0 ? sample : rate_ + kNewestSampleWeight * (sample - rate_);
  count_ = 0;
  window_start_ = now;
}

void drain_meter::OnCompletion(time_point now) {
  UpdateWindow(now);
  ++count_;
}

double drain_meter::RatePerSecond(time_point now) const {
  const double elapsed = ToSeconds(now - window_start_);
  const double current =
      has_samples_ && elapsed > 0
          ? count_ / std::max(elapsed, ToSeconds(kSampleWindow))
          : 0;
  return std::max({kMinRatePerSecond, rate_, current});
}

}  // namespace cuminswitch
