#include "cuminswitch/Routing/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace cuminswitch {

/// An answer loses half of its weight in so many seconds: long enough to
/// gather the answers that tell a bad upstream from a usual one, short enough
/// to find one that turned bad.
static constexpr double kHalfLifeSeconds = 4;
/// Failures below this say nothing: two in a row come often at a sound
/// upstream.
static constexpr double kLeastFailures = 2.5;
/// An outlier fails at least this much more often than the others.
static constexpr double kLeastExcess = 0.15;
/// And at least this multiple of their share.
static constexpr double kLeastRatio = 2;

void outlier_detector::OnAnswer(time_point now, bool failed) {
  const double age = std::max(0.0, ToSeconds(now - decayed_at_));
  const double factor = std::exp2(-age / kHalfLifeSeconds);
  decayed_at_ = now;
  failed_ = failed_ * factor + (failed ? 1 : 0);
  total_ = total_ * factor + 1;
}

bool outlier_detector::IsOutlier(double others_share) const {
  if (failed_ < kLeastFailures) {
    return false;
  }
  const double share = failed_ / total_;
  return share > others_share + kLeastExcess &&
         share > others_share * kLeastRatio;
}

}  // namespace cuminswitch
