#include "cuminswitch/Admission/quota_keeper.h"

#include <algorithm>

namespace cuminswitch {

/// A workspace of which nothing is known begins with what its rate gives in so
/// long. The whole burst would be given out twice where all daemons are killed
/// at once and forget what they admitted; a daemon takes longer than this from
/// its end to its first request.
static constexpr duration kUnknownPast = std::chrono::milliseconds(500);
/// A daemon that asked within this time counts as an asker.
static constexpr duration kAskerTime = std::chrono::seconds(2);
/// A workspace that nobody asks for is forgotten: its bucket is full by then
/// unless its burst takes longer to fill, and then the askers know better.
static constexpr duration kForgetAfter = std::chrono::seconds(60);

quota_keeper::kept_quota& quota_keeper::Find(time_point now,
                                             const quota_ask& ask,
                                             double share) {
  const auto found = kept_.find(ask.workspace);
  if (found != kept_.end()) {
    return found->second;
  }
  const double start =
      ask.told ? ask.limit.burst * share
               : std::min(ask.limit.burst,
                          ask.limit.rate * ToSeconds(kUnknownPast)) *
                     share;
  return kept_
      .emplace(ask.workspace, kept_quota{.bucket = quota_bucket(now, start),
                                         .limit = ask.limit,
                                         .asked_at = now,
                                         .askers = {}})
      .first->second;
}

quota_verdict quota_keeper::OnAsk(time_point now,
                                  const quota_ask& ask,
                                  double share) {
  kept_quota& kept = Find(now, ask, share);
  kept.asked_at = now;
  kept.askers[ask.from] = now;
  if (ask.limit.version >= kept.limit.version) {
    kept.limit = ask.limit;
  }
  quota_bucket& bucket = kept.bucket;
  bucket.SetLimit(now, kept.limit.rate * share, kept.limit.burst * share);
  if (ask.told && ask.told->keeper != id_) {
    kept.other_at = std::max(kept.other_at, now - ask.told->age);
    // What the keeper before had left, and what came since at most.
    bucket.LowerTo(now, ask.told->level +
                            kept.limit.rate * share * ToSeconds(ask.told->age));
  }
  quota_verdict verdict{.ticket = ask.ticket, .keeper = id_, .share = share};
  if (ask.ticket == 0) {
    bucket.Charge(now, ask.weight);
    verdict.is_admitted = true;
  } else {
    const quota_bucket::decision decided = bucket.Decide(
        now,
        {.weight = ask.weight, .digest = ask.digest, .patience = ask.patience});
    verdict.is_admitted = decided.is_admitted;
    verdict.retry_after = decided.retry_after;
  }
  verdict.level = bucket.Level(now);
  return verdict;
}

size_t quota_keeper::CountAskers(time_point now, uint64_t workspace) const {
  const auto found = kept_.find(workspace);
  if (found == kept_.end()) {
    return 0;
  }
  const auto& askers = found->second.askers;
  return std::count_if(askers.begin(), askers.end(), [&](const auto& item) {
    return now - item.second <= kAskerTime;
  });
}

bool quota_keeper::HasOther(time_point since, uint64_t workspace) const {
  const auto found = kept_.find(workspace);
  return found != kept_.end() && found->second.other_at >= since;
}

void quota_keeper::OnTick(time_point now) {
  std::erase_if(kept_, [&](const auto& item) {
    return now - item.second.asked_at > kForgetAfter;
  });
  for (auto& [workspace, kept] : kept_) {
    std::erase_if(kept.askers, [&](const auto& item) {
      return now - item.second > kAskerTime;
    });
  }
}

}  // namespace cuminswitch
