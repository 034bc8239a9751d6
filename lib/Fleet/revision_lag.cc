#include "cuminswitch/Fleet/revision_lag.h"

namespace cuminswitch {

/// Longer than the pause between two watches and the reply of a slow store.
static constexpr duration kMaxReportDelay = std::chrono::milliseconds(400);

void revision_lag::OnPeerRevision(time_point now,
                                  revision_number known,
                                  revision_number own) {
  if (known > own && missing_ <= own) {
    missing_ = known;
    missing_since_ = now;
  }
}

bool revision_lag::IsOverdue(time_point now, revision_number own) const {
  return missing_ > own && now - missing_since_ >= kMaxReportDelay;
}

}  // namespace cuminswitch
