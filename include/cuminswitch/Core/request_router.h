/// \file
/// The life of a request inside the decision core.
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

#include "cuminswitch/Admission/drain_meter.h"
#include "cuminswitch/Admission/request_quarantine.h"
#include "cuminswitch/Admission/retry_budget.h"
#include "cuminswitch/Admission/upstream_limits.h"
#include "cuminswitch/Admission/wait_queue.h"
#include "cuminswitch/Admission/workspace_limiter.h"
#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Core/core_status.h"
#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Protocol/send_permit.h"
#include "cuminswitch/Routing/copy_budget.h"
#include "cuminswitch/Routing/placement_policy.h"
#include "cuminswitch/Routing/placement_query.h"
#include "cuminswitch/Routing/prefix_index.h"
#include "cuminswitch/Routing/prompt_length_classifier.h"
#include "cuminswitch/Routing/replica_table.h"

namespace cuminswitch {

class shard_directory;

/// An upstream as it is now.
struct upstream_update {
  upstream_spec spec;
  upstream_report report;
  /// It is not to be used any more; only its name matters.
  bool is_removed = false;
};

/// Admits requests, asks for the start of those that may run only once,
/// places them, retries them where that is safe, and ends each with the
/// outcome that is true.
class request_router {
 public:
  struct options {
    /// Who this daemon is, for start requests.
    member self;
    std::string policy = "prefix_cost";
    uint64_t random_seed = 0;
    size_t prefix_capacity = 131'072;
    shard_number shard_count = 16;
    /// How long the start of a non-repeatable request may take.
    duration start_timeout = std::chrono::seconds(5);
    /// For each target by itself.
    retry_budget::options retries;
    replica_table::options replicas;
    /// Refuse at once what no upstream can take now; otherwise it waits for
    /// one until its time is over.
    bool refuse_without_upstream = false;
    /// Keep placements for `TakePlacedPrefixes`.
    bool reports_placements = false;
    request_quarantine::options quarantine;
  };

  request_router(const options& opts, const shard_directory& members);

  void OnConfiguration(time_point now,
                       std::shared_ptr<const configuration> config,
                       action_list& out);
  /// Brings \p config into force but for its upstreams, which are told by
  /// `OnUpstreams`.
  void OnRoutingConfig(time_point now,
                       std::shared_ptr<const configuration> config,
                       action_list& out);
  /// Takes in upstreams that came, changed or went.
  void OnUpstreams(time_point now,
                   std::span<const upstream_update> updates,
                   action_list& out);
  void OnRequest(time_point now,
                 const request_arrived& event,
                 action_list& out);
  void OnCallerGone(time_point now, const caller_gone& event, action_list& out);
  void OnFirstByte(time_point now, const attempt_first_byte& event);
  void OnAttemptEnded(time_point now,
                      const attempt_ended& event,
                      action_list& out);
  void OnUpstreamReport(time_point now,
                        const upstream_report& report,
                        action_list& out);
  void OnUpstreamLoad(time_point now, const upstream_load& load);
  /// Learns where peers have placed what.
  void OnPeerPlacements(time_point now, const peer_placements& told);
  /// Returns the shared prefixes that were placed since the last call.
  std::vector<placed_prefix> TakePlacedPrefixes() {
    return std::exchange(placed_prefixes_, {});
  }
  /// Of the engines, the part that is kept for short prompts.
  double short_share() const { return short_share_; }
  /// This daemon's traffic of late, for its peers.
  prompt_mix OwnMix(time_point now) const;
  std::vector<upstream_backlog> ListBacklogs() {
    return replicas_.ListBacklogs();
  }
  void OnUpstreamChanging(const upstream_changing& event);
  /// Whether the running request \p id could be sent to another upstream now.
  bool CanPlaceElsewhere(time_point now, request_id id);
  void OnStartReply(time_point now, const start_reply& reply, action_list& out);
  void OnTick(time_point now, action_list& out);
  /// Whether the platform answered the last call. While it does not, a shard
  /// without owner gets none.
  void SetPlatformReachable(bool reachable) { platform_reachable_ = reachable; }
  /// Refuses new requests from now on.
  void CloseAdmission() { admission_closed_ = true; }

