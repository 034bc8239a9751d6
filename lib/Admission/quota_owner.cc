#include "cuminswitch/Admission/quota_owner.h"

#include <algorithm>

namespace cuminswitch {

/// A subject of which nothing is known begins with what its rate gives in so
/// long. The whole burst would be given out twice where all daemons are killed
/// at once and forget what they admitted; a daemon takes longer than this from
/// its end to its first request.
static constexpr duration kUnknownPast = std::chrono::milliseconds(500);
/// A daemon that asked within this time counts as an asker.
static constexpr duration kAskerTime = std::chrono::seconds(2);
/// A subject that nobody asks for is forgotten: its bucket is full by then
/// unless its burst takes longer to fill, and then the askers know better.
static constexpr duration kForgetAfter = std::chrono::seconds(60);

quota_owner::owned_quota& quota_owner::Find(time_point now,
                                            const quota_query& ask,
                                            double share) {
  const auto found = owned_.find(ask.subject);
  if (found != owned_.end()) {
    return found->second;
  }
  const double start =
      ask.last_level ? ask.limit.burst * share
                     : std::min(ask.limit.burst,
                                ask.limit.rate * ToSeconds(kUnknownPast)) *
                           share;
  return owned_
      .emplace(ask.subject, owned_quota{.bucket = quota_bucket(now, start),
                                        .limit = ask.limit,
                                        .asked_at = now,
                                        .askers = {}})
      .first->second;
}

quota_reply quota_owner::OnQuery(time_point now,
                                 const quota_query& ask,
                                 double share) {
  owned_quota& quota = Find(now, ask, share);
  quota.asked_at = now;
  quota.askers[ask.from] = now;
  if (ask.limit.version >= quota.limit.version) {
    quota.limit = ask.limit;
  }
  quota_bucket& bucket = quota.bucket;
  bucket.SetLimit(now, quota.limit.rate * share, quota.limit.burst * share);
  if (ask.last_level && ask.last_level->owner != id_) {
    quota.other_at = std::max(quota.other_at, now - ask.last_level->age);
    // What the owner before had left, and what came since at most.
    bucket.LowerTo(
        now, ask.last_level->level +
                 quota.limit.rate * share * ToSeconds(ask.last_level->age));
  }
  quota_reply verdict{
      .kind = ask.kind, .ticket = ask.ticket, .owner = id_, .share = share};
  if (ask.ticket == 0) {
    bucket.Charge(now, ask.weight);
    verdict.is_admitted = true;
  } else {
    const quota_bucket::decision decided = bucket.Decide(
        now,
        {.weight = ask.weight, .digest = ask.digest, .max_wait = ask.max_wait});
    verdict.is_admitted = decided.is_admitted;
    verdict.retry_after = decided.retry_after;
  }
  verdict.level = bucket.Level(now);
  return verdict;
}

size_t quota_owner::CountAskers(time_point now, uint64_t subject) const {
  const auto found = owned_.find(subject);
  if (found == owned_.end()) {
    return 0;
  }
  const auto& askers = found->second.askers;
  return std::count_if(askers.begin(), askers.end(), [&](const auto& item) {
    return now - item.second <= kAskerTime;
  });
}

bool quota_owner::HasOther(time_point since, uint64_t subject) const {
  const auto found = owned_.find(subject);
  return found != owned_.end() && found->second.other_at >= since;
}

void quota_owner::OnTick(time_point now) {
  std::erase_if(owned_, [&](const auto& item) {
    return now - item.second.asked_at > kForgetAfter;
  });
  for (auto& [subject, quota] : owned_) {
    std::erase_if(quota.askers, [&](const auto& item) {
      return now - item.second > kAskerTime;
    });
  }
}

}  // namespace cuminswitch
