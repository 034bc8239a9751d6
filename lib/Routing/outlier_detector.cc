#include "cuminswitch/Routing/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace cuminswitch {

/// Half-life of a response's weight in seconds: long enough to collect the
/// responses that distinguish an outlier from a normal upstream, short enough
/// to detect an upstream that has become faulty.
static constexpr double kHalfLifeSeconds = 4;
/// Decayed number of failures below which an upstream is not an outlier: two
/// failures in a row are common at a healthy upstream.
static constexpr double kMinFailures = 2.5;
/// By how much an outlier's share of failures must exceed that of the other
/// upstreams.
static constexpr double kMinShareDifference = 0.15;
/// Multiple of the other upstreams' share of failures that it must exceed too.
static constexpr double kMinShareRatio = 2;

void outlier_detector::OnResponse(time_point now, bool failed) {
  const double age = std::max(0.0, ToSeconds(now - decayed_at_));
  const double factor = std::exp2(-age / kHalfLifeSeconds);
  decayed_at_ = now;
  failed_ = failed_ * factor + (failed ? 1 : 0);
  total_ = total_ * factor + 1;
}

bool outlier_detector::IsOutlier(double others_share) const {
  if (failed_ < kMinFailures) {
    return false;
  }
  const double share = failed_ / total_;
  return share > others_share + kMinShareDifference &&
         share > others_share * kMinShareRatio;
}

}  // namespace cuminswitch
