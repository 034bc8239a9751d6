// Responses that have begun at their callers and wait for an upstream that can
// go on with them.
#include <algorithm>
#include <utility>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Protocol/postponed_response.h"
#include "cuminswitch/Support/status_code.h"
#include "router_constants.h"

namespace cuminswitch {

bool request_router::HasFreeUpstream(
    time_point now,
    const request& item,
    std::span<const replica_index> excluded) const {
  const eligible_replicas eligible = ListEligible(now, item, excluded);
  return std::any_of(eligible.has_free_slot.begin(),
                     eligible.has_free_slot.end(),
                     [](bool is_free) { return is_free; });
}

bool request_router::RefuseOrPostpone(time_point now,
                                      request& item,
                                      const refusal& why,
                                      action_list& out) {
  const request_id id = item.info.request;
  if (!item.has_begun || !MayRepeat(item) || now >= item.deadline ||
      !replicas_.HasSoftware(item.info.target, item.software)) {
    Refuse(id, why, out);
    return true;
  }
  item.current_stage = stage::kPostponed;
  item.next_retry = now + kUpstreamRetryAfter;
  postponed_.push_back(id);
  postponements_.push_back({.request = id,
                            .reason = why.message,
                            .retry_after = kUpstreamRetryAfter});
  ++counters_.postponed;
  return false;
}

void request_router::RetryPostponed(time_point now, action_list& out) {
  for (const request_id id : std::exchange(postponed_, {})) {
    const auto found = requests_.find(id);
    if (found == requests_.end() ||
        found->second.current_stage != stage::kPostponed) {
      continue;
    }
    request& item = found->second;
    if (now < item.next_retry) {
      postponed_.push_back(id);
      continue;
    }
    if (!HasFreeUpstream(now, item, item.excluded)) {
      item.excluded.clear();
    }
    const bool has_upstream = HasFreeUpstream(now, item, item.excluded);
    if (has_upstream && RetryBudgetFor(item.info.target).TrySpend(now)) {
      ++counters_.retries;
      Admit(now, item, out);
      continue;
    }
    RefuseOrPostpone(now, item,
                     {.status = status_code::kUnavailable,
                      .message = has_upstream ? "the retry budget is spent"
                                              : "no upstream can take it now"},
                     out);
  }
}

}  // namespace cuminswitch
