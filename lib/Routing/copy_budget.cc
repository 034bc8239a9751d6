#include "cuminswitch/Routing/copy_budget.h"

#include <cmath>

#include "cuminswitch/Config/configuration.h"

namespace cuminswitch {

/// A first byte that comes this much later than predicted is slow. On a
/// saturated link a copy waits up to 2 s, although it saves only about 0.1 s.
static constexpr double kSlowFirstByteSeconds = 0.3;
/// By how much the share of slow requests among those that copy may exceed the
/// share among all others.
static constexpr double kToleratedSlowShare = 0.2;
/// Factors applied to the link share per copy while too many copies are slow,
/// and while they are not. The share is halved within 11 copies, which is 2 to
/// 3 s of a daemon's traffic, and doubled again within 35.
static constexpr double kLinkShareDecrease = 0.94;
static constexpr double kLinkShareIncrease = 1.02;
/// Bounds of the link share. Of the requested tokens, at least one fifth is not
/// cached at the engine, and at most three times as many as expected.
static constexpr double kMinLinkShare = 0.3;
static constexpr double kMaxLinkShare = 5;
/// Learning rate of the shares of slow requests: averages over about 10
/// requests or 2 s of traffic.
static constexpr double kSlowShareLearningRate = 0.1;
/// Capacity of the token bucket, in seconds of its refill rate.
static constexpr double kBurstSeconds = 2;
/// Cost of a copy from or to another failure domain, relative to one within the
/// domain: it occupies the link for this many times as long.
static constexpr double kCrossDomainCostFactor = 2;

/// Returns one daemon's share of the copy rate, in tokens per second.
static double DaemonRate(const cache_store_spec& store,
                         double link_share,
                         size_t fleet_size) {
  return link_share * store.copy_rate / static_cast<double>(fleet_size);
}

copy_budget::account& copy_budget::Refill(time_point now,
                                          const cache_store_spec& store) {
  const auto [found, is_new] = accounts_.try_emplace(store.address);
  account& item = found->second;
  const double rate = DaemonRate(store, item.link_share, fleet_size_);
  const double seconds =
      is_new ? kBurstSeconds : std::max(0.0, ToSeconds(now - item.refilled_at));
  item.tokens = std::min(item.tokens + rate * seconds, rate * kBurstSeconds);
  item.refilled_at = now;
  return item;
}

bool copy_budget::TrySpend(time_point now,
                           const cache_store_spec& store,
                           bool is_same_domain,
                           double tokens) {
  if (store.copy_rate == 0) {
    return true;
  }
  account& item = Refill(now, store);
  // A copy may be larger than the bucket's capacity. It is allowed whenever the
  // level is positive, and later copies wait until the debt is refilled.
  if (item.tokens <= 0) {
    return false;
  }
  item.tokens -= tokens * (is_same_domain ? 1 : kCrossDomainCostFactor);
  return true;
}

bool copy_budget::IsHalfFull(time_point now, const cache_store_spec& store) {
  const account& item = Refill(now, store);
  return item.tokens >=
         DaemonRate(store, item.link_share, fleet_size_) * kBurstSeconds / 2;
}

void copy_budget::OnFirstByte(const std::optional<endpoint>& store,
                              duration prediction_error) {
  const double slow_sample =
      ToSeconds(prediction_error) > kSlowFirstByteSeconds ? 1 : 0;
  if (!store) {
    non_copying_slow_share_ +=
        kSlowShareLearningRate * (slow_sample - non_copying_slow_share_);
    return;
  }
  const auto found = accounts_.find(*store);
  if (found == accounts_.end()) {
    return;
  }
  account& item = found->second;
  item.slow_share += kSlowShareLearningRate * (slow_sample - item.slow_share);
  if (item.slow_share <= kToleratedSlowShare) {
    item.link_share =
        std::min(item.link_share * kLinkShareIncrease, kMaxLinkShare);
  } else if (item.slow_share > non_copying_slow_share_ + kToleratedSlowShare) {
    item.link_share =
        std::max(item.link_share * kLinkShareDecrease, kMinLinkShare);
  }
  // Otherwise, requests that copy from no store are as slow. Then the engines
  // are slow, and the samples say nothing about the link.
}

double copy_budget::LinkShare(const endpoint& store) const {
  const auto found = accounts_.find(store);
  return found == accounts_.end() ? kInitialLinkShare
                                  : found->second.link_share;
}

}  // namespace cuminswitch
