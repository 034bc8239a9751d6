#include "cuminswitch/Admission/quota_bucket.h"

#include <algorithm>

namespace cuminswitch {

/// A promise is kept for so long past its time: a caller comes back through
/// another connection, which takes some round trips.
static constexpr duration kPromiseGrace = std::chrono::milliseconds(400);
/// A caller's clock and ours differ a little; one that is early by this much
/// has kept to its time.
static constexpr duration kEarlyReturn = std::chrono::milliseconds(20);
/// Bounds the memory that one workspace's refusals take. A workspace that is
/// refused 300 requests a second, each of which may come back within 1.6 s,
/// holds no more.
static constexpr size_t kMaxPromises = 512;
/// Weight of the latest promise in the share of those that were kept: some ten
/// of them, which a workspace far over its limit is given in a tenth of a
/// second.
static constexpr double kLearning = 0.1;
/// Of the burst, how far those who come back may overdraw the bucket. More of
/// them come than was expected where the share was learnt from others; without
/// a bound 4 s' worth was let through within one.
static constexpr double kReturnOverdraft = 0.5;
static constexpr duration kLeastRetryAfter = std::chrono::milliseconds(20);
static constexpr duration kMostRetryAfter = std::chrono::seconds(60);

void quota_bucket::Refill(time_point now) {
  if (now > filled_at_) {
    level_ = std::min(burst_, level_ + rate_ * ToSeconds(now - filled_at_));
    filled_at_ = now;
  }
  std::erase_if(promises_, [&](const promise& item) {
    const bool is_over = now > item.due + kPromiseGrace;
    if (is_over) {
      promised_ -= item.weight;
      Learn(false);
    }
    return is_over;
  });
  if (promises_.empty()) {
    promised_ = 0;
  }
}

void quota_bucket::Learn(bool came_back) {
  return_share_ += kLearning * ((came_back ? 1.0 : 0.0) - return_share_);
}

void quota_bucket::SetLimit(time_point now, double rate, double burst) {
  Refill(now);
  rate_ = rate;
  burst_ = burst;
  level_ = std::min(level_, burst_);
}

double quota_bucket::Level(time_point now) {
  Refill(now);
  return level_;
}

void quota_bucket::Charge(time_point now, double weight) {
  Refill(now);
  level_ = std::min(burst_, level_ - weight);
}

void quota_bucket::LowerTo(time_point now, double level) {
  Refill(now);
  level_ = std::min(level_, level);
}

quota_bucket::decision quota_bucket::Decide(time_point now,
                                            const request& item) {
  Refill(now);
  const auto mine = std::find_if(
      promises_.begin(), promises_.end(),
      [&](const promise& known) { return known.digest == item.digest; });
  if (mine != promises_.end()) {
    const double missing = -kReturnOverdraft * burst_ - level_;
    if (missing > 0) {
      mine->due = std::max(mine->due, now + FromSeconds(missing / rate_));
    }
    if (now + kEarlyReturn < mine->due) {
      return {.is_admitted = false,
              .retry_after = std::max(kLeastRetryAfter, mine->due - now)};
    }
    promised_ -= mine->weight;
    promises_.erase(mine);
    Learn(true);
    level_ -= item.weight;
    return {.is_admitted = true};
  }
  if (level_ >= Kept()) {
    level_ -= item.weight;
    return {.is_admitted = true};
  }
  return Refuse(now, item);
}

quota_bucket::decision quota_bucket::Refuse(time_point now,
                                            const request& item) {
  const double missing = Kept() - level_;
  const duration wait = std::clamp(FromSeconds(missing / rate_),
                                   kLeastRetryAfter, kMostRetryAfter);
  if (wait <= item.max_wait && promises_.size() < kMaxPromises) {
    promises_.push_back(
        {.digest = item.digest, .weight = item.weight, .due = now + wait});
    promised_ += item.weight;
  }
  return {.is_admitted = false, .retry_after = wait};
}

}  // namespace cuminswitch
