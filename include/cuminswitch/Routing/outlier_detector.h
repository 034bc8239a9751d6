/// \file
/// Detects upstreams that fail more often than their peers.
#ifndef CUMINSWITCH_ROUTING_OUTLIER_DETECTOR_H_
#define CUMINSWITCH_ROUTING_OUTLIER_DETECTOR_H_

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Tracks the exponentially decayed share of an upstream's responses that
/// failed. An upstream that passes its health check may still fail some of its
/// requests, which only its responses show. Some failures are caused by the
/// requests, so the share is compared with that of the other upstreams.
class outlier_detector {
 public:
  void OnResponse(time_point now, bool failed);
  /// Adds this upstream's decayed counts to \p failed and \p total.
  void AddCountsTo(double& failed, double& total) const {
    failed += failed_;
    total += total_;
  }
  /// Returns whether this upstream's share of failures is much higher than
  /// \p others_share, the share of its peers.
  bool IsOutlier(double others_share) const;
  /// Clears the counts, so that an ejected upstream is not ejected again at
  /// once.
  void Reset() { *this = {}; }

 private:
  double failed_ = 0;
  double total_ = 0;
  time_point decayed_at_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_OUTLIER_DETECTOR_H_
