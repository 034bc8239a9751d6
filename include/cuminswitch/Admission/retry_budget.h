/// \file
/// Bounds retries to a share of the traffic.
#ifndef CUMINSWITCH_ADMISSION_RETRY_BUDGET_H_
#define CUMINSWITCH_ADMISSION_RETRY_BUDGET_H_

#include <algorithm>

namespace cuminswitch {

/// Each first attempt earns a part of a retry. When upstreams fail widely the
/// budget runs dry, so retries cannot multiply the load that broke them.
///
/// In any window the retries are at most `burst` plus `share` of the first
/// attempts, so a bound over the fleet holds when each daemon has its part of
/// the burst.
class retry_budget {
 public:
  struct options {
    /// Retries earned per first attempt.
    double share = 0.1;
    /// Retries that can be saved up by the whole fleet, or by one daemon
    /// where `is_shared` is false.
    double burst = 20;
    /// Whether the daemons of the fleet divide the burst among them.
    bool is_shared = false;
  };

  explicit retry_budget(const options& opts)
      : options_(opts), limit_(opts.burst), tokens_(opts.burst) {}

  /// Sets how many daemons divide the burst. A greater fleet takes tokens
  /// away; a smaller one adds none, since those that left may have spent
  /// theirs just now.
  void SetFleetSize(double size) {
    if (options_.is_shared) {
      limit_ = options_.burst / std::max(1.0, size);
      tokens_ = std::min(tokens_, limit_);
    }
  }
  void OnFirstAttempt() {
    tokens_ = std::min(limit_, tokens_ + options_.share);
  }
  /// Spends one retry; false when none is left.
  bool TrySpend() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  options options_;
  double limit_;
  double tokens_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_RETRY_BUDGET_H_
