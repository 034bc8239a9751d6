// Selects the replicas that may serve a request and estimates their cost.
#include <algorithm>
#include <cmath>

#include "cuminswitch/Routing/replica_table.h"

namespace cuminswitch {

/// A replica in a new incarnation starts with this share of its limit and
/// reaches the full limit after `kSlowStartSeconds`.
static constexpr double kSlowStartShare = 0.25;
static constexpr double kSlowStartSeconds = 3;
/// Safety factor for estimated queues. The estimate uses the reports of this
/// daemon and its peers; under load, real queues were up to twice as long.
static constexpr double kQueueUncertaintyFactor = 2;
/// Cost of superseded weights in seconds: a response from old weights is worth
/// less, about as much as waiting this long for a replica with the new ones.
static constexpr double kOldWeightsPenaltySeconds = 0.2;
/// Cost in seconds of a replica that may begin to change its weights: it may
/// refuse the request, which is then placed once more.
static constexpr double kMayChangePenaltySeconds = 0.1;
/// Half-life of the weight of a load report, in seconds.
static constexpr double kReportHalfLifeSeconds = 1.0;

std::string replica_table::VersionAt(replica_index index,
                                     std::string_view target) const {
  for (const loaded_model& model : replicas_[index].models) {
    if (model.name == target) {
      return model.version;
    }
  }
  return {};
}

weights_tag replica_table::WeightsAt(replica_index index,
                                     std::string_view target) const {
  for (const loaded_model& model : replicas_[index].models) {
    if (model.name == target) {
      return model.tag;
    }
  }
  return kNoWeights;
}

time_point replica_table::SupersededAt(const target_replicas& target,
                                       std::string_view version) {
  // The time for which old weights may be used starts with the publication of
  // the next version, regardless of how many versions followed.
  const auto known =
      std::ranges::find(target.history, version, &version_start::version);
  if (known == target.history.end()) {
    return target.history.front().since;
  }
  return std::next(known) == target.history.end() ? target.history.back().since
                                                  : std::next(known)->since;
}

std::optional<time_point> replica_table::LastStart(
    std::string_view target,
    std::string_view version) const {
  const auto found = by_target_.find(target);
  if (options_.old_weights_limit == duration(0) || found == by_target_.end() ||
      version.empty() || found->second.version == version ||
      found->second.history.empty()) {
    return std::nullopt;
  }
  return SupersededAt(found->second, version) + options_.old_weights_limit;
}

std::optional<double> replica_table::OldWeightsPenalty(
    time_point now,
    std::string_view name,
    const target_replicas& target,
    replica_index index) const {
  const replica& item = replicas_[index];
  const auto model = std::find_if(
      item.models.begin(), item.models.end(),
      [&](const loaded_model& loaded) { return loaded.name == name; });
  if (model == item.models.end()) {
    return std::nullopt;
  }
  const duration age = now - SupersededAt(target, model->version);
  // Requests that already wait at the replica run first. A request that would
  // start after the bound is placed elsewhere or refused.
  const double queue = EstimateQueueSeconds(now, index);
  const duration begins = age + FromSeconds(kQueueUncertaintyFactor * queue);
  if (!item.reported || begins >= options_.old_weights_time) {
    return std::nullopt;
  }
  return age < options_.old_weights_grace ? 0 : kOldWeightsPenaltySeconds;
}

bool replica_table::ServesVersion(const replica& item,
                                  std::string_view target,
                                  std::string_view version) {
  return std::any_of(item.models.begin(), item.models.end(),
                     [&](const loaded_model& model) {
                       return model.name == target && model.version == version;
                     });
}

/// Returns the waiting requests of other daemons, discounted by the age of the
/// report.
static double OthersWaiting(time_point now, const replica& item) {
  if (item.others_waiting == 0) {
    return 0;
  }
  const double age = std::max(0.0, ToSeconds(now - item.reported_at));
  return item.others_waiting * std::exp2(-age / kReportHalfLifeSeconds);
}

static bool IsLeaving(const replica& item) {
  return item.spec.leaving || item.leaving || item.announced_leaving;
}

bool replica_table::HasFreeSlot(time_point now, const replica& item) {
  if (now < item.UnavailableUntil()) {
    return false;
  }
  if (item.rejection_limit) {
    return item.permits > 0;
  }
  const double age = ToSeconds(now - item.slow_start_since);
  const double ramp = std::min(
      1.0, kSlowStartShare + (1 - kSlowStartShare) * age / kSlowStartSeconds);
  return item.in_flight + 1 <= std::max(1.0, item.limit * ramp);
}

bool replica_table::IsAccepting(time_point now, replica_index index) const {
  const replica& item = replicas_[index];
  return IsConfigured(index) && item.reachable && !IsLeaving(item) &&
         !item.changing && now >= item.backoff_until;
}

eligible_replicas replica_table::ListEligible(
    time_point now,
    std::string_view target,
    std::span<const std::string> failure_domains,
    std::span<const replica_index> excluded,
    software_tag software) const {
  eligible_replicas result;
  eligible_replicas ejected;
  eligible_replicas held;
  uint32_t fewest_failures = UINT32_MAX;
  const auto found = by_target_.find(target);
  if (found == by_target_.end()) {
    return result;
  }
  const std::string& version = found->second.version;
  for (const replica_index index : found->second.indices) {
    const replica& item = replicas_[index];
    const bool in_domain =
        failure_domains.empty() ||
        std::find(failure_domains.begin(), failure_domains.end(),
                  item.spec.failure_domain) != failure_domains.end();
    const bool allowed =
        in_domain && (software == kAnySoftware || item.software == software);
    if (!allowed || IsLeaving(item)) {
      continue;
    }
    // An engine that has not yet reported the configured version gets no
    // requests, since its responses could come from older weights.
    const bool has_weights =
        version.empty() ||
        (item.reported && ServesVersion(item, target, version));
    const std::optional<double> penalty =
        has_weights ? 0 : OldWeightsPenalty(now, target, found->second, index);
    const bool usable =
        item.reachable && !item.changing &&
        std::find(excluded.begin(), excluded.end(), index) == excluded.end();
    if (!penalty || !usable) {
      continue;
    }
    const bool is_ejected = now < item.ejected_until;
    if (is_ejected && item.failures_in_row < fewest_failures) {
      fewest_failures = item.failures_in_row;
      ejected = {};
    }
    if (is_ejected && item.failures_in_row > fewest_failures) {
      continue;
    }
    const std::optional<time_point> held_until = HeldUntil(now, item);
    eligible_replicas& list = is_ejected ? ejected : held_until ? held : result;
    list.indices.push_back(index);
    // In a queue, a request could begin after the bound if this daemon fails.
    const bool may_queue = has_weights || found->second.reserves_slots ||
                           options_.old_weights_limit == duration(0);
    list.has_free_slot.push_back(
        HasFreeSlot(now, item) &&
        (may_queue || EstimateQueueSeconds(now, index) == 0));
    const double hold_seconds =
        held_until ? std::max(0.0, ToSeconds(*held_until - now)) : 0;
    const double change_seconds =
        item.may_change ? kMayChangePenaltySeconds : 0;
    list.penalty_seconds.push_back(*penalty + hold_seconds + change_seconds);
    list.weights.push_back(WeightsAt(index, target));
  }
  // If all refuse, those whose trial is due next are better than none.
  if (result.indices.empty() && !held.indices.empty()) {
    return held;
  }
  // If every replica is ejected, those that failed least are better than none.
  // Others may be out of reach, while these only failed single requests.
  return result.indices.empty() ? ejected : result;
}

bool replica_table::HasSoftware(std::string_view target,
                                software_tag software) const {
  const auto found = by_target_.find(target);
  if (found == by_target_.end()) {
    return false;
  }
  const auto& indices = found->second.indices;
  return std::any_of(indices.begin(), indices.end(), [&](replica_index index) {
    const replica& item = replicas_[index];
    return !IsLeaving(item) &&
           (software == kAnySoftware || item.software == software);
  });
}

double replica_table::EstimateWaiting(time_point now,
                                      replica_index index) const {
  const replica& item = replicas_[index];
  return item.waiting + item.queued_locally + OthersWaiting(now, item);
}

double replica_table::OthersPendingTokens(time_point now, const replica& item) {
  if (item.others_pending_tokens <= 0) {
    return 0;
  }
  const double mean_reported_at =
      item.others_token_seconds / item.others_pending_tokens;
  const double mean_age = ToSeconds(now.time_since_epoch()) - mean_reported_at;
  return std::clamp(item.others_pending_tokens - mean_age * item.prefill_rate,
                    0.0, item.others_pending_tokens);
}

double replica_table::EstimateQueueSeconds(time_point now,
                                           replica_index index) const {
  const replica& item = replicas_[index];
  // An engine's own count of waiting tokens is not used, since it includes
  // cached tokens. With it, daemons avoided the replicas with the most cache
  // hits.
  const double reported = OthersWaiting(now, item) * item.computed_per_request;
  // The replica goes on computing after a report. Otherwise all daemons avoid a
  // replica until the next reports, after its queue has become empty, and
  // compute prefixes again that it has cached.
  const double others =
      peer_backlogs_.empty() ? reported : OthersPendingTokens(now, item);
  return (item.pending_tokens + others) / item.prefill_rate;
}

double replica_table::EstimateSecondsToFreeSlot(time_point now,
                                                replica_index index) const {
  const replica& item = replicas_[index];
  // Slots become free at the rate at which prompts are computed or responses
  // end, whichever is slower. The time that requests wait in the engine is left
  // out: with it, a busy preferred replica looked worse the busier the whole
  // fleet was, and requests avoided it.
  const double compute_seconds = item.computed_per_request / item.prefill_rate;
  const double seconds_per_response =
      item.response_seconds / std::max(1.0, item.limit);
  const double slot_wait = (item.queued_locally + 1) *
                           std::max(compute_seconds, seconds_per_response);
  double opens_in = std::max(0.0, ToSeconds(item.backoff_until - now));
  if (now < item.limited_until) {
    // At an upstream with a rate limit, requests start at this daemon's send
    // slots.
    opens_in = std::max(
        opens_in, ToSeconds(item.limited_until - now) +
                      item.queued_locally * ToSeconds(item.send_interval));
  }
  return std::max(slot_wait, opens_in);
}

}  // namespace cuminswitch
