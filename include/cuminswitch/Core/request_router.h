/// \file
/// Routing of requests to upstreams, from arrival to result.
#ifndef CUMINSWITCH_CORE_REQUEST_ROUTER_H_
#define CUMINSWITCH_CORE_REQUEST_ROUTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cuminswitch/Admission/class_pressure.h"
#include "cuminswitch/Admission/drain_meter.h"
#include "cuminswitch/Admission/request_quarantine.h"
#include "cuminswitch/Admission/retry_budget.h"
#include "cuminswitch/Admission/upstream_limits.h"
#include "cuminswitch/Admission/wait_queue.h"
#include "cuminswitch/Admission/workspace_limiter.h"
#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Core/core_status.h"
#include "cuminswitch/Protocol/admission_report.h"
#include "cuminswitch/Protocol/concurrency_message.h"
#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Protocol/postponed_response.h"
#include "cuminswitch/Protocol/send_permit.h"
#include "cuminswitch/Protocol/upstream_observation.h"
#include "cuminswitch/Routing/copy_budget.h"
#include "cuminswitch/Routing/placement_policy.h"
#include "cuminswitch/Routing/placement_query.h"
#include "cuminswitch/Routing/prefix_index.h"
#include "cuminswitch/Routing/prompt_length_classifier.h"
#include "cuminswitch/Routing/replica_table.h"

namespace cuminswitch {

class shard_directory;
struct urgency_query;

/// The current state of an upstream, or its removal.
struct upstream_update {
  upstream_spec spec;
  upstream_report report;
  /// The upstream was removed; only `spec.name` is used.
  bool is_removed = false;
};

/// Admits requests, obtains the start grant for those that may run at most
/// once, places them at upstreams, retries them if that is safe, and reports
/// each one's result: answered, not run, or unknown.
class request_router {
 public:
  struct options {
    /// This daemon, as identified in start requests.
    member self;
    std::string policy = "prefix_cost";
    uint64_t random_seed = 0;
    size_t prefix_capacity = 131'072;
    shard_number shard_count = 16;
    /// How long to wait for the start grant of an at-most-once request.
    duration start_timeout = std::chrono::seconds(5);
    /// Applies to each target separately.
    retry_budget::options retries;
    replica_table::options replicas;
    /// Refuse a request at once if no upstream is eligible; otherwise it is
    /// queued until its deadline.
    bool refuse_without_upstream = false;
    /// Record placements for `TakePlacedPrefixes`.
    bool reports_placements = false;
    /// The deployment's callers compete for less capacity than they ask for:
    /// the daemons share it out together.
    bool is_capacity_scarce = false;
    request_quarantine::options quarantine;
  };

  request_router(const options& opts, const shard_directory& members);

