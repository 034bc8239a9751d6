#include "cuminswitch/Admission/quota_owner.h"

#include <algorithm>

namespace cuminswitch {

/// A subject without a reported level starts with the units of this time. If it
/// started with the whole burst, the burst would be granted twice after all
/// daemons were killed at once and lost their state. A restart takes longer
/// than this from the kill to the first request, so these units have accrued by
/// then.
static constexpr duration kInitialCredit = std::chrono::milliseconds(500);
/// How long a daemon counts as a requester after its last query.
static constexpr duration kRequesterLifetime = std::chrono::seconds(2);
/// A subject without queries for this long is removed: by then its bucket is
/// full, or, where the burst takes longer to fill, the daemons that query it
/// report its level.
static constexpr duration kUnusedRetention = std::chrono::seconds(60);

quota_owner::owned_quota& quota_owner::Find(time_point now,
                                            const quota_query& query,
                                            double share) {
  const auto found = owned_.find(query.subject);
  if (found != owned_.end()) {
    return found->second;
  }
  const double initial_level =
      query.last_level
          ? query.limit.burst * share
          : std::min(query.limit.burst,
                     query.limit.rate * ToSeconds(kInitialCredit)) *
                share;
  return owned_
      .emplace(query.subject,
               owned_quota{.bucket = quota_bucket(now, initial_level),
                           .limit = query.limit,
                           .last_query_at = now,
                           .requesters = {}})
      .first->second;
}

quota_reply quota_owner::OnQuery(time_point now,
                                 const quota_query& query,
                                 double share) {
  owned_quota& quota = Find(now, query, share);
  quota.last_query_at = now;
  quota.requesters[query.from] = now;
  if (query.limit.version >= quota.limit.version) {
    quota.limit = query.limit;
  }
  quota_bucket& bucket = quota.bucket;
  bucket.SetLimit(now, quota.limit.rate * share, quota.limit.burst * share);
  if (query.last_level && query.last_level->owner != id_) {
    quota.other_owner_at =
        std::max(quota.other_owner_at, now - query.last_level->age);
    // The level of the previous owner plus the most that was refilled since.
    bucket.LowerTo(
        now, query.last_level->level +
                 quota.limit.rate * share * ToSeconds(query.last_level->age));
  }
  quota_reply reply{
      .kind = query.kind, .ticket = query.ticket, .owner = id_, .share = share};
  if (query.ticket == 0) {
    bucket.Charge(now, query.weight);
    reply.is_admitted = true;
  } else {
    const quota_bucket::decision decided =
        bucket.Decide(now, {.weight = query.weight,
                            .digest = query.digest,
                            .max_wait = query.max_wait});
    reply.is_admitted = decided.is_admitted;
    reply.retry_after = decided.retry_after;
  }
  reply.level = bucket.Level(now);
  return reply;
}

size_t quota_owner::CountRequesters(time_point now, uint64_t subject) const {
  const auto found = owned_.find(subject);
  if (found == owned_.end()) {
    return 0;
  }
  const auto& requesters = found->second.requesters;
  return std::count_if(requesters.begin(), requesters.end(),
                       [&](const auto& item) {
                         return now - item.second <= kRequesterLifetime;
                       });
}

bool quota_owner::HasOtherOwner(time_point since, uint64_t subject) const {
  const auto found = owned_.find(subject);
  return found != owned_.end() && found->second.other_owner_at >= since;
}

void quota_owner::OnTick(time_point now) {
  std::erase_if(owned_, [&](const auto& item) {
    return now - item.second.last_query_at > kUnusedRetention;
  });
  for (auto& [subject, quota] : owned_) {
    std::erase_if(quota.requesters, [&](const auto& item) {
      return now - item.second > kRequesterLifetime;
    });
  }
}

}  // namespace cuminswitch
