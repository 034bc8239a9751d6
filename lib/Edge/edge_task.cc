#include "cuminswitch/Edge/edge_task.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "cuminswitch/Admission/owner_quota_policy.h"
#include "cuminswitch/Edge/request_log.h"
#include "cuminswitch/Edge/router_settings.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Http1/caller_connection_end.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Tick interval while requests are in flight; the router expires waiting
/// requests on a tick.
static constexpr duration kTickInterval = std::chrono::milliseconds(50);
static constexpr duration kIdleTickInterval = std::chrono::milliseconds(250);
static constexpr duration kStopTickInterval = std::chrono::milliseconds(100);
static constexpr double kPercent = 100;

edge_task::edge_task(event_base* base,
                     const kernel& services,
                     const options& opts,
                     const parts& with)
    : loop_task(base),
      services_(services),
      options_(opts),
      with_(with),
      router_(MakeRouterOptions({.self = opts.self,
                                 .retry_share = opts.retry_share,
                                 .retry_burst = opts.retry_burst,
                                 .old_weights_time = opts.old_weights_time,
                                 .is_capacity_scarce = opts.is_capacity_scarce,
                                 .now = ReadBootClock()}),
              *this),
      buffer_account_(opts.buffer_limit),
      pool_(base, &buffer_account_),
      contact_(base,
               pool_,
               Hash64(opts.self.name),
               [this] { UpdateContact(); }),
      verifier_(pool_,
                with.protocol,
                [this](uint64_t upstream, time_point sent, bool is_other) {
                  OnProbed(upstream, sent, is_other);
                }),
      tick_timer_(base, [this] { OnTick(); }),
      stop_timer_(base, [this] { OnStopTick(); }),
      claims_(Hash64(opts.self.name)),
      origins_(opts.self.peer_address, ReadBootClock()),
      quotas_(std::make_unique<owner_quota_policy>(owner_quota_policy::options{
          .self = opts.self.peer_address,
          .id = Hash64(opts.self.name, opts.self.incarnation)})),
      limits_(std::make_unique<owner_quota_policy>(owner_quota_policy::options{
                  .self = opts.self.peer_address,
                  .id = Hash64(opts.self.name, opts.self.incarnation),
                  .kind = quota_kind::kUpstream,
                  .fallback = quota_fallback::kRefuse}),
              Hash64(opts.self.name)),
      concurrency_({.self = opts.self.peer_address,
                    .id = Hash64(opts.self.name, opts.self.incarnation)}),
      stop_(opts.grace),
      started_at_(ReadBootClock()) {}

edge_task::~edge_task() {
  *alive_ = false;
}

void edge_task::Start() {
  pool_.SetIdleLimit([this](const endpoint& to) { return IdleLimit(to); });
  server_ = std::make_unique<caller_server>(
      base(), options_.self.caller_address, *this, &buffer_account_);
  OnTick();
}

void edge_task::Stop() {
  tick_timer_.Cancel();
  stop_timer_.Cancel();
  flows_.clear();
  forwarded_.clear();
  server_.reset();
}

const member* edge_task::FindOwner(shard_number /*shard*/) const {
  return nullptr;
}

size_t edge_task::CountServing() const {
  return fleet_size_;
}

bool edge_task::HasConfig() const {
  return snapshot_ != nullptr && snapshot_->config != nullptr;
}

bool edge_task::IsReady() const {
  return HasConfig() && !stop_.HasBegun();
}

std::vector<daemon_record> edge_task::ListServing() const {
  std::vector<daemon_record> serving;
  for (const daemon_record& item : peers_) {
    if (item.is_ready && !item.is_leaving) {
      serving.push_back(item);
    }
  }
  // A daemon that reaches no upstream still forwards what reaches it, but
  // callers are better served elsewhere.
  if (IsReady() && (!has_lost_upstreams_ || serving.empty())) {
    serving.push_back(options_.self);
  }
  return serving;
}

std::string edge_task::WriteMetrics() const {
  core_status status;
  router_.FillStatus(status);
  return metrics_.Write(
      {.status = status,
       .quotas = quotas_.counts(),
       .limits = limits_.totals(),
       .permits = concurrency_.totals(),
       .log_lines_dropped = with_.log.dropped_count(),
       .held_bytes = buffer_account_.held(),
       .refused_for_memory = server_ == nullptr ? 0 : server_->refused_count(),
       .upstream_connections = pool_.opened_count(),
       .upstream_doubts = contact_.contact().doubt_count(),
       .has_lost_upstreams = has_lost_upstreams_,
       .unreadable_upstreams = unreadable_upstreams_,
       .unreadable_loads = unreadable_loads_,
       .is_stale = is_stale_,
       .known_streams = origins_.size()});
}

