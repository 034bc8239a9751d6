/// \file
/// Limits how often a daemon requests items from its peers.
#ifndef CUMINSWITCH_FLEET_ITEMS_REQUEST_TRACKER_H_
#define CUMINSWITCH_FLEET_ITEMS_REQUEST_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Allows one items request at a time.
///
/// A reply may be the complete list of items, about a megabyte with thousands
/// of upstreams, and a slow link needs longer for it than the interval between
/// requests. If requests were repeated meanwhile, the peer would send the same
/// list several times and hold all copies in memory. A reply with changes only
/// is small; one that does not arrive soon was lost, or is a list after all.
class items_request_tracker {
 public:
  /// What a reply is expected to hold.
  enum class scope : uint8_t { kAllItems, kChanges };

  bool MaySend(time_point now) const;
  void OnSent(time_point now, std::string peer, scope expected);
  void OnReply();
  /// Records that the last request was given up.
  void OnLost() { is_pending_ = false; }
  /// Whether the last request has not been answered yet.
  bool IsPending() const { return is_pending_; }
  /// Recipient and time of the last request.
  const std::string& peer() const { return peer_; }
  time_point sent_at() const { return sent_at_; }
  /// Number of requests sent so far; used to select a different peer for each
  /// request.
  uint64_t request_count() const { return request_count_; }

 private:
  static constexpr duration kMinReplyTimeout = std::chrono::milliseconds(300);

  time_point sent_at_{};
  uint64_t request_count_ = 0;
  std::string peer_;
  bool is_pending_ = false;
  /// Time without a reply after which the last request counts as lost.
  duration timeout_{0};
  /// The same for the next one, if it requests changes.
  duration next_timeout_ = kMinReplyTimeout;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ITEMS_REQUEST_TRACKER_H_
