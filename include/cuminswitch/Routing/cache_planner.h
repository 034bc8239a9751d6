/// \file
/// Plans where an engine copies cached prefixes from and saves them to.
#ifndef CUMINSWITCH_ROUTING_CACHE_PLANNER_H_
#define CUMINSWITCH_ROUTING_CACHE_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Routing/replica_table.h"
#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

struct model_spec;
class copy_budget;
class prefix_index;

/// Returns whether a prefix of \p tokens tokens is worth copying and saving for
/// an engine with a prefill rate of \p prefill_rate tokens per second. A lookup
/// that misses costs about 1 ms, so prefixes that take 2 ms or less to compute
/// are not copied. The load on the links is bounded by `copy_budget` alone.
bool IsWorthCopying(uint32_t tokens, double prefill_rate);

/// Where a request's shared prefix comes from, or why it is computed again.
enum class prefix_origin : uint8_t {
  /// The request has no shared prefix.
  kNone,
  /// The chosen engine has it cached.
  kLocal,
  /// It is copied from another engine.
  kEngine,
  /// It is copied from a cache store that holds it.
  kStore,
  /// It is requested from a cache store that may hold it: this daemon did not
  /// record that it was saved, but another daemon may have had it saved.
  kStoreAssumed,
  /// Computing it takes less time than copying it.
  kTooShort,
  /// The copy budget of the store's link is used up.
  kOverBudget,
  /// No holder is known.
  kUnknown,
  /// Its holder has restarted or accepts no requests.
  kGone,
  /// Engines hold it as computed by other weights.
  kOtherWeights,
  /// An engine held it but has probably evicted it.
  kEvicted,
};
inline constexpr size_t kPrefixOrigins = 11;

/// Returns the name used in logs and metrics.
std::string_view ToString(prefix_origin origin);

/// Cache instructions sent to an engine along with a request.
struct cache_plan {
  /// Where the engine copies missing shared prefixes from.
  std::optional<endpoint> source;
  /// Whether the source is a cache store.
  bool is_from_store = false;
  /// The cache store that the engine saves computed prefixes to.
  std::optional<endpoint> sink;
  /// Probability that the engine itself still has the shared prefix cached.
  double hit_chance = 0;
  prefix_origin origin = prefix_origin::kNone;
};

/// A placed request and the state that planning depends on.
struct cache_plan_query {
  time_point now{};
  /// The model as configured at the router.
  const model_spec& model;
  std::span<const prefix_level> levels;
  replica_index chosen = 0;
  std::span<const replica_index> eligible;
  const replica_table& replicas;
  prefix_index& prefixes;
  copy_budget& budget;
};

/// Plans the copying and saving of the request's shared prefix, so that fewer
/// engines compute a prefix that another engine has already computed.
cache_plan PlanCache(const cache_plan_query& query);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_CACHE_PLANNER_H_
