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
static constexpr int64_t kTriesPerSecond = 24;
static constexpr duration kShortestTryInterval = std::chrono::milliseconds(800);
/// The store may come back for one daemon alone.
static constexpr duration kLongestTryInterval = std::chrono::seconds(3);

void store_follower_policy::OnPeers(const daemon_record& self,
                                    std::span<const daemon_record> living) {
  is_chosen_ = FollowsStore(self, living);
}

bool store_follower_policy::IsRelieved(time_point now, const view& seen) const {
  // An answer from before the items were stale says nothing of now.
  const duration span = std::min<duration>(kStoreFresh, now - stands_in_since_);
  std::vector<daemon_record> answered;
  for (const daemon_record& item : seen.alive) {
    if (seen.staleness.HasReachedStore(now, Hash64(item.name), span)) {
      answered.push_back(item);
    }
  }
  return !RanksFirst(seen.self, answered,
                     FollowersPerDomain(seen.self, seen.alive));
}

duration store_follower_policy::TryInterval(const view& seen) {
  const duration even =
      std::clamp<duration>(std::chrono::seconds(seen.known) / kTriesPerSecond,
                           kShortestTryInterval, kLongestTryInterval);
  // Between three and five quarters, so that daemons do not try in step.
  constexpr uint64_t kSteps = 64;
  const auto step =
      static_cast<int64_t>(Hash64(seen.self.name, ++tries_) % kSteps);
  return even * 3 / 4 + even * step / (2 * static_cast<int64_t>(kSteps));
}

bool store_follower_policy::ShouldFollow(time_point now, const view& seen) {
  if (is_chosen_) {
    is_standing_in_ = false;
    return true;
  }
  if (is_standing_in_) {
    if (seen.failed_at >= stands_in_since_) {
      is_standing_in_ = false;
      next_try_ = now + TryInterval(seen);
    } else if (seen.answered_at >= stands_in_since_ && IsRelieved(now, seen)) {
      is_standing_in_ = false;
    }
    return is_standing_in_;
  }
  if (seen.staleness.Staleness(now) <= kStoreFresh || now < next_try_) {
    return false;
  }
  is_standing_in_ = true;
  stands_in_since_ = now;
  return true;
}

}  // namespace cuminswitch
