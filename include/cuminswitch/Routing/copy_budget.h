/// \file
/// Bounds what a daemon asks of the cache stores' links.
#ifndef CUMINSWITCH_ROUTING_COPY_BUDGET_H_
#define CUMINSWITCH_ROUTING_COPY_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <map>

#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

struct cache_store_spec;

/// Each daemon may use its even part of each store's link. A store carries its
/// copies one after the other; once it is asked for more than its link carries,
/// each request waits two seconds for its copy, holds the engine's memory all
/// the while, and so pushes out what the engine itself had cached. In a fleet
/// of 60 engines this lasted for the rest of the day: p50 of the first byte 2.0
/// s, where computing everything took 0.7 s.
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

 private:
  struct account {
    double tokens = 0;
    time_point filled_at{};
  };

  account& Fill(time_point now, const cache_store_spec& store);

  size_t fleet_size_ = 1;
  std::map<endpoint, account> accounts_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_COPY_BUDGET_H_
