/// \file
/// Bounds retries to a share of the traffic.
#ifndef CUMINSWITCH_ADMISSION_RETRY_BUDGET_H_
#define CUMINSWITCH_ADMISSION_RETRY_BUDGET_H_

namespace cuminswitch {

/// Each first attempt earns a part of a retry. When upstreams fail widely the
/// budget runs dry, so retries cannot multiply the load that broke them.
class retry_budget {
 public:
  struct options {
    /// Retries earned per first attempt.
    double share = 0.1;
    /// Retries that can be saved up.
    double burst = 20;
  };

  explicit retry_budget(const options& opts)
      : options_(opts), tokens_(opts.burst) {}

  void OnFirstAttempt() {
    tokens_ = tokens_ + options_.share > options_.burst
                  ? options_.burst
                  : tokens_ + options_.share;
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
  double tokens_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_RETRY_BUDGET_H_
