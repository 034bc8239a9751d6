/// \file
/// Detects that the store does not report changes that peers know.
#ifndef CUMINSWITCH_FLEET_REVISION_LAG_H_
#define CUMINSWITCH_FLEET_REVISION_LAG_H_

#include "cuminswitch/Fleet/item_view.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Tracks since when a peer has had a change that this daemon lacks. A store
/// that responds reports a change to all daemons at about the same time, so a
/// change that stays missing shows, before any call has timed out, that the
/// store does not respond to this daemon.
class revision_lag {
 public:
  /// Records that a peer has all changes up to \p known, while this daemon has
  /// those up to \p own.
  void OnPeerRevision(time_point now,
                      revision_number known,
                      revision_number own);
  /// Whether a change that a peer has is overdue here.
  bool IsOverdue(time_point now, revision_number own) const;

 private:
  /// The change that is missing, or was last; 0 if none ever was.
  revision_number missing_ = 0;
  time_point missing_since_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_REVISION_LAG_H_
