#include "cuminswitch/Admission/even_quota_policy.h"

#include <algorithm>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// A share that is unused for this long is removed. A new one starts in debt
/// again, which takes seconds to pay at the rate of one daemon's share.
static constexpr duration kUnusedRetention = std::chrono::seconds(60);

void even_quota_policy::SetFleet(time_point /*now*/,
                                 const quota_fleet_view& fleet) {
  daemon_count_ = std::max(fleet.possibly_active, fleet.alive.size() + 1);
}

/// Returns a pseudo-random number from 0 to 1 that depends on the daemon's seed
/// and the subject.
static double DebtFraction(uint64_t seed, uint64_t subject) {
  return static_cast<double>(CombineHash(seed, subject) >> 11) * 0x1p-53;
}

even_quota_policy::subject_share& even_quota_policy::Find(
    time_point now,
    const quota_request& item) {
  auto found = shares_.find(item.subject);
  if (found == shares_.end()) {
    const double initial_debt =
        daemon_count_ == 1
            ? 0
            : DebtFraction(options_.seed, item.subject) * item.weight;
    found =
        shares_
            .emplace(item.subject,
                     subject_share{.bucket = quota_bucket(now, -initial_debt),
                                   .limit = item.limit})
            .first;
  }
  subject_share& local = found->second;
  local.used_at = now;
  if (item.limit.version >= local.limit.version) {
    local.limit = item.limit;
  }
  const auto daemons = static_cast<double>(daemon_count_);
  local.bucket.SetLimit(now, local.limit.rate / daemons,
                        local.limit.burst / daemons);
  return local;
}

void even_quota_policy::Admit(time_point now, const quota_request& item) {
  subject_share& local = Find(now, item);
  const quota_bucket::decision decided =
      local.bucket.Decide(now, {.weight = item.weight,
                                .digest = item.digest,
                                .max_wait = item.max_wait});
  decisions_.push_back({.ticket = item.ticket,
                        .is_admitted = decided.is_admitted,
                        .retry_after = decided.retry_after,
                        .source = quota_source::kLocalShare,
                        .level = local.bucket.Level(now),
                        .share = 1.0 / static_cast<double>(daemon_count_)});
}

void even_quota_policy::Charge(time_point now, const quota_request& item) {
  Find(now, item).bucket.Charge(now, item.weight);
}

void even_quota_policy::OnTick(time_point now) {
  std::erase_if(shares_, [&](const auto& item) {
    return now - item.second.used_at > kUnusedRetention;
  });
}

}  // namespace cuminswitch
