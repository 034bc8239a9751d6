/// \file
/// The task that keeps track of the deployment.
#ifndef CUMINSWITCH_FLEET_FLEET_TASK_H_
#define CUMINSWITCH_FLEET_FLEET_TASK_H_

#include <deque>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "cuminswitch/Fleet/crash_update_queue.h"
#include "cuminswitch/Fleet/fleet_message.h"
#include "cuminswitch/Fleet/item_list_cache.h"
#include "cuminswitch/Fleet/item_watcher.h"
#include "cuminswitch/Fleet/items_request_tracker.h"
#include "cuminswitch/Fleet/leader_election.h"
#include "cuminswitch/Fleet/limit_records.h"
#include "cuminswitch/Fleet/mixed_service_records.h"
#include "cuminswitch/Fleet/observed_occupancy.h"
#include "cuminswitch/Fleet/origin_records.h"
#include "cuminswitch/Fleet/peer_table.h"
#include "cuminswitch/Fleet/peer_update_log.h"
#include "cuminswitch/Fleet/publication_records.h"
#include "cuminswitch/Fleet/quarantine_records.h"
#include "cuminswitch/Fleet/revision_lag.h"
#include "cuminswitch/Fleet/software_history.h"
#include "cuminswitch/Fleet/staleness_tracker.h"
#include "cuminswitch/Fleet/store_follower_policy.h"
#include "cuminswitch/Fleet/store_outage_tracker.h"
#include "cuminswitch/Fleet/suspension_tracker.h"
#include "cuminswitch/Fleet/upstream_directory.h"
#include "cuminswitch/Fleet/weights_rollout.h"
#include "cuminswitch/Kernel/loop_task.h"
#include "cuminswitch/Log/list_changes.h"
#include "cuminswitch/Net/peer_transport.h"

namespace cuminswitch {

class engine_control;
class event_log;
class kernel;

/// Follows the store, exchanges heartbeats and items with peers and, while this
/// daemon is the leader, updates engines to the target weights. Sends its
/// events to the edge.
class fleet_task : public loop_task<fleet_message>, public peer_frame_handler {
 public:
  struct options {
    daemon_record self;
    std::vector<endpoint> seeds;
    /// Key prefix under which daemons register, and key that the leader holds
    /// under its lease.
    std::string daemons_prefix;
    std::string leader_key;
    /// Key prefix of the records of quarantined requests.
    std::string quarantine_prefix;
    /// Key prefix of the records of services with several software versions.
    std::string mixed_services_prefix;
    /// Key prefix of the records of streams' origins, and key of the record of
    /// advertised limits.
    std::string origins_prefix;
    std::string limits_key;
    /// Key prefix of the records of recent publications of weights.
    std::string publications_prefix;
    /// How long after the publication of weights requests may begin on those
    /// that they superseded.
    duration old_weights_time{0};
    /// Minimum time between the last command of one leader and the first
    /// command of its successor.
    duration leader_gap = std::chrono::seconds(3);
    /// Interval at which an upstream renews its entry in the store.
    duration upstream_interval = std::chrono::milliseconds(1200);
    /// Engines change their weights at a pace that leaves capacity to requests.
    bool is_capacity_scarce = false;
  };
  /// Dependencies of the task, which must outlive it.
  struct parts {
    item_store& store;
    fleet_snapshot_decoder& decoder;
    engine_control& engines;
    event_log& log;
  };

  fleet_task(event_base* base,
             const kernel& services,
             options opts,
             const parts& with);

  std::string_view Name() const override { return kFleetService; }
  void Start() override;
  void Stop() override;

 protected:
  void Receive(fleet_message message) override;

 private:
  bool OnFrame(std::span<const uint8_t> frame) override;
  void OnHeartbeatFrame(const heartbeat_frame& heartbeat);
  /// Adds to a heartbeat what peers need for placing and admitting requests.
  void AddLoadReports(time_point now, heartbeat_frame& heartbeat) const;
  /// Passes a peer's load reports on to the edge, and uses them for roll-outs.
  void PublishLoadReports(const heartbeat_frame& heartbeat);
  void OnItemsRequest(const items_request_frame& request);
  void OnItemsReply(const items_reply_frame& reply);