  bool IsIdle() const { return requests_.empty(); }
  workspace_limiter& limiter() { return limiter_; }
  /// Returns the requests that wait for leave to be sent to an upstream with a
  /// limit, since the last call. Each gets an answer by `OnPermit`.
  std::vector<permit_request> TakePermitRequests() {
    return std::exchange(permit_questions_, {});
  }
  /// Returns the permits that were granted and not used since the last call.
  std::vector<permit_return> TakeUnusedPermits() {
    return std::exchange(unused_permits_, {});
  }
  void OnPermit(time_point now, const permit_reply& answer, action_list& out);
  /// Learns what an upstream's answer says of its limit.
  upstream_limits::change OnLimit(time_point now,
                                  uint64_t upstream,
                                  time_point sent,
                                  const limit_notice& notice);
  /// Learns what a peer knows of an upstream's limit.
  upstream_limits::change OnPeerLimit(time_point now, const limit_update& news);
  /// Ends the limits that no answer has renewed for long; returns their
  /// upstreams.
  std::vector<uint64_t> ExpireLimits(time_point now);
  /// An upstream has started again, and has no limit so far.
  upstream_limits::change ForgetLimit(uint64_t upstream);
  /// The upstream of \p attempt has begun to answer it.
  void OnAttemptAnswered(attempt_id attempt);
  /// The upstream of \p attempt refused it and wants no request for \p time.
  void OnBackoffRequested(time_point now, attempt_id attempt, duration time);
  /// The upstream of \p attempt leaves. Returns whether that is news.
  bool OnUpstreamLeaving(attempt_id attempt);
  /// Which requests crash upstreams. What peers and the store know of them goes
  /// in here.
  request_quarantine& quarantine() { return quarantine_; }
  const request_quarantine& quarantine() const { return quarantine_; }
  /// The upstream whose name has \p hash; empty where none is known.
  std::string_view FindUpstreamName(uint64_t hash) const;
  /// What upstreams say of the rate that they take.
  const upstream_limits& limits() const { return limits_; }
  core_counters& counters() { return counters_; }
  void FillStatus(core_status& status) const;

 private:
  enum class stage : uint8_t { kStarting, kWaiting, kAsking, kRunning };

  struct attempt {
    attempt_id id = 0;
    replica_index index = 0;
    /// Stands for the upstream's present start.
    uint64_t upstream_start = 0;
    double expected_tokens = 0;
    time_point sent{};
    /// From then to the first byte, as far as was known.
    duration expected_wait{0};
    /// The cache store that it was to copy from, if any.
    std::optional<endpoint> copied_from_store;
    std::optional<time_point> first_byte;
    /// Its prompt is longer than the mean.
    bool is_long = false;
    /// The weights that it was placed for.
    std::string version;
    /// The replica had nothing queued, so its speed can be learnt.
    bool unqueued = false;
    /// Since when this daemon believed the shared level to be cached there.
    std::optional<duration> believed_age;
  };

  struct request {
    request_arrived info;
    stage at = stage::kWaiting;
    uint64_t workspace_hash = 0;
    uint64_t scope = 0;
    std::shared_ptr<const configuration> config;
    const workspace_spec* workspace = nullptr;
    /// Whether it may run at most once.
    bool once = false;
    /// Whether it may be sent again when an attempt's end is unknown.
    bool repeatable = true;
    /// An attempt whose end is unknown may have run it.
    bool may_have_run = false;
    bool counted = false;
    bool caller_gone = false;
    time_point deadline{};
    time_point start_deadline{};
    time_point next_start_request{};
    epoch_number epoch = 0;
    key_hash key;
    std::vector<replica_index> excluded;
    /// Attempts that reached an upstream, and those that may have run.
    uint32_t arrivals = 0;
    uint32_t runs = 0;
    std::optional<attempt> running;
    /// Where it goes if that is granted, while it is asked for.
    placement asked;
  };

  /// Why a request ends without an upstream's answer.
  struct refusal {
    uint32_t status = 503;
    uint32_t retry_after_seconds = 0;
    std::string message;
    duration retry_after{0};
    /// Where it is refused for lateness.
    std::optional<expected_wait> wait;
  };

