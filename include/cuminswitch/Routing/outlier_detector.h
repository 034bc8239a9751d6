/// \file
/// Finds upstreams that fail more often than their peers.
#ifndef CUMINSWITCH_ROUTING_OUTLIER_DETECTOR_H_
#define CUMINSWITCH_ROUTING_OUTLIER_DETECTOR_H_

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// An upstream's share of failed answers, with old answers losing weight. An
/// upstream that answers its health check may still fail a part of its
/// requests; only its answers show that. Some failures are the requests' own,
/// so the share is judged against that of the other upstreams.
class outlier_detector {
 public:
  void OnAnswer(time_point now, bool failed);
  /// Adds this upstream's counts to \p failed and \p total.
  void AddTo(double& failed, double& total) const {
    failed += failed_;
    total += total_;
  }
  /// Whether it fails much more often than \p others_share.
  bool IsOutlier(double others_share) const;
  /// Forgets everything; after an ejection it gets a new chance.
  void Reset() { *this = {}; }

 private:
  double failed_ = 0;
  double total_ = 0;
  time_point decayed_at_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_OUTLIER_DETECTOR_H_