void edge_task::Receive(edge_message message) {
  std::visit([this](const auto& update) { Handle(update); }, message);
}

void edge_task::Handle(const weights_changing& update) {
  for (const auto* list : {&changing_.upstreams, &changing_.unconfirmed}) {
    for (const std::string& id : *list) {
      router_.OnUpstreamChanging({.upstream = id});
    }
  }
  changing_ = update;
  for (const std::string& id : changing_.unconfirmed) {
    router_.OnUpstreamChanging({.upstream = id, .may_change = true});
  }
  for (const std::string& id : changing_.upstreams) {
    router_.OnUpstreamChanging({.upstream = id, .is_changing = true});
  }
}

void edge_task::Handle(const peer_placements& update) {
  router_.OnPeerPlacements(ReadBootClock(), update);
}

void edge_task::ReportPlacements() {
  std::vector<upstream_backlog> backlogs = router_.ListBacklogs();
  std::vector<placed_prefix> prefixes = router_.TakePlacedPrefixes();
  if (backlogs != reported_backlogs_ || !prefixes.empty()) {
    reported_backlogs_ = backlogs;
    services_.FindPort<fleet_message>(kFleetService)
        .Post(own_placements{.backlogs = std::move(backlogs),
                             .prefixes = std::move(prefixes),
                             .mix = router_.OwnMix(ReadBootClock())});
  }
}

request_flow* edge_task::FindFlow(request_id id) const {
  const auto found = flows_.find(id);
  return found == flows_.end() ? nullptr : found->second.get();
}

void edge_task::OnFlowEvent(core_event event) {
  ForwardToRouter(ReadBootClock(), event);
}

void edge_task::ForwardToRouter(time_point now, const core_event& event) {
  action_list actions;
  if (const auto* arrived = std::get_if<request_arrived>(&event)) {
    router_.OnRequest(now, *arrived, actions);
  } else if (const auto* first = std::get_if<attempt_first_byte>(&event)) {
    router_.OnFirstByte(now, *first);
  } else if (const auto* ended = std::get_if<attempt_ended>(&event)) {
    router_.OnAttemptEnded(now, *ended, actions);
    LogQuarantines();
  } else if (const auto* disconnected =
                 std::get_if<caller_disconnected>(&event)) {
    router_.OnCallerDisconnected(now, *disconnected, actions);
  }
  Perform(now, actions);
}

void edge_task::Perform(time_point now, const action_list& actions) {
  for (const core_action& action : actions) {
    if (const auto* cancel = std::get_if<cancel_attempt>(&action)) {
      CancelAttempt(cancel->attempt);
    } else if (const auto* dispatch = std::get_if<dispatch_attempt>(&action)) {
      Perform(now, *dispatch);
    } else if (const auto* response = std::get_if<local_response>(&action)) {
      request_flow* flow = FindFlow(response->request);
      if (flow != nullptr && !ForwardUnsent(*flow)) {
        flow->GiveUp(*response);
      }
    }
  }
  LogPostponements();
  ProcessLimitDecisions(now);
  ProcessConcurrency(now);
}

void edge_task::LogPostponements() {
  for (const postponed_response& item : router_.TakePostponements()) {
    const request_flow* flow = FindFlow(item.request);
    if (flow != nullptr) {
      with_.log.Write(
          log_class::kRequest,
          log_line("retry_postponed")
              .Add("id", flow->request().attempt)
              .Add("upstream", flow->upstream())
              .Add("reason", item.reason)
              .Add("retry_after_ms", item.retry_after)
              .Add("time_left_ms", flow->deadline() - ReadBootClock())
              .Add("revision", snapshot_->revision));
    }
  }
}

void edge_task::CancelAttempt(attempt_id attempt) {
  for (const auto& [id, flow] : flows_) {
    if (flow->attempt() == attempt && !flow->has_ended()) {
      with_.log.Write(log_class::kRequest,
                      log_line("attempt_taken_back")
                          .Add("id", flow->request().attempt)
                          .Add("upstream", flow->upstream()));
      flow->CancelAttempt();
    }
  }
}

