#include "cuminswitch/Fleet/fleet_task.h"

#include <algorithm>
#include <utility>

#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Support/hash.h"
#include "store_constants.h"

namespace cuminswitch {

static constexpr duration kRegistrationRetry = std::chrono::milliseconds(700);
/// An entry outlives three intervals without renewal, one of which may have
/// passed before the outage began.
static constexpr int kIntervalsToExpiry = 2;
/// The record of a publication ends this long before superseded weights may no
/// longer be used: a daemon that knows the record only knows that it existed up
/// to `kStoreFresh` ago, and the edge stops using those weights some time
/// before their bound.
static constexpr duration kPublicationRecordMargin =
    kStoreFresh + std::chrono::milliseconds(800);
/// Range over which the daemons' claims of leadership are spread.
static constexpr uint64_t kClaimSpreadMs = 400;

/// Returns the pace of roll-outs, if \p opts ask for one.
static std::optional<rollout_pace::options> MakePace(
    const fleet_task::options& opts,
    const occupancy_source& occupancy) {
  if (!opts.is_capacity_scarce) {
    return std::nullopt;
  }
  return rollout_pace::options{.old_weights_time = opts.old_weights_time,
                               .occupancy = &occupancy};
}

fleet_task::fleet_task(event_base* base,
                       const kernel& services,
                       options opts,
                       const parts& with)
    : loop_task(base),
      services_(services),
      options_(std::move(opts)),
      parts_(with),
      peer_table_({.self_name = options_.self.name,
                   .self_incarnation = options_.self.incarnation,
                   .self_address = options_.self.peer_address,
                   .self_domain = options_.self.failure_domain,
                   .seeds = options_.seeds}),
      item_watcher_(base,
                    with.store,
                    with.log,
                    {.on_change =
                         [this](std::span<const std::string> keys) {
                           OnItemsChanged(keys);
                         },
                     .on_reply =
                         [this](const item_watcher::store_reply& reply) {
                           OnStoreReply(reply);
                         },
                     .on_checked =
                         [this](time_point called_at, bool is_complete) {
                           LogCheck(called_at, is_complete);
                           services_.FindPort<fleet_event>(kEdgeService)
                               .Post(items_checked{.called_at = called_at,
                                                   .is_complete = is_complete});
                         }}),
      election_({.self_name = options_.self.name,
                 .key = options_.leader_key,
                 .handover_gap = options_.leader_gap,
                 .claim_delay = std::chrono::milliseconds(
                     Hash64(options_.self.name, options_.self.incarnation) %
                     kClaimSpreadMs)},
                with.store),
      rollout_(MakePace(options_, occupancy_)),
      staleness_(Hash64(options_.self.name)),
      store_outage_(
          {.self = Hash64(options_.self.name, options_.self.incarnation),
           .min_outage = std::max<duration>(
               kStoreFresh,
               options_.upstream_interval * kIntervalsToExpiry)}),
      quarantine_records_(
          {.prefix = options_.quarantine_prefix, .author = options_.self.name},
          with.store),
      mixed_records_(options_.mixed_services_prefix, with.store),
      limit_records_(options_.limits_key, with.store, with.log),
      origin_records_(options_.origins_prefix + options_.self.name + "/" +
                          std::to_string(options_.self.incarnation) + "/",
                      with.store,
                      with.log),
      publication_records_(
          {.prefix = options_.publications_prefix,
           .lifetime = options_.old_weights_time - kPublicationRecordMargin},
          with.store,
          with.log),
      heartbeat_timer_(base, [this] { OnTick(); }),
      rollout_timer_(base, [this] { RunRollout(ReadBootClock()); }),
      origins_timer_(base, [this] { RecordOrigins({}); }) {}

void fleet_task::Start() {
  transport_ = std::make_unique<peer_transport>(
      base(),
      peer_transport::options{.listen = options_.self.peer_address,
                              .idle_timeout = std::chrono::seconds(5)},
      *this);
  started_at_ = ReadBootClock();
  item_watcher_.Start();
  OnTick();
}

void fleet_task::Stop() {
  transport_.reset();
}

void fleet_task::Receive(fleet_message message) {
  if (auto* own = std::get_if<own_placements>(&message)) {
    own_backlogs_ = std::move(own->backlogs);
    own_mix_ = own->mix;
    placement_log_.Add(own->prefixes);
    return;
  }
  if (auto* observed = std::get_if<own_observations>(&message)) {
    occupancy_.Add(observed->at, observed->observations);
    own_observations_ = std::move(*observed);
    return;
  }
  if (auto* admissions = std::get_if<own_admissions>(&message)) {
    own_admissions_ = std::move(*admissions);
    return;
  }
  if (auto* limits = std::get_if<own_limits>(&message)) {
    own_limits_ = std::move(*limits);
    return;
  }
  if (auto* quarantine = std::get_if<own_quarantine>(&message)) {
    crash_updates_.Add(*quarantine);
    quarantined_ = std::move(quarantine->quarantined);
    RecordQuarantines(ReadBootClock());
    return;
  }
  if (auto* publications = std::get_if<own_publications>(&message)) {
    const bool lacked_some = own_publications_.lacks_some;
    own_publications_ = std::move(*publications);
    if (own_publications_.lacks_some && !lacked_some) {
      BroadcastHeartbeat();
    }
    return;
  }
  if (const auto* quota = std::get_if<outgoing_quota_message>(&message)) {
    std::visit(
        [&](const auto& item) {
          transport_->Send(quota->to, EncodePeerFrame(item));
        },
        quota->message);
    return;
  }
  if (const auto* item = std::get_if<outgoing_concurrency_message>(&message)) {
    std::visit(
        [&](const auto& sent) {
          transport_->Send(item->to, EncodePeerFrame(sent));
        },
        item->message);
    return;
  }
  if (const auto* began = std::get_if<own_origins>(&message)) {
    KeepOrigins(ReadBootClock(), began->origins);
    SendOriginsToLeader(began->origins);
    return;
  }
  if (const auto* refuted = std::get_if<upstream_refuted>(&message)) {
    OnUpstreamRefuted(*refuted);
    return;
  }
  if (std::holds_alternative<items_check_requested>(message)) {
    item_watcher_.Check();
    return;
  }
  if (const auto* origin = std::get_if<outgoing_origin_message>(&message)) {
    std::visit(
        [&](const auto& item) {
          transport_->Send(origin->to, EncodePeerFrame(item));
        },
        origin->message);
    return;
  }
  if (const auto* readiness = std::get_if<readiness_changed>(&message)) {
    options_.self.is_ready = readiness->is_ready;
    options_.self.lost_services = readiness->lost_services;
    // A leader that reaches no engine cannot roll out weights.
    election_.SetEligible(ReadBootClock(), readiness->is_ready);
  } else {
    options_.self.is_leaving = true;
    election_.Resign();
  }
  peer_table_.IncrementSelfVersion();
  BroadcastHeartbeat();
}

void fleet_task::OnTick() {
  heartbeat_timer_.Start(peer_table::kHeartbeatInterval);
  const time_point now = ReadBootClock();
  suspension_.OnRunning(now);
  for (const endpoint& to : peer_table_.ChooseTargets(now)) {
    SendHeartbeat(to);
  }
  PublishStaleness(now);
  PublishPeers(now);
  UpdateFollowing(now);
  RequestItems(now);
  RegisterSelf();
  RecordQuarantines(now);
  RecordMixedServices(now);
  ProcessPublicationRecords(now);
  if (upstreams_.HasRetained() && !store_outage_.IsStoreUnavailable(now)) {
    upstreams_.Expire(now, store_outage_.Window());
  }
  upstreams_.RestoreListed(now);
  PublishUpstreams();
  RunRollout(now);
  LogStoreRecovery(now);
  LogListChanges(now);
  LogSuspicions();
}

void fleet_task::RegisterSelf() {
  const time_point now = ReadBootClock();
  if (is_registered_ || is_registering_ || now < next_registration_ ||
      !item_watcher_.view().HasRead()) {
    return;
  }
  is_registering_ = true;
  parts_.store.Write({.key = options_.daemons_prefix + options_.self.name,
                      .value = options_.self.peer_address.ToString(),
                      .expected = std::nullopt},
                     [this](const store_write& written) {
                       is_registering_ = false;
                       is_registered_ = written.status == store_status::kDone;
                       next_registration_ =
                           ReadBootClock() + kRegistrationRetry;
                     });
}

void fleet_task::RecordQuarantines(time_point now) {
  if (snapshot_ != nullptr) {
    quarantine_records_.OnTick(now, quarantined_, snapshot_->quarantined);
  }
}

void fleet_task::RecordMixedServices(time_point now) {
  if (election_.IsLeading(now)) {
    mixed_records_.OnTick(now, software_.ListMixed(now));
    limit_records_.OnTick(now, own_limits_.known);
  }
  software_.Expire(now);
  UpdateOriginLeader(now);
}

void fleet_task::ProcessPublicationRecords(time_point now) {
  std::erase_if(own_publications_.witnessed, [&](const auto& item) {
    return now - item.since >= options_.old_weights_time;
  });
  if (snapshot_ == nullptr) {
    return;
  }
  if (election_.IsLeading(now)) {
    publication_records_.OnTick(now, own_publications_.witnessed,
                                snapshot_->publications);
  }
  // What was published before the start is older than the bound by then.
  const bool is_recent = now - started_at_ < options_.old_weights_time;
  if (!is_recent || snapshot_->publications.empty()) {
    return;
  }
  learned_publications learned;
  for (const publication_report& item : snapshot_->publications) {
    learned.list.push_back({.target = item.target,
                            .version = item.version,
                            .superseded = item.superseded,
                            .since = staleness_.complete_at() - item.age});
  }
  services_.FindPort<fleet_event>(kEdgeService).Post(std::move(learned));
}

void fleet_task::OnStoreReply(const item_watcher::store_reply& reply) {
  written_after_ = staleness_.complete_at();
  suspension_.OnRunning(reply.at);
  staleness_.OnStoreReply(
      std::min(reply.complete_at, suspension_.ArrivedAfter(reply.at)));
  store_outage_.OnStoreReply(reply.at, reply.revision);
}

void fleet_task::OnItemsChanged(std::span<const std::string> keys) {
  decoded_items decoded = parts_.decoder.Decode(item_watcher_.view(), keys);
  item_watcher_.MarkForRelay(decoded.changed_keys);
  const time_point now = ReadBootClock();
  for (const upstream_entry_update& update : decoded.upstreams) {
    upstreams_.Apply(now, update, store_outage_.Window());
  }
  // Upstreams first: the first configuration makes the daemon begin to serve.
  PublishUpstreams();
  if (decoded.snapshot != nullptr) {
    Publish(std::move(decoded.snapshot));
  } else {
    RunRollout(now);
  }
}

void fleet_task::UpdateFollowing(time_point now) {
  item_watcher_.SetFollowing(follower_policy_.ShouldFollow(
      now, {.self = options_.self,
            .alive = published_peers_,
            .staleness = staleness_,
            .last_reply_at = item_watcher_.last_reply_at(),
            .last_failure_at = item_watcher_.last_failure_at(),
            .known = peer_table_.CountKnown()}));
}

}  // namespace cuminswitch
