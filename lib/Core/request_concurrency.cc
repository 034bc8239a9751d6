// Requests to upstreams that do not survive many rejections: each needs a
// permit, which the daemons grant to one another.
#include <algorithm>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

void request_router::SetRejectionLimit(time_point now,
                                       const std::string& service,
                                       std::optional<uint32_t> limit,
                                       action_list& out) {
  replicas_.SetRejectionLimit(service, limit);
  DrainQueue(now, out);
}

bool request_router::RefuseIfTooLate(time_point now,
                                     request& item,
                                     const placement& chosen,
                                     action_list& out) {
  const replica& target = replicas_[chosen.index];
  const double needed =
      target.rejection_limit
          ? target.permit_work_seconds
          : SecondsForResponse(item, FromSeconds(target.first_byte_seconds));
  if (needed == 0 || now + FromSeconds(needed) < item.deadline) {
    return false;
  }
  if (RefuseOrPostpone(now, item,
                       {.status = status_code::kTooManyRequests,
                        .retry_after_seconds = EstimateRetryAfter(now, item),
                        .message = "it would be served too late"},
                       out)) {
    ++counters_.shed;
  }
  return true;
}

void request_router::CountPostponed(time_point now) {
  for (const request_id id : postponed_) {
    const auto found = requests_.find(id);
    if (found == requests_.end() ||
        found->second.current_stage != stage::kPostponed) {
      continue;
    }
    const request& item = found->second;
    const eligible_replicas eligible = ListEligible(now, item, {});
    if (eligible.indices.empty()) {
      continue;
    }
    const replica_index index =
        eligible
            .indices[Hash64(item.info.target, id) % eligible.indices.size()];
    if (replicas_[index].rejection_limit) {
      replicas_.CountQueued(index, ArrivedAt(item));
    }
  }
}

std::vector<concurrency_demand> request_router::TakeConcurrencyDemands(
    time_point now) {
  if (!replicas_.HasRejectionLimits()) {
    return {};
  }
  return replicas_.TakeDemands(now);
}

void request_router::RetryWithPermits(time_point now, action_list& out) {
  for (const request_id id : postponed_) {
    const auto found = requests_.find(id);
    if (found != requests_.end() &&
        found->second.current_stage == stage::kPostponed &&
        HasFreeUpstream(now, found->second, {})) {
      found->second.next_retry = now;
    }
  }
  RetryPostponed(now, out);
}

void request_router::OnConcurrencyPermits(
    time_point now,
    std::span<const permit_change> changes,
    action_list& out) {
  bool has_permits = false;
  for (const permit_change& change : changes) {
    replicas_.OnPermits(now, change);
    has_permits |= change.granted > 0;
  }
  if (!has_permits) {
    return;
  }
  // Responses that have begun go first: their callers would lose them.
  RetryWithPermits(now, out);
  DrainQueue(now, out);
}

}  // namespace cuminswitch
