/// \file
/// Estimates that a daemon learns over all replicas of a target.
#ifndef CUMINSWITCH_ROUTING_TARGET_ESTIMATE_H_
#define CUMINSWITCH_ROUTING_TARGET_ESTIMATE_H_

#include <array>
#include <cstddef>

#include "cuminswitch/Routing/replica.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Moving averages over the responses of a target's replicas. In a large fleet
/// a daemon gets a response from each single replica once in a few seconds, but
/// from any of them several times per second.
class target_estimate {
 public:
  /// Sets the cache size of one engine in prompt tokens; 0 for unknown.
  void SetCacheTokens(double tokens) { cache_tokens_ = tokens; }

  /// Records a sample of the prefill rate, in prompt tokens per second.
  void LearnPrefillRate(double sample);
  double prefill_rate() const { return prefill_rate_; }

  /// Records the time to first byte of a request.
  void LearnFirstByte(duration took);
  /// Returns the mean time to first byte.
  duration MeanFirstByte() const;

  /// Records that a first byte came \p prediction_error later than predicted;
  /// negative for earlier.
  void LearnPredictionError(time_point now,
                            priority_class priority,
                            duration prediction_error);
  /// Returns by how much first bytes recently came later than predicted; never
  /// negative. The backlog that a daemon and its peers know of an engine is out
  /// of date and leaves out work other than prefill. Without this correction,
  /// requests would be accepted that finish late and occupy engine memory.
  duration MeanPredictionError(time_point now, priority_class priority) const;

  /// Counts prompt tokens that a request of this daemon adds to an engine's
  /// cache.
  void CountAdded(time_point now, double tokens);
  /// Returns the probability that an engine still has a prefix cached that it
  /// last used \p age ago, when \p daemons daemons with traffic like this one's
  /// share \p engines engines.
  double HitChance(time_point now,
                   duration age,
                   size_t daemons,
                   size_t engines) const;

 private:
  double AddedRate(time_point now) const;

  /// A mean prediction error that decays while there are no samples. Otherwise,
  /// once all requests are refused, no sample would show that the wait is over.
  struct mean_error {
    double seconds = 0;
    time_point at{};
  };
  static double DecayedError(time_point now, const mean_error& error);

  std::array<mean_error, kPriorityClasses> errors_;
  double prefill_rate_ = kInitialPrefillRate;
  double first_byte_seconds_ = 0;
  double cache_tokens_ = 0;
  /// Prompt tokens per second added to caches, as of `added_at_`.
  double added_rate_ = 0;
  time_point added_at_{};
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_TARGET_ESTIMATE_H_
