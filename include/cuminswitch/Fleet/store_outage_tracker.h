/// \file
/// Detects store outages during which entries of running upstreams expire.
#ifndef CUMINSWITCH_FLEET_STORE_OUTAGE_TRACKER_H_
#define CUMINSWITCH_FLEET_STORE_OUTAGE_TRACKER_H_

#include <cstdint>
#include <optional>

#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The removals that may concern upstreams that are still running.
struct recovery_window {
  /// End of the window; an upstream whose entry is still missing then has
  /// stopped.
  time_point until{};
  /// Entries removed after this revision did not expire because of the outage.
  revision_number last_removal = 0;
};

/// Decides whether upstreams whose entries are missing may still be running.
///
/// During a long outage the store receives no heartbeats of upstreams, and
/// their entries expire. Running upstreams register again about two seconds
/// after the store recovers; without the expired entries a daemon would reject
/// all requests until then. In every other case a missing entry means that the
/// upstream has stopped: if the store rejected only this daemon while it
/// replied to others, if the outage was short, or if the entry was removed
/// after the recovery, however soon.
///
/// Daemons relay a recovery of the store to each other. If several daemons
/// observed it, the earliest time and revision apply. A reported recovery is
/// ignored if the store is known to have replied shortly before it.
class store_outage_tracker {
 public:
  struct options {
    /// A hash of this daemon's process.
    uint64_t self = 0;
    /// Minimum duration of an outage in which entries may expire; the store
    /// keeps entries at least this long without a heartbeat.
    duration min_outage = std::chrono::milliseconds(2400);
  };

  explicit store_outage_tracker(const options& opts) : options_(opts) {}

  /// Records a reply of the store to this daemon at \p at, which reflects
  /// \p revision.
  void OnStoreReply(time_point at, revision_number revision);
  /// Records a recovery and a freshness record reported by a peer.
  void OnPeerReport(time_point now,
                    const store_recovery& reported,
                    const std::optional<freshness_record>& freshness);
  /// Whether no daemon is known to have received a reply of the store for so
  /// long that entries may have expired. Until the store recovers, missing
  /// upstreams cannot register again.
  bool IsStoreUnavailable(time_point now) const;
  /// Returns the window of the last recovery; one in the past if there was
  /// none.
  recovery_window Window() const;
  /// Returns the recovery to report to peers; empty after its window.
  store_recovery Recovery(time_point now) const;

 private:
  /// First reply of the store to any daemon after an outage.
  struct observed_recovery {
    /// Identifies the recovery, as assigned by the daemon that observed it; 0
    /// for none.
    uint64_t event = 0;
    time_point at{};
    revision_number revision = 0;
  };

  void OnRecovery(const observed_recovery& seen);

  options options_;
  /// Last known time at which the store replied to any daemon.
  std::optional<time_point> last_reply_at_;
  observed_recovery recovery_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_STORE_OUTAGE_TRACKER_H_
