#include "cuminswitch/Core/request_router.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "cuminswitch/Protocol/shard_directory.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

static constexpr uint32_t kForbidden = 403;
static constexpr uint32_t kNotFound = 404;
static constexpr uint32_t kConflict = 409;
static constexpr uint32_t kUnprocessable = 422;
static constexpr uint32_t kTooManyRequests = 429;
static constexpr uint32_t kBadGateway = 502;
static constexpr uint32_t kUnavailable = 503;

static constexpr duration kStartRequestInterval =
    std::chrono::milliseconds(300);
/// Longer than a new owner takes to be found.
static constexpr uint32_t kStartRetrySeconds = 3;
/// When to come back where no upstream can take a request: crashed ones are
/// replaced, and ejected ones tried again, within about a second.
static constexpr duration kUpstreamRetryAfter = std::chrono::milliseconds(500);
/// Upstreams beyond those that may run a request that may refuse it. Without a
/// bound, one request that all refuse spends the whole budget of retries.
static constexpr uint32_t kExtraArrivals = 2;
static constexpr size_t kMaxAbandonedStarts = 4096;
static constexpr uint32_t kMaxRetryAfterSeconds = 120;
/// What reuse is worth beyond its time, by objective.
static constexpr double kFirstTokenReuseWeight = 3.0;
static constexpr double kReuseReuseWeight = 6.0;
/// Batch work has time, so it always goes where its prefix is.
static constexpr double kBatchReuseWeight = 12.0;
/// Fewer computed tokens than this say little about a replica's speed.
static constexpr double kLeastTokensToLearnFrom = 256;
/// Computing fewer tokens takes less than 25 ms, and a copy that waits behind
/// others would take longer.
static constexpr uint32_t kLeastTokensToCopy = 1000;
/// A level counts as hit when this share of it came from the cache.
static constexpr double kHitShare = 0.9;

request_router::request_router(const options& opts,
                               const shard_directory& members)
    : options_(opts),
      members_(members),
      policy_(MakePlacementPolicy(opts.policy, opts.random_seed)),
      replicas_(opts.replicas),
      prefixes_({.capacity = opts.prefix_capacity}) {
  assert(policy_ != nullptr && "settings name an unknown routing policy");
  // Attempt numbers of an earlier start of this daemon must never be met
  // again: an upstream's late answer to one would count for a new request.
  next_attempt_ = opts.self.incarnation << 20;
}

void request_router::OnConfiguration(
    time_point now,
    std::shared_ptr<const configuration> config,
    action_list& out) {
  config_ = std::move(config);
  replicas_.SetFleetSize(members_.CountServing());
  replicas_.Reconfigure(now, *config_);
  DrainQueue(now, out);
}

std::optional<request_router::refusal> request_router::Check(
    const request& item) const {
  if (admission_closed_) {
    return refusal{.status = kUnavailable,
                   .retry_after_seconds = 1,
                   .message = "this host is leaving"};
  }
  if (config_ == nullptr) {
    return refusal{.status = kUnavailable,
                   .retry_after_seconds = 1,
                   .message = "no configuration is in force yet"};
  }
  const std::string& name = item.info.target;
  if (item.workspace == nullptr) {
    return refusal{.status = kNotFound,
                   .message = "unknown workspace " + item.info.workspace};
  }
  if (config_->FindModel(name) == nullptr &&
      config_->FindService(name) == nullptr) {
    return refusal{.status = kNotFound,
                   .message = "unknown model or service " + name};
  }
  const auto& uses = item.workspace->uses;
  if (std::find(uses.begin(), uses.end(), name) == uses.end()) {
    return refusal{.status = kForbidden,
                   .message = "the workspace may not use " + name};
  }
  return std::nullopt;
}

