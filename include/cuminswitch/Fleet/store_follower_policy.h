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
/// In a large fleet the daemons that rank first among those alive follow the
/// store for the others. They may be alive and still not reach the store. So a
/// daemon whose items are stale takes over: it follows the store itself until
/// enough daemons that rank before it receive replies from the store. If its
/// own call fails, it steps down and tries again after a delay that grows with
/// the fleet size, which limits the calls of a fleet that has lost the store.
class store_follower_policy {
 public:
  /// Inputs to the decision.
  struct view {
    const daemon_record& self;
    /// Peers that are alive.
    std::span<const daemon_record> alive;
    const staleness_tracker& staleness;
    /// Time of this daemon's last successful and last failed call to the store.
    time_point last_reply_at{};
    time_point last_failure_at{};
    /// Number of daemons in the deployment.
    size_t known = 1;
  };

  /// Updates the peers that are alive.
  void OnPeers(const daemon_record& self, std::span<const daemon_record> alive);
  /// Returns whether to follow the store from now on.
  bool ShouldFollow(time_point now, const view& inputs);

 private:
  /// Whether enough peers that rank before this daemon reach the store.
  bool MayStepDown(time_point now, const view& inputs) const;
  duration NextTakeoverDelay(const view& inputs);

  bool is_selected_ = true;
  bool has_taken_over_ = false;
  time_point taken_over_at_{};
  time_point next_takeover_{};
  uint64_t takeover_attempts_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_STORE_FOLLOWER_POLICY_H_
