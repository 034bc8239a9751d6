#include "cuminswitch/Fleet/items_request_tracker.h"

#include <utility>

namespace cuminswitch {

static constexpr duration kAskInterval = std::chrono::milliseconds(200);
/// An answer that is not there by then is taken for lost. A megabyte takes 0.8
/// s on the slowest links that hosts have (10 Mbit/s).
static constexpr duration kAnswerTime = std::chrono::seconds(1);

bool items_request_tracker::MayAsk(time_point now) const {
  return now - asked_at_ >= (is_waiting_ ? kAnswerTime : kAskInterval);
}

void items_request_tracker::OnAsked(time_point now, std::string peer) {
  peer_ = std::move(peer);
  asked_at_ = now;
  is_waiting_ = true;
  ++turn_;
}

}  // namespace cuminswitch