void request_router::PrepareLevels(request& item) const {
  // Everything that makes a cache another cache goes into the hashes, so no
  // lookup can cross workspaces, models, versions or adapters.
  const model_spec* model = config_->FindModel(item.info.target);
  const std::string& pool = item.info.cache_pool;
  uint64_t scope = Hash64(pool.empty() ? item.info.workspace : pool);
  scope = CombineHash(scope, Hash64(item.info.target));
  if (model != nullptr) {
    scope = CombineHash(scope, Hash64(model->version));
    scope = CombineHash(scope, Hash64(model->adapter));
  }
  item.scope = scope;
  for (prefix_level& level : item.info.levels) {
    level.hash = CombineHash(scope, level.hash);
  }
}

void request_router::OnRequest(time_point now,
                               const request_arrived& event,
                               action_list& out) {
  ++counters_.requests;
  request& item = requests_[event.request];
  item.info = event;
  item.config = config_;
  item.workspace_hash = Hash64(event.workspace);
  item.deadline = now + event.time_limit;
  item.once = !event.idempotency_key.empty();
  item.workspace =
      config_ == nullptr ? nullptr : config_->FindWorkspace(event.workspace);
  if (const std::optional<refusal> why = Check(item)) {
    Refuse(event.request, *why, out);
    return;
  }
  const service_spec* service = config_->FindService(event.target);
  const repeat_rule rule = event.repeats;
  item.repeatable = !item.once && rule != repeat_rule::kOnce &&
                    (service == nullptr || service->repeatable ||
                     rule == repeat_rule::kRepeatable);
  if (rule == repeat_rule::kByTarget && service != nullptr &&
      !service->repeatable && !item.once) {
    Refuse(event.request,
           {.status = 400,
            .message = event.target +
                       " may not be repeated, so an Idempotency-Key is needed"},
           out);
    return;
  }
  PrepareLevels(item);
  if (!item.once) {
    Admit(now, item, out);
    return;
  }
  item.at = stage::kStarting;
  item.start_deadline = std::min(item.deadline, now + options_.start_timeout);
  item.key = Hash128(event.idempotency_key, item.workspace_hash);
  SendStartRequest(now, item, out);
  if (IsStartOver(now, item)) {
    RefuseLateStart(event.request, out);
  }
}

shard_number request_router::ShardOf(const request& item) const {
  return static_cast<shard_number>(item.key.high % options_.shard_count);
}

bool request_router::IsStartOver(time_point now, const request& item) const {
  return now >= item.start_deadline || IsStartHopeless(item);
}

bool request_router::IsStartHopeless(const request& item) const {
  return !platform_reachable_ && members_.FindOwner(ShardOf(item)) == nullptr;
}

void request_router::SendStartRequest(time_point now,
                                      request& item,
                                      action_list& out) {
  item.next_start_request = now + kStartRequestInterval;
  const shard_number shard = ShardOf(item);
  const member* owner = members_.FindOwner(shard);
  if (owner == nullptr) {
    return;
  }
  out.push_back(send_peer{
      .to = owner->peer_address,
      .message = start_request{.reply_to = options_.self.peer_address,
                               .host = options_.self.host,
                               .incarnation = options_.self.incarnation,
                               .request = item.info.request,
                               .shard = shard,
                               .key = item.key,
                               .key_issued = item.info.key_issued,
                               .request_digest = item.info.request_digest}});
}

void request_router::ReleaseStart(const request& item, action_list& out) const {
  const shard_number shard = ShardOf(item);
  const member* owner = members_.FindOwner(shard);
  if (owner == nullptr) {
    return;
  }
  out.push_back(send_peer{
      .to = owner->peer_address,
      .message = release_report{.shard = shard,
                                .key = item.key,
                                .host = options_.self.host,
                                .incarnation = options_.self.incarnation,
                                .request = item.info.request}});
}

