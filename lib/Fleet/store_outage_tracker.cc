#include "cuminswitch/Fleet/store_outage_tracker.h"

#include <algorithm>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Entries of upstreams that live are back this soon after the store's return.
static constexpr duration kLapsedTime = std::chrono::seconds(2);

bool store_outage_tracker::IsStoreUnavailable(time_point now) const {
  return answered_at_ && now - *answered_at_ >= options_.least_outage;
}

void store_outage_tracker::OnReturn(const store_return& seen) {
  const duration apart = std::chrono::abs(seen.at - return_.at);
  if (return_.event == 0 || apart >= options_.least_outage) {
    return_ = seen;
    return;
  }
  // Another daemon saw the same return. Delays make what is told later, never
  // earlier.
  if (seen.at < return_.at) {
    return_.event = seen.event;
    return_.at = seen.at;
  }
  return_.revision = std::min(return_.revision, seen.revision);
}

void store_outage_tracker::OnStoreAnswer(time_point at,
                                         revision_number revision) {
  if (IsStoreUnavailable(at)) {
    const auto stamp = static_cast<uint64_t>(at.time_since_epoch().count());
    OnReturn({.event = CombineHash(options_.self, stamp),
              .at = at,
              .revision = revision});
  }
  answered_at_ = std::max(answered_at_.value_or(at), at);
}

void store_outage_tracker::OnPeer(
    time_point now,
    const store_recovery& told,
    const std::optional<freshness_record>& evidence) {
  // Daemons of an earlier release name no revision, and await more than can
  // have lapsed.
  if (told.event != 0 && told.revision != 0) {
    const time_point at =
        now + std::clamp(told.left, duration(0), kLapsedTime) - kLapsedTime;
    const bool is_known =
        return_.event != 0 &&
        std::chrono::abs(at - return_.at) < options_.least_outage;
    if (is_known || !answered_at_ || IsStoreUnavailable(at)) {
      OnReturn({.event = told.event, .at = at, .revision = told.revision});
    }
  }
  if (evidence && evidence->daemon_hash != 0) {
    const time_point at = now - evidence->age;
    answered_at_ = std::max(answered_at_.value_or(at), at);
  }
}

recovery_window store_outage_tracker::Window() const {
  if (return_.event == 0) {
    return {};
  }
  return {.until = return_.at + kLapsedTime, .last_removal = return_.revision};
}

store_recovery store_outage_tracker::Recovery(time_point now) const {
  const recovery_window window = Window();
  if (window.until <= now) {
    return {};
  }
  return {.event = return_.event,
          .left = window.until - now,
          .revision = return_.revision};
}

}  // namespace cuminswitch