void edge_task::Perform(time_point now, const dispatch_attempt& action) {
  request_flow* flow = FindFlow(action.request);
  if (flow != nullptr && RefuseIfStopping(now, *flow)) {
    return;
  }
  if (flow == nullptr || flow->has_ended() || ForwardUnsent(*flow)) {
    ForwardToRouter(now, attempt_ended{.attempt = action.attempt,
                                       .result = outcome::kNotRun,
                                       .response_started = true,
                                       .response = {}});
    return;
  }
  with_.log.Write(log_class::kRequest,
                  DescribePlacement(now, *flow, action)
                      .Add("revision", snapshot_->revision));
  RecordOrigin(now, *flow, action);
  flow->Dispatch(now, action);
  quotas_.OnRuns(now, action.request, flow->runs());
  ProcessQuotaDecisions(now);
}

void edge_task::OnOtherResponse(const request_flow& flow,
                                const std::string& other) {
  with_.log.Write(log_class::kRequest,
                  log_line("response_skipped")
                      .Add("id", flow.request().attempt)
                      .Add("upstream", flow.upstream())
                      .Add("other_id", other)
                      .Add("revision", snapshot_->revision));
}

void edge_task::OnFlowAttemptFailed(const request_flow& flow,
                                    attempt_result result,
                                    uint32_t status) {
  with_.log.Write(log_class::kRequest,
                  DescribeAttemptFailure(ReadBootClock(), flow, result, status)
                      .Add("revision", snapshot_->revision));
  const auto entry = upstreams_by_address_.find(flow.address());
  if (result == attempt_result::kMismatch &&
      entry != upstreams_by_address_.end() &&
      entry->second->id == flow.upstream()) {
    ReportMismatch(*entry->second);
  }
}

bool edge_task::ReserveRetry(const request_flow& flow) {
  return router_.ReserveRetry(ReadBootClock(), flow.id());
}

bool edge_task::MayStillSend(const request_flow& flow) {
  return router_.MayStillSend(ReadBootClock(), flow.attempt());
}

/// Returns what made a response late; empty if it was not late.
static std::string_view LateCause(const request_flow& flow) {
  const route_spec& route = flow.route();
  const bool is_first_byte_late =
      *flow.first_byte_at() - flow.arrived() > route.target_latency;
  const bool has_gap =
      route.IsStream() && flow.longest_event_gap() > route.max_event_gap;
  if (is_first_byte_late) {
    return has_gap ? "both" : "first_byte";
  }
  return has_gap ? "pause" : "";
}

void edge_task::OnFlowEnd(request_flow& flow, const flow_result& end) {
  with_.log.Write(log_class::kRequest,
                  DescribeEnd(ReadBootClock(), flow, end)
                      .Add("configuration", snapshot_->config->version));
  const std::string& route = flow.route().name;
  metrics_.CountEnd(route, end.result, end.reason,
                    ToSeconds(ReadBootClock() - flow.arrived()));
  if (IsTruncated(flow, end)) {
    metrics_.CountTruncated(route, end.reason);
  }
  if (flow.first_byte_at()) {
    metrics_.CountFirstByte(route,
                            ToSeconds(*flow.first_byte_at() - flow.arrived()));
    if (const std::string_view cause = LateCause(flow);
        end.result == outcome::kAnswered && !cause.empty()) {
      metrics_.CountLate(route, cause);
    }
  }
  RemoveFlowLater(flow);
}

void edge_task::OnConnectionCut(const caller_connection_end& end) {
  with_.log.Write(log_class::kRequest, DescribeCut(end));
  metrics_.CountCut(ToString(end.cause));
}

void edge_task::RemoveFlowLater(const request_flow& flow) {
  CallLater(base(), [this, alive = alive_, id = flow.id(), runs = flow.runs()] {
    if (*alive) {
      const time_point now = ReadBootClock();
      quotas_.OnEnd(now, id, runs);
      ProcessQuotaDecisions(now);
      origins_.OnEnd(id);
      pending_resumptions_.erase(id);
      verification_.Remove(id);
      flows_.erase(id);
    }
  });
}

