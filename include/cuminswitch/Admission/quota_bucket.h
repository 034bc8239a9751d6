/// \file
/// Token bucket for the quota of one subject.
#ifndef CUMINSWITCH_ADMISSION_QUOTA_BUCKET_H_
#define CUMINSWITCH_ADMISSION_QUOTA_BUCKET_H_

#include <cstdint>
#include <vector>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Limits a workspace to its quota, so that an excess of one workspace doesn't
/// affect others.
///
/// A token bucket that may be overdrawn by one request: a request is admitted
/// while any units are left, whatever its weight. Otherwise a request that
/// weighs more than the whole burst would never be admitted. The rate still
/// holds, since the debt is paid before the next request is admitted.
///
/// A refused request gets a reservation: the units it waits for are withheld
/// from later requests. Otherwise new requests use up the units before the
/// Retry-After has passed, and a caller that observed it is refused again. Not
/// all callers return, so the reserved units are scaled by the share that
/// recently did.
class quota_bucket {
 public:
  struct request {
    /// Units that the request uses.
    double weight = 0;
    /// Hash of the request's content; a repeated request has the same one.
    uint64_t digest = 0;
    /// Longest wait after which the caller would return. Nothing is reserved
    /// beyond it.
    duration max_wait{0};
  };
  struct decision {
    bool is_admitted = false;
    duration retry_after{0};
  };

  quota_bucket(time_point now, double level) : filled_at_(now), level_(level) {}

  /// Sets the refill rate in units per second, and the largest level in units.
  void SetLimit(time_point now, double rate, double burst);
  decision Decide(time_point now, const request& item);
  /// Deducts units without a decision; returns them if \p weight is below 0.
  void Charge(time_point now, double weight);
  /// Lowers the level to \p level if it is higher.
  void LowerTo(time_point now, double level);
  /// Units left; below 0 where the bucket is overdrawn.
  double Level(time_point now);
  double rate() const { return rate_; }
  double burst() const { return burst_; }

 private:
  /// Units withheld for a refused request whose caller may return.
  struct reservation {
    uint64_t digest = 0;
    double weight = 0;
    /// When the request is admitted if it is repeated.
    time_point due{};
  };

  void Refill(time_point now);
  /// Updates the share of returning callers by one caller.
  void RecordReturn(bool came_back);
  /// Returns the units withheld for callers that are expected to return.
  double ReservedUnits() const { return reserved_weight_ * return_share_; }
  /// Refuses the request, and reserves its units for the time when the requests
  /// with earlier reservations have theirs.
  decision Refuse(time_point now, const request& item);

  double rate_ = 0;
  double burst_ = 0;
  time_point filled_at_;
  double level_;
  /// Ordered by the time at which they were made.
  std::vector<reservation> reservations_;
  /// Sum of the weights of all reservations.
  double reserved_weight_ = 0;
  /// Moving average of the share of reservations whose callers returned.
  double return_share_ = 1;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_QUOTA_BUCKET_H_
