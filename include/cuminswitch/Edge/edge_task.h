/// \file
/// The task that serves callers on the platform.
#ifndef CUMINSWITCH_EDGE_EDGE_TASK_H_
#define CUMINSWITCH_EDGE_EDGE_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Admission/upstream_limits.h"
#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Edge/edge_metrics.h"
#include "cuminswitch/Edge/edge_protocol.h"
#include "cuminswitch/Edge/graceful_stop.h"
#include "cuminswitch/Edge/quota_admission.h"
#include "cuminswitch/Edge/request_flow.h"
#include "cuminswitch/Edge/upstream_limit_admission.h"
#include "cuminswitch/Edge/weights_version_counter.h"
#include "cuminswitch/Fleet/fleet_message.h"
#include "cuminswitch/Http1/caller_server.h"
#include "cuminswitch/Http1/upstream_pool.h"
#include "cuminswitch/Kernel/loop_task.h"
#include "cuminswitch/Protocol/shard_directory.h"

namespace cuminswitch {

class event_log;
class kernel;

/// What the edge is told.
using edge_message = fleet_event;

/// Reads requests, lets the router decide, and carries its decisions out. The
/// router runs in this task: a decision is a call, not a message.
class edge_task : public loop_task<edge_message>,
                  public caller_handler,
                  public flow_owner,
                  public shard_directory {
 public:
  struct options {
    daemon_record self;
    /// Repeats that the fleet may send to a service: a share of its requests,
    /// and a number in each window.
    double retry_share = 0.2;
    double retry_burst = 50;
    /// How long engines with older weights may begin requests.
    duration old_weights_time = std::chrono::seconds(6);
    /// A stopping daemon has ended by then.
    duration grace = std::chrono::seconds(8);
    /// Bytes that may be held for callers and upstreams; 0 for no limit.
    size_t buffer_limit = 0;
  };
  struct parts {
    const edge_protocol& protocol;
    event_log& log;
    /// Called when a graceful stop is complete.
    std::function<void()> on_stopped;
  };

  edge_task(event_base* base,
            const kernel& services,
            const options& opts,
            const parts& with);
  ~edge_task() override;

  std::string_view Name() const override { return kEdgeService; }
  void Start() override;
  void Stop() override;

  /// Leaves the address answers, goes on serving, and ends in time.
  void BeginStop();
  bool IsReady() const;
  /// The callers' addresses of the daemons that take requests.
  std::vector<daemon_record> ListServing() const;
  std::string WriteMetrics() const;

 protected:
  void Receive(edge_message message) override;

 private:
  void OnRequest(caller_exchange& exchange) override;
  void OnFlowEvent(core_event event) override;
  void OnFlowFeedback(const request_flow& flow,
                      const upstream_feedback& notices) override;
  void OnFlowAttemptFailed(const request_flow& flow,
                           attempt_result answer,
                           uint32_t status) override;
  void OnConnectionLost(const endpoint& address) override;
  bool CanPlaceElsewhere(const request_flow& flow) override;
  void OnFlowEnd(request_flow& flow, const flow_result& end) override;
  const member* FindOwner(shard_number shard) const override;
  size_t CountServing() const override;

  /// Takes in what an answer says of its upstream's limit.
  void TakeLimit(const request_flow& flow, const limit_notice& notice);
  /// Takes in for how long an upstream that refused wants nothing more.
  void TakeRest(const request_flow& flow, const backoff_notice& notice);
  /// Takes in that an upstream leaves.
  void TakeLeaving(const request_flow& flow);
  void Take(const fleet_snapshot_changed& news);
  void Take(const upstreams_changed& news);
  /// Brings the plan and the newest weights into force.
  void ApplyPlan(time_point now, action_list& actions);
  /// How many idle connections to \p to are this daemon's part of those that
  /// the upstream takes from all; nothing for one that is not known.
  std::optional<size_t> IdleLimit(const endpoint& to) const;
  /// Keeps the index of upstreams by address.
  void IndexAddress(const upstream_change& change);
  /// Drops the connections to an upstream that has started again.
  void ForgetRestarted(const upstream_change& change, revision_number revision);
  void Take(const peers_changed& news);
  void Take(const weights_changing& news);
  void Take(const items_staleness& news) { is_stale_ = news.is_stale; }
  void Take(const peer_placements& news);
  void Take(const peer_limits& news);
  void Take(const peer_quarantine& news);
  void Take(const quota_query& ask);
  void Take(const quota_reply& verdict);
  /// Lets the peers know what this daemon's requests wait for.
  void TellPlacements();

  /// Answers what is not forwarded; returns the status that it got, or 0.
  uint32_t CheckRequest(const caller_request& request,
                        const route_spec*& route,
                        const workspace_config*& workspace) const;
  void BeginFlow(caller_exchange& exchange,
                 caller_request request,
                 const route_spec& route,
                 const workspace_config* workspace);
  /// Sends what the quotas have to say and carries out what they decided.
  void SettleQuotas(time_point now);
  void TellQuotasOfFleet(time_point now);
  /// Sends what \p policy has to say to other daemons.
  void SendQuotaMessages(quota_policy& policy);
  void SettleQuota(time_point now, quota_admission::admission_result decided);
  void HandToRouter(time_point now, const core_event& event);
  void Perform(time_point now, const action_list& actions);
  void Perform(time_point now, const dispatch_attempt& action);
  void CancelAttempt(attempt_id attempt);
  request_flow* FindFlow(request_id id) const;
  void OnTick();
  /// Tells the log that an upstream's limit is known, or has changed or ended.
  void LogLimit(upstream_limits::change what,
                uint64_t upstream,
                std::string_view source);
  void ForgetLimit(const std::string& upstream);
  /// Asks about the requests that wait for an upstream with a limit, and
  /// carries out what is decided.
  void SettleLimits(time_point now);
  void TakeLimitAsk(time_point now, quota_query ask);
  void SettleLimit(time_point now,
                   const upstream_limit_admission::permit_result& decided);
  /// Lets the peers know what upstreams told this daemon.
  void TellLimits(time_point now);
  /// Lets the peers and the store know which requests crash upstreams.
  void TellQuarantine(time_point now);
  /// Tells the log what changed about requests that crash upstreams.
  void LogQuarantines();
  /// Ends the limits that no answer has renewed for long.
  void ExpireLimits(time_point now);
  /// Tells the log when so much is held that requests are refused, and when no
  /// more.
  void LogHeldBytes();
  /// Tells the log when engines begin to be kept for short prompts, or cease.
  void LogKeptEngines();
  void OnStopTick();

  const kernel& services_;
  options options_;
  parts with_;
  request_router router_;
  byte_account held_;
  upstream_pool pool_;
  std::unique_ptr<caller_server> server_;
  loop_timer tick_timer_;
  loop_timer stop_timer_;
  std::shared_ptr<const fleet_snapshot> knowledge_;
  std::map<endpoint, upstream_ref> upstreams_by_address_;
  weights_version_counter held_weights_;
  size_t unreadable_upstreams_ = 0;
  bool is_stale_ = false;
  std::vector<daemon_record> peers_;
  std::vector<std::string> changing_;
  std::vector<upstream_backlog> told_backlogs_;
  size_t fleet_size_ = 1;
  size_t maybe_at_work_ = 1;
  duration notice_time_{0};
  /// Peers do not hear all others, so each passes on what it is told.
  bool passes_on_ = false;
  bool has_gathered_ = false;
  /// What the log was last told.
  bool kept_engines_ = false;
  uint64_t told_refused_ = 0;
  std::unordered_map<request_id, std::unique_ptr<request_flow>> flows_;
  request_id next_request_ = 0;
  quota_admission quotas_;
  upstream_limit_admission limits_;
  bool told_limits_ = false;
  bool told_quarantine_ = false;
  edge_metrics metrics_;
  graceful_stop stop_;
  time_point started_at_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_EDGE_TASK_H_
