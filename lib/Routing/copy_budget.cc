#include "cuminswitch/Routing/copy_budget.h"

#include "cuminswitch/Config/configuration.h"

namespace cuminswitch {

/// Times a link's rate that may be asked for. Most of what is asked for is
/// still at the engine after all, so that nothing is copied. Of 0.7, 1.5, 3, 5
/// and 8, 5 and 8 served most: a bound of 0.7 had twice the tokens computed
/// again.
static constexpr double kLinkShareUsed = 5;
/// What was not used is saved up for so long.
static constexpr double kSavedSeconds = 2;
/// How many times as long a copy from another failure domain takes the link.
static constexpr double kOtherDomainFactor = 2;

/// Tokens per second that are one daemon's part.
static double PartOf(const cache_store_spec& store, size_t fleet_size) {
  return kLinkShareUsed * store.copy_rate / static_cast<double>(fleet_size);
}

copy_budget::account& copy_budget::Fill(time_point now,
                                        const cache_store_spec& store) {
  const double rate = PartOf(store, fleet_size_);
  const auto [found, is_new] = accounts_.try_emplace(store.address);
  account& item = found->second;
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
  return Fill(now, store).tokens >=
         PartOf(store, fleet_size_) * kSavedSeconds / 2;
}

}  // namespace cuminswitch
