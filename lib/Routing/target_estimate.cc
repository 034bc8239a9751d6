#include "cuminswitch/Routing/target_estimate.h"

#include <algorithm>
#include <cmath>

namespace cuminswitch {

static constexpr double kLearningRate = 0.2;
/// Learning rate of the time to first byte: an average over about 20 responses
/// or 2 s of a daemon's traffic.
static constexpr double kFirstByteLearningRate = 0.05;
/// Learning rate of the prediction error: an average over about 10 responses or
/// 2 s of a daemon's traffic, so that a single slow engine does not count as a
/// slow fleet.
static constexpr double kErrorLearningRate = 0.1;
/// Time constant in seconds with which a prediction error decays while there
/// are no samples. Engines work off a queue in about this time.
static constexpr double kErrorDecaySeconds = 2;
/// Share of an engine's cache memory that running requests leave to cached
/// prefixes.
static constexpr double kCachedPrefixShare = 0.5;
/// Time constant, in seconds, of the average of the tokens added to caches.
static constexpr double kAddedRateSeconds = 3;
/// Seconds for which an engine is assumed to keep an unused prefix when its
/// cache size is unknown.
static constexpr double kDefaultRetentionSeconds = 10;
static constexpr double kMinRetentionSeconds = 0.1;

void target_estimate::LearnPrefillRate(double sample) {
  prefill_rate_ += kLearningRate * (sample - prefill_rate_);
}

void target_estimate::LearnFirstByte(duration took) {
  first_byte_seconds_ +=
      kFirstByteLearningRate * (ToSeconds(took) - first_byte_seconds_);
}

duration target_estimate::MeanFirstByte() const {
  return FromSeconds(first_byte_seconds_);
}

double target_estimate::DecayedError(time_point now, const mean_error& error) {
  const double age = std::max(0.0, ToSeconds(now - error.at));
  return error.seconds * std::exp(-age / kErrorDecaySeconds);
}

void target_estimate::LearnPredictionError(time_point now,
                                           priority_class priority,
                                           duration prediction_error) {
  mean_error& known = errors_[static_cast<size_t>(priority)];
  const double before = DecayedError(now, known);
  known = {.seconds = before + kErrorLearningRate *
                                   (ToSeconds(prediction_error) - before),
           .at = now};
}

duration target_estimate::MeanPredictionError(time_point now,
                                              priority_class priority) const {
  const double seconds =
      DecayedError(now, errors_[static_cast<size_t>(priority)]);
  return FromSeconds(std::max(0.0, seconds));
}

double target_estimate::AddedRate(time_point now) const {
  const double age = std::max(0.0, ToSeconds(now - added_at_));
  return added_rate_ * std::exp(-age / kAddedRateSeconds);
}

void target_estimate::CountAdded(time_point now, double tokens) {
  added_rate_ = AddedRate(now) + tokens / kAddedRateSeconds;
  added_at_ = now;
}

double target_estimate::HitChance(time_point now,
                                  duration age,
                                  size_t daemons,
                                  size_t engines) const {
  // Engines evict the least recently used prefix first. A prefix is still
  // cached if it was used within the time in which new tokens fill the cache
  // once.
  const double rate = AddedRate(now) * static_cast<double>(daemons) /
                      static_cast<double>(std::max<size_t>(1, engines));
  const double retention =
      cache_tokens_ == 0
          ? kDefaultRetentionSeconds
          : kCachedPrefixShare * cache_tokens_ / std::max(1.0, rate);
  const double past_retention = ToSeconds(age) - retention;
  return past_retention <= 0
             ? 1
             : std::exp(-past_retention /
                        std::max(kMinRetentionSeconds, retention));
}

}  // namespace cuminswitch
