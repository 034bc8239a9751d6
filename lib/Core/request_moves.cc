// Moves of requests from upstreams that are unresponsive. What a move needs is
// reserved while the attempt is still in progress.
#include <span>
#include <vector>

#include "cuminswitch/Core/request_router.h"
#include "router_constants.h"

namespace cuminswitch {

eligible_replicas request_router::ListFree(
    time_point now,
    const request& item,
    std::span<const replica_index> excluded) const {
  const eligible_replicas eligible = ListEligible(now, item, excluded);
  eligible_replicas free;
  for (size_t i = 0; i < eligible.indices.size(); ++i) {
    const replica_index index = eligible.indices[i];
    if (!eligible.has_free_slot[i] || now < replicas_[index].ejected_until) {
      continue;
    }
    free.indices.push_back(index);
    free.has_free_slot.push_back(true);
    free.penalty_seconds.push_back(eligible.penalty_seconds[i]);
    free.weights.push_back(eligible.weights[i]);
  }
  return free;
}

bool request_router::MayArriveAgain(const request& item) {
  const uint32_t limit = item.info.max_runs;
  return limit == 0 || item.arrivals < limit + kExtraArrivals;
}

eligible_replicas request_router::ListMoveTargets(time_point now,
                                                  const request& item) {
  // A begun response would be lost if upstreams refused it and no further retry
  // were left.
  const uint32_t retries = item.has_begun ? 1 + kExtraArrivals : 1;
  if (!item.running || now >= item.deadline || !MayRepeat(item) ||
      !MayArriveAgain(item) ||
      !RetryBudgetFor(item.info.target).CanSpend(now, retries)) {
    return {};
  }
  // To wait for a replica that is full, in backoff or over its rate limit is no
  // better than to wait for the running attempt.
  if (queue_.CountAhead(MakeWaiting(item)) > 0 || IsQuarantined(now, item)) {
    return {};
  }
  std::vector<replica_index> excluded = item.excluded;
  excluded.push_back(item.running->index);
  // An engine that reserves slots may refuse the reservation, and the permit
  // for one with a rate limit may be refused.
  for (const replica_index index : ListEligible(now, item, excluded).indices) {
    if (ReservationTime(now, item, index) > duration(0) ||
        limits_.Find(replicas_[index].name_hash)) {
      excluded.push_back(index);
    }
  }
  return ListFree(now, item, excluded);
}

bool request_router::MayStillSend(time_point now, attempt_id attempt) const {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return false;
  }
  const request& item = requests_.at(found->second);
  const auto& running = *item.running;
  return replicas_.IsAccepting(now, running.index) &&
         replicas_.VersionAt(running.index, item.info.target) ==
             running.version &&
         CacheScope(item, running.version) == running.cache_scope;
}

bool request_router::CanRetryElsewhere(time_point now, request_id id) {
  const auto found = requests_.find(id);
  return found != requests_.end() &&
         !ListMoveTargets(now, found->second).indices.empty();
}

bool request_router::ReserveRetry(time_point now, request_id id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return false;
  }
  request& item = found->second;
  const eligible_replicas targets = ListMoveTargets(now, item);
  if (targets.indices.empty() ||
      !RetryBudgetFor(item.info.target).TrySpend(now)) {
    return false;
  }
  ++counters_.retries;
  item.reserved_move = ChoosePlacement(now, item, targets);
  return true;
}

}  // namespace cuminswitch
