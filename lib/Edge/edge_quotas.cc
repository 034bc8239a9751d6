// How the edge asks about workspaces' quotas, and carries out what is decided.
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

void edge_task::TellQuotasOfFleet(time_point now) {
  std::vector<endpoint> living;
  for (const daemon_record& item : peers_) {
    if (!item.is_leaving) {
      living.push_back(item.peer_address);
    }
  }
  has_gathered_ = now - started_at_ >= owner_quota_policy::kWarmUpTime;
  if (!has_gathered_ && knowledge_ != nullptr) {
    // A daemon that knows itself alone would take itself for the owner of
    // every quota, as all do that were killed together.
    for (const daemon_entry& item : knowledge_->daemons) {
      living.push_back(item.peer_address);
    }
    std::sort(living.begin(), living.end());
    living.erase(std::unique(living.begin(), living.end()), living.end());
  }
  const quota_fleet_view fleet{.alive = living,
                               .possibly_active = maybe_at_work_,
                               .convergence_time = notice_time_,
                               .is_leaving = stop_.HasBegun()};
  quotas_.policy().SetFleet(now, fleet);
  limits_.policy().SetFleet(now, fleet);
}

void edge_task::Take(const quota_query& ask) {
  const time_point now = ReadBootClock();
  if (ask.kind == quota_kind::kUpstream) {
    TakeLimitAsk(now, ask);
    return;
  }
  quotas_.policy().OnQuery(now, ask);
  SettleQuotas(now);
}

void edge_task::Take(const quota_reply& verdict) {
  const time_point now = ReadBootClock();
  if (verdict.kind == quota_kind::kUpstream) {
    limits_.policy().OnReply(now, verdict);
    SettleLimits(now);
    return;
  }
  quotas_.policy().OnReply(now, verdict);
  SettleQuotas(now);
}

void edge_task::SendQuotaMessages(quota_policy& policy) {
  for (outgoing_quota_message& item : policy.TakeMessages()) {
    services_.FindPort<fleet_message>(kFleetService).Post(std::move(item));
  }
}

void edge_task::SettleQuotas(time_point now) {
  SendQuotaMessages(quotas_.policy());
  for (quota_admission::admission_result& decided : quotas_.TakeDecided()) {
    SettleQuota(now, std::move(decided));
  }
}

void edge_task::SettleQuota(time_point now,
                            quota_admission::admission_result decided) {
  const request_id id = decided.arrival.request;
  request_flow* flow = FindFlow(id);
  if (flow == nullptr || flow->has_ended()) {
    quotas_.OnEnd(now, id, 0);
    return;
  }
  if (decided.decision.is_admitted) {
    decided.arrival.time_limit = flow->deadline() - now;
    HandToRouter(now, std::move(decided.arrival));
    return;
  }
  with_.log.Write(log_class::kRequest,
                  DescribeQuotaRefusal(*flow, decided.item, decided.decision));
  flow->GiveUp({.request = id,
                .result = outcome::kNotRun,
                .status = status_code::kTooManyRequests,
                .retry_after = decided.decision.retry_after,
                .message = "over_quota",
                .recorded = {}});
}

}  // namespace cuminswitch
