/// \file
/// Bounds what a daemon asks of the cache stores' links.
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

/// Each daemon may use its even part of each store's link. A store carries its
/// copies one after the other; once it is asked for more than its link carries,
/// each request waits two seconds for its copy, holds the engine's memory all
/// the while, and so pushes out what the engine itself had cached. A fleet that
/// is in this state stays in it: more has to be copied again.
class copy_budget {
 public:
  /// Sets how many daemons share the stores.
  void SetFleetSize(size_t size) { fleet_size_ = std::max<size_t>(1, size); }
  /// Takes the copying of \p tokens from or to \p store, which runs in
  /// \p is_same_domain as the engine; false when the part is used up.
  bool TrySpend(time_point now,
                const cache_store_spec& store,
                bool is_same_domain,
                double tokens);
  /// Whether at least half of what can be saved up is there.
  bool HasPlenty(time_point now, const cache_store_spec& store);
  /// Learns from a request whose first byte came \p excess later than expected;
  /// \p store is where it was to copy from, if from a store.
  void OnFirstByte(const std::optional<endpoint>& store, duration excess);
  /// Times the link's rate that may be asked of \p store now, by all daemons
  /// together.
  double LinkShare(const endpoint& store) const;

 private:
  /// Most of what is asked for is still at the engine after all, so that the
  /// link carries a part of it only. How large a part is not known, and changes
  /// with the load: much while engines keep their prefixes, little after many
  /// have crashed. So it is learnt.
  static constexpr double kFirstLinkShare = 2;

  struct account {
    double tokens = 0;
    time_point filled_at{};
    double link_share = kFirstLinkShare;
    /// The part of the requests that copy from it whose first byte is slow.
    double slow = 0;
  };

  account& Fill(time_point now, const cache_store_spec& store);

  /// The part of the requests that copy from no store whose first byte is slow.
  double others_slow_ = 0;
  size_t fleet_size_ = 1;
  std::map<endpoint, account> accounts_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_COPY_BUDGET_H_
