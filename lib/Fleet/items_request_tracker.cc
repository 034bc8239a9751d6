#include "cuminswitch/Fleet/items_request_tracker.h"

#include <utility>

namespace cuminswitch {

static constexpr duration kRequestInterval = std::chrono::milliseconds(200);
/// Time without a reply after which a request counts as lost. A reply of one
/// megabyte takes 0.8 s on the slowest links of hosts (10 Mbit/s).
static constexpr duration kReplyTimeout = std::chrono::seconds(1);

bool items_request_tracker::MaySend(time_point now) const {
  return now - sent_at_ >= (is_pending_ ? kReplyTimeout : kRequestInterval);
}

void items_request_tracker::OnSent(time_point now, std::string peer) {
  peer_ = std::move(peer);
  sent_at_ = now;
  is_pending_ = true;
  ++request_count_;
}

}  // namespace cuminswitch