  void OnTick();
  void OnStoreReply(const item_watcher::store_reply& reply);
  void OnItemsChanged(std::span<const std::string> keys);
  /// Uses another entry at the address of an upstream that is not there.
  void OnUpstreamRefuted(const upstream_refuted& refuted);
  /// Logs the end of a check of the items.
  void LogCheck(time_point called_at, bool is_complete);
  void Publish(std::shared_ptr<const fleet_snapshot> next);
  void PublishUpstreams();
  void UpdateFollowing(time_point now);
  void RegisterSelf();
  /// Records in the store which requests crash upstreams.
  void RecordQuarantines(time_point now);
  /// Records in the store, as the leader, which services have several software
  /// versions.
  void RecordMixedServices(time_point now);
  /// Records origins in the store if this daemon is the leader, or sends them
  /// to it.
  void RecordOrigins(std::span<const stream_origin> origins);
  void SendOriginsToLeader(std::span<const stream_origin> origins);
  /// Keeps \p origins for a leader that is not known or not leading yet, or for
  /// the next one.
  void KeepOrigins(time_point now, std::span<const stream_origin> origins);
  /// Returns the leader if it is another daemon that is alive; null otherwise.
  const daemon_record* FindLeader() const;
  /// Sends a new leader the origins that the previous one may not have
  /// recorded.
  void UpdateOriginLeader(time_point now);
  /// Sends the edge when weights were published, as \p heartbeat reports.
  void OnPublicationReports(time_point now, const heartbeat_frame& heartbeat);
  /// Records in the store, as the leader, which weights were published
  /// recently. Sends the edge what the records show of publications before this
  /// daemon's start.
  void ProcessPublicationRecords(time_point now);
  void SendHeartbeat(const endpoint& to);
  void BroadcastHeartbeat();
  void RequestItems(time_point now);
  /// Sends the edge the peers that are alive if any were added, failed or
  /// changed. Limits the rate, since in a starting fleet each heartbeat brings
  /// a change.
  void PublishPeers(time_point now);
  /// Reports to the edge and the log when the items become stale, and when they
  /// are current again.
  void PublishStaleness(time_point now);
  /// Records for the log how \p alive differs from the peers published last.
  void RecordPeerChanges(std::span<const daemon_record> alive);
  /// Logs the recorded changes of peers and upstreams.
  void LogListChanges(time_point now);
  /// Logs a recovery of the store after which entries may be missing.
  void LogStoreRecovery(time_point now);
  /// Logs which peers became suspected, and when this daemon incremented the
  /// version of its own record, e.g. to refute a suspicion.
  void LogSuspicions();
  void PublishChanging();
  /// Sends the peers which upstreams are changing their weights, if that is
  /// news to them or they soon drop it.
  void AnnounceChanging(std::span<const rollout_step> steps);
  void RunRollout(time_point now);
  void Perform(const rollout_step& step);
  void OnEngineReport(const rollout_step& step,
                      const std::optional<engine_report>& report);

  const kernel& services_;
  options options_;
  parts parts_;
  peer_table peer_table_;
  item_watcher item_watcher_;
  leader_election election_;
  observed_occupancy occupancy_;
  weights_rollout rollout_;
  suspension_tracker suspension_;
  staleness_tracker staleness_;
  /// Nothing that the last change of the items brought was written before.
  time_point written_after_{};
  store_follower_policy follower_policy_;
  store_outage_tracker store_outage_;
  quarantine_records quarantine_records_;
  software_history software_;
  mixed_service_records mixed_records_;
  limit_records limit_records_;
  origin_records origin_records_;
  /// Origins of streams that began recently, and when this daemon got them.
  std::deque<std::pair<time_point, stream_origin>> recent_origins_;
  /// Identifies the leader that has been sent `recent_origins_`, and its
  /// incarnation; 0 for none.
  uint64_t origin_leader_ = 0;
  publication_records publication_records_;
  std::unique_ptr<peer_transport> transport_;
  loop_timer heartbeat_timer_;
  loop_timer rollout_timer_;
  loop_timer origins_timer_;
  std::shared_ptr<const fleet_snapshot> snapshot_;
  upstream_directory upstreams_;
  std::vector<upstream_backlog> own_backlogs_;
  prompt_mix own_mix_;
  own_limits own_limits_;
  own_observations own_observations_;
  own_admissions own_admissions_;
  std::vector<quarantine_record> quarantined_;
  own_publications own_publications_;
  /// Addresses of peers that lack publications.
  std::set<endpoint> lacking_peers_;
  crash_update_queue crash_updates_;
  /// Prefixes placed by this daemon. A daemon places up to 20 per second, and
  /// sends each peer a heartbeat within 1.5 s in a fleet where it rotates
  /// through all peers, and each gossip partner within 2 s in a larger one.
  peer_update_log<placed_prefix, 256> placement_log_;
  /// Upstreams whose weights are changing, as last reported by the leader, as
  /// last published to the edge, and as last announced by this daemon.
  weights_changing leader_changing_;
  weights_changing published_changing_;
  weights_changing announced_changing_;
  time_point leader_changing_at_{};
  /// The peers that are alive as last published to the edge, ordered by name.
  std::vector<daemon_record> published_peers_;
  time_point published_peers_at_{};
  size_t published_possibly_active_ = 0;
  size_t published_unreadable_ = 0;
  uint32_t logged_version_ = 0;
  list_changes peer_changes_;
  list_changes upstream_changes_;
  list_changes retained_changes_{{.lists_transient = true}};
  /// The recovery of the store that was logged last.
  uint64_t logged_recovery_ = 0;
  items_request_tracker items_requests_;
  revision_lag lag_;
  item_list_cache item_list_;
  time_point started_at_{};
  time_point next_registration_{};
  bool is_stale_ = false;
  bool is_registering_ = false;
  bool is_registered_ = false;
  bool was_leading_ = false;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_FLEET_TASK_H_
