// Permits for the requests in flight at replicas that do not survive many
// rejections.
#include <algorithm>
#include <utility>

#include "cuminswitch/Routing/replica_table.h"

namespace cuminswitch {

/// How long an estimate of the wait for a permit is used.
static constexpr duration kPermitWaitLifetime = std::chrono::milliseconds(500);
/// Weight of the newest sample in the moving average of `permit_work_seconds`.
static constexpr double kPermitWorkWeight = 0.1;
/// Shortest time for which a cancelled request counts as in flight: the replica
/// has to notice first that its connection was closed.
static constexpr duration kMinCancelledTime = std::chrono::milliseconds(20);
/// A permit may be unused because the request went elsewhere. Without a pause,
/// permits that cannot be used would be granted and returned incessantly.
static constexpr duration kUnusedPermitPause = std::chrono::milliseconds(20);

void replica_table::UpdateRejectionLimit(replica& item) const {
  const auto found = item.spec.serves.empty()
                         ? rejection_limits_.end()
                         : rejection_limits_.find(item.spec.serves.front());
  item.rejection_limit = found == rejection_limits_.end()
                             ? std::nullopt
                             : std::optional(found->second);
  if (!item.rejection_limit) {
    item.permits = 0;
    item.permit_work_seconds = 0;
    item.cancelled_until.clear();
  }
}

void replica_table::SetRejectionLimit(const std::string& service,
                                      std::optional<uint32_t> limit) {
  if (limit) {
    rejection_limits_[service] = *limit;
  } else {
    rejection_limits_.erase(service);
  }
  for (replica& item : replicas_) {
    UpdateRejectionLimit(item);
  }
}

void replica_table::OnPermits(time_point now, const permit_change& change) {
  const std::optional<replica_index> index = FindByHash(change.upstream);
  if (!index || !replicas_[*index].rejection_limit) {
    return;
  }
  replica& item = replicas_[*index];
  item.permits = (change.is_new_owner ? 0 : item.permits) + change.granted;
  item.permit_wait = change.wait;
  item.permit_wait_at = now;
}

void replica_table::KeepPermit(replica_index index) {
  --replicas_[index].permits;
  ++replicas_[index].kept_permits;
}

void replica_table::ReturnKeptPermit(replica_index index) {
  ++replicas_[index].permits;
  --replicas_[index].kept_permits;
}

/// Returns the fewer of the slots that the entry and the responses of \p item
/// state.
static uint32_t SlotsOf(const replica& item) {
  return item.stated_slots == 0
             ? item.spec.max_in_flight
             : std::min(item.stated_slots, item.spec.max_in_flight);
}

std::vector<concurrency_demand> replica_table::TakeDemands(time_point now) {
  std::vector<concurrency_demand> demands;
  for (const replica_index index : configured_) {
    replica& item = replicas_[index];
    if (!item.rejection_limit) {
      continue;
    }
    if (std::exchange(item.permits, 0) > 0) {
      item.permit_wanted_from = now + kUnusedPermitPause;
    }
    std::erase_if(item.cancelled_until,
                  [now](time_point until) { return now >= until; });
    const auto cancelled = static_cast<uint32_t>(item.cancelled_until.size());
    const bool wants_permits =
        item.queued_locally > 0 &&
        now >= std::max(item.permit_wanted_from, item.UnavailableUntil());
    demands.push_back(
        {.upstream = item.name_hash,
         .slots = SlotsOf(item),
         .rejection_limit = *item.rejection_limit,
         .held = item.in_flight + item.kept_permits + cancelled,
         .wanted = wants_permits ? item.queued_locally : 0,
         .oldest_wait = wants_permits ? now - item.first_queued : duration(0),
         .rejected = item.rejections});
  }
  return demands;
}

void replica_table::LearnPermitWork(replica_index index, duration took) {
  double& seconds = replicas_[index].permit_work_seconds;
  const double sample = ToSeconds(took);
  seconds =
      seconds == 0 ? sample : seconds + kPermitWorkWeight * (sample - seconds);
}

void replica_table::OnRejected(replica_index index) {
  ++replicas_[index].rejections;
}

void replica_table::OnCancelled(time_point now, replica_index index) {
  replica& item = replicas_[index];
  if (item.rejection_limit) {
    item.cancelled_until.push_back(
        now +
        std::max(kMinCancelledTime, FromSeconds(item.permit_work_seconds)));
  }
}

duration replica_table::PermitWork(std::string_view target) const {
  return rejection_limits_.empty()
             ? duration(0)
             : FromSeconds(Shortest(target, &replica::permit_work_seconds));
}

duration replica_table::PermitWait(time_point now,
                                   std::string_view target) const {
  std::optional<duration> shortest;
  const auto found = by_target_.find(target);
  if (rejection_limits_.empty() || found == by_target_.end()) {
    return duration(0);
  }
  for (const replica_index index : found->second.indices) {
    const replica& item = replicas_[index];
    const bool is_known =
        item.rejection_limit && now - item.permit_wait_at < kPermitWaitLifetime;
    const duration wait = is_known ? item.permit_wait : duration(0);
    shortest = std::min(shortest.value_or(wait), wait);
  }
  return shortest.value_or(duration(0));
}

}  // namespace cuminswitch
