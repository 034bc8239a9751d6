#include "cuminswitch/Fleet/fleet_task.h"

#include <algorithm>
#include <utility>

#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Fleet/engine_control.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"
#include "store_constants.h"

namespace cuminswitch {

static constexpr duration kRegistrationRetry = std::chrono::milliseconds(700);
static constexpr duration kRolloutInterval = std::chrono::milliseconds(50);
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
      publication_records_(
          {.prefix = options_.publications_prefix,
           .lifetime = options_.old_weights_time - kPublicationRecordMargin},
          with.store,
          with.log),
      heartbeat_timer_(base, [this] { OnTick(); }),
      rollout_timer_(base, [this] { RunRollout(ReadBootClock()); }) {}

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

bool fleet_task::OnFrame(std::span<const uint8_t> bytes) {
  suspension_.OnRunning(ReadBootClock());
  const std::optional<peer_frame> frame = DecodePeerFrame(bytes);
  if (!frame) {
    parts_.log.Write(
        log_class::kLifecycle,
        log_line("peer_frame_malformed").Add("size", bytes.size()));
    return false;
  }
  if (const auto* heartbeat = std::get_if<heartbeat_frame>(&*frame)) {
    OnHeartbeatFrame(*heartbeat);
  } else if (const auto* request = std::get_if<items_request_frame>(&*frame)) {
    OnItemsRequest(*request);
  } else if (const auto* query = std::get_if<quota_query>(&*frame)) {
    services_.FindPort<fleet_event>(kEdgeService).Post(*query);
  } else if (const auto* reply = std::get_if<quota_reply>(&*frame)) {
    services_.FindPort<fleet_event>(kEdgeService).Post(*reply);
  } else if (const auto* report = std::get_if<origin_report>(&*frame)) {
    services_.FindPort<fleet_event>(kEdgeService).Post(*report);
  } else if (const auto* asked = std::get_if<origin_query>(&*frame)) {
    services_.FindPort<fleet_event>(kEdgeService).Post(*asked);
  } else if (const auto* told = std::get_if<origin_reply>(&*frame)) {
    services_.FindPort<fleet_event>(kEdgeService).Post(*told);
  } else {
    OnItemsReply(std::get<items_reply_frame>(*frame));
  }
  return true;
}

void fleet_task::OnHeartbeatFrame(const heartbeat_frame& heartbeat) {
  const time_point now = ReadBootClock();
  const bool has_changed = peer_table_.OnHeartbeat(now, heartbeat);
  lag_.OnPeerRevision(now, heartbeat.sender.revision,
                      item_watcher_.view().revision());
  std::optional<freshness_record> freshness = heartbeat.freshness;
  if (freshness) {
    const time_point replied_at = staleness_.OnPeerReport(
        suspension_.ArrivedAfter(now), *freshness,
        heartbeat.sender.revision > item_watcher_.view().revision());
    freshness->age = now - replied_at;
  }
  store_outage_.OnPeerReport(now, heartbeat.sender.recovery, freshness);
  if (!heartbeat.changing.empty() || !heartbeat.unconfirmed.empty()) {
    leader_changing_ = {.upstreams = heartbeat.changing,
                        .unconfirmed = heartbeat.unconfirmed};
    leader_changing_at_ = now;
    PublishChanging();
  }
  OnPublicationReports(now, heartbeat);
  services_.FindPort<fleet_event>(kEdgeService)
      .Post(peer_placements{.peer = heartbeat.sender.name,
                            .mix = heartbeat.mix,
                            .backlogs = heartbeat.backlogs,
                            .prefixes = heartbeat.prefixes});
  PublishLoadReports(heartbeat);
  if (!heartbeat.limits.empty()) {
    services_.FindPort<fleet_event>(kEdgeService)
        .Post(peer_limits{.peer = heartbeat.sender.name,
                          .limits = heartbeat.limits});
  }
  if (!heartbeat.quarantine.IsEmpty()) {
    if (peer_table_.IsPartial()) {
      crash_updates_.Relay(now, heartbeat.quarantine);
    }
    services_.FindPort<fleet_event>(kEdgeService)
        .Post(peer_quarantine{.update = heartbeat.quarantine});
  }
  if (has_changed) {
    PublishPeers(now);
  }
  const bool needs_items = heartbeat.sender.revision == 0;
  // A peer that has just started learns from the reply who has the items; a
  // suspected peer learns that it is suspected, and can refute it.
  const bool needs_publications =
      heartbeat.lacks_publications && !own_publications_.witnessed.empty();
  const bool needs_reply =
      (needs_items && item_watcher_.view().HasRead()) || needs_publications ||
      peer_table_.MustNotifySuspected(heartbeat.sender.peer_address);
  if (needs_reply &&
      peer_table_.TryReserveReply(now, heartbeat.sender.peer_address)) {
    SendHeartbeat(heartbeat.sender.peer_address);
  }
  RequestItems(now);
}

void fleet_task::OnPublicationReports(time_point now,
                                      const heartbeat_frame& heartbeat) {
  if (heartbeat.lacks_publications) {
    lacking_peers_.insert(heartbeat.sender.peer_address);
  } else {
    lacking_peers_.erase(heartbeat.sender.peer_address);
  }
  if (heartbeat.publications.empty()) {
    return;
  }
  const time_point sent_after = suspension_.ArrivedAfter(now);
  learned_publications learned;
  for (const publication_report& item : heartbeat.publications) {
    learned.list.push_back({.target = item.target,
                            .version = item.version,
                            .superseded = item.superseded,
                            .since = sent_after - item.age});
  }
  services_.FindPort<fleet_event>(kEdgeService).Post(std::move(learned));
}

void fleet_task::OnItemsRequest(const items_request_frame& request) {
  const item_view& view = item_watcher_.view();
  if (!view.HasRead()) {
    return;
  }
  if (request.after == 0 || !view.HasHistorySince(request.after)) {
    transport_->Send(request.reply_to,
                     item_list_.Get(ReadBootClock(), view, request.after));
    return;
  }
  transport_->Send(request.reply_to,
                   EncodePeerFrame(items_reply_frame{
                       .revision = view.revision(),
                       .is_complete = false,
                       .items = view.ListRelayedSince(request.after)}));
}

void fleet_task::OnItemsReply(const items_reply_frame& reply) {
  items_requests_.OnReply();
  written_after_ = staleness_.complete_at();
  item_watcher_.OnPeerItems(
      reply, {.peer = items_requests_.peer(),
              .elapsed = ReadBootClock() - items_requests_.sent_at()});
}

void fleet_task::SendHeartbeat(const endpoint& to) {
  const time_point now = ReadBootClock();
  daemon_record self = options_.self;
  self.version = peer_table_.self_version();
  self.revision = item_watcher_.view().relay_revision();
  self.has_store = item_watcher_.IsFresh(now, kStoreFresh);
  self.tracks_streams = true;
  self.recovery = store_outage_.Recovery(now);
  heartbeat_frame heartbeat{.sender = self,
                            .recent_peers = peer_table_.SampleAlive(now),
                            .changing = {},
                            .unconfirmed = {},
                            .backlogs = own_backlogs_,
                            .prefixes = placement_log_.TakeFor(to),
                            .mix = own_mix_,
                            .limits = own_limits_.limits,
                            .quarantine = crash_updates_.TakeFor(now, to),
                            .is_watched = peer_table_.IsWatcher(to),
                            .members = peer_table_.TakeMemberUpdates(now, to),
                            .freshness = staleness_.MostRecent(now)};
  for (limit_update& item : heartbeat.limits) {
    item.age += now - own_limits_.at;
  }
  AddLoadReports(now, heartbeat);
  if (election_.IsLeading(now)) {
    heartbeat.changing = rollout_.ListChanging();
    heartbeat.unconfirmed = rollout_.ListUnconfirmed();
  }
  heartbeat.lacks_publications = own_publications_.lacks_some;
  if (lacking_peers_.contains(to)) {
    for (const weights_publication& item : own_publications_.witnessed) {
      heartbeat.publications.push_back({.target = item.target,
                                        .version = item.version,
                                        .superseded = item.superseded,
                                        .age = now - item.since});
    }
  }
  transport_->Send(to, EncodePeerFrame(heartbeat));
}

void fleet_task::AddLoadReports(time_point now,
                                heartbeat_frame& heartbeat) const {
  heartbeat.observations = own_observations_.observations;
  for (upstream_observation& item : heartbeat.observations) {
    item.age += now - own_observations_.at;
  }
  heartbeat.admissions = own_admissions_.report;
}

void fleet_task::PublishLoadReports(const heartbeat_frame& heartbeat) {
  if (!heartbeat.observations.empty()) {
    occupancy_.Add(ReadBootClock(), heartbeat.observations);
    services_.FindPort<fleet_event>(kEdgeService)
        .Post(peer_observations{.peer = heartbeat.sender.name,
                                .observations = heartbeat.observations});
  }
  if (!heartbeat.admissions.IsEmpty()) {
    services_.FindPort<fleet_event>(kEdgeService)
        .Post(peer_admissions{.peer = heartbeat.sender.name,
                              .report = heartbeat.admissions});
  }
}

void fleet_task::BroadcastHeartbeat() {
  for (const endpoint& to : peer_table_.ListReachable(ReadBootClock())) {
    SendHeartbeat(to);
  }
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
    PublishUpstreams();
  }
  RunRollout(now);
  LogStoreRecovery(now);
  LogListChanges(now);
  LogSuspicions();
}

