/// \file
/// The task that serves callers on the platform.
#ifndef CUMINSWITCH_EDGE_EDGE_TASK_H_
#define CUMINSWITCH_EDGE_EDGE_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cuminswitch/Admission/concurrency_permits.h"
#include "cuminswitch/Admission/upstream_limits.h"
#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Edge/address_claims.h"
#include "cuminswitch/Edge/contact_monitor.h"
#include "cuminswitch/Edge/edge_metrics.h"
#include "cuminswitch/Edge/edge_protocol.h"
#include "cuminswitch/Edge/forwarded_request.h"
#include "cuminswitch/Edge/graceful_stop.h"
#include "cuminswitch/Edge/origin_verification.h"
#include "cuminswitch/Edge/quota_admission.h"
#include "cuminswitch/Edge/request_flow.h"
#include "cuminswitch/Edge/stream_origin_registry.h"
#include "cuminswitch/Edge/upstream_limit_admission.h"
#include "cuminswitch/Edge/upstream_verifier.h"
#include "cuminswitch/Edge/weights_version_counter.h"
#include "cuminswitch/Fleet/fleet_message.h"
#include "cuminswitch/Fleet/software_history.h"
#include "cuminswitch/Http1/caller_server.h"
#include "cuminswitch/Http1/upstream_pool.h"
#include "cuminswitch/Kernel/loop_task.h"
#include "cuminswitch/Protocol/shard_directory.h"

