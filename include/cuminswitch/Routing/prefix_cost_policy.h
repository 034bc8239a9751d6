/// \file
/// Placement by expected time to first token.
#ifndef CUMINSWITCH_ROUTING_PREFIX_COST_POLICY_H_
#define CUMINSWITCH_ROUTING_PREFIX_COST_POLICY_H_

#include <array>
#include <cstdint>
#include <vector>

#include "cuminswitch/Routing/placement_policy.h"
#include "cuminswitch/Routing/replica_table.h"

namespace cuminswitch {

struct prefix_holder;

/// Takes the replica with the least cost in seconds: its queue, plus the
/// computation of what it does not hold, weighted by `reuse_weight`. What it
/// holds is estimated from this daemon's own placements, and, where it has
/// none, from rendezvous hashing: every daemon ranks the same few homes for a
/// prefix, so others have probably placed it there. A request waits for a
/// replica without room where that costs less than recomputing elsewhere. A
/// hot prefix spreads as the queue at its replicas outgrows the recomputation,
/// which weighs less the more requests share it.
class prefix_cost_policy : public placement_policy {
 public:
  placement Choose(const placement_query& query) override;

  /// The probability that \p holder still has a prefix cached.
  static double EstimateHit(const placement_query& query,
                            const prefix_holder& holder);

 private:
  /// The replicas that rank first for a prefix, by rendezvous.
  static constexpr size_t kHomes = 3;
  struct home_list {
    std::array<replica_index, kHomes> indices{};
    size_t count = 0;
  };

  static home_list RankHomes(const placement_query& query, uint64_t prefix);
  /// Whether a replica is of those that the request's kind is kept to.
  static bool IsOfKind(const placement_query& query, replica_index index);
  static double RecomputeWeight(const placement_query& query);
  /// Whether some replica or store should hold the shared prefix as computed by
  /// \p weights.
  static bool IsCopyable(const placement_query& query, weights_tag weights);
  /// Whether the eligible replica at \p place can copy the shared prefix.
  bool CanCopy(const placement_query& query, size_t place);
  void CollectExpectedHits(const placement_query& query);

  /// Expected cached tokens by position in `eligible`; kept between calls to
  /// spare the allocation.
  std::vector<double> expected_;
  struct copyable_weights {
    weights_tag weights = kNoWeights;
    bool can_copy = false;
  };
  /// What is known of the present query.
  std::vector<copyable_weights> copyable_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_PREFIX_COST_POLICY_H_
