/// \file
/// One question to a placement policy, and its answer.
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

/// What a placement policy may look at.
struct placement_query {
  time_point now{};
  /// Prefixes of the request, outermost first; hashes carry the cache scope.
  std::span<const prefix_level> levels;
  uint32_t prompt_tokens = 0;
  /// Replicas that can serve the request, in ascending order; never empty.
  std::span<const replica_index> eligible;
  /// For each of them, whether it has room now.
  const std::vector<bool>& has_room;
  /// For each of them, seconds that it costs beyond its work; may be empty.
  std::span<const double> penalty_seconds = {};
  /// For each of them, the tag of its weights; may be empty.
  std::span<const weights_tag> weights = {};
  const replica_table& replicas;
  prefix_index& prefixes;
  /// Where this daemon is; a replica there is preferred among equals.
  std::string_view failure_domain = {};
  /// Prompt tokens per second that one replica can copy from another, or from
  /// a store; 0 where caches cannot be copied.
  double copy_rate = 0;
  /// What recomputing a prefix costs, as a multiple of the time it takes, when
  /// the prefix is rarely used.
  double reuse_weight = 1;
  /// Of the replicas, the part that is kept for short prompts; 0 for none.
  double short_share = 0;
  /// Whether the request is one of the long ones.
  bool is_long = false;
};

/// Where a request goes.
struct placement {
  replica_index index = 0;
  /// The replica has no room: the request is to wait for it.
  bool must_wait = false;
  /// Prompt tokens that the replica probably has cached.
  double expected_cached_tokens = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_PLACEMENT_QUERY_H_
