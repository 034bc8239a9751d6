#include "cuminswitch/Fleet/store_follower_policy.h"

#include <algorithm>
#include <vector>

#include "cuminswitch/Fleet/follower_selection.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Fleet/staleness_tracker.h"
#include "cuminswitch/Support/hash.h"
#include "store_constants.h"

namespace cuminswitch {

/// Calls a second of all daemons together that look for a store which answers
/// nobody.
static constexpr int64_t kTakeoversPerSecond = 24;
static constexpr duration kMinTakeoverDelay = std::chrono::milliseconds(800);
/// The store may come back for one daemon alone.
static constexpr duration kMaxTakeoverDelay = std::chrono::seconds(3);

void store_follower_policy::OnPeers(const daemon_record& self,
                                    std::span<const daemon_record> living) {
  is_selected_ = FollowsStore(self, living);
}

bool store_follower_policy::MayStepDown(time_point now,
                                        const view& seen) const {
  // An answer from before the items were stale says nothing of now.
  const duration span = std::min<duration>(kStoreFresh, now - taken_over_at_);
  std::vector<daemon_record> answered;
  for (const daemon_record& item : seen.alive) {
    if (seen.staleness.HasReachedStore(now, Hash64(item.name), span)) {
      answered.push_back(item);
    }
  }
  return !RanksFirst(seen.self, answered,
                     FollowersPerDomain(seen.self, seen.alive));
}

duration store_follower_policy::NextTakeoverDelay(const view& seen) {
  const duration even = std::clamp<duration>(
      std::chrono::seconds(seen.known) / kTakeoversPerSecond, kMinTakeoverDelay,
      kMaxTakeoverDelay);
  // Between three and five quarters, so that daemons do not try in step.
  constexpr uint64_t kSteps = 64;
  const auto step = static_cast<int64_t>(
      Hash64(seen.self.name, ++takeover_attempts_) % kSteps);
  return even * 3 / 4 + even * step / (2 * static_cast<int64_t>(kSteps));
}

bool store_follower_policy::ShouldFollow(time_point now, const view& seen) {
  if (is_selected_) {
    has_taken_over_ = false;
    return true;
  }
  if (has_taken_over_) {
    if (seen.last_failure_at >= taken_over_at_) {
      has_taken_over_ = false;
      next_takeover_ = now + NextTakeoverDelay(seen);
    } else if (seen.last_reply_at >= taken_over_at_ && MayStepDown(now, seen)) {
      has_taken_over_ = false;
    }
    return has_taken_over_;
  }
  if (seen.staleness.Staleness(now) <= kStoreFresh || now < next_takeover_) {
    return false;
  }
  has_taken_over_ = true;
  taken_over_at_ = now;
  return true;
}

}  // namespace cuminswitch
