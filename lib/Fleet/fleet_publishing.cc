// Events that the fleet task sends to the edge, and its log lines.
#include <algorithm>
#include <utility>

#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Fleet/fleet_task.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"
#include "store_constants.h"

namespace cuminswitch {

/// Minimum interval between two updates of the peers to the edge.
static constexpr duration kPeersInterval = peer_table::kHeartbeatInterval / 2;
/// A leader's list of upstreams with changing weights is valid for this long.
static constexpr duration kChangingLifetime = std::chrono::milliseconds(900);

/// Describes a peer for the log, with the state that decides whether it is
/// used.
static std::string Describe(const daemon_record& item) {
  return item.name + "/" + item.caller_address.ToString() +
         (item.is_ready ? "/ready" : "/not_ready") +
         (item.lost_services.empty() ? "" : "/lost_services") +
         (item.is_leaving ? "/leaving" : "");
}

/// Describes an upstream for the log, with the state that decides whether it is
/// used.
static std::string Describe(const upstream_entry& item) {
  std::string text = item.id + "@" + item.address.ToString();
  if (!item.weights.empty()) {
    text += "/software_" + item.software_version;
  }
  for (const weights_version& has : item.weights) {
    text += "/v" + std::to_string(has.version);
  }
  return text + (item.is_draining ? "/draining" : "");
}

/// Whether \p a and \p b are equal apart from what matters only for items
/// requests.
static bool IsSamePeer(const daemon_record& a, const daemon_record& b) {
  return a.name == b.name && a.incarnation == b.incarnation &&
         a.is_ready == b.is_ready && a.lost_services == b.lost_services &&
         a.is_leaving == b.is_leaving && a.caller_address == b.caller_address &&
         a.peer_address == b.peer_address;
}

void fleet_task::PublishPeers(time_point now) {
  if (now - published_peers_at_ < kPeersInterval) {
    return;
  }
  const size_t possibly_active = peer_table_.CountPossiblyActive(now);
  if (!peer_table_.TakeChanged(now) &&
      possibly_active == published_possibly_active_) {
    return;
  }
  std::vector<daemon_record> alive = peer_table_.ListAlive(now);
  published_peers_at_ = now;
  published_possibly_active_ = possibly_active;
  RecordPeerChanges(alive);
  follower_policy_.OnPeers(options_.self, alive);
  services_.FindPort<fleet_event>(kEdgeService)
      .Post(peers_changed{.alive = alive,
                          .known = peer_table_.CountKnown(),
                          .possibly_active = possibly_active,
                          .convergence_time = peer_table_.ConvergenceTime(),
                          .is_partial = peer_table_.IsPartial()});
  published_peers_ = std::move(alive);
}

void fleet_task::PublishStaleness(time_point now) {
  const duration staleness = staleness_.Staleness(now);
  const bool is_stale =
      item_watcher_.view().HasRead() && staleness > kStoreFresh;
  if (std::exchange(is_stale_, is_stale) == is_stale) {
    return;
  }
  parts_.log.Write(log_class::kStateChange,
                   log_line(is_stale ? "items_stale" : "items_current")
                       .Add("staleness_ms", staleness)
                       .Add("revision", item_watcher_.view().revision())
                       .Add("follows", item_watcher_.IsFollowing()));
  services_.FindPort<fleet_event>(kEdgeService)
      .Post(items_staleness{.is_stale = is_stale});
}

void fleet_task::OnUpstreamRefuted(const upstream_refuted& refuted) {
  if (!upstreams_.Refute(ReadBootClock(), refuted.upstream, refuted.started)) {
    return;
  }
  parts_.log.Write(log_class::kStateChange,
                   log_line("upstream_refuted")
                       .Add("upstream", refuted.upstream)
                       .Add("started", refuted.started)
                       .Add("revision", item_watcher_.view().revision()));
  PublishUpstreams();
}

void fleet_task::LogCheck(time_point called_at, bool is_complete) {
  parts_.log.Write(log_class::kStateChange,
                   log_line("items_checked")
                       .Add("complete", is_complete)
                       .Add("took_ms", ReadBootClock() - called_at)
                       .Add("revision", item_watcher_.view().revision()));
}

void fleet_task::RecordPeerChanges(std::span<const daemon_record> alive) {
  auto before = published_peers_.begin();
  auto after = alive.begin();
  while (before != published_peers_.end() || after != alive.end()) {
    const bool is_removed =
        after == alive.end() ||
        (before != published_peers_.end() && before->name < after->name);
    const bool is_new = !is_removed && (before == published_peers_.end() ||
                                        after->name < before->name);
    if (!is_removed && !is_new && IsSamePeer(*before, *after)) {
      ++before;
      ++after;
      continue;
    }
    if (!is_new) {
      peer_changes_.Remove(Describe(*before++));
    }
    if (!is_removed) {
      peer_changes_.Add(Describe(*after++));
    }
  }
}

/// Logs \p snapshot, of which nothing new was written before
/// \p written_after; empty if that is unknown.
static void LogSnapshot(event_log& log,
                        const fleet_snapshot& snapshot,
                        time_point written_after) {
  std::string weights;
  for (const weights_version& item : snapshot.wanted_weights) {
    weights += (weights.empty() ? "" : " ") + item.model + "=" +
               std::to_string(item.version);
  }
  log_line line("knowledge_changed");
  line.Add("revision", snapshot.revision)
      .Add("configuration",
           snapshot.config == nullptr ? 0 : snapshot.config->version)
      .Add("weights", weights)
      .Add("leader", snapshot.leader);
  if (written_after != time_point()) {
    line.Add("max_age_ms", ReadBootClock() - written_after);
  }
  log.Write(log_class::kStateChange, line);
}

void fleet_task::LogSuspicions() {
  const std::vector<std::string> suspected = peer_table_.TakeSuspected();
  if (!suspected.empty()) {
    parts_.log.Write(log_class::kStateChange,
                     log_line("peers_suspected")
                         .Add("count", suspected.size())
                         .Add("first", suspected.front()));
  }
  const uint32_t version = peer_table_.self_version();
  if (version != logged_version_) {
    logged_version_ = version;
    parts_.log.Write(log_class::kStateChange,
                     log_line("own_record_renewed")
                         .Add("version", version)
                         .Add("ready", options_.self.is_ready)
                         .Add("leaving", options_.self.is_leaving));
  }
}

void fleet_task::LogListChanges(time_point now) {
  log_line peers("peers_changed");
  if (peer_changes_.DrainInto(now, peers)) {
    parts_.log.Write(log_class::kStateChange, peers);
  }
  log_line upstreams("upstreams_changed");
  upstreams.Add("revision", item_watcher_.view().revision());
  if (upstream_changes_.DrainInto(now, upstreams)) {
    parts_.log.Write(log_class::kStateChange, upstreams);
  }
  log_line retained("upstreams_kept");
  retained.Add("revision", item_watcher_.view().revision())
      .Add("awaited_return", logged_recovery_);
  if (retained_changes_.DrainInto(now, retained)) {
    parts_.log.Write(log_class::kStateChange, retained);
  }
}

void fleet_task::LogStoreRecovery(time_point now) {
  const store_recovery recovery = store_outage_.Recovery(now);
  if (recovery.event == 0 ||
      std::exchange(logged_recovery_, recovery.event) == recovery.event) {
    return;
  }
  parts_.log.Write(log_class::kStateChange,
                   log_line("entries_awaited")
                       .Add("return", recovery.event)
                       .Add("left_ms", recovery.left)
                       .Add("up_to", recovery.revision)
                       .Add("revision", item_watcher_.view().revision()));
}

void fleet_task::PublishUpstreams() {
  for (const retained_change& item : upstreams_.TakeRetainedChanges()) {
    const std::string text =
        item.id + "/removed_at_" + std::to_string(item.revision);
    if (item.is_retained) {
      retained_changes_.Add(text);
    } else {
      retained_changes_.Remove(text);
    }
  }
  std::vector<upstream_change> changes = upstreams_.TakeChanges();
  const size_t unreadable = upstreams_.unreadable_count();
  if (changes.empty() && unreadable == published_unreadable_) {
    return;
  }
  published_unreadable_ = unreadable;
  const time_point now = ReadBootClock();
  for (const upstream_change& item : changes) {
    software_.Apply(now, item);
    if (item.before != nullptr) {
      upstream_changes_.Remove(Describe(*item.before));
    }
    if (item.after != nullptr) {
      upstream_changes_.Add(Describe(*item.after));
    }
  }
  services_.FindPort<fleet_event>(kEdgeService)
      .Post(upstreams_changed{.changes = std::move(changes),
                              .contested = upstreams_.TakeContested(),
                              .unreadable = unreadable,
                              .revision = item_watcher_.view().revision(),
                              .written_after = written_after_});
}

void fleet_task::Publish(std::shared_ptr<const fleet_snapshot> next) {
  const bool is_new_config = snapshot_ == nullptr ||
                             snapshot_->config != next->config ||
                             snapshot_->wanted_weights != next->wanted_weights;
  const bool affects_rollout =
      is_new_config || snapshot_->leader != next->leader;
  const bool has_other_daemons =
      snapshot_ == nullptr || snapshot_->daemons != next->daemons;
  if (!affects_rollout && !has_other_daemons &&
      snapshot_->quarantined == next->quarantined &&
      snapshot_->publications == next->publications &&
      snapshot_->mixed_services == next->mixed_services) {
    return;
  }
  if (is_new_config) {
    const bool is_dated = written_after_ != time_point();
    rollout_.OnPublished(is_dated ? written_after_ : ReadBootClock(),
                         next->wanted_weights);
  }
  snapshot_ = next;
  if (has_other_daemons) {
    peer_table_.SetListed(next->daemons);
  }
  if (affects_rollout) {
    LogSnapshot(parts_.log, *next, written_after_);
  }
  services_.FindPort<fleet_event>(kEdgeService)
      .Post(fleet_snapshot_changed{.snapshot = std::move(next),
                                   .written_after = written_after_});
  RunRollout(ReadBootClock());
  ProcessPublicationRecords(ReadBootClock());
  if (is_new_config) {
    // Peers that the store rejects get the configuration from this daemon.
    BroadcastHeartbeat();
  }
}

void fleet_task::PublishChanging() {
  const time_point now = ReadBootClock();
  weights_changing changing;
  if (election_.IsLeading(now)) {
    changing = {.upstreams = rollout_.ListChanging(),
                .unconfirmed = rollout_.ListUnconfirmed()};
  } else if (now - leader_changing_at_ < kChangingLifetime) {
    changing = leader_changing_;
  }
  if (changing != published_changing_) {
    published_changing_ = changing;
    services_.FindPort<fleet_event>(kEdgeService).Post(std::move(changing));
  }
}

void fleet_task::AnnounceChanging(std::span<const rollout_step> steps) {
  PublishChanging();
  if (!election_.IsLeading(ReadBootClock())) {
    return;
  }
  const weights_changing& changing = published_changing_;
  const auto includes = [](const std::vector<std::string>& all,
                           const std::vector<std::string>& some) {
    return std::includes(all.begin(), all.end(), some.begin(), some.end());
  };
  const bool is_news =
      !includes(announced_changing_.upstreams, changing.upstreams) ||
      !includes(announced_changing_.unconfirmed, changing.unconfirmed);
  const bool must_renew =
      std::any_of(steps.begin(), steps.end(), [&](const rollout_step& step) {
        return std::binary_search(changing.upstreams.begin(),
                                  changing.upstreams.end(), step.upstream);
      });
  announced_changing_ = changing;
  if (is_news || must_renew) {
    BroadcastHeartbeat();
  }
}

}  // namespace cuminswitch