  void OnConfiguration(time_point now,
                       std::shared_ptr<const configuration> config,
                       action_list& out);
  /// Puts \p config into force except for its upstreams, which are set by
  /// `OnUpstreams`.
  void OnRoutingConfig(time_point now,
                       std::shared_ptr<const configuration> config,
                       action_list& out);
  /// Applies added, changed and removed upstreams.
  void OnUpstreams(time_point now,
                   std::span<const upstream_update> updates,
                   action_list& out);
  void OnRequest(time_point now,
                 const request_arrived& event,
                 action_list& out);
  void OnCallerDisconnected(time_point now,
                            const caller_disconnected& event,
                            action_list& out);
  void OnFirstByte(time_point now, const attempt_first_byte& event);
  void OnAttemptEnded(time_point now,
                      const attempt_ended& event,
                      action_list& out);
  void OnUpstreamReport(time_point now,
                        const upstream_report& report,
                        action_list& out);
  void OnUpstreamLoad(time_point now, const upstream_load& load);
  /// Applies a peer's report of its placements, backlogs and traffic.
  void OnPeerPlacements(time_point now, const peer_placements& report);
  /// Applies a peer's recent observations of upstreams.
  void OnPeerObservations(time_point now,
                          std::span<const upstream_observation> observations);
  /// Records that the upstream of \p attempt responded to it. Of \p load, only
  /// the counts, slots and work percentage are used.
  void OnResponse(time_point now,
                  attempt_id attempt,
                  const upstream_observation& load);
  /// Returns the refusals that began or ended since the last call; the first
  /// ones if there are many.
  std::vector<refusal_change> TakeRefusalChanges();
  /// Returns this daemon's recent observations of upstreams; none unless the
  /// deployment or an upstream calls for them.
  std::vector<upstream_observation> ListObservations(time_point now) const;
  /// Applies a peer's report about its admissions.
  void OnPeerAdmissions(time_point now,
                        const std::string& peer,
                        const admission_report& report);
  /// Returns this daemon's report about its admissions; empty unless capacity
  /// is scarce.
  admission_report ReportAdmissions(time_point now) const;
  /// Returns the shared prefixes that were placed since the last call.
  std::vector<placed_prefix> TakePlacedPrefixes() {
    return std::exchange(placed_prefixes_, {});
  }
  /// The share of the engines that is reserved for short prompts, 0 to 1.
  double short_share() const { return short_share_; }
  /// This daemon's recent traffic, for its peers.
  prompt_mix OwnMix(time_point now) const;
  std::vector<upstream_backlog> ListBacklogs() {
    return replicas_.ListBacklogs();
  }
  void OnUpstreamChanging(const upstream_changing& event);
  /// See `replica_table`.
  std::vector<weights_publication> ListPublications(time_point now) const {
    return replicas_.ListPublications(now);
  }
  std::vector<weights_publication> LearnPublications(
      std::span<const weights_publication> learned) {
    return replicas_.LearnPublications(learned);
  }
  bool LacksPublications() const { return replicas_.LacksPublications(); }
  /// Whether the running request \p id may be retried at another upstream, and
  /// one accepts requests now.
  bool CanRetryElsewhere(time_point now, request_id id);
  /// Reserves a retry and a free upstream for the running request \p id, whose
  /// upstream is unresponsive. Returns whether that was possible; if so, the
  /// attempt must be ended in the same call of the event loop.
  bool ReserveRetry(time_point now, request_id id);
  /// Whether the upstream of \p attempt still accepts requests and has the
  /// weights for which it was chosen, and the cache scope is still the same.
  bool MayStillSend(time_point now, attempt_id attempt) const;
  void OnStartReply(time_point now, const start_reply& reply, action_list& out);
  void OnTick(time_point now, action_list& out);
  /// Sets whether the platform replied to the last call. While it does not, a
  /// shard without an owner gets none.
  void SetPlatformReachable(bool reachable) { platform_reachable_ = reachable; }
  /// Makes the router refuse all new requests.
  void CloseAdmission() { admission_closed_ = true; }

