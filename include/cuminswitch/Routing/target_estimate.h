/// \file
/// What one daemon has learnt of all replicas of a target together.
#ifndef CUMINSWITCH_ROUTING_TARGET_ESTIMATE_H_
#define CUMINSWITCH_ROUTING_TARGET_ESTIMATE_H_

#include <array>
#include <cstddef>

#include "cuminswitch/Routing/replica.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Averages over the answers of a target's replicas. In a large fleet a daemon
/// meets each replica once in a few seconds, and all of them several times a
/// second.
class target_estimate {
 public:
  /// Sets the prompt tokens that one engine can keep; 0 for not known.
  void SetCacheTokens(double tokens) { cache_tokens_ = tokens; }

  /// Learns prompt tokens computed per second.
  void LearnPrefillRate(double sample);
  double prefill_rate() const { return prefill_rate_; }

  /// Learns how long a request waited for its first byte.
  void LearnFirstByte(duration took);
  /// How long requests wait for their first byte on average.
  duration MeanFirstByte() const;

  /// Learns that a first byte came \p excess later than expected; negative for
  /// earlier.
  void LearnPredictionError(time_point now,
                            priority_class priority,
                            duration excess);
  /// By how much first bytes come later than expected of late. What a daemon
  /// and its peers know of an engine's work lags, and leaves out what the
  /// engine does beside reading prompts. An expectation that is not corrected
  /// takes requests that will be late, and holds engines' memory with them.
  duration MeanPredictionError(time_point now, priority_class priority) const;

  /// Counts prompt tokens that a request of this daemon adds to a cache.
  void CountAdded(time_point now, double tokens);
  /// How likely an engine still has cached what it last used \p age ago, where
  /// \p daemons like this one share \p engines.
  double HitChance(time_point now,
                   duration age,
                   size_t daemons,
                   size_t engines) const;

 private:
  double AddedRate(time_point now) const;

  /// An average that loses its weight while nothing is learnt: where all are
  /// refused, nobody would learn that the wait is over.
  struct learnt_excess {
    double seconds = 0;
    time_point at{};
  };
  static double ExcessAt(time_point now, const learnt_excess& excess);

  std::array<learnt_excess, kPriorityClasses> excesses_;
  double prefill_rate_ = kFirstPrefillRate;
  double first_byte_seconds_ = 0;
  double cache_tokens_ = 0;
  /// Prompt tokens per second that were added to caches, as of `added_at_`.
  double added_rate_ = 0;
  time_point added_at_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_TARGET_ESTIMATE_H_
