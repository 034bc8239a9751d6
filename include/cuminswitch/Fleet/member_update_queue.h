/// \file
/// Queue of the member updates that a daemon gossips.
#ifndef CUMINSWITCH_FLEET_MEMBER_UPDATE_QUEUE_H_
#define CUMINSWITCH_FLEET_MEMBER_UPDATE_QUEUE_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cuminswitch/Fleet/peer_frame.h"

namespace cuminswitch {

/// Holds the member updates that this daemon received or made, one per member,
/// until each was sent a fixed number of times. Each daemon that receives an
/// update sends it on, so that it reaches a fleet of any size within a few
/// heartbeat rounds, at a cost per daemon that does not depend on the size.
class member_update_queue {
 public:
  /// Times that one daemon sends an update of a member that serves. With 16,
  /// one daemon in nine million misses the update at first, and gets the record
  /// later, when `TakeMemberUpdates` comes to it.
  static constexpr size_t kSendCount = 16;
  /// Times that one daemon sends an update of a member that is suspected or
  /// leaves. It has to reach all daemons, since callers must not be sent there,
  /// and half of the receivers may have failed together with the member.
  static constexpr size_t kDepartureSendCount = 24;

  /// Queues \p update in place of an earlier one of that member.
  void Add(const member_update& update);
  /// Returns up to \p count updates for one heartbeat, those sent least often
  /// first, and counts them as sent.
  std::vector<member_update> Take(size_t count);
  bool IsEmpty() const { return updates_.empty(); }

 private:
  struct queued_update {
    member_update update;
    size_t send_count = 0;
  };

  std::map<std::string, queued_update> updates_;
  /// The names in `updates_` by how often each update was sent.
  std::set<std::pair<size_t, std::string>> by_send_count_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_MEMBER_UPDATE_QUEUE_H_