void request_router::OnStartReply(time_point now,
                                  const start_reply& reply,
                                  action_list& out) {
  const auto found = requests_.find(reply.request);
  if (found == requests_.end() || found->second.at != stage::kStarting) {
    // A grant that comes after the request was given up on would leave its
    // key started for ever although nothing ran: give it back. One that was
    // used must never be given back, so only abandoned starts are.
    const auto abandoned = abandoned_starts_.find(reply.request);
    if (abandoned != abandoned_starts_.end() &&
        reply.verdict == start_verdict::kGranted) {
      if (const member* owner = members_.FindOwner(abandoned->second.shard)) {
        out.push_back(
            send_peer{.to = owner->peer_address, .message = abandoned->second});
      }
    }
    return;
  }
  request& item = found->second;
  switch (reply.verdict) {
    case start_verdict::kGranted:
      item.epoch = reply.epoch;
      Admit(now, item, out);
      return;
    case start_verdict::kNotOwner:
      return;
    case start_verdict::kRefused:
      Refuse(reply.request,
             {.status = kUnavailable,
              .retry_after_seconds = reply.retry_after_seconds,
              .message = "the start could not be recorded"},
             out);
      return;
    case start_verdict::kExpired:
      Refuse(reply.request,
             {.status = kUnprocessable,
              .message = "the Idempotency-Key is too old or from the future"},
             out);
      return;
    case start_verdict::kMismatch:
      // The key belongs to another request; this one never ran.
      item.info.is_first_attempt = true;
      Refuse(reply.request,
             {.status = kUnprocessable,
              .message = "the Idempotency-Key was used for another request"},
             out);
      return;
    case start_verdict::kStarted:
      item.may_have_run = true;
      Refuse(reply.request,
             {.status = kConflict,
              .retry_after_seconds = 1,
              .message = "a request with this Idempotency-Key was started; "
                         "its end is not known here"},
             out);
      return;
    case start_verdict::kAnswered:
      out.push_back(answer_request{.request = reply.request,
                                   .result = outcome::kAnswered,
                                   .status = reply.answer.status,
                                   .retry_after_seconds = 0,
                                   .message = {},
                                   .recorded = reply.answer});
      ++counters_.answered;
      Erase(reply.request);
      return;
  }
}

std::span<const std::string> request_router::AllowedDomains(
    const request& item) const {
  for (const placement_spec& rule : config_->placements) {
    if (rule.workspace == item.info.workspace &&
        rule.target == item.info.target) {
      return rule.failure_domains;
    }
  }
  return {};
}

double request_router::CopyRate(const request& item) const {
  const model_spec* model = config_->FindModel(item.info.target);
  return model == nullptr ? 0 : model->copy_rate;
}

double request_router::ReuseWeight(const request& item) const {
  if (PriorityOf(item) == priority_class::kBatch) {
    return kBatchReuseWeight;
  }
  return config_->platform.objective == routing_objective::kReuse
             ? kReuseReuseWeight
             : kFirstTokenReuseWeight;
}

priority_class request_router::PriorityOf(const request& item) const {
  return item.info.priority.value_or(item.workspace->priority);
}

retry_budget& request_router::BudgetOf(const std::string& target) {
  const auto [found, is_new] = retries_.try_emplace(target, options_.retries);
  largest_fleet_ = std::max(largest_fleet_, members_.CountServing());
  found->second.SetFleetSize(static_cast<double>(largest_fleet_));
  return found->second;
}

waiting_request request_router::MakeWaiting(const request& item) const {
  return {.request = item.info.request,
          .target = item.info.target,
          .priority = PriorityOf(item),
          .workspace_hash = item.workspace_hash,
          .arrived = item.deadline - item.info.time_limit,
          .deadline = item.deadline};
}

void request_router::Admit(time_point now, request& item, action_list& out) {
  item.at = stage::kWaiting;
  // A newcomer does not pass those that wait already and are as urgent.
  if (queue_.CountAhead(MakeWaiting(item)) == 0 && TryPlace(now, item, out)) {
    return;
  }
  Enqueue(now, item, out);
}

double request_router::EstimateWaitSeconds(time_point now,
                                           const request& item) const {
  const auto meter = meters_.find(item.info.target);
  // A daemon that has just started knows no rate. Taking it for slow would
  // refuse requests that only wait for the first load reports.
  if (meter == meters_.end() || !meter->second.HasMeasured()) {
    return 0;
  }
  const double rate = meter->second.RatePerSecond(now);
  const auto ahead = static_cast<double>(queue_.CountAhead(MakeWaiting(item)));
  return ahead / rate;
}