void edge_task::OnTick() {
  const time_point now = ReadBootClock();
  action_list actions;
  router_.OnTick(now, actions);
  Perform(now, actions);
  if (!has_warmed_up_) {
    UpdateQuotaFleet(now);
  }
  quotas_.policy().OnTick(now);
  ProcessQuotaDecisions(now);
  limits_.policy().OnTick(now);
  ProcessLimitDecisions(now);
  concurrency_.OnTick(now);
  ProcessConcurrency(now);
  ReportLimits(now);
  origins_.OnTick(now);
  ProcessOrigins(now);
  CheckItems(now);
  software_.Expire(now);
  ReportMixedOrigins(now);
  VerifyCrashes(now);
  VerifyClaims(now);
  ReportQuarantine(now);
  ReportPlacements();
  ReportLoad(now);
  UpdateContact();
  LogReservedEngines();
  LogHeldBytes();
  ExpireLimits(now);
  ExpireRejectionLimits(now);
  with_.log.Flush();
  const bool is_idle =
      flows_.empty() && verifier_.IsIdle() && claims_.IsEmpty() &&
      contact_.IsSettled() && concurrency_.IsIdle() &&
      std::all_of(service_contacts_.begin(), service_contacts_.end(),
                  [](const auto& i) { return i.second->IsSettled(); });
  tick_timer_.Start(is_idle ? kIdleTickInterval : kTickInterval);
}

void edge_task::LogHeldBytes() {
  if (server_ == nullptr || server_->refused_count() == logged_refused_count_) {
    return;
  }
  with_.log.Write(
      log_class::kLifecycle,
      log_line("requests_refused_for_memory")
          .Add("count", server_->refused_count() - logged_refused_count_)
          .Add("held_bytes", buffer_account_.held())
          .Add("limit_bytes", buffer_account_.limit()));
  logged_refused_count_ = server_->refused_count();
}

void edge_task::LogReservedEngines() {
  const bool reserves_engines = router_.short_share() > 0;
  if (reserves_engines == logged_reserved_engines_) {
    return;
  }
  logged_reserved_engines_ = reserves_engines;
  const prompt_mix own = router_.OwnMix(ReadBootClock());
  with_.log.Write(
      log_class::kStateChange,
      log_line(reserves_engines ? "engines_kept" : "engines_shared")
          .Add("short_percent",
               static_cast<int64_t>(router_.short_share() * kPercent))
          .Add("own_short_tokens", static_cast<int64_t>(own.short_prefill))
          .Add("own_long_tokens", static_cast<int64_t>(own.long_prefill))
          .Add("own_short_held_ms", FromSeconds(own.short_held))
          .Add("counted_ms", FromSeconds(own.seconds)));
}

void edge_task::BeginStop() {
  if (stop_.HasBegun()) {
    return;
  }
  stop_.Begin(ReadBootClock());
  with_.log.Write(
      log_class::kLifecycle,
      log_line("stopping").Add("requests", flows_.size() + forwarded_.size()));
  UpdateQuotaFleet(ReadBootClock());
  server_->BeginDrain();
  services_.FindPort<fleet_message>(kFleetService).Post(fleet_stop_requested{});
  OnStopTick();
}

bool edge_task::RefuseIfStopping(time_point now, request_flow& flow) {
  const bool is_new = !flow.has_ended() && !flow.is_running() &&
                      !flow.may_have_run() && !flow.has_response_begun();
  if (!is_new || stop_.CanAccept(now, flow.deadline() - now)) {
    return false;
  }
  flow.EndForStop();
  return true;
}

void edge_task::RefuseWaitingRequests(time_point now) {
  std::vector<request_flow*> flows;
  for (const auto& [id, flow] : flows_) {
    flows.push_back(flow.get());
  }
  for (request_flow* flow : flows) {
    RefuseIfStopping(now, *flow);
  }
}

void edge_task::EndUnansweredRequests() {
  // Those that wait come first: a free slot would place them at an upstream.
  for (const bool is_running : {false, true}) {
    for (const auto& [id, flow] : flows_) {
      if (flow->is_running() == is_running) {
        flow->EndForStop();
      }
    }
  }
  for (const auto& [id, item] : forwarded_) {
    item->EndForStop();
  }
}

void edge_task::OnStopTick() {
  const time_point now = ReadBootClock();
  RefuseWaitingRequests(now);
  if (stop_.HasAddressExpired(now)) {
    // What is accepted here has until the next tick to send its request.
    server_->CloseIdle();
    server_->StopListening();
  }
  if (stop_.MustEndRequests(now) && !std::exchange(has_ended_requests_, true)) {
    EndUnansweredRequests();
    // The responses are written before the next tick.
    stop_timer_.Start(kStopTickInterval);
    return;
  }
  const size_t requests = flows_.size() + forwarded_.size();
  if (stop_.IsComplete(now, requests, server_->connection_count())) {
    server_->ReportOpen();
    with_.log.Write(log_class::kLifecycle,
                    log_line("stopped").Add("requests", requests));
    with_.log.Flush();
    with_.on_stopped();
    return;
  }
  stop_timer_.Start(kStopTickInterval);
}

}  // namespace cuminswitch
