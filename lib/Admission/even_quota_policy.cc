#include "cuminswitch/Admission/even_quota_policy.h"

#include <algorithm>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// A part that is not used for so long is forgotten. It starts in debt again,
/// which the rate of one daemon's part takes seconds to pay.
static constexpr duration kForgetAfter = std::chrono::seconds(60);

void even_quota_policy::SetFleet(time_point /*now*/,
                                 const quota_fleet_view& fleet) {
  known_ = std::max(fleet.known, fleet.alive.size() + 1);
}

/// A number from 0 to 1 that differs between daemons and subjects.
static double Fraction(uint64_t seed, uint64_t subject) {
  return static_cast<double>(CombineHash(seed, subject) >> 11) * 0x1p-53;
}

even_quota_policy::part& even_quota_policy::Find(time_point now,
                                                 const quota_request& item) {
  auto found = parts_.find(item.subject);
  if (found == parts_.end()) {
    const double debt =
        known_ == 1 ? 0 : Fraction(options_.seed, item.subject) * item.weight;
    found = parts_
                .emplace(item.subject, part{.bucket = quota_bucket(now, -debt),
                                            .limit = item.limit})
                .first;
  }
  part& own = found->second;
  own.used_at = now;
  if (item.limit.version >= own.limit.version) {
    own.limit = item.limit;
  }
  const auto daemons = static_cast<double>(known_);
  own.bucket.SetLimit(now, own.limit.rate / daemons, own.limit.burst / daemons);
  return own;
}

void even_quota_policy::Admit(time_point now, const quota_request& item) {
  part& own = Find(now, item);
  const quota_bucket::decision decided =
      own.bucket.Decide(now, {.weight = item.weight,
                              .digest = item.digest,
                              .max_wait = item.max_wait});
  decisions_.push_back({.ticket = item.ticket,
                        .is_admitted = decided.is_admitted,
                        .retry_after = decided.retry_after,
                        .source = quota_source::kLocalShare,
                        .level = own.bucket.Level(now),
                        .share = 1.0 / static_cast<double>(known_)});
}

void even_quota_policy::Charge(time_point now, const quota_request& item) {
  Find(now, item).bucket.Charge(now, item.weight);
}

void even_quota_policy::OnTick(time_point now) {
  std::erase_if(parts_, [&](const auto& item) {
    return now - item.second.used_at > kForgetAfter;
  });
}

}  // namespace cuminswitch
