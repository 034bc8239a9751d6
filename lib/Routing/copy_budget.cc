#include "cuminswitch/Routing/copy_budget.h"

#include <cmath>

#include "cuminswitch/Config/configuration.h"

namespace cuminswitch {

/// A first byte that comes this much later than expected is slow. A copy waits
/// up to two seconds for a full link; what it saves is a tenth of a second.
static constexpr double kSlowSeconds = 0.3;
/// By how much more of the copies than of the other requests may be slow, as
/// parts of each.
static constexpr double kSlowBorne = 0.2;
/// What a copy does to the share while too many are slow, and while they are
/// not: it is halved within 11 copies, two or three seconds of a daemon's
/// traffic, and doubled again within 35.
static constexpr double kLessFactor = 0.94;
static constexpr double kMoreFactor = 1.02;
/// Of what is asked for a fifth at least is not at the engine, and three times
/// as much as expected at most.
static constexpr double kLeastLinkShare = 0.3;
static constexpr double kLargestLinkShare = 5;
/// Of the parts that are slow: about ten requests, two seconds of traffic.
static constexpr double kSlowLearningRate = 0.1;
/// What was not used is saved up for so long.
static constexpr double kSavedSeconds = 2;
/// How many times as long a copy from another failure domain takes the link.
static constexpr double kOtherDomainFactor = 2;

/// Tokens per second that are one daemon's part.
static double PartOf(const cache_store_spec& store,
                     double link_share,
                     size_t fleet_size) {
  return link_share * store.copy_rate / static_cast<double>(fleet_size);
}

copy_budget::account& copy_budget::Fill(time_point now,
                                        const cache_store_spec& store) {
  const auto [found, is_new] = accounts_.try_emplace(store.address);
  account& item = found->second;
  const double rate = PartOf(store, item.link_share, fleet_size_);
  const double seconds =
      is_new ? kSavedSeconds : std::max(0.0, ToSeconds(now - item.filled_at));
  item.tokens = std::min(item.tokens + rate * seconds, rate * kSavedSeconds);
  item.filled_at = now;
  return item;
}

bool copy_budget::TrySpend(time_point now,
                           const cache_store_spec& store,
                           bool is_same_domain,
                           double tokens) {
  if (store.copy_rate == 0) {
    return true;
  }
  account& item = Fill(now, store);
  // A copy may be larger than what can be saved up, so it is made from any
  // positive rest, and the next ones wait until it is paid.
  if (item.tokens <= 0) {
    return false;
  }
  item.tokens -= tokens * (is_same_domain ? 1 : kOtherDomainFactor);
  return true;
}

bool copy_budget::HasPlenty(time_point now, const cache_store_spec& store) {
  const account& item = Fill(now, store);
  return item.tokens >=
         PartOf(store, item.link_share, fleet_size_) * kSavedSeconds / 2;
}

void copy_budget::OnFirstByte(const std::optional<endpoint>& store,
                              duration excess) {
  const double slow = ToSeconds(excess) > kSlowSeconds ? 1 : 0;
  if (!store) {
    others_slow_ += kSlowLearningRate * (slow - others_slow_);
    return;
  }
  const auto found = accounts_.find(*store);
  if (found == accounts_.end()) {
    return;
  }
  account& item = found->second;
  item.slow += kSlowLearningRate * (slow - item.slow);
  if (item.slow <= kSlowBorne) {
    item.link_share =
        std::min(item.link_share * kMoreFactor, kLargestLinkShare);
  } else if (item.slow > others_slow_ + kSlowBorne) {
    item.link_share = std::max(item.link_share * kLessFactor, kLeastLinkShare);
  }
  // Else those are as slow that copy from no store: the engines are, and
  // nothing is known of the link.
}

double copy_budget::LinkShare(const endpoint& store) const {
  const auto found = accounts_.find(store);
  return found == accounts_.end() ? kFirstLinkShare : found->second.link_share;
}

}  // namespace cuminswitch