  std::optional<refusal> Check(const request& item) const;
  void PrepareLevels(request& item) const;
  /// Tells apart the caches that must not meet: pools, targets, weights.
  uint64_t CacheScope(const request& item, std::string_view version) const;
  void SendStartRequest(time_point now, request& item, action_list& out);
  /// Takes back attempts that would begin on weights superseded too long ago.
  void ExpireOldWeights(time_point now, action_list& out);
  /// Gives up on starts that are late or that nobody can grant.
  void ExpireStarts(time_point now, action_list& out);
  bool IsStartOver(time_point now, const request& item) const;
  void RefuseLateStart(request_id id, action_list& out);
  /// Whether nobody can grant the start and nobody will before the platform
  /// answers again.
  bool IsStartHopeless(const request& item) const;
  shard_number ShardOf(const request& item) const;
  void ReleaseStart(const request& item, action_list& out) const;
  void Admit(time_point now, request& item, action_list& out);
  void Enqueue(time_point now, request& item, action_list& out);
  /// Whether a request may be sent now, or only after others that wait.
  enum class turn : uint8_t { kNow, kAfterOthers };
  /// Returns whether the request needs no further placing: it was sent, or
  /// refused.
  bool TryPlace(time_point now, request& item, turn at, action_list& out);
  /// From 0 to 1, the same each time, so that asking again does not add up.
  static double LuckOf(const request& item);
  /// Stands for the present start of an upstream.
  static uint64_t StartOf(const replica& item);
  /// Refuses the request if its answer would come too late to be worth the
  /// work that it takes from others. It waits \p ahead seconds before it can be
  /// sent to the replica \p chosen.
  bool ShedIfLate(time_point now,
                  const request& item,
                  const placement& chosen,
                  double ahead,
                  action_list& out);
  /// Sends the request to the replica \p chosen, or asks first whether that
  /// takes it now.
  void SendOrAsk(time_point now,
                 request& item,
                 const placement& chosen,
                 const eligible_replicas& eligible,
                 action_list& out);
  /// Refuses the request if it crashes upstreams.
  bool RefuseIfQuarantined(time_point now,
                           const request& item,
                           action_list& out);
  /// Learns from an attempt's end whether its request crashes upstreams.
  void LearnCrash(time_point now,
                  const request& item,
                  const attempt& done,
                  const attempt_ended& event);
  /// Refuses the request if upstreams keep it waiting beyond its time, by
  /// limits that they name or by rest that they asked for.
  bool RefuseIfClosed(time_point now,
                      const request& item,
                      const placement& chosen,
                      action_list& out);
  /// The permit is not used; it is given back where there still is a limit.
  void ReturnPermit(const permit_reply& answer);
  /// What is known of an upstream's limit changed.
  void NoteLimitChange(uint64_t upstream, upstream_limits::change what);
  void Dispatch(time_point now,
                request& item,
                const placement& chosen,
                std::span<const replica_index> eligible,
                action_list& out);
  void DrainQueue(time_point now, action_list& out);
  void LearnFromAnswer(time_point now,
                       const request& item,
                       const attempt& done,
                       const attempt_ended& event);
  void Retry(time_point now,
             request& item,
             const attempt_ended& event,
             action_list& out);
  /// Takes in what a peer placed at the upstream \p index.
  void NotePeerPlacement(time_point now,
                         replica_index index,
                         const placed_prefix& told);
  void Refuse(request_id id, const refusal& why, action_list& out);
  /// What is true of a request that ends without an upstream's answer.
  static outcome JudgeRefused(const request& item);
  void ReportFinish(const request& item,
                    outcome result,
                    const recorded_response& answer,
                    action_list& out) const;
  void Erase(request_id id);
  std::span<const std::string> AllowedDomains(const request& item) const;
  priority_class PriorityOf(const request& item) const;
  retry_budget& BudgetOf(const std::string& target);
  /// The attempt \p id; null where it is over.
  const attempt* FindAttempt(attempt_id id) const;
  /// The replica of \p attempt; null where the attempt is over or the replica
  /// has started again since.
  replica* FindReplica(attempt_id attempt);
  /// Whether it may be run once more although it may have run.
  static bool MayRepeat(const request& item);
  bool HasUpstream(time_point now,
                   const request& item,
                   std::span<const replica_index> excluded) const;
  static time_point ArrivedAt(const request& item) {
    return item.deadline - item.info.time_limit;
  }
  void UpdateFleetSize();
  uint32_t EstimateRetryAfter(time_point now, const request& item) const;
  double EstimateWaitSeconds(time_point now, const request& item) const;
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
  prompt_length_classifier kinds_;
  /// The part of the engines that was kept for short prompts when the last one
  /// was placed.
  double short_share_ = 0;
  std::vector<placed_prefix> placed_prefixes_;
  wait_queue queue_;
  workspace_limiter limiter_;
  upstream_limits limits_;
  request_quarantine quarantine_;
  time_point next_quarantine_expiry_{};
  std::vector<permit_request> permit_questions_;
  std::vector<permit_return> unused_permits_;
  std::map<std::string, retry_budget, std::less<>> retries_;
  /// The largest fleet seen; the part of a daemon that is away may be spent.
  size_t largest_fleet_ = 1;
  std::map<std::string, drain_meter, std::less<>> meters_;
  std::unordered_map<request_id, request> requests_;
  std::unordered_map<attempt_id, request_id> attempts_;
  /// Starts given up on before their reply; a late grant is given back.
  std::map<request_id, release_report> abandoned_starts_;
  core_counters counters_;
  attempt_id next_attempt_ = 1;
  bool admission_closed_ = false;
  bool platform_reachable_ = true;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CORE_REQUEST_ROUTER_H_
