/// \file
/// When a daemon follows the store.
#ifndef CUMINSWITCH_FLEET_STORE_FOLLOWER_POLICY_H_
#define CUMINSWITCH_FLEET_STORE_FOLLOWER_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class staleness_tracker;
struct daemon_record;

/// Decides whether a daemon follows the store.
///
/// In a large fleet the daemons that rank first among the living follow it for
/// the others. They may live and not reach it. So a daemon whose items are
/// stale stands in: it asks the store itself, and goes on for as long as too
/// few of those that rank before it are answered. One that is not answered
/// stands down, and tries again after a while that grows with the fleet: the
/// calls of a fleet that has lost the store stay few.
class store_follower_policy {
 public:
  /// What the daemon knows when it decides.
  struct view {
    const daemon_record& self;
    /// Its living peers.
    std::span<const daemon_record> alive;
    const staleness_tracker& staleness;
    /// When the store last answered this daemon, and last failed to.
    time_point last_reply_at{};
    time_point last_failure_at{};
    /// Daemons of the deployment.
    size_t known = 1;
  };

  /// The living peers changed.
  void OnPeers(const daemon_record& self,
               std::span<const daemon_record> living);
  /// Returns whether to follow the store from now on.
  bool ShouldFollow(time_point now, const view& seen);

 private:
  /// Whether enough peers that rank before this daemon have the store.
  bool MayStepDown(time_point now, const view& seen) const;
  duration NextTakeoverDelay(const view& seen);

  bool is_selected_ = true;
  bool has_taken_over_ = false;
  time_point taken_over_at_{};
  time_point next_takeover_{};
  uint64_t takeover_attempts_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_STORE_FOLLOWER_POLICY_H_