namespace cuminswitch {

class event_log;
class kernel;

/// A message to the edge task.
using edge_message = fleet_event;

/// Reads requests, passes them to the router and carries out its decisions. The
/// router runs in this task, so a decision is a function call and not a
/// message.
class edge_task : public loop_task<edge_message>,
                  public caller_handler,
                  public flow_owner,
                  public forward_owner,
                  public shard_directory {
 public:
  struct options {
    daemon_record self;
    /// Retries that the whole fleet may send to a service: a share of its
    /// requests, plus a number in each window.
    double retry_share = 0.2;
    double retry_burst = 50;
    /// How long after the publication of a version engines with older weights
    /// may begin requests.
    duration old_weights_time = std::chrono::seconds(6);
    /// Callers compete for less capacity than they ask for.
    bool is_capacity_scarce = false;
    /// A stopping daemon exits within this time after the stop signal.
    duration grace = std::chrono::seconds(8);
    /// Limit in bytes of the data buffered for callers and upstreams; 0 for no
    /// limit.
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

  /// Begins a graceful stop: removes this daemon from the advertised addresses,
  /// still serves the requests that `graceful_stop` accepts and those in
  /// flight, and calls `on_stopped` within the grace.
  void BeginStop();
  bool IsReady() const;
  /// Returns the daemons that accept requests, including this one if it is
  /// ready.
  std::vector<daemon_record> ListServing() const;
  std::string WriteMetrics() const;

 protected:
  void Receive(edge_message message) override;

 private:
  void OnRequest(caller_exchange& exchange) override;
  void OnConnectionCut(const caller_connection_end& end) override;
  void OnFlowEvent(core_event event) override;
  void OnFlowFeedback(const request_flow& flow,
                      const upstream_feedback& feedback) override;
  void OnOtherResponse(const request_flow& flow,
                       const std::string& other) override;
  void OnFlowAttemptFailed(const request_flow& flow,
                           attempt_result result,
                           uint32_t status) override;
  void OnConnectionLost(const request_flow& flow) override;
  void OnAttemptStalled(const request_flow& flow) override;
  void OnUpstreamSilent(const request_flow& flow) override;
  bool ReserveRetry(const request_flow& flow) override;
  bool MayStillSend(const request_flow& flow) override;
  void OnFlowEnd(request_flow& flow, const flow_result& end) override;
  void OnForwardEnd(const forwarded_request& request,
                    const forward_result& end) override;
  const member* FindOwner(shard_number shard) const override;
  size_t CountServing() const override;

  bool HasConfig() const;
  /// Logs whether any upstream is reached when that has changed, and starts
  /// probes when they are due.
  void UpdateContact();
  void UpdateLostServices();
  /// Logs that this daemon lost or reaches the upstreams of \p service, or all
  /// if that is empty.
  void LogContact(std::string_view service, const upstream_contact& contact);
  /// Returns the service of the upstream at \p address; empty if it is unknown.
  std::string_view ServiceAt(const endpoint& address) const;
  /// Returns the contact with the upstreams of \p service; null if no request
  /// has failed at them.
  contact_monitor* FindContact(std::string_view service);
  /// Returns the same, created if there is none.
  contact_monitor& ContactOf(std::string_view service);
  /// Whether this daemon reaches no upstream of \p service.
  bool HasLost(std::string_view service) const;
  /// Tells the peers which upstreams this daemon reaches.
  void ReportReadiness();
  /// Forwards a request to a peer; \p opts lacks the peers. Returns false if
  /// there is no peer to forward to.
  bool Forward(forwarded_request::options opts);
  /// Forwards the request of \p flow if this daemon reaches no upstream of its
  /// service and none may have run it; the flow has ended then.
  bool ForwardUnsent(request_flow& flow);
  /// Removes a flow that has ended, from the event loop.
  void RemoveFlowLater(const request_flow& flow);
  /// Answers an accepted request, while no upstream of its service is reached,
  /// without routing it here. Returns false if it must be routed.
  bool RedirectRequest(caller_exchange& exchange,
                       const caller_request& request,
                       const route_spec& route);
  /// Rejects a request that is not routed. \p is_unreachable: because no
  /// upstream of its service is reached.
  void RejectRequest(caller_exchange& exchange,
                     const caller_request& request,
                     uint32_t status,
                     duration retry_after,
                     bool is_unreachable);
  /// Applies the load that a response states; counts unreadable figures.
  void ApplyLoad(const request_flow& flow, const reported_load& load);
  void LogRefusalChanges();
  /// Applies the rate limit that a response advertises.
  void ApplyLimit(const request_flow& flow, const limit_notice& notice);
  /// Applies the rejection limit that a response advertises for its service.
  void ApplyRejectionLimit(const request_flow& flow,
                           const limit_notice& notice);
  /// Applies a peer's or the store's update about a service's rejection limit.
  void ApplyRejectionLimit(time_point now,
                           const limit_update& update,
                           std::string_view source);
  /// Logs a change of a service's rejection limit and tells it to the router.
  void OnRejectionLimitChange(time_point now,
                              upstream_limits::change what,
                              const std::string& service,
                              std::string_view source);
  void ExpireRejectionLimits(time_point now);
  /// Returns the configured service whose name has \p hash; empty if none has.
  std::string FindService(uint64_t hash) const;
  /// Applies the limits that are recorded in the store.
  void ApplyRecordedLimits(time_point now);
  /// Reports to the owners of upstreams' permits what this daemon holds and
  /// wants, and uses the permits that were granted.
  void ProcessConcurrency(time_point now);
  void UpdateConcurrencyFleet(time_point now, const quota_fleet_view& fleet);
  /// Applies the backoff that an upstream requested with a refusal.
  void ApplyBackoff(const request_flow& flow, const backoff_notice& notice);
  /// Stops sending new requests to an upstream that is shutting down.
  void ApplyLeaving(const request_flow& flow);
  void Handle(const fleet_snapshot_changed& update);
  void Handle(const upstreams_changed& update);
  /// Passes the routing configuration, with the wanted weights versions, to the
  /// router. None of what is new in it was written before \p written_after.
  void ApplyRoutingConfig(time_point now,
                          time_point written_after,
                          action_list& actions);
  /// Returns this daemon's share of the idle connections that the upstream at
  /// \p to accepts from all daemons, or nothing if the upstream is unknown.
  std::optional<size_t> IdleLimit(const endpoint& to) const;
  /// Tells the fleet task that the process at the address of \p entry rejected
  /// a request for it, unless that can be due to the process's weights.
  void ReportMismatch(const upstream_entry& entry);
  /// Probes upstreams whose addresses other entries claim.
  void VerifyClaims(time_point now);
  /// Applies the response to a probe of \p upstream.
  void OnProbed(uint64_t upstream, time_point sent, bool is_other);
  /// Returns the identifier of the start of \p entry, as in crash reports.
  static uint64_t StartOf(const upstream_entry& entry);
  /// Returns the upstream whose start is identified by \p start, or null.
  const upstream_entry* FindStart(uint64_t start) const;
  /// Updates the index of upstreams by address.
  void IndexAddress(const upstream_change& change);
  /// Drops the pooled connections and the rate limit of an upstream that has
  /// restarted.
  void ResetRestartedUpstream(const upstream_change& change,
                              revision_number revision);
  void Handle(const peers_changed& update);
  void Handle(const weights_changing& update);
  void Handle(const learned_publications& update);
  /// Sends the fleet task which publications of weights this daemon witnessed,
  /// and whether it lacks some.
  void ReportPublications(time_point now);
  void Handle(const items_staleness& update) { is_stale_ = update.is_stale; }
  void Handle(const items_checked& update);
  void Handle(const peer_placements& update);
  void Handle(const peer_limits& update);
  void Handle(const peer_observations& update);
  void Handle(const peer_admissions& update);
  /// Sends the peers what the router observed of upstreams and admitted, where
  /// the deployment calls for it.
  void ReportLoad(time_point now);
  void Handle(const peer_quarantine& update);
  void Handle(const quota_query& query);
  void Handle(const quota_reply& reply);
  void Handle(const concurrency_report& report);
  void Handle(const concurrency_grant& grant);
  void Handle(const origin_report& report);
  void Handle(const origin_query& query);
  void Handle(const origin_reply& reply);
  /// Sends the peers this daemon's backlog at each upstream, the prefixes that
  /// it placed and the lengths of its prompts.
  void ReportPlacements();

  /// Finds the route and the workspace of \p request. Returns the status to
  /// reject it with, or 0 if the request is accepted.
  uint32_t CheckRequest(const caller_request& request,
                        const route_spec*& route,
                        const workspace_config*& workspace) const;
  void BeginFlow(caller_exchange& exchange,
                 caller_request request,
                 const route_spec& route,
                 const workspace_config* workspace);
  /// Passes an accepted request to its workspace's quota, or to the router.
  void SubmitArrival(time_point now,
                     const request_flow& flow,
                     request_arrived arrival);
  /// Searches for the software version of the stream that \p flow resumes; its
  /// request is submitted or refused after that.
  void FindOrigin(time_point now,
                  const request_flow& flow,
                  request_arrived arrival);
  /// Sends the pending messages about origins and applies the searches that
  /// ended.
  void ProcessOrigins(time_point now);
  void ApplyOrigin(time_point now, const found_origin& found);
  /// Begins a check of the items if a stream of unknown origin waits for one.
  void CheckItems(time_point now);
  /// Resumes a stream of unknown origin at its service's only version, or
  /// refuses it.
  void ApplyVerified(time_point now, const origin_verification::verified& item);
  /// Returns the only version of the service that serves the resumption
  /// \p request, if there is just one.
  std::optional<software_tag> SoleVersionFor(time_point now,
                                             request_id request) const;
  /// Resumes the stream of \p found at \p software, or refuses the request
  /// where that is unknown. \p source names where the version comes from.
  void Resume(time_point now,
              const found_origin& found,
              std::optional<software_tag> software,
              std::string_view source);
  /// Sends the leader the origins of the streams of services that have got
  /// several software versions.
  void ReportMixedOrigins(time_point now);
  /// Applies the origins of streams that are recorded in the store.
  void ApplyRecordedOrigins(time_point now);
  /// Records the software version at which a stream begins.
  void RecordOrigin(time_point now,
                    const request_flow& flow,
                    const dispatch_attempt& action);
  /// Sends the pending quota messages and applies the decisions made.
  void ProcessQuotaDecisions(time_point now);
  void UpdateQuotaFleet(time_point now);
  /// Sends the pending messages of \p policy to other daemons.
  void SendQuotaMessages(quota_policy& policy);
  void ApplyQuotaDecision(time_point now,
                          quota_admission::admission_result decided);
  void ForwardToRouter(time_point now, const core_event& event);
  void Perform(time_point now, const action_list& actions);
  void Perform(time_point now, const dispatch_attempt& action);
  void CancelAttempt(attempt_id attempt);
  request_flow* FindFlow(request_id id) const;
  void OnTick();
  /// Logs that an upstream's rate limit was added, changed or removed.
  void LogLimit(upstream_limits::change what,
                uint64_t upstream,
                std::string_view source);
  void ForgetLimit(const std::string& upstream);
  /// Requests permits for the requests that wait for an upstream with a rate
  /// limit, and applies the decisions made.
  void ProcessLimitDecisions(time_point now);
  void HandleLimitQuery(time_point now, quota_query query);
  void ApplyLimitDecision(
      time_point now,
      const upstream_limit_admission::permit_result& decided);
  /// Sends the peers the rate limits that upstreams advertised to this daemon.
  void ReportLimits(time_point now);
  /// Sends the peers and the store the requests that crash upstreams.
  void ReportQuarantine(time_point now);
  /// Probes the upstreams that this daemon is to verify the crash of.
  void VerifyCrashes(time_point now);
  /// Logs the changes to the set of requests that crash upstreams.
  void LogQuarantines();
  void LogPostponements();
  /// Removes the rate limits that no response has renewed recently.
  void ExpireLimits(time_point now);
  /// Logs how many requests were refused since the last call because the buffer
  /// limit was reached.
  void LogHeldBytes();
  /// Logs when the reservation of engines for short prompts begins or ends.
  void LogReservedEngines();
  void OnStopTick();
  /// Refuses the request of \p flow if the daemon stops, it was not sent yet,
  /// and its response might not arrive before the process exits.
  bool RefuseIfStopping(time_point now, request_flow& flow);
  /// Does so for all requests that wait for an upstream.
  void RefuseWaitingRequests(time_point now);
  /// Ends the requests that would get no response before the process exits.
  void EndUnansweredRequests();

  const kernel& services_;
  options options_;
  parts with_;
  request_router router_;
  byte_account buffer_account_;
  upstream_pool pool_;
  contact_monitor contact_;
  /// By service; for services at which a request has failed.
  std::map<std::string, std::unique_ptr<contact_monitor>, std::less<>>
      service_contacts_;
  std::set<std::string, std::less<>> lost_services_;
  upstream_verifier verifier_;
  bool has_lost_upstreams_ = false;
  std::unique_ptr<caller_server> server_;
  loop_timer tick_timer_;
  loop_timer stop_timer_;
  std::shared_ptr<const fleet_snapshot> snapshot_;
  std::map<endpoint, upstream_ref> upstreams_by_address_;
  /// Upstreams that have responded as themselves since they came into use.
  std::set<std::string, std::less<>> confirmed_upstreams_;
  address_claims claims_;
  weights_version_counter weights_counter_;
  size_t unreadable_upstreams_ = 0;
  uint64_t unreadable_loads_ = 0;
  bool is_stale_ = false;
  std::vector<daemon_record> peers_;
  weights_changing changing_;
  own_publications reported_publications_;
  std::vector<upstream_backlog> reported_backlogs_;
  /// Whether the last reports to the peers contained anything.
  bool has_reported_observations_ = false;
  bool has_reported_admissions_ = false;
  size_t fleet_size_ = 1;
  size_t possibly_active_ = 1;
  duration convergence_time_{0};
  /// Each peer receives heartbeats from only some of the others, so updates of
  /// peers are relayed.
  bool relays_updates_ = false;
  bool has_warmed_up_ = false;
  /// The values that were last logged.
  bool logged_reserved_engines_ = false;
  uint64_t logged_refused_count_ = 0;
  std::unordered_map<request_id, std::unique_ptr<request_flow>> flows_;
  std::unordered_map<request_id, std::unique_ptr<forwarded_request>> forwarded_;
  request_id next_request_ = 0;
  /// A request that resumes a stream whose software version is being searched.
  struct pending_resumption {
    request_arrived arrival;
    time_point since{};
  };
  std::unordered_map<request_id, pending_resumption> pending_resumptions_;
  stream_origin_registry origins_;
  origin_verification verification_;
  software_history software_;
  quota_admission quotas_;
  upstream_limit_admission limits_;
  bool reported_limits_ = false;
  /// Rejection limits, by hash of the service's name.
  upstream_limits rejection_limits_{upstream_limits::options()};
  concurrency_permits concurrency_;
  bool is_processing_concurrency_ = false;
  /// Services with several software versions, when they were last reported.
  std::vector<std::string> reported_mixed_;
  bool reported_crashes_ = false;
  edge_metrics metrics_;
  graceful_stop stop_;
  bool has_ended_requests_ = false;
  time_point started_at_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_EDGE_TASK_H_
