#include "cuminswitch/Admission/quota_bucket.h"

#include <algorithm>

namespace cuminswitch {

/// How long a reservation outlasts its due time: a returning caller may need a
/// new connection, which takes several round trips.
static constexpr duration kReservationGrace = std::chrono::milliseconds(400);
/// A caller that returns early by this much has observed its Retry-After, since
/// its clock differs slightly from ours.
static constexpr duration kEarlyReturnTolerance = std::chrono::milliseconds(20);
/// Bounds the memory for reservations of one workspace. A workspace with 300
/// refused requests per second, each of which may return within 1.6 s, holds no
/// more.
static constexpr size_t kMaxReservations = 512;
/// Weight of the latest reservation in the share of returning callers: averages
/// over about ten, which a workspace far over its limit gets in a tenth of a
/// second.
static constexpr double kLatestReturnWeight = 0.1;
/// How far returning callers may overdraw the bucket, as a share of the burst.
/// More of them return than expected where the share was averaged over other
/// callers; without a bound, units of 4 s were admitted within 1 s.
static constexpr double kMaxReturnOverdraft = 0.5;
static constexpr duration kMinRetryAfter = std::chrono::milliseconds(20);
static constexpr duration kMaxRetryAfter = std::chrono::seconds(60);

void quota_bucket::Refill(time_point now) {
  if (now > filled_at_) {
    level_ = std::min(burst_, level_ + rate_ * ToSeconds(now - filled_at_));
    filled_at_ = now;
  }
  std::erase_if(reservations_, [&](const reservation& item) {
    const bool has_expired = now > item.due + kReservationGrace;
    if (has_expired) {
      reserved_weight_ -= item.weight;
      RecordReturn(false);
    }
    return has_expired;
  });
  if (reservations_.empty()) {
    reserved_weight_ = 0;
  }
}

void quota_bucket::RecordReturn(bool came_back) {
  return_share_ +=
      kLatestReturnWeight * ((came_back ? 1.0 : 0.0) - return_share_);
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
  const auto reserved = std::find_if(
      reservations_.begin(), reservations_.end(),
      [&](const reservation& other) { return other.digest == item.digest; });
  if (reserved != reservations_.end()) {
    const double deficit = -kMaxReturnOverdraft * burst_ - level_;
    if (deficit > 0) {
      reserved->due =
          std::max(reserved->due, now + FromSeconds(deficit / rate_));
    }
    if (now + kEarlyReturnTolerance < reserved->due) {
      return {.is_admitted = false,
              .retry_after = std::max(kMinRetryAfter, reserved->due - now)};
    }
    reserved_weight_ -= reserved->weight;
    reservations_.erase(reserved);
    RecordReturn(true);
    level_ -= item.weight;
    return {.is_admitted = true};
  }
  if (level_ >= ReservedUnits()) {
    level_ -= item.weight;
    return {.is_admitted = true};
  }
  return Refuse(now, item);
}

quota_bucket::decision quota_bucket::Refuse(time_point now,
                                            const request& item) {
  const double deficit = ReservedUnits() - level_;
  const duration wait =
      std::clamp(FromSeconds(deficit / rate_), kMinRetryAfter, kMaxRetryAfter);
  if (wait <= item.max_wait && reservations_.size() < kMaxReservations) {
    reservations_.push_back(
        {.digest = item.digest, .weight = item.weight, .due = now + wait});
    reserved_weight_ += item.weight;
  }
  return {.is_admitted = false, .retry_after = wait};
}

}  // namespace cuminswitch
