/// \file
/// Where an engine may copy cached prefixes from, and save them to.
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

/// Whether a prefix of \p tokens is worth copying and saving for an engine that
/// computes \p prefill_rate tokens a second. A question for a prefix that is
/// not there costs about a millisecond, so one that is computed in two is not
/// asked for. How much the links carry is bounded by the budget of copies
/// alone.
bool IsWorthCopying(uint32_t tokens, double prefill_rate);

/// Where a request's shared prefix is to come from, or why it is read again.
enum class prefix_origin : uint8_t {
  /// The request shares none.
  kNone,
  /// The engine has it.
  kLocal,
  /// Another engine has it.
  kEngine,
  /// A store has it; or may have it, though this daemon was not told.
  kStore,
  kStoreAssumed,
  /// It is read sooner than copied.
  kTooShort,
  /// The store's links carry all that they can.
  kOverBudget,
  /// Nobody is known to have it.
  kUnknown,
  /// Who had it has started again, or takes no requests.
  kGone,
  /// Engines have it for other weights.
  kOtherWeights,
  /// An engine had it and will have forgotten it.
  kEvicted,
};
inline constexpr size_t kPrefixOrigins = 11;

/// Returns the name as it stands in logs and on the metrics page.
std::string_view ToString(prefix_origin origin);

/// What an engine is told of the cache along with a request.
struct cache_plan {
  /// Copy from there what it lacks of the shared prefixes.
  std::optional<endpoint> source;
  /// The source is a cache store.
  bool is_from_store = false;
  /// Save there what it computes.
  std::optional<endpoint> sink;
  /// How likely the engine itself still has the shared prefix.
  double hit_chance = 0;
  prefix_origin origin = prefix_origin::kNone;
};

/// One placed request, for planning.
struct cache_plan_query {
  time_point now{};
  /// The model as the router's configuration has it.
  const model_spec& model;
  std::span<const prefix_level> levels;
  replica_index chosen = 0;
  std::span<const replica_index> eligible;
  const replica_table& replicas;
  prefix_index& prefixes;
  copy_budget& budget;
};

/// Plans the copying of the request's shared prefix, so that fewer engines read
/// what others have read.
cache_plan PlanCache(const cache_plan_query& question);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_CACHE_PLANNER_H_
