/// \file
/// How long ago a daemon's items were last known to be complete.
#ifndef CUMINSWITCH_FLEET_STALENESS_TRACKER_H_
#define CUMINSWITCH_FLEET_STALENESS_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// An answer of the store that shows that nothing newer existed.
struct freshness_record {
  /// Hash of the name of the daemon that the store answered.
  uint64_t daemon_hash = 0;
  /// Time since the answer.
  duration age{0};

  friend bool operator==(const freshness_record&,
                         const freshness_record&) = default;
};

/// Tells a fleet in which nothing changes from one that no longer hears the
/// store. Each daemon passes on the youngest evidence that it has, so that
/// those that do not follow the store know how stale they may be.
class staleness_tracker {
 public:
  /// \p self is the hash of this daemon's name.
  explicit staleness_tracker(uint64_t self) : self_(self) {}

  /// The store answered this daemon at \p at.
  void OnStoreReply(time_point at);
  /// A peer told \p told. Where \p is_behind, the peer knows more than this
  /// daemon, so that its evidence does not hold here.
  void OnPeerReport(time_point now,
                    const freshness_record& told,
                    bool is_behind);
  /// Returns the time since the items were last known to be complete.
  duration Staleness(time_point now) const { return now - complete_at_; }
  /// Returns the youngest evidence that holds here; nothing where there is
  /// none.
  std::optional<freshness_record> MostRecent(time_point now) const;
  /// Whether the store is known to have answered \p witness within \p span.
  bool HasReachedStore(time_point now, uint64_t witness, duration span) const;

 private:
  uint64_t self_;
  uint64_t freshness_source_ = 0;
  time_point complete_at_{};
  /// When the store answered each of the daemons that peers name.
  std::map<uint64_t, time_point> last_reply_at_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_STALENESS_TRACKER_H_
