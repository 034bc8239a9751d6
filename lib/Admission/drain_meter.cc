#include "cuminswitch/Admission/drain_meter.h"

#include <algorithm>

namespace cuminswitch {

static constexpr duration kWindow = std::chrono::milliseconds(500);
static constexpr double kSmoothing = 0.3;
static constexpr double kSlowestRate = 0.1;

void drain_meter::Roll(time_point now) {
  if (!started_) {
    started_ = true;
    window_start_ = now;
    return;
  }
  const duration elapsed = now - window_start_;
  if (elapsed < kWindow) {
    return;
  }
  const double sample = count_ / ToSeconds(elapsed);
  rate_ = rate_ == 0 ? sample : rate_ + kSmoothing * (sample - rate_);
  count_ = 0;
  window_start_ = now;
}

void drain_meter::OnCompletion(time_point now) {
  Roll(now);
  ++count_;
}

double drain_meter::RatePerSecond(time_point now) const {
  const double elapsed = ToSeconds(now - window_start_);
  const double current = started_ && elapsed > 0
                             ? count_ / std::max(elapsed, ToSeconds(kWindow))
                             : 0;
  return std::max({kSlowestRate, rate_, current});
}

}  // namespace cuminswitch
