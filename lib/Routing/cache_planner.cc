#include "cuminswitch/Routing/cache_planner.h"

#include <algorithm>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Routing/prefix_index.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

/// Returns the store that has the place for a prefix, by rendezvous.
static std::optional<endpoint> ChooseStore(const model_spec& model,
                                           uint64_t prefix) {
  const auto best =
      std::max_element(model.cache_stores.begin(), model.cache_stores.end(),
                       [prefix](const endpoint& a, const endpoint& b) {
                         return RendezvousWeight(prefix, Hash64(a.ToString())) <
                                RendezvousWeight(prefix, Hash64(b.ToString()));
                       });
  return best == model.cache_stores.end() ? std::nullopt : std::optional(*best);
}

/// Whether \p index is among \p holders in its present incarnation.
static bool Holds(const replica_table& replicas,
                  std::span<const prefix_holder> holders,
                  replica_index index) {
  return std::any_of(holders.begin(), holders.end(),
                     [&](const prefix_holder& holder) {
                       return holder.index == index &&
                              holder.incarnation == replicas[index].incarnation;
                     });
}

cache_plan PlanCache(const cache_question& question) {
  const replica_table& replicas = question.replicas;
  const model_spec& model = question.model;
  const std::string version = replicas.VersionAt(question.chosen, model.name);
  if (version.empty() || question.levels.size() < 2) {
    return {};
  }
  const prefix_level& shared = question.levels[question.levels.size() - 2];
  if (shared.tokens < kLeastTokensToCopy) {
    return {};
  }
  const std::optional<endpoint> store = ChooseStore(model, shared.hash);
  if (version != model.version) {
    // Levels are known by the newest weights; of older ones nothing is known
    // but that their caches go soon.
    return {.source = store, .sink = std::nullopt};
  }
  const bool was_saved = question.prefixes.WasSaved(question.now, shared.hash);
  const std::span<const prefix_holder> holders =
      question.prefixes.Find(shared.hash);
  if (was_saved) {
    // Also where the upstream held it: its cache may have dropped it since, and
    // to ask the store for what is there already costs nothing.
    return {.source = store, .sink = std::nullopt};
  }
  const auto known = std::find_if(
      question.eligible.begin(), question.eligible.end(),
      [&](replica_index index) {
        return index != question.chosen && Holds(replicas, holders, index) &&
               replicas.VersionAt(index, model.name) == version;
      });
  // The request's own part is saved along with the shared ones and pushes
  // others out of the store, so each shared prefix is saved once in a while
  // only.
  return {.source = known == question.eligible.end()
                        ? store
                        : std::optional(replicas[*known].spec.address),
          .sink = store};
}

}  // namespace cuminswitch
