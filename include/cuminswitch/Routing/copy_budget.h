/// \file
/// Limits the copy traffic that a daemon puts on the cache stores' links.
#ifndef CUMINSWITCH_ROUTING_COPY_BUDGET_H_
#define CUMINSWITCH_ROUTING_COPY_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>

#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

struct cache_store_spec;

/// Gives each daemon an even share of the bandwidth of each store's link, as a
/// token bucket of prompt tokens. A store transfers copies one after the other.
/// Once demand exceeds the link rate, each request waits 2 s for its copy and
/// holds engine memory meanwhile, which evicts prefixes that the engine had
/// cached. A fleet does not recover from this state by itself, since the
/// evicted prefixes have to be copied again.
class copy_budget {
 public:
  /// Sets the number of daemons that share the stores.
  void SetFleetSize(size_t size) { fleet_size_ = std::max<size_t>(1, size); }
  /// Reserves bandwidth for copying \p tokens prompt tokens from or to
  /// \p store. \p is_same_domain says whether the store is in the failure
  /// domain of the engine. Returns false when this daemon's share is used up.
  bool TrySpend(time_point now,
                const cache_store_spec& store,
                bool is_same_domain,
                double tokens);
  /// Returns whether at least half of the burst capacity is available.
  bool IsHalfFull(time_point now, const cache_store_spec& store);
  /// Records a request whose first byte came \p prediction_error later than
  /// predicted. \p store is the store that it copied from, if any.
  void OnFirstByte(const std::optional<endpoint>& store,
                   duration prediction_error);
  /// Returns the copy rate that all daemons together may request from \p store
  /// now, as a multiple of its link rate.
  double LinkShare(const endpoint& store) const;

 private:
  /// Engines turn out to have most of the requested prefixes cached, so that
  /// the link carries only a share of the requested copies. That share is
  /// unknown and changes with the load: it is small while engines keep their
  /// prefixes and large after many have crashed. The multiple of the link rate
  /// that may be requested is therefore adapted, starting from this value.
  static constexpr double kInitialLinkShare = 2;

  struct account {
    double tokens = 0;
    time_point refilled_at{};
    double link_share = kInitialLinkShare;
    /// Share of the requests that copy from the store whose first byte is slow.
    double slow_share = 0;
  };

  account& Refill(time_point now, const cache_store_spec& store);

  /// Share of the requests that copy from no store whose first byte is slow.
  double non_copying_slow_share_ = 0;
  size_t fleet_size_ = 1;
  std::map<endpoint, account> accounts_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_COPY_BUDGET_H_
