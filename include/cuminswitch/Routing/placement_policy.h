/// \file
/// How requests are placed on replicas.
#ifndef CUMINSWITCH_ROUTING_PLACEMENT_POLICY_H_
#define CUMINSWITCH_ROUTING_PLACEMENT_POLICY_H_

#include <cstdint>
#include <memory>
#include <string_view>

namespace cuminswitch {

struct placement;
struct placement_query;

/// Chooses a replica for a request. Policies open nothing, read no clock and
/// take their randomness from a seed.
class placement_policy {
 public:
  virtual ~placement_policy() = default;
  /// Chooses a replica with room, or says which one to wait for.
  virtual placement Choose(const placement_query& query) = 0;
};

/// Makes the policy called \p name: `prefix_cost` (the product's), or one of
/// the baselines `random`, `round_robin`, `least_in_flight`, `prefix_hash`.
/// Returns null for another name.
std::unique_ptr<placement_policy> MakePlacementPolicy(std::string_view name,
                                                      uint64_t random_seed);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_PLACEMENT_POLICY_H_
