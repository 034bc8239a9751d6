/// \file
/// Upstreams whose entries went with the store's own trouble.
#ifndef CUMINSWITCH_FLEET_STORE_OUTAGE_TRACKER_H_
#define CUMINSWITCH_FLEET_STORE_OUTAGE_TRACKER_H_

#include <cstdint>
#include <optional>

#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Which removals from the store's list may be of upstreams that live.
struct recovery_window {
  /// What is still missing then is gone.
  time_point until{};
  /// What was removed after this revision did not lapse.
  revision_number last_removal = 0;
};

/// Tells whether upstreams that are missing from the store may live.
///
/// A store that was away from everybody for long has not heard its upstreams,
/// and drops their entries; those that live are back about two seconds after
/// its return. Without them a daemon would refuse everything meanwhile. Nothing
/// else excuses a missing entry: not that the store turned this daemon away
/// while it answered others, nor that it was away for a moment. What is removed
/// after the store's return is gone, however soon.
///
/// Daemons pass on a return of the store. Of one that several saw, the earliest
/// time and revision hold, and a return is not believed where the store is
/// known to have answered just before.
class store_outage_tracker {
 public:
  struct options {
    /// A hash of this daemon's process.
    uint64_t self = 0;
    /// The store drops no entry that it has not heard for less.
    duration min_outage = std::chrono::milliseconds(2400);
  };

  explicit store_outage_tracker(const options& opts) : options_(opts) {}

  /// The store answered this daemon at \p at, as of \p revision.
  void OnStoreReply(time_point at, revision_number revision);
  /// Takes in what a peer told of the store.
  void OnPeerReport(time_point now,
                    const store_recovery& told,
                    const std::optional<freshness_record>& evidence);
  /// Whether the store is not known to have answered anybody for so long that
  /// entries may lapse. Nothing that is missing can come back meanwhile.
  bool IsStoreUnavailable(time_point now) const;
  /// The window of the last return of the store; over where there is none.
  recovery_window Window() const;
  /// Returns what to tell peers of it.
  store_recovery Recovery(time_point now) const;

 private:
  /// The first answer of the store to anybody after it had been away.
  struct observed_recovery {
    /// Names it, as its witness saw it; 0 for none.
    uint64_t event = 0;
    time_point at{};
    revision_number revision = 0;
  };

  void OnRecovery(const observed_recovery& seen);

  options options_;
  /// When the store is last known to have answered anybody.
  std::optional<time_point> last_reply_at_;
  observed_recovery recovery_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_STORE_OUTAGE_TRACKER_H_