void fleet_task::RequestItems(time_point now) {
  // During the initial read, a peer's compressed list arrives before all pages
  // of the store do: in a starting fleet all daemons read at the same time.
  const bool has_current_store =
      item_watcher_.view().HasRead() && item_watcher_.IsFollowing() &&
      !item_watcher_.HasFailed() && item_watcher_.IsFresh(now, kStoreFresh) &&
      !lag_.IsOverdue(now, item_watcher_.view().revision());
  if (!items_requests_.MaySend(now) || has_current_store) {
    return;
  }
  const revision_number revision = item_watcher_.view().revision();
  std::string unresponsive;
  if (items_requests_.IsPending()) {
    unresponsive = items_requests_.peer();
    parts_.log.Write(log_class::kStateChange,
                     log_line("question_unanswered")
                         .Add("peer", unresponsive)
                         .Add("after_ms", now - items_requests_.sent_at()));
    items_requests_.OnLost();
  }
  if (const daemon_record* ahead = peer_table_.FindAhead(
          now, revision, items_requests_.request_count(), unresponsive)) {
    items_requests_.OnSent(now, ahead->name,
                           revision == 0
                               ? items_request_tracker::scope::kAllItems
                               : items_request_tracker::scope::kChanges);
    transport_->Send(
        ahead->peer_address,
        EncodePeerFrame(items_request_frame{
            .reply_to = options_.self.peer_address, .after = revision}));
  }
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
  }
  software_.Expire(now);
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

