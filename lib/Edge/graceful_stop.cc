#include "cuminswitch/Edge/graceful_stop.h"

namespace cuminswitch {

/// Callers keep an address answer for two seconds, some of them three times as
/// long; until then they open connections here.
static constexpr duration kLongestAddressUse = std::chrono::milliseconds(6200);
/// Left of the grace when the process ends at the latest.
static constexpr duration kExitMargin = std::chrono::milliseconds(400);
/// A request that comes this late to a stopping daemon is taken only if its
/// deadline passes before the process ends; the end would cut it in two.
static constexpr duration kLatestUnboundedStart =
    std::chrono::milliseconds(2700);

void graceful_stop::Begin(time_point now) {
  has_begun_ = true;
  begun_at_ = now;
}

bool graceful_stop::CanAccept(time_point now, duration patience) const {
  if (!has_begun_) {
    return true;
  }
  const duration elapsed = now - begun_at_;
  return elapsed < kLatestUnboundedStart ||
         elapsed + patience < grace_ - kExitMargin;
}

bool graceful_stop::IsForgotten(time_point now) const {
  return has_begun_ && now - begun_at_ >= kLongestAddressUse;
}

bool graceful_stop::IsOver(time_point now,
                           size_t requests,
                           size_t connections) const {
  if (!has_begun_) {
    return false;
  }
  // An answer that has ended may still be on its way to its caller.
  const bool has_nothing_left =
      IsForgotten(now) && requests == 0 && connections == 0;
  return has_nothing_left || now - begun_at_ >= grace_ - kExitMargin;
}

}  // namespace cuminswitch
