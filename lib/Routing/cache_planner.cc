#include "cuminswitch/Routing/cache_planner.h"

#include <algorithm>
#include <array>
#include <utility>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Routing/copy_budget.h"
#include "cuminswitch/Routing/prefix_index.h"
#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

namespace {

/// Prefixes that take less time than this to compute are not copied.
constexpr double kMinComputeSecondsToCopy = 0.002;
/// Hit probability at which a holder is treated as certain to have the prefix.
constexpr double kCertainHitChance = 0.99;
/// Lowest hit probability at which a copy is requested from an engine. A miss
/// costs about 1 ms, whereas computing the prefix again takes about 100 ms.
constexpr double kMinHitChanceToCopy = 0.3;

/// A prefix that takes less time than this to compute is copied from a store
/// only while at least half of the copy budget is available. A copy waits
/// behind longer ones for up to 2 s, while the engine computes the prefix in a
/// few milliseconds.
constexpr double kShortPrefixSeconds = 0.02;

/// Probabilities that the store has a prefix that this daemon recorded as
/// saved, and one that it did not. A miss puts no load on the link and must not
/// be charged to the budget as a copy: after the publication of new weights
/// nothing is saved yet, and lookups that miss would use up the budget for
/// saving.
constexpr double kSavedPrefixChance = 1;
constexpr double kAssumedPrefixChance = 0.1;

/// Plans the copies of one request.
class planner {
 public:
  planner(const cache_plan_query& query, const prefix_level& shared)
      : query_(query),
        model_(query.model),
        shared_(shared),
        version_(query.replicas.VersionAt(query.chosen, model_.name)) {}

  cache_plan Plan() {
    if (version_.empty()) {
      return {};
    }
    store_ = ChooseStore();
    cache_plan plan{.source = std::nullopt,
                    .is_from_store = false,
                    .sink = std::nullopt,
                    .hit_chance = ChosenHitChance()};
    const bool was_saved = query_.prefixes.WasSaved(
        query_.now, shared_.hash,
        query_.replicas.WeightsAt(query_.chosen, model_.name));
    plan.source = ChooseSource(plan.hit_chance, was_saved);
    plan.is_from_store =
        plan.source && store_ != nullptr && *plan.source == store_->address;
    plan.origin = ClassifyOrigin(plan, was_saved);
    // Prefixes computed by superseded weights are useful for a few seconds
    // only.
    if (version_ == model_.version && !was_saved) {
      plan.sink = SaveToStore();
    }
    return plan;
  }

 private:
  /// Chooses the source that most likely has the prefix at the lowest cost of a
  /// lookup.
  std::optional<endpoint> ChooseSource(double hit_chance, bool was_saved) {
    std::optional<endpoint> source;
    if (hit_chance < kCertainHitChance) {
      source = CopyFromHolder(kCertainHitChance);
    }
    // The store is given as source even if the engine should have the prefix:
    // the engine copies only what it lacks, so a hit there costs nothing.
    if (!source && was_saved) {
      source = CopyFromStore(hit_chance, kSavedPrefixChance);
    }
    if (!source) {
      source = CopyFromHolder(kMinHitChanceToCopy);
    }
    return source ? source : CopyFromStore(hit_chance, kAssumedPrefixChance);
  }

  prefix_origin ClassifyOrigin(const cache_plan& plan, bool was_saved) const {
    if (plan.hit_chance >= kCertainHitChance) {
      return prefix_origin::kLocal;
    }
    if (plan.source) {
      return !plan.is_from_store ? prefix_origin::kEngine
             : was_saved         ? prefix_origin::kStore
                                 : prefix_origin::kStoreAssumed;
    }
    if (plan.hit_chance >= kMinHitChanceToCopy) {
      return prefix_origin::kLocal;
    }
    return was_saved ? prefix_origin::kOverBudget : FindMissReason();
  }

  /// Returns why no engine can provide the prefix: among the reasons of all
  /// holders, the one that comes closest to a hit.
  prefix_origin FindMissReason() const {
    prefix_origin closest_reason = prefix_origin::kUnknown;
    for (const prefix_holder& holder : query_.prefixes.Find(shared_.hash)) {
      const replica& item = query_.replicas[holder.index];
      const bool serves =
          holder.incarnation == item.incarnation &&
          (holder.index == query_.chosen ||
           std::binary_search(query_.eligible.begin(), query_.eligible.end(),
                              holder.index));
      prefix_origin reason = prefix_origin::kEvicted;
      if (!serves) {
        reason = prefix_origin::kGone;
      } else if (query_.replicas.VersionAt(holder.index, model_.name) !=
                 version_) {
        reason = prefix_origin::kOtherWeights;
      }
      closest_reason = std::max(closest_reason, reason);
    }
    return closest_reason;
  }

