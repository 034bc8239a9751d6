#include "cuminswitch/Routing/prefix_cost_policy.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

#include "cuminswitch/Routing/cache_planner.h"
#include "cuminswitch/Routing/placement_query.h"
#include "cuminswitch/Routing/prefix_index.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

/// Probabilities that a prefix is cached at its preferred replicas, by rank,
/// when this daemon has no record of it.
static constexpr std::array<double, 3> kPreferredHitPrior = {0.9, 0.3, 0.1};
/// Hit probability of a prefix that was used within the retention time.
static constexpr double kRecentHitChance = 1;
/// Recent uses of a prefix at which the part of its recomputation weight above
/// 1 is halved.
static constexpr double kHotPrefixUses = 60;
/// Cost in seconds per request in flight: decoding slows down with the batch
/// size, and among replicas of equal cost the least busy one should be chosen.
static constexpr double kBatchSlowdownSeconds = 0.002;
/// Additional cost in seconds of a replica in another failure domain: a round
/// trip with 1 to 2 ms each way, and the price of traffic between domains. It
/// also spreads the daemons over replicas of equal cost.
static constexpr double kCrossDomainPenaltySeconds = 0.003;

/// Additional cost in seconds of a replica that is reserved for the other
/// length class: the request goes there only if the queues at the replicas of
/// its own class are longer than this. A long prompt stalls all responses at a
/// replica for short prompts. A short prompt is itself late at a replica for
/// long ones, so its cost is higher. When replicas are missing, the queues
/// exceed these costs and requests of both classes go to all replicas.
static constexpr double kLongMismatchPenaltySeconds = 0.25;
static constexpr double kShortMismatchPenaltySeconds = 0.4;

/// Largest amount by which the cost of a holder of the prefix varies between
/// prompts, as a multiple of the mean backlog there. The backlog at a moment
/// deviates from its mean by about as much as the mean.
static constexpr double kHolderSpread = 2;

/// Returns the level that determines the preferred replicas of a request: the
/// innermost shared level, or the only one.
static const prefix_level& AffinityLevel(std::span<const prefix_level> levels) {
  const prefix_level* shared = FindSharedLevel(levels);
  return shared != nullptr ? *shared : levels.front();
}

double prefix_cost_policy::EstimateHit(const placement_query& query,
                                       const prefix_holder& holder) {
  const replica& item = query.replicas[holder.index];
  if (item.incarnation != holder.incarnation) {
    return 0;
  }
  const double age = std::max(0.0, ToSeconds(query.now - holder.used_at));
  const double retention = std::max(0.1, item.retention_seconds);
  if (age <= retention) {
    return kRecentHitChance;
  }
  return kRecentHitChance * std::exp(-(age - retention) / retention);
}

bool prefix_cost_policy::MatchesLengthClass(const placement_query& query,
                                            replica_index index) {
  if (query.short_share == 0 || query.prompt_tokens == 0) {
    return true;
  }
  const bool is_for_short = query.replicas.RankOf(index) < query.short_share;
  return is_for_short != query.is_long;
}

prefix_cost_policy::preferred_list prefix_cost_policy::RankPreferred(
    const placement_query& query,
    uint64_t prefix) {
  preferred_list ranked;
  std::array<uint64_t, kPreferredCount> weights{};
  const bool has_class_match = std::any_of(
      query.eligible.begin(), query.eligible.end(),
      [&](replica_index index) { return MatchesLengthClass(query, index); });
  for (const replica_index index : query.eligible) {
    if (has_class_match && !MatchesLengthClass(query, index)) {
      continue;
    }
    uint64_t weight = RendezvousWeight(prefix, query.replicas[index].name_hash);
    replica_index candidate = index;
    for (size_t rank = 0; rank < kPreferredCount; ++rank) {
      if (rank < ranked.count && weight <= weights[rank]) {
        continue;
      }
      std::swap(weight, weights[rank]);
      std::swap(candidate, ranked.indices[rank]);
      if (rank == ranked.count) {
        ++ranked.count;
        break;
      }
    }
  }
  return ranked;
}

void prefix_cost_policy::CollectExpectedHits(const placement_query& query) {
  expected_cached_.assign(query.eligible.size(), 0);
  if (query.levels.empty()) {
    return;
  }
  const prefix_level& shared = AffinityLevel(query.levels);
  const preferred_list ranked = RankPreferred(query, shared.hash);
  // Hits are expected at preferred replicas only. Otherwise a copy elsewhere,
  // made during a short overload, would keep attracting requests and evict
  // other prefixes from that cache.
  static_assert(kPreferredHitPrior.size() == kPreferredCount);
  std::array<double, kPreferredCount> tokens{};
  for (size_t rank = 0; rank < ranked.count; ++rank) {
    tokens[rank] = kPreferredHitPrior[rank] * shared.tokens;
  }
  for (const prefix_level& level : query.levels) {
    for (const prefix_holder& holder : query.prefixes.Find(level.hash)) {
      for (size_t rank = 0; rank < ranked.count; ++rank) {
        if (holder.index == ranked.indices[rank]) {
          tokens[rank] =
              std::max(tokens[rank], EstimateHit(query, holder) * level.tokens);
        }
      }
    }
  }
  for (size_t rank = 0; rank < ranked.count; ++rank) {
    const auto found = std::lower_bound(
        query.eligible.begin(), query.eligible.end(), ranked.indices[rank]);
    expected_cached_[static_cast<size_t>(found - query.eligible.begin())] =
        tokens[rank];
  }
}

