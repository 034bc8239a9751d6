#include "cuminswitch/Core/request_router.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "cuminswitch/Protocol/shard_directory.h"
#include "cuminswitch/Support/status_code.h"
#include "router_constants.h"

namespace cuminswitch {

/// Values of `placement_query::reuse_weight`, by routing objective: the cost of
/// recomputing a rarely used prefix as a multiple of the time that it takes.
static constexpr double kFirstTokenReuseWeight = 3.0;
static constexpr double kReuseReuseWeight = 6.0;
/// Batch requests are not urgent, so they go to the replica with their prefix
/// even if they have to wait there.
static constexpr double kBatchReuseWeight = 12.0;
static constexpr duration kQuarantineExpiryInterval = std::chrono::seconds(1);

request_router::request_router(const options& opts,
                               const shard_directory& members)
    : options_(opts),
      members_(members),
      policy_(MakePlacementPolicy(opts.policy, opts.random_seed)),
      replicas_(opts.replicas),
      prefixes_({.capacity = opts.prefix_capacity}),
      quarantine_(opts.quarantine) {
  assert(policy_ != nullptr && "settings name an unknown routing policy");
  // Attempt numbers of an earlier incarnation of this daemon must not be
  // reused: a late response to one would be taken for the response to a new
  // request.
  next_attempt_ = opts.self.incarnation << 20;
  if (opts.is_capacity_scarce) {
    StartPooling();
  }
}

void request_router::UpdateFleetSize() {
  const size_t size = members_.CountServing();
  replicas_.SetFleetSize(size);
  copy_budget_.SetFleetSize(size);
}

void request_router::OnConfiguration(
    time_point now,
    std::shared_ptr<const configuration> config,
    action_list& out) {
  config_ = std::move(config);
  UpdateFleetSize();
  PrepareWaitingLevels();
  replicas_.Reconfigure(now, *config_);
  DrainQueue(now, out);
}

void request_router::OnRoutingConfig(
    time_point now,
    std::shared_ptr<const configuration> config,
    action_list& out) {
  config_ = std::move(config);
  UpdateFleetSize();
  PrepareWaitingLevels();
  replicas_.SetModels(now, config_->models);
  DrainQueue(now, out);
}

void request_router::OnUpstreams(time_point now,
                                 std::span<const upstream_update> updates,
                                 action_list& out) {
  for (const upstream_update& update : updates) {
    if (update.is_removed) {
      replicas_.RemoveUpstream(update.spec.name);
      continue;
    }
    replicas_.SetUpstream(now, update.spec);
    replicas_.OnReport(now, update.report);
  }
  DrainQueue(now, out);
}

std::optional<request_router::refusal> request_router::Check(
    const request& item) const {
  if (admission_closed_) {
    return refusal{.status = status_code::kUnavailable,
                   .retry_after_seconds = 1,
                   .message = "this host is leaving"};
  }
  if (config_ == nullptr) {
    return refusal{.status = status_code::kUnavailable,
                   .retry_after_seconds = 1,
                   .message = "no configuration is in force yet"};
  }
  const std::string& name = item.info.target;
  if (item.workspace == nullptr) {
    return refusal{.status = status_code::kNotFound,
                   .message = "unknown workspace " + item.info.workspace};
  }
  if (config_->FindModel(name) == nullptr &&
      config_->FindService(name) == nullptr) {
    return refusal{.status = status_code::kNotFound,
                   .message = "unknown model or service " + name};
  }
  const auto& uses = item.workspace->uses;
  if (std::find(uses.begin(), uses.end(), name) == uses.end()) {
    return refusal{.status = status_code::kForbidden,
                   .message = "the workspace may not use " + name};
  }
  return std::nullopt;
}

void request_router::PrepareLevels(request& item) const {
  // Pools, models and adapters are part of the hashes, so that no lookup
  // crosses them. Weights versions are not, since a replica's incarnation
  // distinguishes them. With versions in the hashes, each publication of a
  // version moved all prefixes to new preferred replicas and hid what the
  // replicas with the older weights had cached, during the seconds in which
  // these still served most requests.
  const uint64_t scope = CacheScope(item, {});
  if (scope == item.scope) {
    return;
  }
  item.scope = scope;
  item.levels = item.info.levels;
  for (prefix_level& level : item.levels) {
    level.hash = CombineHash(scope, level.hash);
  }
}

void request_router::PrepareWaitingLevels() {
  for (auto& [id, item] : requests_) {
    if (!item.running) {
      PrepareLevels(item);
    }
  }
}

void request_router::OnRequest(time_point now,
                               const request_arrived& event,
                               action_list& out) {
  ++counters_.requests;
  request& item = requests_[event.request];
  item.info = event;
  item.software = event.software;
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
  if (event.prompt_tokens > 0) {
    prompt_lengths_.CountPrompt(now, event.prompt_tokens);
  }
  if (!item.once) {
    Admit(now, item, out);
    return;
  }
  item.current_stage = stage::kAwaitingStart;
  item.start_deadline = std::min(item.deadline, now + options_.start_timeout);
  item.key = Hash128(event.idempotency_key, item.workspace_hash);
  SendStartRequest(now, item, out);
  if (IsStartOver(now, item)) {
    RefuseLateStart(event.request, out);
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

retry_budget& request_router::RetryBudgetFor(const std::string& target) {
  const auto [found, is_new] = retries_.try_emplace(target, options_.retries);
  largest_fleet_ = std::max(largest_fleet_, members_.CountServing());
  found->second.SetFleetSize(static_cast<double>(largest_fleet_));
  return found->second;
}

waiting_request request_router::MakeWaiting(const request& item) const {
  // Requests that may go to one software version only have a queue of their
  // own: they neither hold up the others nor wait behind them.
  return {
      .request = item.info.request,
      .target = item.software == kAnySoftware
                    ? item.info.target
                    : std::to_string(item.software) + "/" + item.info.target,
      .priority = PriorityOf(item),
      .workspace_hash = item.workspace_hash,
      .arrived = ArrivedAt(item),
      .deadline = item.deadline};
}

void request_router::Admit(time_point now, request& item, action_list& out) {
  item.current_stage = stage::kQueued;
  // A new request does not overtake queued ones that are equally urgent.
  const bool is_first = queue_.CountAhead(MakeWaiting(item)) == 0;
  if (TryPlace(
          now, item,
          is_first ? queue_position::kFirst : queue_position::kBehindOthers,
          out)) {
    return;
  }
  Enqueue(now, item, out);
}

eligible_replicas request_router::ListEligible(
    time_point now,
    const request& item,
    std::span<const replica_index> excluded) const {
  return replicas_.ListEligible(now, item.info.target, AllowedDomains(item),
                                excluded, item.software);
}

bool request_router::HasUpstream(
    time_point now,
    const request& item,
    std::span<const replica_index> excluded) const {
  return !ListEligible(now, item, excluded).indices.empty();
}

void request_router::Enqueue(time_point now, request& item, action_list& out) {
  if (RefuseIfVersionGone(now, item, {}, out)) {
    return;
  }
  if (options_.refuse_without_upstream &&
      !HasUpstream(now, item, item.excluded)) {
    if (RefuseOrPostpone(now, item,
                         {.status = status_code::kUnavailable,
                          .retry_after_seconds = 1,
                          .message = "no upstream can take it now",
                          .retry_after = kUpstreamRetryAfter},
                         out)) {
      ++counters_.shed;
    }
    return;
  }
  if (EstimateWaitSeconds(now, item) > MaxWaitSeconds(now, item)) {
    if (RefuseOrPostpone(now, item,
                         {.status = status_code::kTooManyRequests,
                          .retry_after_seconds = EstimateRetryAfter(now, item),
                          .message = "too many requests are waiting"},
                         out)) {
      ++counters_.shed;
    }
    return;
  }
  queue_.Push(MakeWaiting(item));
}

placement request_router::ChoosePlacement(time_point now,
                                          const request& item,
                                          const eligible_replicas& eligible) {
  // Requests without a prompt go to services, which have no length classes.
  if (item.info.prompt_tokens > 0) {
    short_share_ =
        prompt_lengths_.ShortShare(now, replicas_.CountSlots(item.info.target));
  }
  return policy_->Choose(
      {.now = now,
       .levels = item.levels,
       .prompt_tokens = item.info.prompt_tokens,
       .eligible = eligible.indices,
       .has_free_slot = eligible.has_free_slot,
       .penalty_seconds = eligible.penalty_seconds,
       .weights = eligible.weights,
       .replicas = replicas_,
       .prefixes = prefixes_,
       .failure_domain = options_.self.failure_domain,
       .copy_rate = CopyRate(item),
       .reuse_weight = ReuseWeight(item),
       .short_share = short_share_,
       .is_long = prompt_lengths_.IsLong(now, item.info.prompt_tokens)});
}

bool request_router::TryPlace(time_point now,
                              request& item,
                              queue_position position,
                              action_list& out) {
  if (RefuseIfQuarantined(now, item, out)) {
    return true;
  }
  if (!item.is_counted_in_flight &&
      !limiter_.IsWithinLimit(now, item.workspace_hash,
                              item.workspace->max_in_flight)) {
    return false;
  }
  const eligible_replicas eligible = ListEligible(now, item, item.excluded);
  if (eligible.indices.empty()) {
    return false;
  }
  const placement chosen = ChoosePlacement(now, item, eligible);
  // The requests ahead of it in the queue go to the same replicas.
  const double local_queue_seconds =
      position == queue_position::kFirst ? 0 : EstimateWaitSeconds(now, item);
  if (ShedIfLate(now, item, chosen, local_queue_seconds, out)) {
    return true;
  }
  if (position == queue_position::kBehindOthers) {
    if (replicas_[chosen.index].rejection_limit) {
      replicas_.CountQueued(chosen.index, ArrivedAt(item));
    }
    return false;
  }
  if (chosen.must_wait) {
    if (RefuseIfClosed(now, item, chosen, out)) {
      return true;
    }
    replicas_.CountQueued(chosen.index, ArrivedAt(item));
    return false;
  }
  if (RefuseIfTooLate(now, item, chosen, out)) {
    return true;
  }
  SendOrRequestPermit(now, item, chosen, eligible, out);
  return true;
}

prompt_mix request_router::OwnMix(time_point now) const {
  prompt_mix mix = prompt_lengths_.LocalMix(now);
  mix.reserves_engines = short_share_ > 0;
  return mix;
}

void request_router::DrainQueue(time_point now, action_list& out) {
  replicas_.ClearQueued();
  if (replicas_.HasRejectionLimits()) {
    CountPostponed(now);
  }
  if (queue_.size() == 0) {
    return;
  }
  queue_.Drain([&](const waiting_request& waiting) {
    return TryPlace(now, requests_.at(waiting.request), queue_position::kFirst,
                    out);
  });
}

void request_router::OnCallerDisconnected(time_point now,
                                          const caller_disconnected& event,
                                          action_list& out) {
  const auto found = requests_.find(event.request);
  if (found == requests_.end()) {
    return;
  }
  request& item = found->second;
  if (item.current_stage != stage::kRunning) {
    queue_.Remove(event.request);
    Refuse(event.request, {.status = 499, .message = "the caller left"}, out);
    return;
  }
  item.caller_disconnected = true;
  if (item.once) {
    // It continues, and its response is recorded for a repeated request.
    return;
  }
  const attempt running = *std::exchange(item.running, std::nullopt);
  attempts_.erase(running.id);
  if (!running.first_byte) {
    replicas_.OnFirstByte(running.index, running.expected_tokens);
    AddWaitingWork(item, running, -1);
  }
  replicas_.OnEnd(running.index);
  replicas_.OnCancelled(now, running.index);
  out.push_back(cancel_attempt{.attempt = running.id});
  Erase(event.request);
  DrainQueue(now, out);
}

void request_router::Erase(request_id id) {
  const auto found = requests_.find(id);
  if (found->second.keeps_permit) {
    replicas_.ReturnKeptPermit(found->second.pending_placement.index);
  }
  if (found->second.is_counted_in_flight) {
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

void request_router::OnTick(time_point now, action_list& out) {
  UpdateFleetSize();
  replicas_.ExpirePeerBacklogs(now);
  replicas_.ExpireObservations(now);
  if (now >= next_quarantine_expiry_) {
    next_quarantine_expiry_ = now + kQuarantineExpiryInterval;
    quarantine_.Expire(now);
  }
  for (const waiting_request& expired : queue_.TakeExpired(now)) {
    const request& item = requests_.at(expired.request);
    Refuse(expired.request,
           {.status = status_code::kUnavailable,
            .retry_after_seconds = EstimateRetryAfter(now, item),
            .message = "no upstream had room in time"},
           out);
  }
  ExpireStarts(now, out);
  ExpireOldWeights(now, out);
  RetryPostponed(now, out);
  DrainQueue(now, out);
}

void request_router::FillStatus(core_status& status) const {
  status.counters = counters_;
  status.waiting = queue_.size();
  status.running = attempts_.size();
  status.known_prefixes = prefixes_.size();
  status.short_share = short_share_;
  status.suspected_requests = quarantine_.size();
  status.quarantined_requests = quarantine_.CountQuarantined();
  status.budget_daemons = largest_fleet_;
  if (const auto& observations = replicas_.observations()) {
    status.refusing_upstreams = observations->CountRefusing();
  }
  for (const auto& [target, budget] : retries_) {
    const retry_budget::usage used = budget.Usage();
    status.retries.push_back(
        {.target = target, .retries = used.retries, .allowed = used.allowed});
  }
  for (const replica_index index : replicas_.configured()) {
    const replica& item = replicas_[index];
    status.upstreams.push_back(
        {.name = item.spec.name,
         .reachable = item.reachable,
         .leaving = item.leaving || item.spec.leaving || item.announced_leaving,
         .reported = item.reported,
         .incarnation = item.incarnation,
         .in_flight = item.in_flight,
         .limit = item.limit,
         .prefill_rate = item.prefill_rate,
         .retention_seconds = item.retention_seconds,
         .rate_limit = limits_.Find(item.name_hash),
         .rejection_limit = item.rejection_limit,
         .rejections = item.rejections});
  }
}

}  // namespace cuminswitch