void fleet_task::RunRollout(time_point now) {
  if (snapshot_ == nullptr || !item_watcher_.view().HasRead()) {
    return;
  }
  // Followers of the store are the first to see that there is no leader.
  if (item_watcher_.IsFollowing() || election_.IsLeading(now)) {
    election_.OnTick(now, snapshot_->leader);
  }
  const bool is_leading = election_.IsLeading(now);
  if (is_leading != was_leading_) {
    was_leading_ = is_leading;
    parts_.log.Write(log_class::kLifecycle,
                     log_line(is_leading ? "lead_taken" : "lead_lost")
                         .Add("fence", election_.fence()));
  }
  if (!election_.MaySendCommand(now)) {
    rollout_.Clear();
    PublishChanging();
    return;
  }
  const std::vector<rollout_step> steps =
      rollout_.OnTick(now, snapshot_->wanted_weights, upstreams_);
  // Before the commands, so that no peer sends a request to an engine that is
  // changing its weights.
  AnnounceChanging(steps);
  for (const rollout_step& step : steps) {
    Perform(step);
  }
  if (!rollout_.ListChanging().empty() || !rollout_.ListUnconfirmed().empty()) {
    rollout_timer_.Start(kRolloutInterval);
  }
}

void fleet_task::Perform(const rollout_step& step) {
  if (!step.command) {
    parts_.engines.QueryState(
        step, [this, step](const std::optional<engine_report>& report) {
          OnEngineReport(step, report);
        });
    return;
  }
  // The host may have been suspended since the decision. A command sent after
  // the lease has expired would conflict with those of the next leader.
  if (!election_.MaySendCommand(ReadBootClock())) {
    rollout_.OnCommandResult(ReadBootClock(), step.upstream,
                             command_result::kConflict);
    return;
  }
  log_line line("order_sent");
  line.Add("upstream", step.upstream)
      .Add("model", step.command->weights.model)
      .Add("version", step.command->weights.version)
      .Add("accepted_orders", step.command->accepted_orders)
      .Add("fence", election_.fence());
  if (const auto& choice = step.command->choice) {
    line.Add("why", ToString(choice->reason))
        .Add("changing", choice->concurrent)
        .Add("left_ms", choice->time_left);
  }
  parts_.log.Write(log_class::kStateChange, line);
  parts_.engines.SendCommand(
      step, election_.fence(), [this, step](command_result end) {
        parts_.log.Write(log_class::kStateChange,
                         log_line("order_ended")
                             .Add("upstream", step.upstream)
                             .Add("end", ToString(end)));
        rollout_.OnCommandResult(ReadBootClock(), step.upstream, end);
        AnnounceChanging({});
      });
}

void fleet_task::OnEngineReport(const rollout_step& step,
                                const std::optional<engine_report>& report) {
  const auto command =
      rollout_.OnReport(ReadBootClock(), step.upstream, report);
  AnnounceChanging({});
  if (command) {
    Perform(*command);
  }
}

}  // namespace cuminswitch
