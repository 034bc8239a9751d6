// Services whose upstreams do not survive many rejections: their limits, and
// the permits for the requests in flight there.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Fleet/limit_records.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

static constexpr std::string_view kSourceResponse = "answer";
static constexpr std::string_view kSourceStore = "store";
static constexpr std::string_view kSourceNotRenewed = "not_renewed";
/// Larger limits are as good as none.
static constexpr double kMaxRejectionLimit = 1e6;
/// Assumed age of a limit that is recorded in the store: a response without it
/// ends it at once, and it ends soon if no response renews it.
static constexpr duration kRecordedLimitAge = kLimitRecordLifetime / 2;

/// Rounds of granting and using permits in one call; the rest follows with the
/// next event.
static constexpr int kMaxConcurrencyRounds = 8;

std::string edge_task::FindService(uint64_t hash) const {
  if (HasConfig()) {
    for (const service_config& service : snapshot_->config->services) {
      if (Hash64(service.name) == hash) {
        return service.name;
      }
    }
  }
  return {};
}

void edge_task::OnRejectionLimitChange(time_point now,
                                       upstream_limits::change what,
                                       const std::string& service,
                                       std::string_view source) {
  if (what == upstream_limits::change::kNothing) {
    return;
  }
  const uint64_t hash = Hash64(service);
  const std::optional<double> limit = rejection_limits_.Find(hash);
  log_line line(std::string("rejection_limit_").append(ToString(what)));
  line.Add("service", service).Add("from", source);
  if (limit) {
    line.Add("rejections_per_s", *limit)
        .Add("age_ms", rejection_limits_.Age(now, hash));
  }
  with_.log.Write(log_class::kStateChange, line);
  action_list actions;
  router_.SetRejectionLimit(
      now, service,
      limit ? std::optional(static_cast<uint32_t>(
                  std::min<double>(*limit, kMaxRejectionLimit)))
            : std::nullopt,
      actions);
  Perform(now, actions);
}

void edge_task::ApplyRejectionLimit(const request_flow& flow,
                                    const limit_notice& notice) {
  if (notice.kind == notice_kind::kUnreadable) {
    with_.log.Write(log_class::kStateChange,
                    log_line("rejection_limit_unreadable")
                        .Add("upstream", flow.upstream())
                        .Add("id", flow.request().attempt));
    return;
  }
  const std::string service(ServiceAt(flow.address()));
  if (service.empty()) {
    return;
  }
  const time_point now = ReadBootClock();
  OnRejectionLimitChange(now,
                         rejection_limits_.OnResponse(now, Hash64(service),
                                                      flow.sent_at(), notice),
                         service, kSourceResponse);
}

void edge_task::ApplyRejectionLimit(time_point now,
                                    const limit_update& update,
                                    std::string_view source) {
  if (const std::string service = FindService(update.upstream);
      !service.empty()) {
    OnRejectionLimitChange(now, rejection_limits_.OnUpdate(now, update),
                           service, source);
  }
}

void edge_task::ExpireRejectionLimits(time_point now) {
  for (const uint64_t hash : rejection_limits_.TakeExpired(now)) {
    if (const std::string service = FindService(hash); !service.empty()) {
      OnRejectionLimitChange(now, upstream_limits::change::kEnded, service,
                             kSourceNotRenewed);
    }
  }
}

void edge_task::ApplyRecordedLimits(time_point now) {
  for (limit_update item : snapshot_->limits.limits) {
    item.age = kRecordedLimitAge;
    LogLimit(router_.OnPeerLimit(now, item), item.upstream, kSourceStore);
  }
  for (limit_update item : snapshot_->limits.rejection_limits) {
    item.age = kRecordedLimitAge;
    ApplyRejectionLimit(now, item, kSourceStore);
  }
}

void edge_task::UpdateConcurrencyFleet(time_point now,
                                       const quota_fleet_view& fleet) {
  // Daemons of earlier releases do not understand reports and grants.
  std::vector<endpoint> alive(fleet.alive.begin(), fleet.alive.end());
  std::erase_if(alive, [this](const endpoint& address) {
    return std::any_of(
        peers_.begin(), peers_.end(), [&](const daemon_record& item) {
          return item.peer_address == address && !item.shares_concurrency;
        });
  });
  quota_fleet_view sharing = fleet;
  sharing.alive = alive;
  concurrency_.SetFleet(now, sharing);
  ProcessConcurrency(now);
}

void edge_task::Handle(const concurrency_report& report) {
  const time_point now = ReadBootClock();
  concurrency_.OnReport(now, report);
  ProcessConcurrency(now);
}

void edge_task::Handle(const concurrency_grant& grant) {
  const time_point now = ReadBootClock();
  concurrency_.OnGrant(now, grant);
  ProcessConcurrency(now);
}

void edge_task::ProcessConcurrency(time_point now) {
  if (!router_.HasRejectionLimits() && concurrency_.IsIdle()) {
    return;
  }
  if (std::exchange(is_processing_concurrency_, true)) {
    return;
  }
  // Permits that this daemon grants to itself are used at once.
  for (int round = 0; round < kMaxConcurrencyRounds; ++round) {
    action_list actions;
    router_.OnConcurrencyPermits(now, concurrency_.TakeChanges(), actions);
    concurrency_.SetDemand(now, router_.TakeConcurrencyDemands(now));
    if (actions.empty() && !concurrency_.HasChanges()) {
      break;
    }
    Perform(now, actions);
  }
  is_processing_concurrency_ = false;
  for (outgoing_concurrency_message& item : concurrency_.TakeMessages()) {
    services_.FindPort<fleet_message>(kFleetService).Post(std::move(item));
  }
  for (const concurrency_owner::capacity_change& change :
       concurrency_.TakeCapacityChanges()) {
    with_.log.Write(
        log_class::kStateChange,
        log_line("concurrency_lowered")
            .Add("upstream", router_.FindUpstreamName(change.upstream))
            .Add("in_flight", change.capacity)
            .Add("rejected", change.rejected));
  }
}

}  // namespace cuminswitch
