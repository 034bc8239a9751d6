/// \file
/// Limits retries to a share of the traffic.
#ifndef CUMINSWITCH_ADMISSION_RETRY_BUDGET_H_
#define CUMINSWITCH_ADMISSION_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <optional>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Each first attempt earns a fraction of a retry. When many upstreams fail,
/// the budget is exhausted, so retries cannot multiply the load that caused the
/// failures.
///
/// In any window the retries are at most `burst` plus `share` of the first
/// attempts in the window that ends with the last of these retries. A bound
/// over the fleet therefore holds if each daemon has its share of the burst.
/// Retries earned within the window may be spent at once: one crash loses the
/// responses of several seconds. With a token bucket of two retries per daemon
/// instead, most of 63 daemons ran out of retries during a single crash.
///
/// The previous process on this host may have spent, just before this one
/// started, all that it had earned in a window and its share of the burst. So
/// until a window has passed a newly started process earns only `start_share`,
/// and has no share of the burst; the number of daemons that divide it may not
/// be known yet either. With restarts the bound over the fleet is `share` plus
/// `start_share` of the first attempts, and `burst`.
class retry_budget {
 public:
  struct options {
    /// Retries earned per first attempt.
    double share = 0.1;
    /// The same until a window has passed since `started_at`.
    double start_share = 0;
    /// Retries allowed in a window beyond the earned ones, for the whole fleet,
    /// or for one daemon where `is_shared` is false.
    double burst = 20;
    /// Whether the daemons of the fleet divide the burst among them.
    bool is_shared = false;
    /// When the process started; nothing where no earlier process can have
    /// spent retries.
    std::optional<time_point> started_at;
    /// Length of the window in which retries are compared with first attempts.
    duration window = std::chrono::seconds(10);
  };

  explicit retry_budget(const options& opts);

  /// Retries spent and allowed in the current window.
  struct usage {
    uint32_t retries = 0;
    double allowed = 0;
  };

  /// Sets how many daemons divide the burst. A shrinking fleet doesn't increase
  /// the shares, since the daemons that left may just have spent theirs.
  void SetFleetSize(double size);
  void OnFirstAttempt(time_point now);
  /// Returns the usage at the time of the last call that passed one.
  usage Usage() const;
  /// Whether \p count retries are left.
  bool CanSpend(time_point now, uint32_t count = 1);
  /// Spends one retry; returns false when none is left.
  bool TrySpend(time_point now);

 private:
  /// Counts of one step of the window.
  struct slot {
    uint32_t first_attempts = 0;
    uint32_t retries = 0;
  };
  /// The window moves in steps of a twentieth of its length.
  static constexpr int64_t kSlotsPerWindow = 20;

  /// Returns the number of the slot that contains \p at.
  int64_t SlotAt(time_point at) const;
  /// Clears expired slots and returns the one that contains \p now.
  slot& Advance(time_point now);

  options options_;
  /// This daemon's share of the burst, in retries.
  double burst_;
  /// One slot more than the window has, so that retries are always counted over
  /// at least a whole window.
  std::array<slot, kSlotsPerWindow + 1> slots_{};
  /// Number of the newest slot, counted from the clock's epoch.
  int64_t newest_ = 0;
  /// Number of the first slot in which an earlier process's retries are out of
  /// the window.
  int64_t first_unrestricted_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ADMISSION_RETRY_BUDGET_H_
