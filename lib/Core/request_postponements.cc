// Responses that have begun at their callers and wait for an upstream that can
// go on with them.
#include <algorithm>
#include <utility>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Protocol/postponed_response.h"
#include "cuminswitch/Support/status_code.h"
#include "router_constants.h"

namespace cuminswitch {

/// The delay after a refusal doubles this often, so that one response that all
/// upstreams refuse does not use up the retry budget.
static constexpr uint32_t kMaxDoublings = 3;

bool request_router::HasFreeUpstream(
    time_point now,
    const request& item,
    std::span<const replica_index> excluded) const {
  return !ListFree(now, item, excluded).indices.empty();
}

bool request_router::CanPostpone(time_point now, const request& item) const {
  return item.has_begun && MayRepeat(item) && now < item.deadline &&
         replicas_.HasSoftware(item.info.target, item.software);
}

void request_router::Postpone(time_point now,
                              request& item,
                              duration delay,
                              const std::string& reason) {
  const request_id id = item.info.request;
  item.current_stage = stage::kPostponed;
  item.next_retry = now + delay;
  postponed_.push_back(id);
  postponements_.push_back(
      {.request = id, .reason = reason, .retry_after = delay});
  ++counters_.postponed;
}

bool request_router::RefuseOrPostpone(time_point now,
                                      request& item,
                                      const refusal& why,
                                      action_list& out) {
  if (!CanPostpone(now, item)) {
    Refuse(item.info.request, why, out);
    return true;
  }
  const uint32_t doublings = std::min(item.refusals++, kMaxDoublings);
  Postpone(now, item, kUpstreamRetryAfter * (1U << doublings), why.message);
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
    const std::string reason = has_upstream ? "the retry budget is spent"
                                            : "no upstream can take it now";
    if (!CanPostpone(now, item)) {
      Refuse(id, {.status = status_code::kUnavailable, .message = reason}, out);
    } else if (has_upstream && RetryBudgetFor(item.info.target).TrySpend(now)) {
      ++counters_.retries;
      Admit(now, item, out);
    } else {
      Postpone(now, item, kUpstreamRetryAfter, reason);
    }
  }
}

}  // namespace cuminswitch
