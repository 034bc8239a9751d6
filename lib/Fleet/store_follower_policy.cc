#include "cuminswitch/Fleet/store_follower_policy.h"

#include <algorithm>
#include <vector>

#include "cuminswitch/Fleet/follower_selection.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Fleet/staleness_tracker.h"
#include "cuminswitch/Support/hash.h"
#include "store_constants.h"

namespace cuminswitch {

/// Target rate of take-overs per second, in all daemons together, while the
/// store replies to none.
static constexpr int64_t kTakeoversPerSecond = 24;
static constexpr duration kMinTakeoverDelay = std::chrono::milliseconds(800);
/// Upper bound, since the store may become reachable for one daemon only.
static constexpr duration kMaxTakeoverDelay = std::chrono::seconds(3);

void store_follower_policy::OnPeers(const daemon_record& self,
                                    std::span<const daemon_record> alive) {
  is_selected_ = FollowsStore(self, alive);
}

bool store_follower_policy::MayStepDown(time_point now,
                                        const view& inputs) const {
  // A reply from before this daemon took over does not show that the store is
  // reachable now.
  const duration span = std::min<duration>(kStoreFresh, now - taken_over_at_);
  std::vector<daemon_record> reaching_store;
  for (const daemon_record& item : inputs.alive) {
    if (inputs.staleness.HasReachedStore(now, Hash64(item.name), span)) {
      reaching_store.push_back(item);
    }
  }
  return !RanksFirst(inputs.self, reaching_store,
                     FollowersPerDomain(inputs.self, inputs.alive));
}

duration store_follower_policy::NextTakeoverDelay(const view& inputs) {
  const duration mean = std::clamp<duration>(
      std::chrono::seconds(inputs.known) / kTakeoversPerSecond,
      kMinTakeoverDelay, kMaxTakeoverDelay);
  // Between 3/4 and 5/4 of the mean, so that daemons do not take over in
  // lockstep.
  constexpr uint64_t kSteps = 64;
  const auto step = static_cast<int64_t>(
      Hash64(inputs.self.name, ++takeover_attempts_) % kSteps);
  return mean * 3 / 4 + mean * step / (2 * static_cast<int64_t>(kSteps));
}

bool store_follower_policy::ShouldFollow(time_point now, const view& inputs) {
  if (is_selected_) {
    has_taken_over_ = false;
    return true;
  }
  if (has_taken_over_) {
    if (inputs.last_failure_at >= taken_over_at_) {
      has_taken_over_ = false;
      next_takeover_ = now + NextTakeoverDelay(inputs);
    } else if (inputs.last_reply_at >= taken_over_at_ &&
               MayStepDown(now, inputs)) {
      has_taken_over_ = false;
    }
    return has_taken_over_;
  }
  if (inputs.staleness.Staleness(now) <= kStoreFresh || now < next_takeover_) {
    return false;
  }
  has_taken_over_ = true;
  taken_over_at_ = now;
  return true;
}

}  // namespace cuminswitch
