/// \file
/// Input and result of a placement policy.
#ifndef CUMINSWITCH_ROUTING_PLACEMENT_QUERY_H_
#define CUMINSWITCH_ROUTING_PLACEMENT_QUERY_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Routing/replica_table.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class prefix_index;

/// Input of a placement policy.
struct placement_query {
  time_point now{};
  /// Prefixes of the request, outermost first; hashes carry the cache scope.
  std::span<const prefix_level> levels;
  uint32_t prompt_tokens = 0;
  /// Replicas that can serve the request, in ascending order; never empty.
  std::span<const replica_index> eligible;
  /// For each eligible replica, whether it has a free slot now.
  const std::vector<bool>& has_free_slot;
  /// For each eligible replica, an additional cost in seconds; may be empty for
  /// none.
  std::span<const double> penalty_seconds = {};
  /// For each eligible replica, the tag of its weights; may be empty.
  std::span<const weights_tag> weights = {};
  const replica_table& replicas;
  prefix_index& prefixes;
  /// Failure domain of this daemon. Among replicas of equal cost, one in the
  /// same domain is preferred.
  std::string_view failure_domain = {};
  /// Prompt tokens per second that one replica can copy from another, or from
  /// a store; 0 where caches cannot be copied.
  double copy_rate = 0;
  /// Cost of recomputing a rarely used prefix, as a multiple of the time that
  /// it takes.
  double reuse_weight = 1;
  /// Share of the replicas that is reserved for short prompts; 0 for none.
  double short_share = 0;
  /// Whether the prompt is classified as long.
  bool is_long = false;
};

/// Result of a placement policy.
struct placement {
  replica_index index = 0;
  /// The replica has no free slot, and the request has to wait for it.
  bool must_wait = false;
  /// Expected number of prompt tokens that the replica has cached.
  double expected_cached_tokens = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_PLACEMENT_QUERY_H_
