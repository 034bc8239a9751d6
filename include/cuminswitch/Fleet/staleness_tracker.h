/// \file
/// Tracks how long ago a daemon's items were last known to be complete.
#ifndef CUMINSWITCH_FLEET_STALENESS_TRACKER_H_
#define CUMINSWITCH_FLEET_STALENESS_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Record of a store reply, which proves that nothing newer existed then.
struct freshness_record {
  /// Hash of the name of the daemon that received the reply.
  uint64_t daemon_hash = 0;
  /// Increases with the replies that this daemon received; 0 if unknown.
  uint64_t reply = 0;
  /// Time since the reply. Each relay makes it too short by the delay of its
  /// message.
  duration age{0};

  friend bool operator==(const freshness_record&,
                         const freshness_record&) = default;
};

/// Distinguishes a fleet in which nothing changes from one that has lost the
/// store. Each daemon relays the most recent freshness record that it has, so
/// that daemons that do not follow the store know how stale their items may be.
class staleness_tracker {
 public:
  /// \p self is the hash of this daemon's name.
  explicit staleness_tracker(uint64_t self) : self_(self) {}

  /// Records a reply of the store to this daemon at \p at.
  void OnStoreReply(time_point at);
  /// Applies the freshness record \p reported, which a peer sent. If
  /// \p is_behind, this daemon has an older revision than the peer, so the
  /// record does not prove that this daemon's items are complete. Returns when
  /// the reply was received, as far as is known.
  time_point OnPeerReport(time_point now,
                          const freshness_record& reported,
                          bool is_behind);
  /// Returns when the items were last known to be complete. An item that is new
  /// to this daemon was written later.
  time_point complete_at() const { return complete_at_; }
  /// Returns the time since the items were last known to be complete.
  duration Staleness(time_point now) const { return now - complete_at_; }
  /// Returns the most recent record that applies to this daemon's items, if
  /// any.
  std::optional<freshness_record> MostRecent(time_point now) const;
  /// Whether the daemon with the name hash \p daemon_hash is known to have
  /// received a reply of the store within the last \p span.
  bool HasReachedStore(time_point now,
                       uint64_t daemon_hash,
                       duration span) const;

 private:
  struct known_reply {
    uint64_t number = 0;
    /// The earliest of the times by the records of this reply: a record that
    /// circulates among peers looks younger with each relay.
    time_point at{};
  };

  /// Returns the time of the reply that \p reported states, which was at \p at
  /// by this record.
  time_point UpdateReply(time_point at, const freshness_record& reported);

  uint64_t self_;
  uint64_t freshness_source_ = 0;
  uint64_t freshness_reply_ = 0;
  time_point complete_at_{};
  /// The store's last reply to each daemon reported by peers, by name hash.
  std::map<uint64_t, known_reply> last_replies_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_STALENESS_TRACKER_H_