uint32_t request_router::EstimateRetryAfter(time_point now,
                                            const request& item) const {
  // The earliest time at which a request like this one would be taken: when
  // enough of those ahead have been served.
  const double wait = EstimateWaitSeconds(now, item);
  const double excess = wait - ToSeconds(item.info.time_limit) / 2;
  return std::clamp<uint32_t>(
      static_cast<uint32_t>(std::ceil(std::max(0.0, excess))), 1,
      kMaxRetryAfterSeconds);
}

bool request_router::HasUpstream(time_point now, const request& item) const {
  return !replicas_
              .ListEligible(now, item.info.target, AllowedDomains(item),
                            item.excluded)
              .indices.empty();
}

void request_router::Enqueue(time_point now, request& item, action_list& out) {
  if (options_.refuse_without_upstream && !HasUpstream(now, item)) {
    ++counters_.shed;
    Refuse(item.info.request,
           {.status = kUnavailable,
            .retry_after_seconds = 1,
            .message = "no upstream can take it now",
            .retry_after = kUpstreamRetryAfter},
           out);
    return;
  }
  const double patience = ToSeconds(item.deadline - now);
  if (EstimateWaitSeconds(now, item) > patience) {
    ++counters_.shed;
    Refuse(item.info.request,
           {.status = kTooManyRequests,
            .retry_after_seconds = EstimateRetryAfter(now, item),
            .message = "too many requests are waiting"},
           out);
    return;
  }
  queue_.Push(MakeWaiting(item));
}

bool request_router::TryPlace(time_point now, request& item, action_list& out) {
  if (!item.counted && !limiter_.HasRoom(now, item.workspace_hash,
                                         item.workspace->max_in_flight)) {
    return false;
  }
  const eligible_replicas eligible = replicas_.ListEligible(
      now, item.info.target, AllowedDomains(item), item.excluded);
  if (eligible.indices.empty()) {
    return false;
  }
  const placement chosen =
      policy_->Choose({.now = now,
                       .levels = item.info.levels,
                       .prompt_tokens = item.info.prompt_tokens,
                       .eligible = eligible.indices,
                       .has_room = eligible.has_room,
                       .penalty_seconds = eligible.penalty_seconds,
                       .replicas = replicas_,
                       .prefixes = prefixes_,
                       .failure_domain = options_.self.failure_domain,
                       .copy_rate = CopyRate(item),
                       .reuse_weight = ReuseWeight(item)});
  if (chosen.must_wait) {
    replicas_.CountQueued(chosen.index);
    return false;
  }
  Dispatch(now, item, chosen, eligible.indices, out);
  return true;
}

void request_router::Dispatch(time_point now,
                              request& item,
                              const placement& chosen,
                              std::span<const replica_index> eligible,
                              action_list& out) {
  const replica& target = replicas_[chosen.index];
  if (!item.counted) {
    item.counted = true;
    limiter_.OnStart(item.workspace_hash);
    BudgetOf(item.info.target).OnFirstAttempt();
  }
  attempt next{
      .id = next_attempt_++,
      .index = chosen.index,
      .expected_tokens = std::max(
          0.0, item.info.prompt_tokens - chosen.expected_cached_tokens),
      .sent = now,
      .first_byte = std::nullopt,
      .version = replicas_.VersionAt(chosen.index, item.info.target),
      .unqueued = replicas_.EstimateQueueSeconds(now, chosen.index) == 0,
      .believed_age = std::nullopt};
  const auto& levels = item.info.levels;
  if (levels.size() >= 2) {
    for (const prefix_holder& holder :
         prefixes_.Find(levels[levels.size() - 2].hash)) {
      if (holder.index == chosen.index &&
          holder.incarnation == target.incarnation) {
        next.believed_age = now - holder.used_at;
      }
    }
  }
  const cache_plan cache = PlanCache(now, item, chosen.index, eligible);
  for (const prefix_level& level : levels) {
    prefixes_.CountUse(now, level.hash);
    prefixes_.Touch(level.hash, {.index = chosen.index,
                                 .incarnation = target.incarnation,
                                 .used_at = now});
  }
  if (levels.size() >= 2 && options_.tells_placements) {
    placed_prefixes_.push_back({.prefix = levels[levels.size() - 2].hash,
                                .upstream = target.name_hash,
                                .is_saved = cache.sink.has_value()});
    if (cache.sink) {
      prefixes_.NoteSaved(now, levels[levels.size() - 2].hash);
    }
  }
  replicas_.OnDispatch(chosen.index, next.expected_tokens);
  const uint32_t earlier = item.arrivals++;
  ++item.runs;
  attempts_[next.id] = item.info.request;
  item.at = stage::kRunning;
  out.push_back(dispatch_attempt{.request = item.info.request,
                                 .attempt = next.id,
                                 .upstream = target.spec.name,
                                 .address = target.spec.address,
                                 .fencing = item.epoch,
                                 .cache_scope = CacheScope(item, next.version),
                                 .fresh_connection = !item.repeatable,
                                 .after_failure = target.failures_in_row > 0,
                                 .weights_version = next.version,
                                 .cache_source = cache.source,
                                 .cache_sink = cache.sink,
                                 .earlier_attempts = earlier});
  item.running = next;
}