  bool IsIdle() const { return requests_.empty(); }
  workspace_limiter& limiter() { return limiter_; }
  /// Returns the permit requests for upstreams with a rate limit that were made
  /// since the last call. Each must be answered through `OnPermit`.
  std::vector<permit_request> TakePermitRequests() {
    return std::exchange(permit_requests_, {});
  }
  /// Returns the postponements since the last call.
  std::vector<postponed_response> TakePostponements() {
    return std::exchange(postponements_, {});
  }
  /// Returns the permits that were granted but not used since the last call.
  std::vector<permit_return> TakeUnusedPermits() {
    return std::exchange(unused_permits_, {});
  }
  void OnPermit(time_point now, const permit_reply& reply, action_list& out);
  /// Applies the rate limit in an upstream's response to a request that was
  /// sent at \p sent.
  upstream_limits::change OnLimit(time_point now,
                                  uint64_t upstream,
                                  time_point sent,
                                  const limit_notice& notice);
  /// Applies a peer's update about an upstream's rate limit.
  upstream_limits::change OnPeerLimit(time_point now,
                                      const limit_update& update);
  /// Ends rate limits that no response has renewed for long; returns the hashes
  /// of their upstreams' names.
  std::vector<uint64_t> ExpireLimits(time_point now);
  /// Forgets the rate limit of an upstream that has restarted.
  upstream_limits::change ForgetLimit(uint64_t upstream);
  /// Sets how many rejections per second the upstreams of \p service survive;
  /// nothing if they do not advertise that. While they do, each request needs a
  /// permit.
  void SetRejectionLimit(time_point now,
                         const std::string& service,
                         std::optional<uint32_t> limit,
                         action_list& out);
  /// Whether any service advertises a rejection limit.
  bool HasRejectionLimits() const { return replicas_.HasRejectionLimits(); }
  /// Returns what this daemon holds and wants at upstreams that need permits.
  /// Unused permits are given up.
  std::vector<concurrency_demand> TakeConcurrencyDemands(time_point now);
  /// Uses permits that were granted.
  void OnConcurrencyPermits(time_point now,
                            std::span<const permit_change> changes,
                            action_list& out);
  /// The upstream of \p attempt has begun to respond to it.
  void OnResponseStarted(attempt_id attempt);
  /// The upstream of \p attempt refused it and requested a backoff of \p time.
  void OnBackoffRequested(time_point now, attempt_id attempt, duration time);
  /// The upstream of \p attempt reported that it is leaving. Returns whether
  /// this changes its state.
  bool OnUpstreamLeaving(attempt_id attempt);
  /// The quarantine of requests that crash upstreams, to which reports of peers
  /// and of the store are applied.
  request_quarantine& quarantine() { return quarantine_; }
  const request_quarantine& quarantine() const { return quarantine_; }
  /// The name of the upstream whose name has \p hash; empty if unknown.
  std::string_view FindUpstreamName(uint64_t hash) const;
  /// The rate limits that upstreams advertise.
  const upstream_limits& limits() const { return limits_; }
  core_counters& counters() { return counters_; }
  void FillStatus(core_status& status) const;

 private:
  enum class stage : uint8_t {
    kAwaitingStart,
    kQueued,
    kAwaitingPermit,
    /// Its response has begun, and no upstream can go on with it now.
    kPostponed,
    kRunning
  };

  struct attempt {
    attempt_id id = 0;
    replica_index index = 0;
    /// See `UpstreamStartId`.
    uint64_t upstream_start = 0;
    /// The upstream's incarnation when the attempt was placed there.
    uint64_t incarnation = 0;
    /// Prompt tokens that are expected not to be cached at the upstream.
    double expected_tokens = 0;
    time_point sent{};
    /// Expected time from `sent` to the first byte, estimated at dispatch.
    duration expected_wait{0};
    /// The part of it that is the prefill of its own prompt.
    duration expected_prefill{0};
    /// The cache store from which the engine was to copy prefixes, if any.
    std::optional<endpoint> copied_from_store;
    std::optional<time_point> first_byte;
    /// The prompt is longer than the mean.
    bool is_long = false;
    /// The weights version at the replica when the attempt was placed there.
    std::string version;
    /// The scope under which the upstream is to cache the prompt.
    uint64_t cache_scope = 0;
    /// It was sent with a permit for the requests in flight.
    bool has_permit = false;
    /// The replica had no queue, so the time to first byte shows its prefill
    /// rate.
    bool queue_was_empty = false;
    /// Time since the last use of the shared level at this replica, if this
    /// daemon assumed that it was cached there.
    std::optional<duration> assumed_cached_age;
  };

