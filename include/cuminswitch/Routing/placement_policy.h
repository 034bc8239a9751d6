/// \file
/// Interface of the policies that place requests on replicas.
#ifndef CUMINSWITCH_ROUTING_PLACEMENT_POLICY_H_
#define CUMINSWITCH_ROUTING_PLACEMENT_POLICY_H_

#include <cstdint>
#include <memory>
#include <string_view>

namespace cuminswitch {

struct placement;
struct placement_query;

/// Chooses a replica for a request. Policies do no I/O, read no clock and
/// derive their randomness from a seed, so that tests are deterministic.
class placement_policy {
 public:
  virtual ~placement_policy() = default;
  /// Chooses a replica with a free slot, or one to wait for.
  virtual placement Choose(const placement_query& query) = 0;
};

/// Creates the policy called \p name: `prefix_cost` (used in production), or
/// one of the baselines `random`, `round_robin`, `least_in_flight`,
/// `prefix_hash`. Returns null for any other name.
std::unique_ptr<placement_policy> MakePlacementPolicy(std::string_view name,
                                                      uint64_t random_seed);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_PLACEMENT_POLICY_H_
