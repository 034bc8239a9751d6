/// \file
/// What is left of one workspace's quota.
#ifndef CUMINSWITCH_ADMISSION_QUOTA_BUCKET_H_
#define CUMINSWITCH_ADMISSION_QUOTA_BUCKET_H_

#include <cstdint>
#include <vector>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Answers a workspace that sends more than its quota, so that others are
/// served as if it did not.
///
/// A token bucket that may be overdrawn by one request: a request is taken
/// while anything is left, whatever it weighs. One that weighs more than the
/// whole burst would never be taken otherwise, and the rate holds all the same,
/// since the debt is paid before the next one is taken.
///
/// Whoever is refused is promised a place: the units that the refused wait for
/// are kept from those that come later. Without that, newcomers take what was
/// there by the time that was told, and a caller who kept to its Retry-After is
/// refused again. Not all come back, so only the share that did of late is
/// kept.
class quota_bucket {
 public:
  struct request {
    double weight = 0;
    /// Of what the request is; a repeat has the same one.
    uint64_t digest = 0;
    /// The longest wait after which its caller would come back. Nothing is
    /// promised beyond it.
    duration max_wait{0};
  };
  struct decision {
    bool is_admitted = false;
    duration retry_after{0};
  };

  quota_bucket(time_point now, double level) : filled_at_(now), level_(level) {}

  /// Sets the units a second and the most that is kept of what is not used.
  void SetLimit(time_point now, double rate, double burst);
  decision Decide(time_point now, const request& item);
  /// Takes units without asking; gives them back if \p weight is below 0.
  void Charge(time_point now, double weight);
  /// Takes in that there was no more than \p level.
  void LowerTo(time_point now, double level);
  /// Units left; below 0 where the bucket is overdrawn.
  double Level(time_point now);
  double rate() const { return rate_; }
  double burst() const { return burst_; }

 private:
  struct promise {
    uint64_t digest = 0;
    double weight = 0;
    time_point due{};
  };

  void Refill(time_point now);
  /// Takes in whether the caller of a promise came back.
  void Learn(bool came_back);
  /// Units that are kept for those who will come back.
  double Kept() const { return promised_ * return_share_; }
  /// The refused request's turn comes when all before it have their units.
  decision Refuse(time_point now, const request& item);

  double rate_ = 0;
  double burst_ = 0;
  time_point filled_at_;
  double level_;
  /// In the order of their turns.
  std::vector<promise> promises_;
  /// The sum of their weights.
  double promised_ = 0;
  /// Of those who were promised a place, how many came for it of late.
  double return_share_ = 1;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_QUOTA_BUCKET_H_
