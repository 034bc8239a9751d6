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

/// Chooses the replica with the lowest cost in seconds: its queue, plus the
/// computation of the tokens that it has not cached, weighted by
/// `reuse_weight`. Cache contents are estimated from this daemon's own
/// placements and, without any, from rendezvous hashing: every daemon ranks the
/// same few preferred replicas for a prefix, so other daemons have probably
/// placed it there. A request waits for a replica without a free slot if that
/// costs less than recomputing the prefix elsewhere. A hot prefix spreads to
/// more replicas when the queue at its replicas exceeds the cost of
/// recomputation, which weighs less the more requests share the prefix.
class prefix_cost_policy : public placement_policy {
 public:
  placement Choose(const placement_query& query) override;

  /// Returns the probability that \p holder still has its prefix cached.
  static double EstimateHit(const placement_query& query,
                            const prefix_holder& holder);

 private:
  /// Number of preferred replicas per prefix: the first by rendezvous hashing.
  static constexpr size_t kPreferredCount = 3;
  struct preferred_list {
    std::array<replica_index, kPreferredCount> indices{};
    size_t count = 0;
  };

  static preferred_list RankPreferred(const placement_query& query,
                                      uint64_t prefix);
  /// Returns whether \p index is reserved for the length class of the request's
  /// prompt.
  static bool MatchesLengthClass(const placement_query& query,
                                 replica_index index);
  static double RecomputeWeight(const placement_query& query);
  /// Returns whether a replica or store should hold the shared prefix as
  /// computed by \p weights.
  static bool IsCopyable(const placement_query& query, weights_tag weights);
  /// Returns whether the eligible replica at \p position can copy the shared
  /// prefix.
  bool CanCopy(const placement_query& query, size_t position);
  void CollectExpectedHits(const placement_query& query);
  /// Returns an amount in seconds, different for each prompt and 0 on average,
  /// that spreads prompts over the replicas that have their prefix cached.
  double SpreadOverHolders(const placement_query& query, size_t position) const;

  /// Expected cached tokens by position in `eligible`. A member, so that its
  /// allocation is reused between calls.
  std::vector<double> expected_cached_;
  struct copyable_weights {
    weights_tag weights = kNoWeights;
    bool can_copy = false;
  };
  /// Results of `IsCopyable()` for the current query.
  std::vector<copyable_weights> copyable_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_PREFIX_COST_POLICY_H_
