// Frames that the fleet task exchanges with peers: heartbeats and items.
#include <utility>

#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Fleet/fleet_task.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"
#include "store_constants.h"

namespace cuminswitch {

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
  } else if (const auto* demand = std::get_if<concurrency_report>(&*frame)) {
    services_.FindPort<fleet_event>(kEdgeService).Post(*demand);
  } else if (const auto* grant = std::get_if<concurrency_grant>(&*frame)) {
    services_.FindPort<fleet_event>(kEdgeService).Post(*grant);
  } else if (const auto* record = std::get_if<origin_record_frame>(&*frame)) {
    RecordOrigins(record->origins);
  } else if (const auto* items = std::get_if<items_reply_frame>(&*frame)) {
    OnItemsReply(*items);
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
  if (!heartbeat.limits.empty() || !heartbeat.rejection_limits.empty()) {
    services_.FindPort<fleet_event>(kEdgeService)
        .Post(peer_limits{.peer = heartbeat.sender.name,
                          .limits = heartbeat.limits,
                          .rejection_limits = heartbeat.rejection_limits});
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

static void AddAge(std::vector<limit_update>& limits, duration age) {
  for (limit_update& item : limits) {
    item.age += age;
  }
}

void fleet_task::SendHeartbeat(const endpoint& to) {
  const time_point now = ReadBootClock();
  daemon_record self = options_.self;
  self.version = peer_table_.self_version();
  self.revision = item_watcher_.view().relay_revision();
  self.has_store = item_watcher_.IsFresh(now, kStoreFresh);
  self.tracks_streams = true;
  self.shares_concurrency = true;
  self.recovery = store_outage_.Recovery(now);
  heartbeat_frame heartbeat{.sender = self,
                            .recent_peers = peer_table_.SampleAlive(now),
                            .changing = {},
                            .unconfirmed = {},
                            .backlogs = own_backlogs_,
                            .prefixes = placement_log_.TakeFor(to),
                            .mix = own_mix_,
                            .limits = own_limits_.limits,
                            .rejection_limits = own_limits_.rejection_limits,
                            .quarantine = crash_updates_.TakeFor(now, to),
                            .is_watched = peer_table_.IsWatcher(to),
                            .members = peer_table_.TakeMemberUpdates(now, to),
                            .freshness = staleness_.MostRecent(now)};
  AddAge(heartbeat.limits, now - own_limits_.at);
  AddAge(heartbeat.rejection_limits, now - own_limits_.at);
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

}  // namespace cuminswitch