  struct request {
    request_arrived info;
    stage current_stage = stage::kQueued;
    uint64_t workspace_hash = 0;
    /// Hash of what separates its `levels` from those of other requests.
    uint64_t scope = 0;
    /// The prompt's levels, with hashes that include the scope.
    std::vector<prefix_level> levels;
    std::shared_ptr<const configuration> config;
    const workspace_spec* workspace = nullptr;
    /// It has an idempotency key and runs at most once per key.
    bool once = false;
    /// Whether it may be retried if an attempt's result is unknown.
    bool repeatable = true;
    /// The result of an attempt is unknown: it may have run the request.
    bool may_have_run = false;
    /// It is sent to try a quarantined part of its prompt.
    bool is_trial = false;
    /// Counted in the workspace's requests in flight.
    bool is_counted_in_flight = false;
    /// A part of its response has reached the caller.
    bool has_begun = false;
    bool caller_disconnected = false;
    time_point deadline{};
    time_point start_deadline{};
    time_point next_start_request{};
    /// When to retry it; valid in `stage::kPostponed`.
    time_point next_retry{};
    /// How often it would have been refused had its response not begun.
    uint32_t refusals = 0;
    /// Epoch of the shard's owner that granted the start; 0 before.
    epoch_number epoch = 0;
    key_hash key;
    /// The only software version at which it may run, since it resumes a stream
    /// or its response has begun; `kAnySoftware` before.
    software_tag software = kAnySoftware;
    /// Replicas at which attempts have failed.
    std::vector<replica_index> excluded;
    /// Number of attempts that reached an upstream, and of those that may have
    /// run.
    uint32_t arrivals = 0;
    uint32_t runs = 0;
    std::optional<attempt> running;
    /// The placement to use once its permit is granted; valid in
    /// `stage::kAwaitingPermit`.
    placement pending_placement;
    /// A permit for the requests in flight at the pending placement is kept for
    /// it; valid in `stage::kAwaitingPermit`.
    bool keeps_permit = false;
    /// Where it goes when its attempt ends, with a retry that is spent already.
    std::optional<placement> reserved_move;
  };

  /// The response to a request that ends without an upstream's response.
  struct refusal {
    uint32_t status = 503;
    uint32_t retry_after_seconds = 0;
    std::string message;
    duration retry_after{0};
    /// The wait estimate, if it is refused because it would be late.
    std::optional<expected_wait> wait;
    /// The quarantined part of the prompt, if that is the reason.
    std::optional<hash128> quarantined_part;
  };

