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
constexpr double kLeastSecondsToCopy = 0.002;
/// Hit probability at which a holder is treated as certain to have the prefix.
constexpr double kSureHit = 0.99;
/// Lowest hit probability at which a copy is requested from an engine. A miss
/// costs about 1 ms, whereas computing the prefix again takes about 100 ms.
constexpr double kLeastChanceToAsk = 0.3;

/// A prefix that takes less time than this to compute is copied from a store
/// only while at least half of the copy budget is available. A copy waits
/// behind longer ones for up to 2 s, while the engine computes the prefix in a
/// few milliseconds.
constexpr double kShortSeconds = 0.02;

/// Probabilities that the store has a prefix that this daemon recorded as
/// saved, and one that it did not. A miss puts no load on the link and must not
/// be charged to the budget as a copy: after the publication of new weights
/// nothing is saved yet, and lookups that miss would use up the budget for
/// saving.
constexpr double kSavedChance = 1;
constexpr double kUntoldChance = 0.1;

/// Plans the copies of one request.
class planner {
 public:
  planner(const cache_plan_query& question, const prefix_level& shared)
      : question_(question),
        model_(question.model),
        shared_(shared),
        version_(question.replicas.VersionAt(question.chosen, model_.name)) {}

  cache_plan Plan() {
    if (version_.empty()) {
      return {};
    }
    store_ = ChooseStore();
    cache_plan plan{.source = std::nullopt,
                    .is_from_store = false,
                    .sink = std::nullopt,
                    .hit_chance = ChanceAtChosen()};
    const bool was_saved = question_.prefixes.WasSaved(
        question_.now, shared_.hash,
        question_.replicas.WeightsAt(question_.chosen, model_.name));
    plan.source = ChooseSource(plan.hit_chance, was_saved);
    plan.is_from_store =
        plan.source && store_ != nullptr && *plan.source == store_->address;
    plan.origin = OriginOf(plan, was_saved);
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
    if (hit_chance < kSureHit) {
      source = CopyFromHolder(kSureHit);
    }
    // The store is given as source even if the engine should have the prefix:
    // the engine copies only what it lacks, so a hit there costs nothing.
    if (!source && was_saved) {
      source = CopyFromStore(hit_chance, kSavedChance);
    }
    if (!source) {
      source = CopyFromHolder(kLeastChanceToAsk);
    }
    return source ? source : CopyFromStore(hit_chance, kUntoldChance);
  }

  prefix_origin OriginOf(const cache_plan& plan, bool was_saved) const {
    if (plan.hit_chance >= kSureHit) {
      return prefix_origin::kLocal;
    }
    if (plan.source) {
      return !plan.is_from_store ? prefix_origin::kEngine
             : was_saved         ? prefix_origin::kStore
                                 : prefix_origin::kStoreAssumed;
    }
    if (plan.hit_chance >= kLeastChanceToAsk) {
      return prefix_origin::kLocal;
    }
    return was_saved ? prefix_origin::kOverBudget : WhyNoEngine();
  }

  /// Returns why no engine can provide the prefix: among the reasons of all
  /// holders, the one that comes closest to a hit.
  prefix_origin WhyNoEngine() const {
    prefix_origin why = prefix_origin::kUnknown;
    for (const prefix_holder& holder : question_.prefixes.Find(shared_.hash)) {
      const replica& item = question_.replicas[holder.index];
      const bool serves =
          holder.incarnation == item.incarnation &&
          (holder.index == question_.chosen ||
           std::binary_search(question_.eligible.begin(),
                              question_.eligible.end(), holder.index));
      prefix_origin reason = prefix_origin::kEvicted;
      if (!serves) {
        reason = prefix_origin::kGone;
      } else if (question_.replicas.VersionAt(holder.index, model_.name) !=
                 version_) {
        reason = prefix_origin::kOtherWeights;
      }
      why = std::max(why, reason);
    }
    return why;
  }

