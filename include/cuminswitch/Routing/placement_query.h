/// \file
/// One question to a placement policy, and its answer.
#ifndef CUMINSWITCH_ROUTING_PLACEMENT_QUERY_H_
#define CUMINSWITCH_ROUTING_PLACEMENT_QUERY_H_

#include <cstdint>
#include <span>

#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Routing/replica_table.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class prefix_index;

/// What a placement policy may look at.
struct placement_query {
  time_point now{};
  /// Prefixes of the request, outermost first; hashes carry the cache scope.
  std::span<const prefix_level> levels;
  uint32_t prompt_tokens = 0;
  /// Replicas that can take the request, in ascending order; never empty.
  std::span<const replica_index> eligible;
  const replica_table& replicas;
  prefix_index& prefixes;
  /// The cost of recomputing a token that some replica holds, as a multiple
  /// of the time it takes.
  double reuse_weight = 1;
};

/// Where a request goes.
struct placement {
  replica_index index = 0;
  /// Prompt tokens that the replica probably has cached.
  double expected_cached_tokens = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_PLACEMENT_QUERY_H_