void request_router::DrainQueue(time_point now, action_list& out) {
  replicas_.ClearQueued();
  if (queue_.size() == 0) {
    return;
  }
  queue_.Drain([&](const waiting_request& waiting) {
    return TryPlace(now, requests_.at(waiting.request), out);
  });
}

/// Returns the store that has the place for a prefix, by rendezvous.
static std::optional<endpoint> ChooseStore(const model_spec& model,
                                           uint64_t prefix) {
  const auto best =
      std::max_element(model.cache_stores.begin(), model.cache_stores.end(),
                       [prefix](const endpoint& a, const endpoint& b) {
                         return RendezvousWeight(prefix, Hash64(a.ToString())) <
                                RendezvousWeight(prefix, Hash64(b.ToString()));
                       });
  return best == model.cache_stores.end() ? std::nullopt : std::optional(*best);
}

request_router::cache_plan request_router::PlanCache(
    time_point now,
    const request& item,
    replica_index chosen,
    std::span<const replica_index> eligible) {
  const std::string& target = item.info.target;
  const std::string version = replicas_.VersionAt(chosen, target);
  const auto& levels = item.info.levels;
  const model_spec* model = config_->FindModel(target);
  if (version.empty() || levels.size() < 2 || model == nullptr) {
    return {};
  }
  const uint64_t shared = levels[levels.size() - 2].hash;
  const std::optional<endpoint> store = ChooseStore(*model, shared);
  if (version != model->version) {
    // Levels are known by the newest weights; of older ones nothing is known
    // but that their caches go soon.
    return {.source = store, .sink = std::nullopt};
  }
  const bool was_saved = prefixes_.WasSaved(now, shared);
  const std::span<const prefix_holder> holders = prefixes_.Find(shared);
  const auto holds = [&](replica_index index) {
    return std::any_of(
        holders.begin(), holders.end(), [&](const prefix_holder& holder) {
          return holder.index == index &&
                 holder.incarnation == replicas_[index].incarnation;
        });
  };
  const bool is_short = levels[levels.size() - 2].tokens < kLeastTokensToCopy;
  if (is_short && holds(chosen)) {
    return {};
  }
  if (was_saved) {
    // Also where the upstream held it: its cache may have dropped it since, and
    // to ask the store for what is there already costs nothing.
    return {.source = store, .sink = std::nullopt};
  }
  const auto known =
      std::find_if(eligible.begin(), eligible.end(), [&](replica_index index) {
        return index != chosen && holds(index) &&
               replicas_.VersionAt(index, target) == version;
      });
  // The request's own part is saved along with the shared ones and pushes
  // others out of the store, so each shared prefix is saved once in a while
  // only.
  return {.source = known == eligible.end()
                        ? store
                        : std::optional(replicas_[*known].spec.address),
          .sink = store};
}

