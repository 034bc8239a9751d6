// Limits of upstreams that all daemons share: the rate limits that some
// advertise, and their connections.
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cuminswitch/Edge/connection_share.h"
#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Edge/request_log.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

static constexpr std::string_view kSourceNotRenewed = "not_renewed";
static constexpr std::string_view kSourceRestart = "restart";

void edge_task::LogLimit(upstream_limits::change what,
                         uint64_t upstream,
                         std::string_view source) {
  if (what == upstream_limits::change::kNothing) {
    return;
  }
  const upstream_limits& limits = router_.limits();
  log_line line(std::string("limit_").append(ToString(what)));
  line.Add("upstream", router_.FindUpstreamName(upstream))
      .Add("from", source)
      .Add("limits", limits.size());
  if (const std::optional<double> rate = limits.Find(upstream)) {
    line.Add("requests_per_s", *rate)
        .Add("age_ms", limits.Age(ReadBootClock(), upstream));
  }
  with_.log.Write(log_class::kStateChange, line);
}

void edge_task::Handle(const peer_limits& update) {
  const time_point now = ReadBootClock();
  for (const limit_update& item : update.limits) {
    LogLimit(router_.OnPeerLimit(now, item), item.upstream, update.peer);
  }
  for (const limit_update& item : update.rejection_limits) {
    ApplyRejectionLimit(now, item, update.peer);
  }
}

/// Lists the limits of \p from that are in force.
static std::vector<limit_update> ListInForce(time_point now,
                                             const upstream_limits& from) {
  std::vector<limit_update> all = from.ListUpdates(now, true);
  std::erase_if(all, [](const limit_update& item) { return item.has_ended; });
  return all;
}

void edge_task::ReportLimits(time_point now) {
  own_limits own{
      .limits = router_.limits().ListUpdates(now, relays_updates_),
      .rejection_limits = rejection_limits_.ListUpdates(now, relays_updates_),
      .known = {.limits = ListInForce(now, router_.limits()),
                .rejection_limits = ListInForce(now, rejection_limits_)},
      .at = now};
  const bool is_empty =
      own.limits.empty() && own.rejection_limits.empty() && own.known.IsEmpty();
  // An empty list is posted once, so that the fleet task stops sending the
  // previous one.
  if (!is_empty || reported_limits_) {
    reported_limits_ = !is_empty;
    services_.FindPort<fleet_message>(kFleetService).Post(std::move(own));
  }
}

void edge_task::HandleLimitQuery(time_point now, quota_query query) {
  // The more recent of the two limits is used: a daemon that has not yet
  // received a lowered limit would otherwise raise it for all daemons.
  LogLimit(router_.OnPeerLimit(now, {.upstream = query.subject,
                                     .rate = query.limit.rate,
                                     .age = query.limit_age}),
           query.subject, query.from.ToString());
  if (const auto rate = router_.limits().Find(query.subject)) {
    query.limit = QuotaOfLimit(*rate);
  }
  limits_.policy().OnQuery(now, query);
  ProcessLimitDecisions(now);
}

void edge_task::ProcessLimitDecisions(time_point now) {
  for (const permit_return& unused : router_.TakeUnusedPermits()) {
    limits_.Release(now, unused);
  }
  for (const permit_request& request : router_.TakePermitRequests()) {
    limits_.Submit(now, request);
  }
  SendQuotaMessages(limits_.policy());
  for (const upstream_limit_admission::permit_result& decided :
       limits_.TakeDecided()) {
    ApplyLimitDecision(now, decided);
  }
}

void edge_task::ApplyLimitDecision(
    time_point now,
    const upstream_limit_admission::permit_result& decided) {
  const request_flow* flow = FindFlow(decided.permit.request);
  if (flow != nullptr) {
    with_.log.Write(
        log_class::kRequest,
        DescribePermit(*flow, router_.FindUpstreamName(decided.permit.upstream),
                       decided));
  }
  action_list actions;
  router_.OnPermit(now, decided.ToReply(), actions);
  Perform(now, actions);
}

void edge_task::ForgetLimit(const std::string& upstream) {
  const uint64_t hash = Hash64(upstream);
  LogLimit(router_.ForgetLimit(hash), hash, kSourceRestart);
}

void edge_task::ExpireLimits(time_point now) {
  for (const uint64_t upstream : router_.ExpireLimits(now)) {
    LogLimit(upstream_limits::change::kEnded, upstream, kSourceNotRenewed);
  }
}

std::optional<size_t> edge_task::IdleLimit(const endpoint& to) const {
  const auto found = upstreams_by_address_.find(to);
  if (found == upstreams_by_address_.end() || snapshot_ == nullptr ||
      snapshot_->config == nullptr) {
    return std::nullopt;
  }
  const upstream_entry& entry = *found->second;
  const service_config* service = snapshot_->config->FindService(entry.service);
  if (service == nullptr) {
    return std::nullopt;
  }
  return IdleShare({.max_connections = service->max_connections,
                    .slots = entry.slots,
                    .daemons = possibly_active_,
                    .self = Hash64(options_.self.name),
                    .upstream = Hash64(entry.id)});
}

}  // namespace cuminswitch
