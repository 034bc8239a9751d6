#include "cuminswitch/Fleet/store_outage_tracker.h"

#include <algorithm>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Running upstreams have registered again this long after the store's
/// recovery.
static constexpr duration kRecoveryTime = std::chrono::seconds(2);

bool store_outage_tracker::IsStoreUnavailable(time_point now) const {
  return last_reply_at_ && now - *last_reply_at_ >= options_.min_outage;
}

void store_outage_tracker::OnRecovery(const observed_recovery& observed) {
  const duration apart = std::chrono::abs(observed.at - recovery_.at);
  if (recovery_.event == 0 || apart >= options_.min_outage) {
    recovery_ = observed;
    return;
  }
  // Another daemon observed the same recovery. Message delays make reported
  // times later, never earlier.
  if (observed.at < recovery_.at) {
    recovery_.event = observed.event;
    recovery_.at = observed.at;
  }
  recovery_.revision = std::min(recovery_.revision, observed.revision);
}

void store_outage_tracker::OnStoreReply(time_point at,
                                        revision_number revision) {
  if (IsStoreUnavailable(at)) {
    const auto stamp = static_cast<uint64_t>(at.time_since_epoch().count());
    OnRecovery({.event = CombineHash(options_.self, stamp),
                .at = at,
                .revision = revision});
  }
  last_reply_at_ = std::max(last_reply_at_.value_or(at), at);
}

void store_outage_tracker::OnPeerReport(
    time_point now,
    const store_recovery& reported,
    const std::optional<freshness_record>& freshness) {
  // Daemons of an earlier release report no revision. Their window would cover
  // entries that cannot have expired.
  if (reported.event != 0 && reported.revision != 0) {
    const time_point at =
        now + std::clamp(reported.left, duration(0), kRecoveryTime) -
        kRecoveryTime;
    const bool is_known =
        recovery_.event != 0 &&
        std::chrono::abs(at - recovery_.at) < options_.min_outage;
    if (is_known || !last_reply_at_ || IsStoreUnavailable(at)) {
      OnRecovery(
          {.event = reported.event, .at = at, .revision = reported.revision});
    }
  }
  if (freshness && freshness->daemon_hash != 0) {
    const time_point at = now - freshness->age;
    last_reply_at_ = std::max(last_reply_at_.value_or(at), at);
  }
}

recovery_window store_outage_tracker::Window() const {
  if (recovery_.event == 0) {
    return {};
  }
  return {.until = recovery_.at + kRecoveryTime,
          .last_removal = recovery_.revision};
}

store_recovery store_outage_tracker::Recovery(time_point now) const {
  const recovery_window window = Window();
  if (window.until <= now) {
    return {};
  }
  return {.event = recovery_.event,
          .left = window.until - now,
          .revision = recovery_.revision};
}

}  // namespace cuminswitch