  /// Returns a store in the failure domain of the prefix's preferred replica,
  /// if there is one, since most copies of the prefix go there.
  const cache_store_spec* ChooseStore() const {
    const auto preferred =
        query_.replicas.PreferredReplica(model_.name, shared_.hash);
    const std::string domain =
        preferred ? query_.replicas[*preferred].spec.failure_domain
                  : std::string();
    const cache_store_spec* best = nullptr;
    const auto rank = [&](const cache_store_spec& store) {
      return std::pair(
          store.failure_domain == domain,
          RendezvousWeight(shared_.hash, Hash64(store.address.ToString())));
    };
    for (const cache_store_spec& store : model_.cache_stores) {
      if (best == nullptr || rank(*best) < rank(store)) {
        best = &store;
      }
    }
    return best;
  }

  /// Returns whether computing the prefix takes less time than a copy over a
  /// busy link.
  bool IsShortPrefix() const {
    return shared_.tokens <
           kShortPrefixSeconds * query_.replicas[query_.chosen].prefill_rate;
  }

  bool IsStoreInSameDomain() const {
    return store_->failure_domain ==
           query_.replicas[query_.chosen].spec.failure_domain;
  }

  /// Returns the store as source if the copy budget allows it.
  /// \p store_hit_chance is the probability that the store has the prefix.
  std::optional<endpoint> CopyFromStore(double hit_chance,
                                        double store_hit_chance) {
    // The levels outside the innermost shared one are shared by more requests
    // and are nearly always cached at the engine.
    const size_t count = query_.levels.size();
    const double outer = count >= 3 ? query_.levels[count - 3].tokens : 0;
    if (store_ != nullptr && IsShortPrefix() &&
        !query_.budget.IsHalfFull(query_.now, *store_)) {
      return std::nullopt;
    }
    const double missing =
        store_hit_chance * (1 - hit_chance) * (shared_.tokens - outer);
    if (store_ == nullptr ||
        !query_.budget.TrySpend(query_.now, *store_, IsStoreInSameDomain(),
                                missing)) {
      return std::nullopt;
    }
    return store_->address;
  }

  std::optional<endpoint> SaveToStore() {
    // The request's unshared tokens are saved along with the shared prefix.
    // Copies take precedence, since a prefix that is not saved now can be saved
    // with a later request.
    if (store_ == nullptr || !query_.budget.IsHalfFull(query_.now, *store_) ||
        !query_.budget.TrySpend(query_.now, *store_, IsStoreInSameDomain(),
                                query_.levels.back().tokens)) {
      return std::nullopt;
    }
    return store_->address;
  }

  double HolderHitChance(const prefix_holder& holder) const {
    return query_.replicas.HitChance(query_.now, model_.name,
                                     query_.now - holder.used_at);
  }

  double ChosenHitChance() const {
    const prefix_holder* holder =
        FindHolder(query_.prefixes.Find(shared_.hash), query_.chosen,
                   query_.replicas[query_.chosen].incarnation);
    return holder == nullptr ? 0 : HolderHitChance(*holder);
  }

  /// Returns the other engine that most likely still has the prefix, if that
  /// probability is at least \p min_chance.
  std::optional<endpoint> CopyFromHolder(double min_chance) const {
    const prefix_holder* best = nullptr;
    double best_chance = min_chance;
    for (const prefix_holder& holder : query_.prefixes.Find(shared_.hash)) {
      const bool is_other_holder =
          holder.index != query_.chosen &&
          holder.incarnation == query_.replicas[holder.index].incarnation &&
          std::binary_search(query_.eligible.begin(), query_.eligible.end(),
                             holder.index);
      if (!is_other_holder ||
          query_.replicas.VersionAt(holder.index, model_.name) != version_) {
        continue;
      }
      if (const double chance = HolderHitChance(holder);
          chance >= best_chance) {
        best = &holder;
        best_chance = chance;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    return query_.replicas[best->index].spec.address;
  }

  const cache_plan_query& query_;
  const model_spec& model_;
  const prefix_level& shared_;
  std::string version_;
  const cache_store_spec* store_ = nullptr;
};

}  // namespace

std::string_view ToString(prefix_origin origin) {
  static constexpr std::array<std::string_view, kPrefixOrigins> kNames = {
      "none",         "kept",          "engine",      "store",
      "store_untold", "too_short",     "over_budget", "unknown",
      "gone",         "other_weights", "forgotten"};
  return kNames[static_cast<size_t>(origin)];
}

bool IsWorthCopying(uint32_t tokens, double prefill_rate) {
  return tokens > kMinComputeSecondsToCopy * prefill_rate;
}

cache_plan PlanCache(const cache_plan_query& query) {
  const prefix_level* shared = FindSharedLevel(query.levels);
  if (shared == nullptr) {
    return {};
  }
  if (!IsWorthCopying(shared->tokens,
                      query.replicas[query.chosen].prefill_rate)) {
    return {.origin = prefix_origin::kTooShort};
  }
  return planner(query, *shared).Plan();
}

}  // namespace cuminswitch