  /// Returns a store in the failure domain of the prefix's preferred replica,
  /// if there is one, since most copies of the prefix go there.
  const cache_store_spec* ChooseStore() const {
    const auto home =
        question_.replicas.PreferredReplica(model_.name, shared_.hash);
    const std::string domain =
        home ? question_.replicas[*home].spec.failure_domain : std::string();
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
  bool IsShort() const {
    return shared_.tokens <
           kShortSeconds * question_.replicas[question_.chosen].prefill_rate;
  }

  bool IsStoreNear() const {
    return store_->failure_domain ==
           question_.replicas[question_.chosen].spec.failure_domain;
  }

  /// Returns the store as source if the copy budget allows it. \p stored_chance
  /// is the probability that the store has the prefix.
  std::optional<endpoint> CopyFromStore(double hit_chance,
                                        double stored_chance) {
    // The levels outside the innermost shared one are shared by more requests
    // and are nearly always cached at the engine.
    const size_t count = question_.levels.size();
    const double outer = count >= 3 ? question_.levels[count - 3].tokens : 0;
    if (store_ != nullptr && IsShort() &&
        !question_.budget.HasPlenty(question_.now, *store_)) {
      return std::nullopt;
    }
    const double missing =
        stored_chance * (1 - hit_chance) * (shared_.tokens - outer);
    if (store_ == nullptr ||
        !question_.budget.TrySpend(question_.now, *store_, IsStoreNear(),
                                   missing)) {
      return std::nullopt;
    }
    return store_->address;
  }

  std::optional<endpoint> SaveToStore() {
    // The request's unshared tokens are saved along with the shared prefix.
    // Copies take precedence, since a prefix that is not saved now can be saved
    // with a later request.
    if (store_ == nullptr ||
        !question_.budget.HasPlenty(question_.now, *store_) ||
        !question_.budget.TrySpend(question_.now, *store_, IsStoreNear(),
                                   question_.levels.back().tokens)) {
      return std::nullopt;
    }
    return store_->address;
  }

  double ChanceOf(const prefix_holder& holder) const {
    return question_.replicas.HitChance(question_.now, model_.name,
                                        question_.now - holder.used_at);
  }

  double ChanceAtChosen() const {
    const prefix_holder* holder =
        FindHolder(question_.prefixes.Find(shared_.hash), question_.chosen,
                   question_.replicas[question_.chosen].incarnation);
    return holder == nullptr ? 0 : ChanceOf(*holder);
  }

  /// Returns the other engine that most likely still has the prefix, if that
  /// probability is at least \p least_chance.
  std::optional<endpoint> CopyFromHolder(double least_chance) const {
    const prefix_holder* best = nullptr;
    double best_chance = least_chance;
    for (const prefix_holder& holder : question_.prefixes.Find(shared_.hash)) {
      const bool is_another =
          holder.index != question_.chosen &&
          holder.incarnation == question_.replicas[holder.index].incarnation &&
          std::binary_search(question_.eligible.begin(),
                             question_.eligible.end(), holder.index);
      if (!is_another ||
          question_.replicas.VersionAt(holder.index, model_.name) != version_) {
        continue;
      }
      if (const double chance = ChanceOf(holder); chance >= best_chance) {
        best = &holder;
        best_chance = chance;
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    return question_.replicas[best->index].spec.address;
  }

  const cache_plan_query& question_;
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
  return tokens > kLeastSecondsToCopy * prefill_rate;
}

cache_plan PlanCache(const cache_plan_query& question) {
  const prefix_level* shared = FindSharedLevel(question.levels);
  if (shared == nullptr) {
    return {};
  }
  if (!IsWorthCopying(shared->tokens,
                      question.replicas[question.chosen].prefill_rate)) {
    return {.origin = prefix_origin::kTooShort};
  }
  return planner(question, *shared).Plan();
}

}  // namespace cuminswitch