  std::optional<refusal> Check(const request& item) const;
  /// Sets the levels for the cache pool that the configuration in force assigns
  /// to the request's workspace.
  void PrepareLevels(request& item) const;
  /// Does the same for all requests that are not running. A running one keeps
  /// its levels, which its upstream caches under its attempt's scope.
  void PrepareWaitingLevels();
  /// Hash of everything that separates caches in the configuration in force:
  /// the workspace's cache pool, the target, its adapter, and the weights
  /// \p version.
  uint64_t CacheScope(const request& item, std::string_view version) const;
  void SendStartRequest(time_point now, request& item, action_list& out);
  /// Cancels attempts without a first byte at replicas whose weights were
  /// superseded too long ago.
  void ExpireOldWeights(time_point now, action_list& out);
  /// Refuses requests whose start grant timed out or cannot be given, and
  /// repeats the start requests of the others.
  void ExpireStarts(time_point now, action_list& out);
  bool IsStartOver(time_point now, const request& item) const;
  void RefuseLateStart(request_id id, action_list& out);
  /// Whether the shard has no owner that could grant the start, and none can
  /// appear before the platform is reachable again.
  bool IsStartHopeless(const request& item) const;
  shard_number ShardOf(const request& item) const;
  void ReleaseStart(const request& item, action_list& out) const;
  void Admit(time_point now, request& item, action_list& out);
  void Enqueue(time_point now, request& item, action_list& out);
  /// Whether a request may be sent now, or only after others in the queue.
  enum class queue_position : uint8_t { kFirst, kBehindOthers };
  /// Returns whether the request was sent or refused, or awaits a permit, and
  /// so need not be queued.
  bool TryPlace(time_point now,
                request& item,
                queue_position position,
                action_list& out);
  /// A hash of the request as a fraction from 0 to 1. It is the same at each
  /// call, so that repeated checks do not add up to a higher chance of refusal.
  static double HashFraction(const request& item);
  /// Identifies one start of an upstream: a hash of its name and its start.
  static uint64_t UpstreamStartId(const replica& item);
  /// Sheds the request, with a chance that grows with its expected lateness, to
  /// spare capacity for others. It waits \p local_queue_seconds in this daemon
  /// before it can be sent to the replica \p chosen.
  bool ShedIfLate(time_point now,
                  const request& item,
                  const placement& chosen,
                  double local_queue_seconds,
                  action_list& out);
  /// Returns what decides on a request while capacity is scarce.
  urgency_query DescribeUrgency(time_point now,
                                const request& item,
                                expected_wait& wait);
  /// Returns the time until the replica begins the request's prefill.
  double EstimateTurnSeconds(time_point now,
                             const request& item,
                             replica_index index) const;
  /// Adds the prefill to the waiting work; subtracts it with \p sign -1.
  void AddWaitingWork(const request& item, const attempt& running, double sign);
  /// Sends the request to the replica \p chosen, or first requests a permit if
  /// that has a rate limit.
  void SendOrRequestPermit(time_point now,
                           request& item,
                           const placement& chosen,
                           const eligible_replicas& eligible,
                           action_list& out);
  /// Whether the request, or a part of its prompt, is quarantined.
  bool IsQuarantined(time_point now, const request& item);
  /// Refuses the request if it is quarantined because it crashes upstreams.
  bool RefuseIfQuarantined(time_point now, request& item, action_list& out);
  /// Records in the quarantine that an attempt lost its connection or was
  /// completed.
  void RecordCrash(time_point now,
                   const request& item,
                   const attempt& done,
                   const attempt_ended& event);
  /// Refuses the request if even the replica \p chosen accepts nothing before
  /// its deadline, because of a rate limit or a requested backoff.
  bool RefuseIfClosed(time_point now,
                      request& item,
                      const placement& chosen,
                      action_list& out);
  /// Releases an unused permit if the upstream still has a rate limit.
  void ReturnPermit(const permit_reply& reply);
  /// On a change of an upstream's rate limit, ends the wait for a send slot
  /// that was announced under the previous limit.
  void OnLimitChange(uint64_t upstream, upstream_limits::change what);
  void Dispatch(time_point now,
                request& item,
                const placement& chosen,
                std::span<const replica_index> eligible,
                action_list& out);
  void DrainQueue(time_point now, action_list& out);
  void LearnFromResponse(time_point now,
                         const request& item,
                         const attempt& done,
                         const attempt_ended& event);
  void Retry(time_point now,
             request& item,
             const attempt_ended& event,
             action_list& out);
  /// Refuses a request that no upstream takes now. If its response has begun,
  /// its caller would lose that; it is postponed instead while an upstream may
  /// go on with it later. Returns whether the request was refused.
  bool RefuseOrPostpone(time_point now,
                        request& item,
                        const refusal& why,
                        action_list& out);
  /// Whether an upstream may go on later with the begun response.
  bool CanPostpone(time_point now, const request& item) const;
  void Postpone(time_point now,
                request& item,
                duration delay,
                const std::string& reason);
  /// Retries the postponed requests that an upstream can go on with now.
  void RetryPostponed(time_point now, action_list& out);
  /// Returns how long to reserve a slot at \p index before the request is sent
  /// there; 0 for not at all. In its queue, the request could begin too late on
  /// superseded weights if this daemon fails, or would have to be cancelled.
  duration ReservationTime(time_point now,
                           const request& item,
                           replica_index index) const;
  /// Returns the upstreams that are sound and have a free slot, apart from
  /// those in \p excluded.
  eligible_replicas ListFree(time_point now,
                             const request& item,
                             std::span<const replica_index> excluded) const;
  /// Returns the upstreams that the running request could move to now.
  eligible_replicas ListMoveTargets(time_point now, const request& item);
  placement ChoosePlacement(time_point now,
                            const request& item,
                            const eligible_replicas& eligible);
  /// Whether a further upstream may be asked.
  static bool MayArriveAgain(const request& item);
  /// Whether an upstream, apart from those in \p excluded, is sound and has a
  /// free slot.
  bool HasFreeUpstream(time_point now,
                       const request& item,
                       std::span<const replica_index> excluded) const;
  /// Starts to pool observations with the peers.
  void StartPooling();
  /// Records what the upstream of \p from did, for this daemon and its peers.
  void Observe(time_point now,
               const attempt& from,
               upstream_refusal refusal,
               const upstream_observation& load = {});
  /// Records a prefix that a peer placed at the upstream \p index.
  void RecordPeerPlacement(time_point now,
                           replica_index index,
                           const placed_prefix& placed);
  void Refuse(request_id id, const refusal& why, action_list& out);
  /// The result of a request that ends without an upstream's response.
  static outcome ClassifyRefused(const request& item);
  void ReportFinish(const request& item,
                    outcome result,
                    const recorded_response& response,
                    action_list& out) const;
  void Erase(request_id id);
  std::span<const std::string> AllowedDomains(const request& item) const;
  priority_class PriorityOf(const request& item) const;
  retry_budget& RetryBudgetFor(const std::string& target);
  /// Returns the attempt \p id; null if it has ended.
  const attempt* FindAttempt(attempt_id id) const;
  /// Returns the replica of \p attempt; null if the attempt has ended or the
  /// replica has restarted since.
  replica* FindReplica(attempt_id attempt);
  /// Whether the request may be retried although it may have run.
  static bool MayRepeat(const request& item);
  eligible_replicas ListEligible(time_point now,
                                 const request& item,
                                 std::span<const replica_index> excluded) const;
  bool HasUpstream(time_point now,
                   const request& item,
                   std::span<const replica_index> excluded) const;
  /// Refuses the request if it resumes a stream whose software version no
  /// upstream has that could run it now, apart from those in \p excluded.
  bool RefuseIfVersionGone(time_point now,
                           request& item,
                           std::span<const replica_index> excluded,
                           action_list& out);
  static time_point ArrivedAt(const request& item) {
    return item.deadline - item.info.time_limit;
  }
  void UpdateFleetSize();
  uint32_t EstimateRetryAfter(time_point now, const request& item) const;
  double EstimateWaitSeconds(time_point now, const request& item) const;
  /// Returns the time to keep for the response to a request without a prompt,
  /// given the mean time to \p first_byte of its upstream: at most half of the
  /// time limit, so that a request that need not wait is never too late. 0 for
  /// requests with a prompt and for retries.
  static double SecondsForResponse(const request& item, duration first_byte);
  /// Returns the longest wait with which the request is still useful.
  double MaxWaitSeconds(time_point now, const request& item) const;
  /// Refuses the request if its response would come after its deadline although
  /// \p chosen can take it now.
  bool RefuseIfTooLate(time_point now,
                       request& item,
                       const placement& chosen,
                       action_list& out);
  /// Counts begun responses that wait for a replica which needs permits.
  void CountPostponed(time_point now);
  /// Retries the postponed requests for which there is a free replica now.
  void RetryWithPermits(time_point now, action_list& out);
  waiting_request MakeWaiting(const request& item) const;
  double ReuseWeight(const request& item) const;
  double CopyRate(const request& item) const;

