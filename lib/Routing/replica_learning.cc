// Learns the speed, concurrency limit and failure rate of replicas from their
// responses.
#include <algorithm>

#include "cuminswitch/Routing/replica_table.h"

namespace cuminswitch {

static constexpr duration kInitialEjection = std::chrono::milliseconds(500);
static constexpr uint32_t kMaxEjectionDoublings = 4;
static constexpr double kBusyLimitFactor = 0.7;
/// How long a replica that refused a request as busy gets no requests. A
/// replica that changes its weights refuses for a third of a second or longer
/// and looks idle meanwhile.
static constexpr duration kBusyEjection = std::chrono::milliseconds(50);
/// A first byte may take up to `kLatenessFactor` times the computation alone
/// plus `kLatenessMarginSeconds`. Beyond that, the replica's own queue is too
/// long. Requests had better wait in the daemon, which can order them, refuse
/// them in time or send them elsewhere.
static constexpr double kLatenessFactor = 1.5;
static constexpr double kLatenessMarginSeconds = 0.3;
/// Bounds of the factor by which one decrease lowers the limit. Within them it
/// is proportional to the lateness.
static constexpr double kMinDecreaseFactor = 0.5;
static constexpr double kMaxDecreaseFactor = 0.9;
/// Bounds of the time between two decreases. The effect of a decrease shows
/// only after the current queue has drained, but a long queue must not make the
/// adaptation slow.
static constexpr duration kMinDecreaseInterval = std::chrono::milliseconds(250);
static constexpr duration kMaxDecreaseInterval = std::chrono::seconds(1);
/// A daemon starts with this multiple of its even share of a replica's limit.
/// The traffic of a workspace is concentrated at a few daemons, so demand is
/// uneven.
static constexpr double kInitialLimitFactor = 4;
/// Ejection time of a replica that fails far more often than the others.
static constexpr duration kOutlierEjection = std::chrono::seconds(3);
static constexpr double kLearningRate = 0.2;
static constexpr double kMinPrefillRate = 100;
static constexpr double kMaxPrefillRate = 1e7;

void replica_table::OnAttemptResponse(time_point now,
                                      replica_index index,
                                      bool failed) {
  replica& item = replicas_[index];
  item.failures_in_row = 0;
  item.responses.OnResponse(now, failed);
  if (failed) {
    EjectOutlier(now, index);
  }
}

void replica_table::EjectOutlier(time_point now, replica_index index) {
  replica& item = replicas_[index];
  double failed = 0;
  double total = 0;
  for (const replica_index other : configured_) {
    if (other != index && replicas_[other].spec.serves == item.spec.serves) {
      replicas_[other].responses.AddCountsTo(failed, total);
    }
  }
  const double others_share = total > 0 ? failed / total : 0;
  if (item.responses.IsOutlier(others_share)) {
    item.responses.Reset();
    item.ejected_until = now + kOutlierEjection;
  }
}

void replica_table::AdaptLimit(time_point now,
                               replica_index index,
                               duration took,
                               double compute_seconds) {
  replica& item = replicas_[index];
  const double expected =
      kLatenessFactor * compute_seconds + kLatenessMarginSeconds;
  const double seconds = ToSeconds(took);
  if (seconds <= expected) {
    RaiseLimit(item);
    return;
  }
  LowerLimit(
      now, item, took,
      std::clamp(expected / seconds, kMinDecreaseFactor, kMaxDecreaseFactor));
}

void replica_table::LowerLimit(time_point now,
                               replica& item,
                               duration took,
                               double factor) {
  const duration interval =
      std::clamp(took, kMinDecreaseInterval, kMaxDecreaseInterval);
  if (now - item.limit_lowered_at >= interval) {
    item.limit_lowered_at = now;
    item.limit = std::max(1.0, item.limit * factor);
  }
}

void replica_table::RaiseLimit(replica& item) {
  // The limit is raised only while it is used up. Otherwise an idle hour would
  // raise it to the maximum.
  if (item.in_flight + 1 < item.limit) {
    return;
  }
  // Until the limit was too high for the first time, it doubles per round
  // trip.
  const bool is_probing = item.limit_lowered_at == time_point();
  const double step = is_probing ? 1 : 1 / std::max(1.0, item.limit);
  item.limit = std::min<double>(item.spec.max_in_flight, item.limit + step);
}

double replica_table::InitialLimit(const upstream_spec& spec) const {
  const double initial = kInitialLimitFactor * spec.max_in_flight /
                         static_cast<double>(fleet_size_);
  return std::clamp<double>(initial, 1, spec.max_in_flight);
}

void replica_table::OnBusy(time_point now, replica_index index) {
  replica& item = replicas_[index];
  item.limit = std::max(1.0, item.limit * kBusyLimitFactor);
  item.ejected_until = std::max(item.ejected_until, now + kBusyEjection);
}

void replica_table::OnFailure(time_point now, replica_index index) {
  replica& item = replicas_[index];
  const uint32_t doublings =
      std::min(item.failures_in_row, kMaxEjectionDoublings);
  ++item.failures_in_row;
  item.ejected_until = now + kInitialEjection * (1 << doublings);
}

void replica_table::LearnComputed(replica_index index, double tokens) {
  replica& item = replicas_[index];
  item.computed_per_request +=
      kLearningRate * (tokens - item.computed_per_request);
}

void replica_table::LearnResponseTime(replica_index index, duration took) {
  replica& item = replicas_[index];
  item.response_seconds +=
      kLearningRate * (ToSeconds(took) - item.response_seconds);
}

void replica_table::LearnFirstByte(replica_index index, duration took) {
  replica& item = replicas_[index];
  item.first_byte_seconds +=
      kLearningRate * (ToSeconds(took) - item.first_byte_seconds);
}

void replica_table::LearnNoFirstByte(time_point now,
                                     replica_index index,
                                     duration took) {
  replica& item = replicas_[index];
  if (ToSeconds(took) > item.first_byte_seconds) {
    LearnFirstByte(index, took);
  }
  LowerLimit(now, item, took, kMaxDecreaseFactor);
}

duration replica_table::ShortestFirstByte(std::string_view target) const {
  return FromSeconds(Shortest(target, &replica::first_byte_seconds));
}

double replica_table::Shortest(std::string_view target,
                               double replica::*seconds) const {
  double shortest = 0;
  const auto found = by_target_.find(target);
  if (found == by_target_.end()) {
    return 0;
  }
  for (const replica_index index : found->second.indices) {
    const double value = replicas_[index].*seconds;
    if (value > 0 && (shortest == 0 || value < shortest)) {
      shortest = value;
    }
  }
  return shortest;
}

void replica_table::LearnTargetFirstByte(std::string_view target,
                                         duration took) {
  if (const auto found = by_target_.find(target); found != by_target_.end()) {
    found->second.estimate.LearnFirstByte(took);
  }
}

duration replica_table::MeanFirstByte(std::string_view target) const {
  const auto found = by_target_.find(target);
  return found == by_target_.end() ? duration(0)
                                   : found->second.estimate.MeanFirstByte();
}

void replica_table::LearnPredictionError(time_point now,
                                         std::string_view target,
                                         priority_class priority,
                                         duration prediction_error) {
  if (const auto found = by_target_.find(target); found != by_target_.end()) {
    found->second.estimate.LearnPredictionError(now, priority,
                                                prediction_error);
  }
}

duration replica_table::MeanPredictionError(time_point now,
                                            std::string_view target,
                                            priority_class priority) const {
  const auto found = by_target_.find(target);
  return found == by_target_.end()
             ? duration(0)
             : found->second.estimate.MeanPredictionError(now, priority);
}

void replica_table::CountAdded(time_point now,
                               std::string_view target,
                               double tokens) {
  if (const auto found = by_target_.find(target); found != by_target_.end()) {
    found->second.estimate.CountAdded(now, tokens);
  }
}

double replica_table::HitChance(time_point now,
                                std::string_view target,
                                duration age) const {
  const auto found = by_target_.find(target);
  return found == by_target_.end()
             ? 0
             : found->second.estimate.HitChance(now, age, fleet_size_,
                                                found->second.indices.size());
}

void replica_table::LearnPrefillRate(replica_index index,
                                     double tokens,
                                     duration took) {
  replica& item = replicas_[index];
  const double seconds = std::max(1e-4, ToSeconds(took));
  const double sample =
      std::clamp(tokens / seconds, kMinPrefillRate, kMaxPrefillRate);
  item.is_rate_measured = true;
  item.prefill_rate += kLearningRate * (sample - item.prefill_rate);
  // In a large fleet a daemon gets a response from each replica once in a few
  // seconds. If each rate were estimated separately, the replicas that
  // responded first would look several times as fast as the others and get all
  // requests.
  for (const std::string& name : item.spec.serves) {
    target_replicas& target = by_target_[name];
    target.estimate.LearnPrefillRate(sample);
    for (const replica_index other : target.indices) {
      if (!replicas_[other].is_rate_measured) {
        replicas_[other].prefill_rate = target.estimate.prefill_rate();
      }
    }
  }
}

}  // namespace cuminswitch
