// Applies changes of the deployment: configuration, upstreams and peers.
#include <vector>

#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Edge/routing_config_translator.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"

namespace cuminswitch {

void edge_task::ResetRestartedUpstream(const upstream_change& change,
                                       revision_number revision) {
  if (change.before == nullptr || change.after == nullptr ||
      change.before->started == change.after->started) {
    return;
  }
  // Pooled connections to an earlier start are broken. A request sent on one
  // fails only after it was sent, and the caller would then be told that it may
  // have been executed.
  pool_.Forget(change.before->address);
  ForgetLimit(change.id);
  with_.log.Write(log_class::kStateChange,
                  log_line("upstream_restarted")
                      .Add("upstream", change.id)
                      .Add("started", change.after->started)
                      .Add("before", change.before->started)
                      .Add("revision", revision));
}

void edge_task::IndexAddress(const upstream_change& change) {
  if (change.before == nullptr || change.after == nullptr ||
      change.before->started != change.after->started ||
      change.before->address != change.after->address) {
    confirmed_upstreams_.erase(change.id);
  }
  if (change.before != nullptr) {
    const auto found = upstreams_by_address_.find(change.before->address);
    // Another upstream may use the address now.
    if (found != upstreams_by_address_.end() &&
        found->second->id == change.id) {
      upstreams_by_address_.erase(found);
    }
  }
  if (change.after != nullptr) {
    upstreams_by_address_[change.after->address] = change.after;
  }
}

void edge_task::Handle(const upstreams_changed& update) {
  const time_point now = ReadBootClock();
  unreadable_upstreams_ = update.unreadable;
  const uint64_t version_changes = weights_counter_.changes();
  std::vector<upstream_update> updates;
  for (const upstream_change& change : update.changes) {
    ResetRestartedUpstream(change, update.revision);
    IndexAddress(change);
    if (change.after != nullptr) {
      weights_counter_.Add(change.after->service, change.after->weights);
      updates.push_back(TranslateUpstream(*change.after));
    } else {
      updates.push_back({.spec = {.name = change.id}, .is_removed = true});
    }
    if (change.before != nullptr) {
      weights_counter_.Remove(change.before->service, change.before->weights);
    }
    software_.Apply(now, change);
  }
  for (const upstream_ref& entry : update.contested) {
    claims_.Add(now, StartOf(*entry), fleet_size_);
  }
  action_list actions;
  if (weights_counter_.changes() != version_changes) {
    ApplyRoutingConfig(now, update.written_after, actions);
  }
  router_.OnUpstreams(now, updates, actions);
  Perform(now, actions);
  ReportPublications(now);
}

void edge_task::ApplyRoutingConfig(time_point now,
                                   time_point written_after,
                                   action_list& actions) {
  if (snapshot_ != nullptr && snapshot_->config != nullptr) {
    router_.OnRoutingConfig(
        now,
        TranslateRoutingConfig(*snapshot_, weights_counter_, written_after),
        actions);
  }
}

void edge_task::Handle(const fleet_snapshot_changed& update) {
  const bool was_ready = IsReady();
  const bool is_first = snapshot_ == nullptr;
  const bool has_same_config =
      snapshot_ != nullptr && snapshot_->config == update.snapshot->config &&
      snapshot_->wanted_weights == update.snapshot->wanted_weights;
  snapshot_ = update.snapshot;
  router_.quarantine().OnStored(ReadBootClock(), snapshot_->quarantined);
  LogQuarantines();
  software_.SetMixed(snapshot_->mixed_services);
  if (is_first) {
    ApplyRecordedLimits(ReadBootClock());
    ApplyRecordedOrigins(ReadBootClock());
  }
  if (snapshot_->config == nullptr || has_same_config) {
    return;
  }
  const routing_config& config = *snapshot_->config;
  server_->SetLimits({.max_head_size = config.max_head_size,
                      .max_body_size = config.max_body_size,
                      .request_timeout = config.request_timeout,
                      .idle_timeout = config.idle_timeout});
  const time_point now = ReadBootClock();
  action_list actions;
  ApplyRoutingConfig(now, update.written_after, actions);
  Perform(now, actions);
  ReportPublications(now);
  pool_.TrimIdle();
  if (IsReady() && !was_ready) {
    with_.log.Write(log_class::kLifecycle,
                    log_line("ready").Add("configuration", config.version));
    ReportReadiness();
  }
}

void edge_task::Handle(const learned_publications& update) {
  const time_point now = ReadBootClock();
  for (const weights_publication& item :
       router_.LearnPublications(update.list)) {
    with_.log.Write(log_class::kStateChange,
                    log_line("publication_learned")
                        .Add("target", item.target)
                        .Add("version", item.version)
                        .Add("superseded", item.superseded)
                        .Add("max_age_ms", now - item.since));
  }
  ReportPublications(now);
}

void edge_task::ReportPublications(time_point now) {
  const bool may_lack = now - started_at_ < options_.old_weights_time;
  own_publications own{.witnessed = router_.ListPublications(now),
                       .lacks_some = may_lack && router_.LacksPublications()};
  if (own != reported_publications_) {
    reported_publications_ = own;
    services_.FindPort<fleet_message>(kFleetService).Post(std::move(own));
  }
}

void edge_task::Handle(const peers_changed& update) {
  peers_ = update.alive;
  fleet_size_ = update.known;
  convergence_time_ = update.convergence_time;
  relays_updates_ = update.is_partial;
  const bool has_other_share = possibly_active_ != update.possibly_active;
  possibly_active_ = update.possibly_active;
  const time_point now = ReadBootClock();
  UpdateQuotaFleet(now);
  origins_.SetPeers(now, peers_);
  ProcessOrigins(now);
  if (has_other_share) {
    pool_.TrimIdle();
  }
}

}  // namespace cuminswitch
