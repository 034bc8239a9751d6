/// \file
/// Bounds retries to a share of the traffic.
#ifndef CUMINSWITCH_ADMISSION_RETRY_BUDGET_H_
#define CUMINSWITCH_ADMISSION_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <optional>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Each first attempt earns a part of a retry. When upstreams fail widely the
/// budget runs dry, so retries cannot multiply the load that broke them.
///
/// In any window the retries are at most `burst` plus `share` of the first
/// attempts in the window that ends with the last of them, so a bound over the
/// fleet holds when each daemon has its part of the burst. A process that has
/// just started earns, and has no part of the burst until a window has passed:
/// the one before it on this host may have spent that part just now, and how
/// many daemons divide the burst may not be known yet. What was earned in
/// the window may be spent at once: one crash takes away the answers of some
/// seconds, and of 63 daemons with a bucket of two retries each, most had none
/// left for the second of them.
class retry_budget {
 public:
  struct options {
    /// Retries earned per first attempt.
    double share = 0.1;
    /// Retries allowed in a window beyond the earned ones, for the whole fleet,
    /// or for one daemon where `is_shared` is false.
    double burst = 20;
    /// Whether the daemons of the fleet divide the burst among them.
    bool is_shared = false;
    /// When the process started; nothing where no earlier one can have spent
    /// the burst.
    std::optional<time_point> started_at;
    /// The span in which retries are held against first attempts.
    duration window = std::chrono::seconds(10);
  };

  explicit retry_budget(const options& opts);

  /// What a window allows, and what of that is spent.
  struct usage {
    uint32_t retries = 0;
    double allowed = 0;
  };

  /// Sets how many daemons divide the burst. A smaller fleet gives none back,
  /// since those that left may have spent theirs just now.
  void SetFleetSize(double size);
  void OnFirstAttempt(time_point now);
  /// Returns the usage as of the last call with a time.
  usage Usage() const;
  /// Whether a retry is left.
  bool CanSpend(time_point now);
  /// Spends one retry; false when none is left.
  bool TrySpend(time_point now);

 private:
  struct slot {
    uint32_t first_attempts = 0;
    uint32_t retries = 0;
  };
  /// The window moves in steps of a twentieth.
  static constexpr int64_t kSlotsPerWindow = 20;

  /// Number of the slot that \p at lies in.
  int64_t SlotAt(time_point at) const;
  slot& Advance(time_point now);

  options options_;
  double burst_;
  /// One more than the window, so that retries are counted over at least a
  /// window at any moment.
  std::array<slot, kSlotsPerWindow + 1> slots_{};
  /// Number of the newest slot, in steps since the clock's beginning.
  int64_t newest_ = 0;
  /// The first slot in which the burst may be spent.
  int64_t first_with_burst_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_RETRY_BUDGET_H_