void request_router::OnPeerPlacements(time_point now,
                                      const peer_placements& told) {
  replicas_.OnPeerPlacements(now, told);
  for (const placed_prefix& item : told.prefixes) {
    if (const auto index = replicas_.FindByHash(item.upstream)) {
      prefixes_.Touch(item.prefix,
                      {.index = *index,
                       .incarnation = replicas_[*index].incarnation,
                       .used_at = now});
    }
    if (item.is_saved) {
      prefixes_.NoteSaved(now, item.prefix);
    }
  }
}

uint64_t request_router::CacheScope(const request& item,
                                    std::string_view version) {
  const std::string& pool = item.info.cache_pool;
  uint64_t scope = Hash64(pool.empty() ? item.info.workspace : pool);
  scope = CombineHash(scope, Hash64(item.info.target));
  // Of the weights that the upstream has, not of those that it should have: a
  // cache made under others must never be found.
  return CombineHash(scope, Hash64(version));
}

void request_router::OnFirstByte(time_point now,
                                 const attempt_first_byte& event) {
  const auto found = attempts_.find(event.attempt);
  if (found == attempts_.end()) {
    return;
  }
  attempt& running = *requests_.at(found->second).running;
  if (!running.first_byte) {
    running.first_byte = now;
    replicas_.OnFirstByte(running.index, running.expected_tokens);
    if (requests_.at(found->second).info.prompt_tokens == 0) {
      replicas_.LearnFirstByte(running.index, now - running.sent);
    }
    // Of the whole prompt: that a prefix was not cached after all says nothing
    // about too many requests.
    const double computing = requests_.at(found->second).info.prompt_tokens /
                             replicas_[running.index].prefill_rate;
    replicas_.AdaptLimit(now, running.index, now - running.sent, computing);
  }
}

