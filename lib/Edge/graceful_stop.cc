#include "cuminswitch/Edge/graceful_stop.h"

namespace cuminswitch {

/// Callers cache a resolved address for two seconds, some of them for three
/// times as long, and open connections to it until then.
static constexpr duration kMaxAddressUse = std::chrono::milliseconds(6200);
/// The process exits at the latest this long before the end of the grace.
static constexpr duration kExitMargin = std::chrono::milliseconds(400);
/// Requests without a response are ended this long before the end of the grace,
/// so that their callers get one before the exit.
static constexpr duration kLastResponseMargin = std::chrono::milliseconds(500);
/// A stopping daemon accepts every request for this long. After that it accepts
/// only requests whose deadline is before it ends those that are left.
static constexpr duration kUnconditionalAcceptTime =
    std::chrono::milliseconds(2700);

void graceful_stop::Begin(time_point now) {
  has_begun_ = true;
  begun_at_ = now;
}

bool graceful_stop::CanAccept(time_point now, duration max_wait) const {
  if (!has_begun_) {
    return true;
  }
  const duration elapsed = now - begun_at_;
  return elapsed < kUnconditionalAcceptTime ||
         elapsed + max_wait < grace_ - kLastResponseMargin;
}

bool graceful_stop::HasAddressExpired(time_point now) const {
  return has_begun_ && now - begun_at_ >= kMaxAddressUse;
}

bool graceful_stop::MustEndRequests(time_point now) const {
  return has_begun_ && now - begun_at_ >= grace_ - kLastResponseMargin;
}

bool graceful_stop::IsComplete(time_point now,
                               size_t requests,
                               size_t connections) const {
  if (!has_begun_) {
    return false;
  }
  // A response of a completed request may still wait to be sent to its caller.
  const bool has_nothing_left =
      HasAddressExpired(now) && requests == 0 && connections == 0;
  return has_nothing_left || now - begun_at_ >= grace_ - kExitMargin;
}

}  // namespace cuminswitch
