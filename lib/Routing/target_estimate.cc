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
static constexpr double kExcessLearningRate = 0.1;
/// Time constant in seconds with which a prediction error decays while there
/// are no samples. Engines work off a queue in about this time.
static constexpr double kExcessSeconds = 2;
/// Share of an engine's cache memory that running requests leave to cached
/// prefixes.
static constexpr double kCacheShare = 0.5;
/// Time constant, in seconds, of the average of the tokens added to caches.
static constexpr double kAddedSeconds = 3;
/// Seconds for which an engine is assumed to keep an unused prefix when its
/// cache size is unknown.
static constexpr double kUnknownRetentionSeconds = 10;
static constexpr double kLeastRetentionSeconds = 0.1;

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

double target_estimate::ExcessAt(time_point now, const learnt_excess& excess) {
  const double age = std::max(0.0, ToSeconds(now - excess.at));
  return excess.seconds * std::exp(-age / kExcessSeconds);
}

void target_estimate::LearnPredictionError(time_point now,
                                           priority_class priority,
                                           duration excess) {
  learnt_excess& known = excesses_[static_cast<size_t>(priority)];
  const double before = ExcessAt(now, known);
  known = {
      .seconds = before + kExcessLearningRate * (ToSeconds(excess) - before),
      .at = now};
}

duration target_estimate::MeanPredictionError(time_point now,
                                              priority_class priority) const {
  const double seconds =
      ExcessAt(now, excesses_[static_cast<size_t>(priority)]);
  return FromSeconds(std::max(0.0, seconds));
}

double target_estimate::AddedRate(time_point now) const {
  const double age = std::max(0.0, ToSeconds(now - added_at_));
  return added_rate_ * std::exp(-age / kAddedSeconds);
}

void target_estimate::CountAdded(time_point now, double tokens) {
  added_rate_ = AddedRate(now) + tokens / kAddedSeconds;
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
      cache_tokens_ == 0 ? kUnknownRetentionSeconds
                         : kCacheShare * cache_tokens_ / std::max(1.0, rate);
  const double past_retention = ToSeconds(age) - retention;
  return past_retention <= 0
             ? 1
             : std::exp(-past_retention /
                        std::max(kLeastRetentionSeconds, retention));
}

}  // namespace cuminswitch
