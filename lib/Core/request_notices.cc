// Backoff and leaving notices of upstreams, and the refusal of requests because
// of backoffs and rate limits.
#include <algorithm>
#include <utility>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

/// Retry-After values for upstreams in backoff are prolonged by up to this
/// share of the wait, so that the callers do not all retry at once.
static constexpr double kRetryAfterSpread = 0.25;

const request_router::attempt* request_router::FindAttempt(
    attempt_id id) const {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr
                                  : &*requests_.at(found->second).running;
}

replica* request_router::FindReplica(attempt_id attempt) {
  const auto* running = FindAttempt(attempt);
  if (running == nullptr) {
    return nullptr;
  }
  replica& item = replicas_.at(running->index);
  return running->upstream_start == UpstreamStartId(item) ? &item : nullptr;
}

void request_router::OnBackoffRequested(time_point now,
                                        attempt_id attempt,
                                        duration time) {
  if (replica* item = FindReplica(attempt)) {
    item->backoff_until = std::max(item->backoff_until, now + time);
  }
}

bool request_router::OnUpstreamLeaving(attempt_id attempt) {
  replica* item = FindReplica(attempt);
  return item != nullptr && !std::exchange(item->announced_leaving, true);
}

bool request_router::RefuseIfClosed(time_point now,
                                    request& item,
                                    const placement& chosen,
                                    action_list& out) {
  const replica& best = replicas_[chosen.index];
  if (now >= best.UnavailableUntil()) {
    return false;
  }
  const duration wait =
      FromSeconds(replicas_.EstimateSecondsToFreeSlot(now, chosen.index));
  if (now + wait < item.deadline) {
    return false;
  }
  if (best.backoff_until < best.limited_until) {
    if (RefuseOrPostpone(now, item,
                         {.status = status_code::kTooManyRequests,
                          .message = "upstreams name limits",
                          .retry_after = wait},
                         out)) {
      ++counters_.shed;
    }
    return true;
  }
  const double spread = kRetryAfterSpread * HashFraction(item);
  if (RefuseOrPostpone(
          now, item,
          {.status = status_code::kUnavailable,
           .message = "upstreams asked for rest",
           .retry_after = wait + FromSeconds(spread * ToSeconds(wait))},
          out)) {
    ++counters_.shed;
  }
  return true;
}

}  // namespace cuminswitch