double prefix_cost_policy::RecomputeWeight(const placement_query& query) {
  // A cached copy of a frequently used prefix serves many requests, which share
  // the cost of computing it. The first request still has to wait for it, so
  // the weight is never below 1.
  const double uses = query.levels.empty()
                          ? 0
                          : query.prefixes.RecentUses(
                                query.now, AffinityLevel(query.levels).hash);
  return 1 + (query.reuse_weight - 1) / (1 + uses / kHotPrefixUses);
}

/// Returns the tag of \p index's weights if that replica is eligible.
static std::optional<weights_tag> FindWeights(const placement_query& query,
                                              replica_index index) {
  const auto found =
      std::lower_bound(query.eligible.begin(), query.eligible.end(), index);
  if (found == query.eligible.end() || *found != index ||
      query.weights.empty()) {
    return std::nullopt;
  }
  return query.weights[static_cast<size_t>(found - query.eligible.begin())];
}

bool prefix_cost_policy::IsCopyable(const placement_query& query,
                                    weights_tag weights) {
  const prefix_level& shared = AffinityLevel(query.levels);
  if (query.prefixes.WasSaved(query.now, shared.hash, weights)) {
    return true;
  }
  const std::span<const prefix_holder> holders =
      query.prefixes.Find(shared.hash);
  return std::any_of(
      holders.begin(), holders.end(), [&](const prefix_holder& holder) {
        return query.replicas[holder.index].incarnation == holder.incarnation &&
               FindWeights(query, holder.index) == weights;
      });
}

bool prefix_cost_policy::CanCopy(const placement_query& query,
                                 size_t position) {
  if (query.copy_rate == 0 || query.levels.empty() || query.weights.empty() ||
      !IsWorthCopying(AffinityLevel(query.levels).tokens,
                      query.replicas[query.eligible[position]].prefill_rate)) {
    return false;
  }
  // Only a few versions are in use at a time, so the result of each is cached
  // for the query.
  const weights_tag weights = query.weights[position];
  const auto known =
      std::find_if(copyable_.begin(), copyable_.end(),
                   [&](const auto& item) { return item.weights == weights; });
  if (known != copyable_.end()) {
    return known->can_copy;
  }
  copyable_.push_back(
      {.weights = weights, .can_copy = IsCopyable(query, weights)});
  return copyable_.back().can_copy;
}

double prefix_cost_policy::SpreadOverHolders(const placement_query& query,
                                             size_t position) const {
  // All daemons know the same reports, which are old compared with the queues.
  // Without this, they all choose the replica of a hot prefix that had the
  // shortest queue, until the next reports say that it has the longest.
  const prefix_level* shared = FindSharedLevel(query.levels);
  if (shared == nullptr || expected_cached_[position] < shared->tokens) {
    return 0;
  }
  const replica_index index = query.eligible[position];
  const uint64_t hash = RendezvousWeight(query.levels.back().hash,
                                         query.replicas[index].name_hash);
  const double fraction =
      static_cast<double>(hash) / static_cast<double>(UINT64_MAX);
  return kHolderSpread * (2 * fraction - 1) *
         query.replicas.MeanPeerBacklogSeconds(query.now, index);
}

placement prefix_cost_policy::Choose(const placement_query& query) {
  assert(!query.eligible.empty() && "nowhere to place the request");
  CollectExpectedHits(query);
  const double weight = RecomputeWeight(query);
  copyable_.clear();
  const double shared =
      query.levels.empty() ? 0 : AffinityLevel(query.levels).tokens;
  placement best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < query.eligible.size(); ++i) {
    const replica_index index = query.eligible[i];
    const replica& item = query.replicas[index];
    const bool can_copy = CanCopy(query, i);
    // Shared tokens that would be recomputed although some replica has them
    // cached or will have them.
    const double missing = std::max(0.0, shared - expected_cached_[i]);
    const double unshared = std::max(
        0.0, query.prompt_tokens - std::max(shared, expected_cached_[i]));
    // Recomputation delays all requests that wait at the replica. Without their
    // delay in the cost, a busy fleet spreads each prefix over all replicas,
    // computes it on each of them and becomes even busier.
    const double recompute_factor =
        weight + query.replicas.EstimateWaiting(query.now, index);
    double cost = query.replicas.EstimateQueueSeconds(query.now, index) +
                  unshared / item.prefill_rate +
                  (can_copy ? missing / query.copy_rate
                            : recompute_factor * missing / item.prefill_rate) +
                  kBatchSlowdownSeconds * item.in_flight +
                  SpreadOverHolders(query, i);
    if (!query.failure_domain.empty() &&
        item.spec.failure_domain != query.failure_domain) {
      cost += kCrossDomainPenaltySeconds;
    }
    if (!MatchesLengthClass(query, index)) {
      cost += query.is_long ? kLongMismatchPenaltySeconds
                            : kShortMismatchPenaltySeconds;
    }
    if (query.prompt_tokens == 0) {
      cost += item.first_byte_seconds * (1 + item.in_flight);
    }
    if (!query.penalty_seconds.empty()) {
      cost += query.penalty_seconds[i];
    }
    if (!query.has_free_slot[i]) {
      cost += query.replicas.EstimateSecondsToFreeSlot(query.now, index);
    }
    if (cost < best_cost) {
      best_cost = cost;
      best = {
          .index = index,
          .must_wait = !query.has_free_slot[i],
          .expected_cached_tokens = can_copy ? shared : expected_cached_[i]};
    }
  }
  return best;
}

}  // namespace cuminswitch