  options options_;
  const shard_directory& members_;
  std::shared_ptr<const configuration> config_;
  std::unique_ptr<placement_policy> policy_;
  replica_table replicas_;
  prefix_index prefixes_;
  copy_budget copy_budget_;
  prompt_length_classifier prompt_lengths_;
  /// The share of the engines that was reserved for short prompts when the last
  /// prompt was placed.
  double short_share_ = 0;
  std::vector<placed_prefix> placed_prefixes_;
  wait_queue queue_;
  class_pressure pressure_;
  workspace_limiter limiter_;
  upstream_limits limits_;
  request_quarantine quarantine_;
  time_point next_quarantine_expiry_{};
  std::vector<permit_request> permit_requests_;
  std::vector<permit_return> unused_permits_;
  /// May contain requests that have ended since.
  std::vector<request_id> postponed_;
  std::vector<postponed_response> postponements_;
  std::map<std::string, retry_budget, std::less<>> retries_;
  /// The largest fleet size seen, by which the retry budget is divided: a
  /// daemon that is not seen now may still be alive and spend its share.
  size_t largest_fleet_ = 1;
  /// Rate at which requests end, by target.
  std::map<std::string, drain_meter, std::less<>> drain_meters_;
  std::unordered_map<request_id, request> requests_;
  std::unordered_map<attempt_id, request_id> attempts_;
  /// Starts of refused requests whose reply may still come; a late grant is
  /// released.
  std::map<request_id, release_report> abandoned_starts_;
  core_counters counters_;
  attempt_id next_attempt_ = 1;
  bool admission_closed_ = false;
  bool platform_reachable_ = true;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CORE_REQUEST_ROUTER_H_
