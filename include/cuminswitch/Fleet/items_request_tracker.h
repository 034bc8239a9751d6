/// \file
/// When a daemon asks its peers for items again.
#ifndef CUMINSWITCH_FLEET_ITEMS_REQUEST_TRACKER_H_
#define CUMINSWITCH_FLEET_ITEMS_REQUEST_TRACKER_H_

#include <cstdint>
#include <string>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Keeps one question under way at a time.
///
/// An answer may be the fleet's whole list, a megabyte where there are
/// thousands of upstreams, and a slow link needs longer for it than the
/// interval between questions. Asked again meanwhile, a peer would send the
/// same list again and again, and hold all of them in memory.
class items_request_tracker {
 public:
  bool MaySend(time_point now) const;
  void OnSent(time_point now, std::string peer);
  void OnReply() { is_pending_ = false; }
  /// Whether the last question is still without an answer.
  bool IsPending() const { return is_pending_; }
  /// Whom the last question went to, and when.
  const std::string& peer() const { return peer_; }
  time_point asked_at() const { return sent_at_; }
  /// Questions so far; another peer is asked each time.
  uint64_t turn() const { return request_count_; }

 private:
  time_point sent_at_{};
  uint64_t request_count_ = 0;
  std::string peer_;
  bool is_pending_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_ITEMS_REQUEST_TRACKER_H_
