// How the edge takes in what is known of the deployment.
#include <vector>

#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Edge/routing_config_translator.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"

namespace cuminswitch {

void edge_task::ForgetRestarted(const upstream_change& change,
                                revision_number revision) {
  if (change.before == nullptr || change.after == nullptr ||
      change.before->started == change.after->started) {
    return;
  }
  // Kept connections to an earlier start are dead. Whoever sends on one learns
  // that only after it has sent, and must then tell its caller that the request
  // may have run.
  pool_.Forget(change.before->address);
  ForgetLimit(change.id);
  with_.log.Write(log_class::kBelief, log_line("upstream_restarted")
                                          .Add("upstream", change.id)
                                          .Add("started", change.after->started)
                                          .Add("before", change.before->started)
                                          .Add("revision", revision));
}

void edge_task::IndexAddress(const upstream_change& change) {
  if (change.before != nullptr) {
    const auto found = upstreams_by_address_.find(change.before->address);
    // Another upstream may have taken the address.
    if (found != upstreams_by_address_.end() &&
        found->second->id == change.id) {
      upstreams_by_address_.erase(found);
    }
  }
  if (change.after != nullptr) {
    upstreams_by_address_[change.after->address] = change.after;
  }
}

void edge_task::Take(const upstreams_changed& news) {
  const time_point now = ReadBootClock();
  unreadable_upstreams_ = news.unreadable;
  const uint64_t newest_changes = held_weights_.newest_changes();
  std::vector<upstream_update> updates;
  for (const upstream_change& change : news.changes) {
    ForgetRestarted(change, news.revision);
    IndexAddress(change);
    if (change.after != nullptr) {
      held_weights_.Add(change.after->weights);
      updates.push_back(TranslateUpstream(*change.after));
    } else {
      updates.push_back({.spec = {.name = change.id}, .is_gone = true});
    }
    if (change.before != nullptr) {
      held_weights_.Remove(change.before->weights);
    }
  }
  action_list actions;
  if (held_weights_.newest_changes() != newest_changes) {
    ApplyPlan(now, actions);
  }
  router_.OnUpstreams(now, updates, actions);
  Perform(now, actions);
}

void edge_task::ApplyPlan(time_point now, action_list& actions) {
  if (knowledge_ != nullptr && knowledge_->plan != nullptr) {
    router_.OnPlan(now, TranslateRoutingConfig(*knowledge_, held_weights_),
                   actions);
  }
}

void edge_task::Take(const fleet_snapshot_changed& news) {
  const bool was_ready = IsReady();
  const bool has_same_plan =
      knowledge_ != nullptr && knowledge_->plan == news.knowledge->plan &&
      knowledge_->wanted_weights == news.knowledge->wanted_weights;
  knowledge_ = news.knowledge;
  router_.quarantine().OnStored(ReadBootClock(), knowledge_->quarantined);
  LogQuarantines();
  if (knowledge_->plan == nullptr || has_same_plan) {
    return;
  }
  const routing_config& plan = *knowledge_->plan;
  server_->SetLimits({.max_head_size = plan.max_head_size,
                      .max_body_size = plan.max_body_size,
                      .request_timeout = plan.request_timeout,
                      .idle_timeout = plan.idle_timeout});
  const time_point now = ReadBootClock();
  action_list actions;
  ApplyPlan(now, actions);
  Perform(now, actions);
  pool_.TrimIdle();
  if (IsReady() && !was_ready) {
    with_.log.Write(log_class::kLifecycle,
                    log_line("ready").Add("configuration", plan.version));
    services_.FindPort<fleet_message>(kFleetService)
        .Post(readiness_changed{.is_ready = true});
  }
}

void edge_task::Take(const peers_changed& news) {
  peers_ = news.alive;
  fleet_size_ = news.known;
  notice_time_ = news.convergence_time;
  passes_on_ = news.is_partial;
  const bool has_other_share = maybe_at_work_ != news.possibly_active;
  maybe_at_work_ = news.possibly_active;
  TellQuotasOfFleet(ReadBootClock());
  if (has_other_share) {
    pool_.TrimIdle();
  }
}

}  // namespace cuminswitch