void request_router::LearnFromAnswer(time_point now,
                                     const request& item,
                                     const attempt& done,
                                     const attempt_ended& event) {
  replica& target = replicas_.at(done.index);
  if (done.first_byte) {
    replicas_.LearnAnswerTime(done.index, now - *done.first_byte);
  }
  for (const prefix_level& level : item.info.levels) {
    prefixes_.Touch(level.hash, {.index = done.index,
                                 .incarnation = target.incarnation,
                                 .used_at = now});
  }
  if (event.prompt_tokens == 0) {
    // The answer carries no counts, so the expectation stands for them.
    replicas_.LearnComputed(done.index, done.expected_tokens);
    if (done.unqueued && done.first_byte &&
        done.expected_tokens >= kLeastTokensToLearnFrom) {
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
  if (done.unqueued && done.first_byte && computed >= kLeastTokensToLearnFrom) {
    replicas_.LearnPrefillRate(done.index, computed,
                               *done.first_byte - done.sent);
  }
  const auto& levels = item.info.levels;
  if (!done.believed_age || item.info.prompt_tokens == 0) {
    return;
  }
  // How long the engine keeps what is not used: a hit at some age says at
  // least that long, a miss says less.
  const double scale =
      static_cast<double>(event.prompt_tokens) / item.info.prompt_tokens;
  const double shared = levels[levels.size() - 2].tokens * scale;
  const double age = ToSeconds(*done.believed_age);
  if (event.cached_tokens >= kHitShare * shared) {
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
  const attempt done = *std::exchange(item.running, std::nullopt);
  if (!done.first_byte) {
    replicas_.OnFirstByte(done.index, done.expected_tokens);
  }
  replicas_.OnEnd(done.index);
  meters_[item.info.target].OnCompletion(now);
  if (event.unreachable) {
    --item.arrivals;
  }
  if (event.result == outcome::kNotRun) {
    --item.runs;
  }
  if (event.result == outcome::kAnswered) {
    replicas_.OnAnswered(now, done.index, event.failed_in_run);
    LearnFromAnswer(now, item, done, event);
    ReportFinish(item, outcome::kAnswered, event.answer, out);
    ++counters_.answered;
    Erase(id);
  } else if (item.caller_gone && !item.once) {
    Erase(id);
  } else {
    if (event.refused_busy) {
      replicas_.OnBusy(now, done.index);
    } else if (event.failed_in_run) {
      replicas_.OnAnswered(now, done.index, true);
    } else {
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

bool request_router::MayRunAgain(const request& item,
                                 const attempt_ended& event) const {
  if (event.result == outcome::kNotRun) {
    return true;
  }
  const uint32_t limit = item.info.max_runs;
  return item.repeatable && (limit == 0 || item.runs < limit);
}

void request_router::Retry(time_point now,
                           request& item,
                           const attempt_ended& event,
                           action_list& out) {
  const request_id id = item.info.request;
  const bool is_safe = MayRunAgain(item, event);
  const bool is_useful = !event.answer_begun && now < item.deadline;
  if (!is_safe || !is_useful) {
    Refuse(id,
           {.status = kBadGateway,
            .retry_after_seconds = item.repeatable ? 1U : 0U,
            .message = "the upstream's answer broke off"},
           out);
    return;
  }
  const uint32_t runs_allowed = item.info.max_runs;
  if (runs_allowed != 0 && item.arrivals >= runs_allowed + kExtraArrivals) {
    Refuse(id,
           {.status = kUnavailable,
            .retry_after_seconds = 1,
            .message = "every upstream that was asked refused it",
            .retry_after = kUpstreamRetryAfter},
           out);
    return;
  }
  if (!event.unreachable && !BudgetOf(item.info.target).TrySpend()) {
    Refuse(id,
           {.status = kUnavailable,
            .retry_after_seconds = EstimateRetryAfter(now, item),
            .message = "upstreams fail and the retry budget is spent"},
           out);
    return;
  }
  ++counters_.retries;
  // With every replica tried, better any of them again than none.
  const eligible_replicas others = replicas_.ListEligible(
      now, item.info.target, AllowedDomains(item), item.excluded);
  if (others.indices.empty()) {
    item.excluded.clear();
  }
  Admit(now, item, out);
}

void request_router::OnCallerGone(time_point now,
                                  const caller_gone& event,
                                  action_list& out) {
  const auto found = requests_.find(event.request);
  if (found == requests_.end()) {
    return;
  }
  request& item = found->second;
  if (item.at != stage::kRunning) {
    queue_.Remove(event.request);
    Refuse(event.request, {.status = 499, .message = "the caller left"}, out);
    return;
  }
  item.caller_gone = true;
  if (item.once) {
    // It runs on: its answer is kept for the caller's repeat.
    return;
  }
  const attempt running = *std::exchange(item.running, std::nullopt);
  attempts_.erase(running.id);
  if (!running.first_byte) {
    replicas_.OnFirstByte(running.index, running.expected_tokens);
  }
  replicas_.OnEnd(running.index);
  out.push_back(cancel_attempt{.attempt = running.id});
  Erase(event.request);
  DrainQueue(now, out);
}

void request_router::ReportFinish(const request& item,
                                  outcome result,
                                  const recorded_answer& answer,
                                  action_list& out) const {
  if (!item.once || item.epoch == 0) {
    return;
  }
  const shard_number shard = ShardOf(item);
  if (const member* owner = members_.FindOwner(shard)) {
    out.push_back(send_peer{.to = owner->peer_address,
                            .message = finish_report{.shard = shard,
                                                     .key = item.key,
                                                     .result = result,
                                                     .answer = answer}});
  }
}

outcome request_router::JudgeRefused(const request& item) {
  if (item.may_have_run) {
    return outcome::kUnknown;
  }
  // "Not run" is about the order, which is the key. Unless the start was
  // granted, or the caller has never sent the key, an earlier request with it
  // may have run without this daemon's knowledge.
  const bool key_is_new = item.epoch != 0 || item.info.is_first_attempt;
  return item.once && !key_is_new ? outcome::kUnknown : outcome::kNotRun;
}

void request_router::Refuse(request_id id,
                            const refusal& why,
                            action_list& out) {
  request& item = requests_.at(id);
  const outcome result = JudgeRefused(item);
  const bool asked_for_start =
      item.once && item.config != nullptr && item.workspace != nullptr;
  if (asked_for_start && !item.may_have_run) {
    // Nothing ran under the key and, with the request gone, nothing will.
    ReleaseStart(item, out);
    abandoned_starts_[id] = {.shard = static_cast<shard_number>(
                                 item.key.high % options_.shard_count),
                             .key = item.key,
                             .host = options_.self.host,
                             .incarnation = options_.self.incarnation,
                             .request = id};
    if (abandoned_starts_.size() > kMaxAbandonedStarts) {
      abandoned_starts_.erase(abandoned_starts_.begin());
    }
  } else if (item.epoch != 0) {
    ReportFinish(item, outcome::kUnknown, {}, out);
  }
  ++(result == outcome::kNotRun ? counters_.not_run : counters_.unknown);
  out.push_back(answer_request{.request = id,
                               .result = result,
                               .status = why.status,
                               .retry_after_seconds = why.retry_after_seconds,
                               .retry_after = why.retry_after,
                               .message = why.message,
                               .recorded = {}});
  Erase(id);
}

void request_router::Erase(request_id id) {
  const auto found = requests_.find(id);
  if (found->second.counted) {
    limiter_.OnEnd(found->second.workspace_hash);
  }
  requests_.erase(found);
}

void request_router::OnUpstreamReport(time_point now,
                                      const upstream_report& report,
                                      action_list& out) {
  replicas_.OnReport(now, report);
  DrainQueue(now, out);
}

void request_router::OnUpstreamLoad(time_point now, const upstream_load& load) {
  replicas_.OnLoad(now, load);
}

void request_router::OnUpstreamChanging(const upstream_changing& event) {
  replicas_.SetChanging(event);
}

void request_router::ExpireStarts(time_point now, action_list& out) {
  std::vector<request_id> late;
  for (auto& [id, item] : requests_) {
    if (item.at != stage::kStarting) {
      continue;
    }
    if (IsStartOver(now, item)) {
      late.push_back(id);
    } else if (now >= item.next_start_request) {
      SendStartRequest(now, item, out);
    }
  }
  for (const request_id id : late) {
    RefuseLateStart(id, out);
  }
}

void request_router::RefuseLateStart(request_id id, action_list& out) {
  Refuse(id,
         {.status = kUnavailable,
          .retry_after_seconds = kStartRetrySeconds,
          .message = "the start could not be recorded in time"},
         out);
}

void request_router::OnTick(time_point now, action_list& out) {
  replicas_.SetFleetSize(members_.CountServing());
  replicas_.ExpirePeerBacklogs(now);
  for (const waiting_request& expired : queue_.TakeExpired(now)) {
    const request& item = requests_.at(expired.request);
    Refuse(expired.request,
           {.status = kUnavailable,
            .retry_after_seconds = EstimateRetryAfter(now, item),
            .message = "no upstream had room in time"},
           out);
  }
  ExpireStarts(now, out);
  ExpireOldWeights(now, out);
  DrainQueue(now, out);
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
    // It waits in an engine's queue. Whether it has begun is not known, so
    // what may not be repeated is told so.
    out.push_back(cancel_attempt{.attempt = id});
    OnAttemptEnded(now,
                   {.attempt = id,
                    .result = outcome::kUnknown,
                    .failed_in_run = true,
                    .answer = {}},
                   out);
  }
}

void request_router::FillStatus(core_status& status) const {
  status.counters = counters_;
  status.waiting = queue_.size();
  status.running = attempts_.size();
  status.known_prefixes = prefixes_.size();
  for (const replica_index index : replicas_.configured()) {
    const replica& item = replicas_[index];
    status.upstreams.push_back({.name = item.spec.name,
                                .reachable = item.reachable,
                                .leaving = item.leaving || item.spec.leaving,
                                .reported = item.reported,
                                .incarnation = item.incarnation,
                                .in_flight = item.in_flight,
                                .limit = item.limit,
                                .prefill_rate = item.prefill_rate,
                                .retention_seconds = item.retention_seconds});
  }
}

}  // namespace cuminswitch
