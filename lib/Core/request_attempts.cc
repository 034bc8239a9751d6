// Attempts at requests: their dispatch, what is learnt from their results, and
// retries.
#include <algorithm>
#include <utility>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Routing/cache_planner.h"
#include "cuminswitch/Support/status_code.h"
#include "router_constants.h"

namespace cuminswitch {

/// How long an engine keeps a slot for a request that is sent as soon as the
/// slot is granted.
static constexpr duration kReservationTime = std::chrono::milliseconds(500);
/// With fewer computed tokens, the time to first byte says little about a
/// replica's prefill rate.
static constexpr double kMinTokensForRateSample = 256;
/// A level counts as a cache hit if at least this share of its tokens was
/// cached.
static constexpr double kMinHitShare = 0.9;

void request_router::Dispatch(time_point now,
                              request& item,
                              const placement& chosen,
                              std::span<const replica_index> eligible,
                              action_list& out) {
  const replica& target = replicas_[chosen.index];
  if (!item.is_counted_in_flight) {
    item.is_counted_in_flight = true;
    limiter_.OnStart(item.workspace_hash);
    RetryBudgetFor(item.info.target).OnFirstAttempt(now);
  }
  const double queue = replicas_.EstimateQueueSeconds(now, chosen.index);
  attempt next{
      .id = next_attempt_++,
      .index = chosen.index,
      .upstream_start = UpstreamStartId(target),
      .incarnation = target.incarnation,
      .expected_tokens = std::max(
          0.0, item.info.prompt_tokens - chosen.expected_cached_tokens),
      .sent = now,
      .first_byte = std::nullopt,
      .version = replicas_.VersionAt(chosen.index, item.info.target),
      .has_permit = target.permits > 0,
      .queue_was_empty = queue == 0,
      .assumed_cached_age = std::nullopt};
  next.cache_scope = CacheScope(item, next.version);
  next.expected_prefill =
      FromSeconds(next.expected_tokens / target.prefill_rate);
  next.expected_wait =
      FromSeconds(EstimateTurnSeconds(now, item, chosen.index)) +
      next.expected_prefill;
  const auto& levels = item.levels;
  const prefix_level* shared = FindSharedLevel(levels);
  if (shared != nullptr) {
    if (const prefix_holder* holder = FindHolder(
            prefixes_.Find(shared->hash), chosen.index, target.incarnation)) {
      next.assumed_cached_age = now - holder->used_at;
    }
  }
  const duration reservation = ReservationTime(now, item, chosen.index);
  counters_.reservations += reservation > duration(0) ? 1 : 0;
  cache_plan cache;
  if (const model_spec* model = config_->FindModel(item.info.target)) {
    cache = PlanCache({.now = now,
                       .model = *model,
                       .levels = levels,
                       .chosen = chosen.index,
                       .eligible = eligible,
                       .replicas = replicas_,
                       .prefixes = prefixes_,
                       .budget = copy_budget_});
    if (cache.is_from_store) {
      next.copied_from_store = cache.source;
    }
    if (shared != nullptr) {
      counters_.prefix_tokens[static_cast<size_t>(cache.origin)] +=
          shared->tokens;
    }
    const double cached =
        shared == nullptr ? 0 : cache.hit_chance * shared->tokens;
    replicas_.CountAdded(now, item.info.target,
                         item.info.prompt_tokens - cached);
  }
  for (const prefix_level& level : levels) {
    prefixes_.CountUse(now, level.hash);
    prefixes_.Touch(level.hash, {.index = chosen.index,
                                 .incarnation = target.incarnation,
                                 .used_at = now});
  }
  if (shared != nullptr && options_.reports_placements) {
    const weights_tag saved =
        cache.sink ? replicas_.WeightsAt(chosen.index, item.info.target)
                   : kNoWeights;
    placed_prefixes_.push_back({.prefix = shared->hash,
                                .upstream = target.name_hash,
                                .incarnation = target.incarnation,
                                .saved_weights = saved});
    if (saved != kNoWeights) {
      prefixes_.RecordSaved(now, shared->hash, saved);
    }
  }
  if (item.info.prompt_tokens > 0) {
    next.is_long = prompt_lengths_.IsLong(now, item.info.prompt_tokens);
    prompt_lengths_.CountPrefill(now, next.is_long, next.expected_tokens);
  }
  if (replicas_.IsTrial(chosen.index)) {
    ++counters_.refusal_trials;
  }
  replicas_.OnDispatch(chosen.index, next.expected_tokens);
  AddWaitingWork(item, next, 1);
  const uint32_t earlier = item.arrivals++;
  ++item.runs;
  attempts_[next.id] = item.info.request;
  item.current_stage = stage::kRunning;
  const retry_budget::usage budget = RetryBudgetFor(item.info.target).Usage();
  out.push_back(dispatch_attempt{
      .request = item.info.request,
      .attempt = next.id,
      .upstream = target.spec.name,
      .address = target.spec.address,
      .fencing = item.epoch,
      .cache_scope = next.cache_scope,
      .fresh_connection = !item.repeatable,
      .after_failure = target.failures_in_row > 0,
      .weights_version = next.version,
      .last_start = replicas_.LastStart(item.info.target, next.version),
      .reservation = reservation,
      .software_version = target.spec.software_version,
      .software = target.software,
      .cache_source = cache.source,
      .cache_sink = cache.sink,
      .earlier_attempts = earlier,
      .retries_used = budget.retries,
      .retries_allowed = budget.allowed,
      .prompt_tokens = item.info.prompt_tokens,
      .expected_cached_tokens = chosen.expected_cached_tokens,
      .prefix_origin = ToString(cache.origin),
      .expected_queue = FromSeconds(queue),
      .mean_first_byte = replicas_.MeanFirstByte(item.info.target)});
  item.running = next;
}

duration request_router::ReservationTime(time_point now,
                                         const request& item,
                                         replica_index index) const {
  const std::string& target = item.info.target;
  const std::optional<time_point> last_start =
      replicas_.LastStart(target, replicas_.VersionAt(index, target));
  const model_spec* model = config_->FindModel(target);
  if (!last_start || item.deadline <= *last_start || model == nullptr) {
    return duration(0);
  }
  // The queue may be longer than estimated. A request that may not be repeated
  // would be lost if it had to be cancelled there.
  if (item.repeatable && replicas_.EstimateQueueSeconds(now, index) == 0) {
    return duration(0);
  }
  return std::min(model->max_reservation, kReservationTime);
}

uint64_t request_router::CacheScope(const request& item,
                                    std::string_view version) const {
  // A workspace that was removed after the request arrived shares no cache.
  const workspace_spec* workspace = config_->FindWorkspace(item.info.workspace);
  const bool is_shared = workspace != nullptr && !workspace->cache_pool.empty();
  uint64_t scope = Hash64(is_shared ? workspace->cache_pool
                                    : "workspace/" + item.info.workspace);
  scope = CombineHash(scope, Hash64(item.info.target));
  if (const model_spec* model = config_->FindModel(item.info.target)) {
    scope = CombineHash(scope, Hash64(model->adapter));
  }
  // The version is the one that the upstream has, not the one that it should
  // have: a cache computed with other weights must never be used.
  return CombineHash(scope, Hash64(version));
}

void request_router::OnFirstByte(time_point now,
                                 const attempt_first_byte& event) {
  const auto found = attempts_.find(event.attempt);
  if (found == attempts_.end()) {
    return;
  }
  request& item = requests_.at(found->second);
  attempt& running = *item.running;
  if (running.first_byte) {
    return;
  }
  running.first_byte = now;
  item.has_begun = item.has_begun || event.has_reached_caller;
  item.software = replicas_[running.index].software;
  const duration took = now - running.sent;
  replicas_.LearnTargetFirstByte(item.info.target, took);
  if (running.has_permit) {
    replicas_.LearnPermitWork(running.index, took);
  }
  replicas_.OnFirstByte(running.index, running.expected_tokens);
  AddWaitingWork(item, running, -1);
  if (item.info.prompt_tokens == 0) {
    replicas_.LearnFirstByte(running.index, took);
  } else {
    const duration prediction_error = took - running.expected_wait;
    replicas_.LearnPredictionError(now, item.info.target, PriorityOf(item),
                                   prediction_error);
    copy_budget_.OnFirstByte(running.copied_from_store, prediction_error);
  }
  // The whole prompt counts here: a cache miss would lengthen the wait too, but
  // does not mean that the replica has too many requests.
  const double prefill_seconds =
      item.info.prompt_tokens / replicas_[running.index].prefill_rate;
  replicas_.AdaptLimit(now, running.index, took, prefill_seconds);
}

void request_router::LearnFromResponse(time_point now,
                                       const request& item,
                                       const attempt& done,
                                       const attempt_ended& event) {
  replica& target = replicas_.at(done.index);
  if (done.first_byte) {
    replicas_.LearnResponseTime(done.index, now - *done.first_byte);
  }
  for (const prefix_level& level : item.levels) {
    prefixes_.Touch(level.hash, {.index = done.index,
                                 .incarnation = target.incarnation,
                                 .used_at = now});
  }
  if (event.prompt_tokens == 0) {
    // The response carries no token counts, so the expected number is used.
    replicas_.LearnComputed(done.index, done.expected_tokens);
    if (done.queue_was_empty && done.first_byte &&
        done.expected_tokens >= kMinTokensForRateSample) {
      replicas_.LearnPrefillRate(done.index, done.expected_tokens,
                                 *done.first_byte - done.sent);
    }
    return;
  }
  counters_.prompt_tokens += event.prompt_tokens;
  counters_.cached_tokens += event.cached_tokens;
  const double computed =
      static_cast<double>(event.prompt_tokens) - event.cached_tokens;
  replicas_.LearnComputed(done.index, computed);
  if (done.queue_was_empty && done.first_byte &&
      computed >= kMinTokensForRateSample) {
    replicas_.LearnPrefillRate(done.index, computed,
                               *done.first_byte - done.sent);
  }
  const auto& levels = item.levels;
  if (!done.assumed_cached_age || item.info.prompt_tokens == 0) {
    return;
  }
  // Estimate how long the engine retains an unused prefix: a hit at some age is
  // a lower bound, a miss is an upper bound.
  const double scale =
      static_cast<double>(event.prompt_tokens) / item.info.prompt_tokens;
  const double shared = FindSharedLevel(levels)->tokens * scale;
  const double age = ToSeconds(*done.assumed_cached_age);
  if (event.cached_tokens >= kMinHitShare * shared) {
    target.retention_seconds = std::max(target.retention_seconds, age);
  } else if (age < 2 * target.retention_seconds) {
    target.retention_seconds =
        std::max(0.5, 0.7 * target.retention_seconds + 0.3 * age * 0.8);
  }
}

void request_router::OnAttemptEnded(time_point now,
                                    const attempt_ended& event,
                                    action_list& out) {
  const auto found = attempts_.find(event.attempt);
  if (found == attempts_.end()) {
    ++counters_.late_answers;
    return;
  }
  const request_id id = found->second;
  attempts_.erase(found);
  request& item = requests_.at(id);
  item.is_trial = false;
  const attempt done = *std::exchange(item.running, std::nullopt);
  if (!done.first_byte) {
    replicas_.OnFirstByte(done.index, done.expected_tokens);
    AddWaitingWork(item, done, -1);
  }
  replicas_.OnEnd(done.index);
  if (!event.was_not_sent) {
    if (item.info.prompt_tokens > 0 && !done.is_long) {
      prompt_lengths_.CountShortSlotTime(now, now - done.sent);
    }
    drain_meters_[item.info.target].OnCompletion(now);
  }
  if (event.result == outcome::kUnknown && !event.connection_lost &&
      !event.unreachable) {
    replicas_.OnCancelled(now, done.index);
    if (!done.first_byte && item.info.prompt_tokens == 0 &&
        now >= item.deadline) {
      replicas_.LearnNoFirstByte(now, done.index, now - done.sent);
    }
  }
  RecordCrash(now, item, done, event);
  if (event.unreachable || event.was_not_sent) {
    --item.arrivals;
  }
  if (event.was_not_sent && !event.was_withdrawn) {
    ++counters_.reservations_refused;
  }
  if (event.result == outcome::kNotRun) {
    --item.runs;
  }
  if (event.result == outcome::kAnswered) {
    replicas_.OnAttemptResponse(now, done.index, event.failed_in_run);
    LearnFromResponse(now, item, done, event);
    ReportFinish(item, outcome::kAnswered, event.response, out);
    ++counters_.answered;
    Erase(id);
  } else if (item.caller_disconnected && !item.once) {
    Erase(id);
  } else {
    if (event.is_mismatch) {
      Observe(now, done, upstream_refusal::kMismatch);
    } else if (event.refused_busy) {
      Observe(now, done, upstream_refusal::kBusy);
    } else if (event.unreachable) {
      Observe(now, done, upstream_refusal::kUnreachable);
    }
    if (event.refused_busy && !event.is_mismatch && !event.was_not_sent) {
      replicas_.OnRejected(done.index);
    }
    if (event.refused_busy) {
      replicas_.OnBusy(now, done.index);
    } else if (event.failed_in_run) {
      replicas_.OnAttemptResponse(now, done.index, true);
    } else if (!event.was_withdrawn) {
      replicas_.OnFailure(now, done.index);
    }
    if (event.result == outcome::kUnknown) {
      item.may_have_run = true;
    }
    item.excluded.push_back(done.index);
    Retry(now, item, event, out);
  }
  DrainQueue(now, out);
}

void request_router::RecordCrash(time_point now,
                                 const request& item,
                                 const attempt& done,
                                 const attempt_ended& event) {
  const hash128& digest = item.info.request_digest;
  if (digest == hash128()) {
    return;
  }
  const std::vector<hash128>& parts = item.info.part_digests;
  if (event.connection_lost) {
    quarantine_.OnCrash(now, digest, done.upstream_start, done.sent, parts);
  } else if (event.unreachable) {
    quarantine_.OnUnreachable(now, done.upstream_start);
  } else if (event.result == outcome::kAnswered && event.is_unframed) {
    quarantine_.OnUnframedEnd(now, digest, done.upstream_start, done.sent,
                              parts);
  } else if (event.result == outcome::kAnswered) {
    quarantine_.OnCompleted(now, digest, done.sent);
    if (!event.failed_in_run) {
      quarantine_.OnPartsCompleted(now, parts, done.sent);
    }
  }
}

void request_router::OnResponseStarted(attempt_id attempt) {
  if (const auto* running = FindAttempt(attempt)) {
    quarantine_.OnUpstreamResponse(running->upstream_start, running->sent);
  }
}

uint64_t request_router::UpstreamStartId(const replica& item) {
  return cuminswitch::UpstreamStartId(item.name_hash, item.started);
}

bool request_router::MayRepeat(const request& item) {
  const uint32_t limit = item.info.max_runs;
  return item.repeatable && (limit == 0 || item.runs < limit);
}

void request_router::Retry(time_point now,
                           request& item,
                           const attempt_ended& event,
                           action_list& out) {
  PrepareLevels(item);
  const request_id id = item.info.request;
  const bool is_safe = event.result == outcome::kNotRun || MayRepeat(item);
  const bool is_useful = !event.response_started && now < item.deadline;
  if (!is_safe || !is_useful) {
    Refuse(id,
           {.status = status_code::kBadGateway,
            .retry_after_seconds = item.repeatable ? 1U : 0U,
            .message = "the upstream's answer broke off"},
           out);
    return;
  }
  if (const auto reserved = std::exchange(item.reserved_move, std::nullopt)) {
    SendOrRequestPermit(now, item, *reserved,
                        ListEligible(now, item, item.excluded), out);
    return;
  }
  if (!MayArriveAgain(item)) {
    RefuseOrPostpone(now, item,
                     {.status = status_code::kUnavailable,
                      .retry_after_seconds = 1,
                      .message = "every upstream that was asked refused it",
                      .retry_after = kUpstreamRetryAfter},
                     out);
    return;
  }
  // An upstream that broke the stream off may still resume it, unless it cannot
  // be reached any more.
  const std::vector<replica_index> no_longer_usable =
      event.unreachable ? item.excluded : std::vector<replica_index>();
  if (RefuseIfVersionGone(now, item, no_longer_usable, out)) {
    return;
  }
  if (!event.unreachable && !event.was_not_sent &&
      !RetryBudgetFor(item.info.target).TrySpend(now)) {
    RefuseOrPostpone(
        now, item,
        {.status = status_code::kUnavailable,
         .retry_after_seconds = EstimateRetryAfter(now, item),
         .message = "upstreams fail and the retry budget is spent"},
        out);
    return;
  }
  ++counters_.retries;
  // If no other replica is eligible, one that failed before is better than
  // none.
  // A begun response would be lost in the queue of full ones.
  if (!HasUpstream(now, item, item.excluded) ||
      (item.has_begun && !HasFreeUpstream(now, item, item.excluded))) {
    item.excluded.clear();
  }
  Admit(now, item, out);
}

void request_router::ExpireOldWeights(time_point now, action_list& out) {
  std::vector<attempt_id> late;
  for (const auto& [id, request_of] : attempts_) {
    const request& item = requests_.at(request_of);
    const std::optional<time_point> last =
        replicas_.LastStart(item.info.target, item.running->version);
    if (!item.running->first_byte && last && now >= *last) {
      late.push_back(id);
    }
  }
  for (const attempt_id id : late) {
    // The attempt waits in an engine's queue. Whether it has begun there is
    // unknown, so a request that may not be repeated ends as unknown.
    out.push_back(cancel_attempt{.attempt = id});
    OnAttemptEnded(now,
                   {.attempt = id,
                    .result = outcome::kUnknown,
                    .failed_in_run = true,
                    .response = {}},
                   out);
  }
}

}  // namespace cuminswitch
