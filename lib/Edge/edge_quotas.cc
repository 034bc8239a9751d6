// Submits requests to the quota policy and applies its decisions.
#include <algorithm>
#include <utility>
#include <vector>

#include "cuminswitch/Admission/owner_quota_policy.h"
#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Edge/request_log.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

void edge_task::UpdateQuotaFleet(time_point now) {
  std::vector<endpoint> alive;
  std::vector<endpoint> leaving;
  for (const daemon_record& item : peers_) {
    (item.is_leaving ? leaving : alive).push_back(item.peer_address);
  }
  has_warmed_up_ = now - started_at_ >= owner_selection::kWarmUpTime;
  if (!has_warmed_up_ && snapshot_ != nullptr) {
    // A daemon that knows no peers would consider itself the owner of every
    // quota. After a simultaneous restart all daemons would do so; therefore
    // the daemons listed in the store count as alive during the warm-up time.
    for (const daemon_entry& item : snapshot_->daemons) {
      alive.push_back(item.peer_address);
    }
    std::sort(alive.begin(), alive.end());
    alive.erase(std::unique(alive.begin(), alive.end()), alive.end());
    std::erase_if(alive, [&](const endpoint& address) {
      return std::find(leaving.begin(), leaving.end(), address) !=
             leaving.end();
    });
  }
  const quota_fleet_view fleet{.alive = alive,
                               .leaving = leaving,
                               .possibly_active = possibly_active_,
                               .convergence_time = convergence_time_,
                               .is_leaving = stop_.HasBegun()};
  quotas_.policy().SetFleet(now, fleet);
  limits_.policy().SetFleet(now, fleet);
  UpdateConcurrencyFleet(now, fleet);
}

void edge_task::Handle(const quota_query& query) {
  const time_point now = ReadBootClock();
  if (query.kind == quota_kind::kUpstream) {
    HandleLimitQuery(now, query);
    return;
  }
  quotas_.policy().OnQuery(now, query);
  ProcessQuotaDecisions(now);
}

void edge_task::Handle(const quota_reply& reply) {
  const time_point now = ReadBootClock();
  if (reply.kind == quota_kind::kUpstream) {
    limits_.policy().OnReply(now, reply);
    ProcessLimitDecisions(now);
    return;
  }
  quotas_.policy().OnReply(now, reply);
  ProcessQuotaDecisions(now);
}

void edge_task::SendQuotaMessages(quota_policy& policy) {
  for (outgoing_quota_message& item : policy.TakeMessages()) {
    services_.FindPort<fleet_message>(kFleetService).Post(std::move(item));
  }
}

void edge_task::ProcessQuotaDecisions(time_point now) {
  SendQuotaMessages(quotas_.policy());
  for (quota_admission::admission_result& decided : quotas_.TakeDecided()) {
    ApplyQuotaDecision(now, std::move(decided));
  }
}

void edge_task::ApplyQuotaDecision(time_point now,
                                   quota_admission::admission_result decided) {
  const request_id id = decided.arrival.request;
  request_flow* flow = FindFlow(id);
  if (flow == nullptr || flow->has_ended()) {
    quotas_.OnEnd(now, id, 0);
    return;
  }
  if (decided.decision.is_admitted) {
    decided.arrival.time_limit = flow->deadline() - now;
    ForwardToRouter(now, std::move(decided.arrival));
    return;
  }
  with_.log.Write(
      log_class::kRequest,
      DescribeQuotaRefusal(*flow, decided.request, decided.decision));
  flow->GiveUp({.request = id,
                .result = outcome::kNotRun,
                .status = status_code::kTooManyRequests,
                .retry_after = decided.decision.retry_after,
                .message = "over_quota",
                .recorded = {}});
}

}  // namespace cuminswitch
