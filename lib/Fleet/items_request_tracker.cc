#include "cuminswitch/Fleet/items_request_tracker.h"

#include <algorithm>
#include <utility>

namespace cuminswitch {

static constexpr duration kRequestInterval = std::chrono::milliseconds(200);
/// A reply of one megabyte takes 0.8 s on the slowest links of hosts
/// (10 Mbit/s).
static constexpr duration kMaxReplyTimeout = std::chrono::seconds(1);

bool items_request_tracker::MaySend(time_point now) const {
  return now - sent_at_ >= (is_pending_ ? timeout_ : kRequestInterval);
}

void items_request_tracker::OnSent(time_point now,
                                   std::string peer,
                                   scope expected) {
  peer_ = std::move(peer);
  sent_at_ = now;
  is_pending_ = true;
  ++request_count_;
  timeout_ = expected == scope::kAllItems ? kMaxReplyTimeout : next_timeout_;
  next_timeout_ = std::min(2 * next_timeout_, kMaxReplyTimeout);
}

void items_request_tracker::OnReply() {
  is_pending_ = false;
  next_timeout_ = kMinReplyTimeout;
}

}  // namespace cuminswitch
